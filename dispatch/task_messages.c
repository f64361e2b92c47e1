#include "dispatch/task_messages.h"

#include <glib.h>

/* Creates a table of zeroed leases. The caller owns its only reference. */
struct rs_lease_table *
RsLeaseTable_New(size_t count)
{
    struct rs_lease_table *table =
        g_malloc0(sizeof(*table) + count * sizeof(table->leases[0]));
    table->references = 1;
    table->count = count;
    return table;
}

/* Adds a reference and returns the table. Any thread may call it. */
struct rs_lease_table *
RsLeaseTable_Ref(struct rs_lease_table *table)
{
    atomic_fetch_add(&table->references, 1);
    return table;
}

/* Drops a reference and frees the table with the last one. Any thread may call
 * it; `table` may be NULL. */
void
RsLeaseTable_Unref(struct rs_lease_table *table)
{
    if (table != NULL && atomic_fetch_sub(&table->references, 1) == 1) {
        g_free(table);
    }
}

/* Returns the lease of a slice, or NULL. `table` may be NULL. */
const struct rs_lease *
RsLeaseTable_Find(const struct rs_lease_table *table, uint64_t slice)
{
    size_t low = 0;
    size_t high = table != NULL ? table->count : 0;
    while (low < high) {
        size_t middle = (low + high) / 2;
        if (table->leases[middle].slice < slice) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    if (table == NULL || low == table->count ||
        table->leases[low].slice != slice) {
        return NULL;
    }
    return &table->leases[low];
}
