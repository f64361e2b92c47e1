/* An in-memory implementation of the platform's table: rows with versions,
 * which are written by conditional transactions and read by key, by version or
 * in order of key. */

#ifndef RATTANSHED_STANDIN_TABLE_H
#define RATTANSHED_STANDIN_TABLE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct rs_table;

/* A view of a row. Its texts are valid until the next commit. */
struct rs_table_row {
    const char *key;
    int64_t version;   /* number of the transaction that wrote it */
    const char *value; /* JSON text, NULL when the row doesn't exist */
};

struct rs_table *RsTable_New(void);
void RsTable_Free(struct rs_table *table);
int64_t RsTable_Revision(const struct rs_table *table);

bool RsTable_Get(const struct rs_table *table, const char *key,
                 struct rs_table_row *row);
int RsTable_Commit(struct rs_table *table, const json_t *body,
                   GString *answer);
void RsTable_Changes(const struct rs_table *table, int64_t after,
                     int64_t limit, const char *skip, GString *answer);
void RsTable_List(const struct rs_table *table, const char *prefix,
                  const char *after_key, int64_t limit, bool reverse,
                  GString *answer);

void RsTable_AppendRow(GString *answer, const struct rs_table_row *row);

#endif
