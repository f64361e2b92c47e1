/* Names of cells: the failure domain, a slash and a number. */

#ifndef RATTANSHED_PLACE_CELL_NAME_H
#define RATTANSHED_PLACE_CELL_NAME_H

#include <stdint.h>

#include "place/model.h"

#define RsCellName_MAX_CELLS 100 /* of one domain */

int RsCellName_Format(const char *domain, uint32_t number,
                      char name[RsModel_NAME_BYTES]);
int RsCellName_Parse(const char *name, char domain[RsModel_NAME_BYTES],
                     uint32_t *number);

#endif
