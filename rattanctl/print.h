/* Prints JSON values as readable text. */

#ifndef RATTANSHED_RATTANCTL_PRINT_H
#define RATTANSHED_RATTANCTL_PRINT_H

#include <jansson.h>
#include <stddef.h>
#include <stdio.h>

void RsPrint_Json(FILE *out, const json_t *value);
void RsPrint_Object(FILE *out, const json_t *object);
void RsPrint_Table(FILE *out, const json_t *rows, const char *const *columns);
void RsPrint_Names(FILE *out, const char *title, const json_t *names);

#endif
