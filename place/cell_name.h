/* Names of cells: the failure domain, a slash and the cell's number, such as
 * "d1/0". */

#ifndef RATTANSHED_PLACE_CELL_NAME_H
#define RATTANSHED_PLACE_CELL_NAME_H

#include <stdint.h>

#include "place/model.h"

#define RsCellName_NUMBER_LIMIT 100 /* numbers have at most two digits */

int RsCellName_Format(const char *domain, uint32_t number,
                      char name[RsModel_NAME_BYTES]);
int RsCellName_Parse(const char *name, char domain[RsModel_NAME_BYTES],
                     uint32_t *number);

#endif
