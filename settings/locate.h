/* Finds the line number of each field and group in a YAML text, for error
 * messages. */

#ifndef RATTANSHED_SETTINGS_LOCATE_H
#define RATTANSHED_SETTINGS_LOCATE_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "settings/settings.h"

GHashTable *RsLocate_Fields(const char *text, size_t size_bytes,
                            struct rs_settings_fault *fault);
uint32_t RsLocate_Line(GHashTable *lines, const char *path);

#endif
