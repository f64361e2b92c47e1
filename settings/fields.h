/* The allowed values and the defaults of the settings of an entry process. */

#ifndef RATTANSHED_SETTINGS_FIELDS_H
#define RATTANSHED_SETTINGS_FIELDS_H

#include <glib.h>

#include "settings/settings.h"

void RsFields_SetDefaults(struct rs_settings *settings, GHashTable *lines);
int RsFields_Check(const struct rs_settings *settings,
                   struct rs_settings_fault *fault);
void RsFields_DescribeAllowed(const char *path, char *text, size_t size_bytes);
void RsFields_ListSiblings(const char *path, char *text, size_t size_bytes);

#endif
