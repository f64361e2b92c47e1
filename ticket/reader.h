/* A strict reader for one JSON object. The caller reads each expected field
 * once, with the type and range allowed for it. Fields that were not read are
 * unknown, and RsReader_Close reports them as faults. */

#ifndef RATTANSHED_TICKET_READER_H
#define RATTANSHED_TICKET_READER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "place/model.h"
#include "ticket/fault.h"

#define RsReader_MAX_FIELDS 12 /* including the NULL after the last one */
#define RsReader_PATH_BYTES 160
#define RsReader_NO_INDEX SIZE_MAX
#define RsReader_NAME_ALLOWED "1 to 63 bytes of [a-z0-9._-]"

/* All pointers are borrowed, including the names in `fields`, which are those
 * of the fields read so far. */
struct rs_reader {
    const json_t *value;
    const char *path;
    struct rs_faults *faults;
    const char *fields[RsReader_MAX_FIELDS];
    size_t field_count;
};

bool RsReader_IsValidName(const char *text);

int RsReader_Open(struct rs_reader *reader, const json_t *value,
                  const char *path, struct rs_faults *faults);
void RsReader_Close(struct rs_reader *reader);

const json_t *RsReader_Field(struct rs_reader *reader, const char *field);
const char *RsReader_String(struct rs_reader *reader, const char *field);
void RsReader_Name(struct rs_reader *reader, const char *field,
                   char name[RsModel_NAME_BYTES]);
bool RsReader_Bool(struct rs_reader *reader, const char *field);
uint32_t RsReader_Number(struct rs_reader *reader, const char *field,
                         uint32_t min, uint32_t max);
int RsReader_Choice(struct rs_reader *reader, const char *field,
                    const char *const *choices);
const json_t *RsReader_Array(struct rs_reader *reader, const char *field,
                             size_t min, size_t max, size_t *count);

void RsReader_ItemPath(const struct rs_reader *reader, const char *field,
                       size_t index, char path[RsReader_PATH_BYTES]);
void RsReader_AddFault(struct rs_reader *reader, const char *field,
                       size_t index, const char *what, const char *allowed,
                       ...) __attribute__((format(printf, 5, 6)));
void RsReader_AddDuplicateFaults(struct rs_reader *reader, const char *field,
                                 const json_t *list);

#endif
