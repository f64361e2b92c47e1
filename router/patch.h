/* Line-based patches between two versions of a text, for large rows that
 * change little. No I/O. */

#ifndef RATTANSHED_ROUTER_PATCH_H
#define RATTANSHED_ROUTER_PATCH_H

#include <glib.h>
#include <stddef.h>

GByteArray *RsPatch_Make(const char *old_text, const char *new_text);
char *RsPatch_Apply(const char *old_text, const void *patch,
                    size_t patch_bytes);

#endif
