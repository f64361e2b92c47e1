#include "settings/yaml.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "settings/fields.h"
#include "settings/locate.h"

#define MAX_FILE_BYTES (64 * 1024)
#define MAX_FRAMES 4
#define FRAME_BYTES 32

/* What libcyaml logs about an error: a message, then one line (frame) for each
 * enclosing mapping field, the innermost first. `frames` holds the names of
 * these fields. */
struct cyaml_report {
    char message[160];
    char frames[MAX_FRAMES][FRAME_BYTES];
    size_t frame_count;
};

static void
record_frame(struct cyaml_report *cyaml_report, const char *line)
{
    char name[FRAME_BYTES];
    if (cyaml_report->frame_count < MAX_FRAMES &&
        sscanf(line, " in mapping field '%31[^']'", name) == 1) {
        memcpy(cyaml_report->frames[cyaml_report->frame_count++], name,
               sizeof(name));
    }
}

/* The log function of libcyaml; `arg` is a struct cyaml_report. */
static void
record_log_line(cyaml_log_t level, void *arg, const char *format, va_list args)
{
    static const char heading[] = "Load: ";
    struct cyaml_report *cyaml_report = arg;
    char *line = g_strdup_vprintf(format, args);
    g_strchomp(line);
    if (!g_str_has_prefix(line, heading)) {
        record_frame(cyaml_report, line);
    }
    else if (cyaml_report->message[0] == '\0') {
        snprintf(cyaml_report->message, sizeof(cyaml_report->message), "%s",
                 line + sizeof(heading) - 1);
    }
    g_free(line);
}

static cyaml_config_t
cyaml_options(struct cyaml_report *cyaml_report)
{
    return (cyaml_config_t){.log_fn = record_log_line,
                            .log_ctx = cyaml_report,
                            .mem_fn = cyaml_mem,
                            .log_level = CYAML_LOG_ERROR,
                            .flags = CYAML_CFG_NO_ALIAS};
}

/* Writes a field path: the names of the report's frames, from the outermost to
 * the one with index `innermost`, then `name` unless it is NULL. */
static void
write_path(const struct cyaml_report *cyaml_report, size_t innermost,
           const char *name, char *path, size_t size_bytes)
{
    GString *text = g_string_new(NULL);
    for (size_t i = cyaml_report->frame_count; i > innermost; i--) {
        g_string_append_printf(text, "%s%s", text->len > 0 ? "." : "",
                               cyaml_report->frames[i - 1]);
    }
    if (name != NULL) {
        g_string_append_printf(text, "%s%s", text->len > 0 ? "." : "", name);
    }
    snprintf(path, size_bytes, "%s", text->str);
    g_string_free(text, TRUE);
}

/* Returns the rest of `text` after `prefix`, or NULL if `text` doesn't start
 * with it. */
static const char *
skip_prefix(const char *text, const char *prefix)
{
    return g_str_has_prefix(text, prefix) ? text + strlen(prefix) : NULL;
}

/* Sets the fault for a missing field. libcyaml reports it after the last field
 * read, so the innermost frame is usually a sibling of the missing field and
 * not part of its path. If the group is empty, the innermost frame is the
 * group, and RsFields_DescribeAllowed() knows the path with that frame. That
 * function knows only the settings of an entry process; for a router node, the
 * innermost frame is always taken for a sibling. */
static void
set_missing_field_fault(const struct cyaml_report *cyaml_report,
                        const char *name, GHashTable *lines,
                        struct rs_settings_fault *fault)
{
    char path[sizeof(fault->field)];
    write_path(cyaml_report, 0, name, path, sizeof(path));
    RsFields_DescribeAllowed(path, fault->allowed, sizeof(fault->allowed));
    size_t innermost = fault->allowed[0] == '\0' ? 1 : 0;
    write_path(cyaml_report, innermost, name, fault->field,
               sizeof(fault->field));
    RsFields_DescribeAllowed(fault->field, fault->allowed,
                             sizeof(fault->allowed));
    snprintf(fault->what, sizeof(fault->what), "missing");
    fault->line = RsLocate_Line(lines, fault->field);
}

/* Sets `what` to libcyaml's message, reworded for users of the settings if the
 * message is a known one. */
static void
set_what(const char *message, struct rs_settings_fault *fault)
{
    static const struct {
        const char *prefix;
        const char *what;
    } rewordings[] = {
        {"Expecting MAPPING", "a value in place of a group"},
        {"Expecting ", "a group in place of a value"},
        {"Mapping field already seen", "given twice"},
    };
    const char *value = strstr(message, " value: ");
    if (g_str_has_prefix(message, "Invalid ") && value != NULL) {
        snprintf(fault->what, sizeof(fault->what), "%s is not allowed",
                 value + strlen(" value: "));
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rewordings); i++) {
        if (g_str_has_prefix(message, rewordings[i].prefix)) {
            message = rewordings[i].what;
            break;
        }
    }
    snprintf(fault->what, sizeof(fault->what), "%s", message);
}

static void
set_fault(const struct cyaml_report *cyaml_report, GHashTable *lines,
          struct rs_settings_fault *fault)
{
    const char *name =
        skip_prefix(cyaml_report->message, "Missing required mapping field: ");
    if (name != NULL) {
        set_missing_field_fault(cyaml_report, name, lines, fault);
        return;
    }
    name = skip_prefix(cyaml_report->message, "Unexpected key: ");
    write_path(cyaml_report, 0, name, fault->field, sizeof(fault->field));
    if (name != NULL) {
        snprintf(fault->what, sizeof(fault->what), "unknown field");
        RsFields_ListSiblings(fault->field, fault->allowed,
                              sizeof(fault->allowed));
    }
    else {
        set_what(cyaml_report->message, fault);
        RsFields_DescribeAllowed(fault->field, fault->allowed,
                                 sizeof(fault->allowed));
    }
    fault->line = RsLocate_Line(lines, fault->field);
}

static int
set_empty_fault(struct rs_settings_fault *fault)
{
    snprintf(fault->what, sizeof(fault->what), "no fields");
    RsFields_ListSiblings("", fault->allowed, sizeof(fault->allowed));
    return RsSettings_INVALID;
}

static int
parse(const char *text, size_t size_bytes, const cyaml_schema_value_t *schema,
      void **out, GHashTable *lines, struct rs_settings_fault *fault)
{
    struct cyaml_report cyaml_report = {0};
    cyaml_config_t options = cyaml_options(&cyaml_report);
    cyaml_err_t error = cyaml_load_data((const uint8_t *)text, size_bytes,
                                        &options, schema, out, NULL);
    if (error != CYAML_OK) {
        set_fault(&cyaml_report, lines, fault);
        return RsSettings_INVALID;
    }
    return *out == NULL ? set_empty_fault(fault) : 0;
}

static int
set_file_fault(struct rs_settings_fault *fault, const char *what)
{
    snprintf(fault->what, sizeof(fault->what), "%s", what);
    snprintf(fault->allowed, sizeof(fault->allowed),
             "a readable file of at most %d bytes", MAX_FILE_BYTES);
    return RsSettings_UNREADABLE;
}

/* Loads a file according to a schema. On success, sets `*out`, which the
 * caller frees with RsYaml_Free(), and `*lines`, the line of each field, which
 * the caller frees with g_hash_table_unref(), and returns 0. Otherwise returns
 * RsSettings_UNREADABLE or RsSettings_INVALID and describes the error in
 * `*fault`. `*lines` must be NULL before the call. */
int
RsYaml_Load(const char *path, const cyaml_schema_value_t *schema, void **out,
            GHashTable **lines, struct rs_settings_fault *fault)
{
    *fault = (struct rs_settings_fault){0};
    *out = NULL;
    snprintf(fault->file, sizeof(fault->file), "%s", path);
    char *text = NULL;
    gsize size_bytes = 0;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, &size_bytes, &error)) {
        int status = set_file_fault(fault, error->message);
        g_error_free(error);
        return status;
    }
    int status = RsSettings_INVALID;
    if (size_bytes > MAX_FILE_BYTES) {
        status = set_file_fault(fault, "too large");
    }
    else {
        *lines = RsLocate_Fields(text, size_bytes, fault);
        if (*lines != NULL) {
            status = parse(text, size_bytes, schema, out, *lines, fault);
        }
    }
    if (status != 0 && *lines != NULL) {
        g_hash_table_unref(*lines);
        *lines = NULL;
    }
    g_free(text);
    return status;
}

/* Frees the result of RsYaml_Load(); NULL is allowed. */
void
RsYaml_Free(const cyaml_schema_value_t *schema, void *data)
{
    struct cyaml_report cyaml_report = {0};
    cyaml_config_t options = cyaml_options(&cyaml_report);
    cyaml_free(&options, schema, data, 0);
}
