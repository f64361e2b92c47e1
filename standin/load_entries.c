#include "standin/load_entries.h"

#include <glib.h>

/* Returns the index of the next entry that is up, or just of the next one
 * when none is. */
size_t
RsLoadEntries_Pick(struct rs_load_entries *entries)
{
    g_assert(entries->count > 0);
    for (size_t step = 1; step <= entries->count; step++) {
        size_t index = (entries->last + step) % entries->count;
        if (!entries->is_down[index]) {
            entries->last = index;
            return index;
        }
    }
    entries->last = (entries->last + 1) % entries->count;
    return entries->last;
}

/* Takes in what a health check or a refused connection says. */
void
RsLoadEntries_Set(struct rs_load_entries *entries, size_t index, bool is_up)
{
    g_assert(index < entries->count);
    entries->is_down[index] = !is_up;
}
