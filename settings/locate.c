#include "settings/locate.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <yaml.h>

#define MAX_DEPTH 4

/* State of the scan. `keys` holds the `depth` keys that lead to the current
 * mapping; the first of them is NULL and stands for the document's mapping. */
struct scan {
    GHashTable *lines;
    struct rs_settings_fault *fault;
    char *keys[MAX_DEPTH];
    size_t depth;
    size_t document_count;
    char *key; /* the key whose value is expected next, or NULL */
};

static int
set_fault(struct scan *scan, const yaml_event_t *event, const char *what,
          const char *allowed)
{
    scan->fault->line = (uint32_t)event->start_mark.line + 1;
    snprintf(scan->fault->what, sizeof(scan->fault->what), "%s", what);
    snprintf(scan->fault->allowed, sizeof(scan->fault->allowed), "%s",
             allowed);
    return RsSettings_INVALID;
}

static char *
field_path(const struct scan *scan, const char *key)
{
    GString *path = g_string_new(NULL);
    for (size_t i = 0; i < scan->depth; i++) {
        if (scan->keys[i] != NULL) {
            g_string_append_printf(path, "%s.", scan->keys[i]);
        }
    }
    g_string_append(path, key);
    return g_string_free(path, FALSE);
}

/* Handles a scalar, which is a key or the value of the last key. Records the
 * line of a key. */
static void
on_scalar(struct scan *scan, const yaml_event_t *event)
{
    if (scan->key != NULL) {
        g_clear_pointer(&scan->key, g_free);
        return;
    }
    const char *key = (const char *)event->data.scalar.value;
    scan->key = g_strdup(key);
    uint32_t line = (uint32_t)event->start_mark.line + 1;
    g_hash_table_replace(scan->lines, field_path(scan, key),
                         GUINT_TO_POINTER(line));
}

static int
on_mapping_start(struct scan *scan, const yaml_event_t *event)
{
    if (scan->depth == MAX_DEPTH) {
        return set_fault(scan, event, "nested too deeply",
                         "fields and groups");
    }
    scan->keys[scan->depth++] = scan->key;
    scan->key = NULL;
    return 0;
}

static void
on_mapping_end(struct scan *scan)
{
    g_assert(scan->depth > 0);
    scan->depth--;
    g_free(scan->keys[scan->depth]);
    scan->keys[scan->depth] = NULL;
}

static int
on_event(struct scan *scan, const yaml_event_t *event)
{
    switch (event->type) {
    case YAML_DOCUMENT_START_EVENT:
        if (scan->document_count++ > 0) {
            return set_fault(scan, event, "a second document",
                             "one YAML mapping");
        }
        return 0;
    case YAML_SCALAR_EVENT:
        if (scan->depth == 0) {
            return set_fault(scan, event, "no fields", "one YAML mapping");
        }
        on_scalar(scan, event);
        return 0;
    case YAML_MAPPING_START_EVENT:
        return on_mapping_start(scan, event);
    case YAML_MAPPING_END_EVENT:
        on_mapping_end(scan);
        return 0;
    case YAML_SEQUENCE_START_EVENT:
        return set_fault(scan, event, "a list", "fields and groups");
    case YAML_ALIAS_EVENT:
        return set_fault(scan, event, "an alias", "fields and groups");
    default:
        return 0;
    }
}

static int
set_syntax_fault(const yaml_parser_t *parser, struct rs_settings_fault *fault)
{
    fault->line = (uint32_t)parser->problem_mark.line + 1;
    snprintf(fault->what, sizeof(fault->what), "%s",
             parser->problem != NULL ? parser->problem : "not YAML");
    snprintf(fault->allowed, sizeof(fault->allowed), "one YAML mapping");
    return RsSettings_INVALID;
}

static int
scan_events(yaml_parser_t *parser, struct scan *scan)
{
    bool at_stream_end = false;
    int status = 0;
    while (status == 0 && !at_stream_end) {
        yaml_event_t event;
        if (!yaml_parser_parse(parser, &event)) {
            return set_syntax_fault(parser, scan->fault);
        }
        status = on_event(scan, &event);
        at_stream_end = event.type == YAML_STREAM_END_EVENT;
        yaml_event_delete(&event);
    }
    return status;
}

/* Parses the YAML text and returns a table from field paths such as
 * "callers.port" to line numbers (GUINT_TO_POINTER), which the caller frees
 * with g_hash_table_unref(). Groups have entries as well. Returns NULL and
 * sets `line`, `what` and `allowed` of the fault if the text is not valid
 * YAML, contains anything but one mapping of scalars and mappings, or nests
 * more than MAX_DEPTH mappings. */
GHashTable *
RsLocate_Fields(const char *text, size_t size_bytes,
                struct rs_settings_fault *fault)
{
    struct scan scan = {.fault = fault};
    yaml_parser_t parser;
    scan.lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    yaml_parser_initialize(&parser);
    yaml_parser_set_input_string(&parser, (const unsigned char *)text,
                                 size_bytes);
    int status = scan_events(&parser, &scan);
    yaml_parser_delete(&parser);
    while (scan.depth > 0) {
        on_mapping_end(&scan);
    }
    g_free(scan.key);
    if (status < 0) {
        g_hash_table_unref(scan.lines);
        return NULL;
    }
    return scan.lines;
}

/* Returns the line of a field, or the line of its group if the field is
 * absent; 0 if the file contains neither. */
uint32_t
RsLocate_Line(GHashTable *lines, const char *path)
{
    gpointer line = g_hash_table_lookup(lines, path);
    const char *dot = strrchr(path, '.');
    if (line == NULL && dot != NULL) {
        char *group = g_strndup(path, (gsize)(dot - path));
        line = g_hash_table_lookup(lines, group);
        g_free(group);
    }
    return GPOINTER_TO_UINT(line);
}
