/* Loads a YAML file according to a libcyaml schema, and reports errors with
 * file, line and field. */

#ifndef RATTANSHED_SETTINGS_YAML_H
#define RATTANSHED_SETTINGS_YAML_H

#include <cyaml/cyaml.h>
#include <glib.h>

#include "settings/settings.h"

/* Schema entries for a text and a number; a field is named like the struct
 * member that holds it. */
#define RsYaml_TEXT(type, member, flags)                                      \
    CYAML_FIELD_STRING_PTR(#member, CYAML_FLAG_POINTER | (flags), type,       \
                           member, 0, CYAML_UNLIMITED)
#define RsYaml_NUMBER(type, member, flags)                                    \
    CYAML_FIELD_UINT(#member, flags, type, member)

int RsYaml_Load(const char *path, const cyaml_schema_value_t *schema,
                void **out, GHashTable **lines,
                struct rs_settings_fault *fault);
void RsYaml_Free(const cyaml_schema_value_t *schema, void *data);

#endif
