#include <stdio.h>
#include <string.h>

#include "core/id.h"
#include "place/cell_name.h"
#include "place/names.h"
#include "place/roster.h"

#define ROW_FIELD_COUNT 4

/* Writes the table key of a cell's row. */
void
RsRoster_FormatKey(const char *cell, char key[RsRoster_KEY_BYTES])
{
    snprintf(key, RsRoster_KEY_BYTES, RsRoster_PREFIX "%s", cell);
}

/* Extracts the name of the cell from the key of its row. Returns 0 or
 * RsRoster_BAD_KEY. */
int
RsRoster_ParseKey(const char *key, char cell[RsModel_NAME_BYTES])
{
    char domain[RsModel_NAME_BYTES];
    uint32_t number = 0;
    size_t prefix_bytes = strlen(RsRoster_PREFIX);
    if (strncmp(key, RsRoster_PREFIX, prefix_bytes) != 0) {
        return RsRoster_BAD_KEY;
    }
    const char *name = key + prefix_bytes;
    if (!RsNames_IsCell(name, strlen(name)) ||
        RsCellName_Parse(name, domain, &number) != 0) {
        return RsRoster_BAD_KEY;
    }
    memcpy(cell, name, strlen(name) + 1);
    return 0;
}

/* Returns the JSON value of a row. The caller owns the reference. */
json_t *
RsRoster_Encode(const struct rs_roster_row *row)
{
    json_t *members = RsNames_Encode(row->members, row->member_count);
    json_t *former = RsNames_Encode(row->former, row->former_count);
    return json_pack("{s:I,s:s,s:o,s:o}", "version", (json_int_t)row->version,
                     "domain", row->domain, "members", members, "former",
                     former);
}

/* Decodes the JSON value of a cell's row and checks it. Returns 0 or an
 * rs_roster_error, in which case the contents of `*row` are undefined. */
int
RsRoster_Decode(const json_t *value, const char *cell,
                struct rs_roster_row *row)
{
    uint32_t number = 0;
    memset(row, 0, sizeof(*row));
    const json_t *version = json_object_get(value, "version");
    const char *domain = json_string_value(json_object_get(value, "domain"));
    if (!json_is_integer(version) || json_integer_value(version) <= 0 ||
        json_object_size(value) != ROW_FIELD_COUNT || domain == NULL ||
        RsCellName_Parse(cell, row->domain, &number) != 0 ||
        strcmp(domain, row->domain) != 0) {
        return RsRoster_BAD_VALUE;
    }
    row->version = (uint64_t)json_integer_value(version);
    memcpy(row->cell, cell, strlen(cell) + 1);
    if (!RsNames_Decode(json_object_get(value, "members"), RsNames_IsPlain,
                        row->members, RsRoster_MAX_MEMBERS,
                        &row->member_count) ||
        row->member_count == 0) {
        return RsRoster_BAD_MEMBERS;
    }
    if (!RsNames_Decode(json_object_get(value, "former"), RsNames_IsPlain,
                        row->former, RsRoster_MAX_MEMBERS,
                        &row->former_count)) {
        return RsRoster_BAD_FORMER;
    }
    return 0;
}

/* Converts a row into the roster that the lease protocol uses, with the ids of
 * the members' names. */
void
RsRoster_ToCellRoster(const struct rs_roster_row *row,
                      struct rs_cell_roster *roster)
{
    memset(roster, 0, sizeof(*roster));
    roster->version = row->version;
    roster->member_count = row->member_count;
    roster->former_count = row->former_count;
    for (size_t i = 0; i < row->member_count; i++) {
        roster->members[i] = RsId_FromName(row->members[i]);
    }
    for (size_t i = 0; i < row->former_count; i++) {
        roster->former[i] = RsId_FromName(row->former[i]);
    }
}
