#include "ticket/fault.h"

#include <glib.h>
#include <stdarg.h>

/* Adds a fault. `allowed` is a printf format for the arguments after it. The
 * strings are copied. */
void
RsFaults_Add(struct rs_faults *faults, const char *path, const char *what,
             const char *allowed, ...)
{
    faults->count++;
    if (faults->kept == RsFaults_MAX) {
        return;
    }
    faults->items = g_renew(struct rs_fault, faults->items, faults->kept + 1);
    struct rs_fault *fault = &faults->items[faults->kept++];
    va_list args;
    va_start(args, allowed);
    fault->path = g_strdup(path);
    fault->what = g_strdup(what);
    fault->allowed = g_strdup_vprintf(allowed, args);
    va_end(args);
}

/* Returns a new JSON array of {"path","what","allowed"} with the stored
 * faults. The caller owns it. */
json_t *
RsFaults_ToJson(const struct rs_faults *faults)
{
    json_t *list = json_array();
    for (size_t i = 0; i < faults->kept; i++) {
        const struct rs_fault *fault = &faults->items[i];
        json_array_append_new(list, json_pack("{s:s, s:s, s:s}", "path",
                                              fault->path, "what", fault->what,
                                              "allowed", fault->allowed));
    }
    return list;
}

/* Frees the faults and leaves an empty list. */
void
RsFaults_Free(struct rs_faults *faults)
{
    for (size_t i = 0; i < faults->kept; i++) {
        g_free(faults->items[i].path);
        g_free(faults->items[i].what);
        g_free(faults->items[i].allowed);
    }
    g_free(faults->items);
    *faults = (struct rs_faults){0};
}
