#include "standin/load_entries.h"

#include <glib.h>

/* Returns the index of the next entry process that is up, or of the next one
 * if all are down. */
size_t
RsLoadEntries_Pick(struct rs_load_entries *entries)
{
    g_assert(entries->count > 0);
    for (size_t step = 1; step <= entries->count; step++) {
        size_t index = (entries->last_picked + step) % entries->count;
        if (!entries->is_down[index]) {
            entries->last_picked = index;
            return index;
        }
    }
    entries->last_picked = (entries->last_picked + 1) % entries->count;
    return entries->last_picked;
}

/* Marks an entry process as up or down, after a health check or a refused
 * connection. */
void
RsLoadEntries_Set(struct rs_load_entries *entries, size_t index, bool is_up)
{
    g_assert(index < entries->count);
    entries->is_down[index] = !is_up;
}
