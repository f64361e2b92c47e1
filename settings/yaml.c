#include "settings/yaml.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "settings/fields.h"
#include "settings/locate.h"

#define MAX_FILE_BYTES (64 * 1024)
#define MAX_FRAMES 4
#define FRAME_BYTES 32

/* What libcyaml logs about a fault: a message, then one line for each mapping
 * field that encloses it, the innermost first. */
struct report {
    char message[160];
    char frames[MAX_FRAMES][FRAME_BYTES];
    size_t frame_count;
};

static void
keep_frame(struct report *report, const char *line)
{
    char name[FRAME_BYTES];
    if (report->frame_count < MAX_FRAMES &&
        sscanf(line, " in mapping field '%31[^']'", name) == 1) {
        memcpy(report->frames[report->frame_count++], name, sizeof(name));
    }
}

static void
keep_log_line(cyaml_log_t level, void *arg, const char *format, va_list args)
{
    static const char heading[] = "Load: ";
    struct report *report = arg;
    char *line = g_strdup_vprintf(format, args);
    g_strchomp(line);
    if (!g_str_has_prefix(line, heading)) {
        keep_frame(report, line);
    }
    else if (report->message[0] == '\0') {
        snprintf(report->message, sizeof(report->message), "%s",
                 line + sizeof(heading) - 1);
    }
    g_free(line);
}

static cyaml_config_t
cyaml_options(struct report *report)
{
    return (cyaml_config_t){.log_fn = keep_log_line,
                            .log_ctx = report,
                            .mem_fn = cyaml_mem,
                            .log_level = CYAML_LOG_ERROR,
                            .flags = CYAML_CFG_NO_ALIAS};
}

/* Writes the path of the report's frames from number `inner` outwards, and
 * of the field `name` in them unless it is NULL. */
static void
write_path(const struct report *report, size_t inner, const char *name,
           char *path, size_t size_bytes)
{
    GString *text = g_string_new(NULL);
    for (size_t i = report->frame_count; i > inner; i--) {
        g_string_append_printf(text, "%s%s", text->len > 0 ? "." : "",
                               report->frames[i - 1]);
    }
    if (name != NULL) {
        g_string_append_printf(text, "%s%s", text->len > 0 ? "." : "", name);
    }
    snprintf(path, size_bytes, "%s", text->str);
    g_string_free(text, TRUE);
}

static const char *
text_after(const char *text, const char *prefix)
{
    return g_str_has_prefix(text, prefix) ? text + strlen(prefix) : NULL;
}

/* A missing field is reported behind the last field that was read, so the
 * innermost frame is a sibling of it; unless its group is empty. */
static void
fill_missing(const struct report *report, const char *name, GHashTable *lines,
             struct rs_settings_fault *fault)
{
    char path[sizeof(fault->field)];
    write_path(report, 0, name, path, sizeof(path));
    RsFields_Allowed(path, fault->allowed, sizeof(fault->allowed));
    size_t inner = fault->allowed[0] == '\0' ? 1 : 0;
    write_path(report, inner, name, fault->field, sizeof(fault->field));
    RsFields_Allowed(fault->field, fault->allowed, sizeof(fault->allowed));
    snprintf(fault->what, sizeof(fault->what), "missing");
    fault->line = RsLocate_Line(lines, fault->field);
}

/* Turns libcyaml's message into one that needs no knowledge of libcyaml. */
static void
fill_what(const char *message, struct rs_settings_fault *fault)
{
    static const struct {
        const char *prefix;
        const char *what;
    } known[] = {
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
    for (size_t i = 0; i < G_N_ELEMENTS(known); i++) {
        if (g_str_has_prefix(message, known[i].prefix)) {
            message = known[i].what;
            break;
        }
    }
    snprintf(fault->what, sizeof(fault->what), "%s", message);
}

static void
fill_fault(const struct report *report, GHashTable *lines,
           struct rs_settings_fault *fault)
{
    const char *name =
        text_after(report->message, "Missing required mapping field: ");
    if (name != NULL) {
        fill_missing(report, name, lines, fault);
        return;
    }
    name = text_after(report->message, "Unexpected key: ");
    write_path(report, 0, name, fault->field, sizeof(fault->field));
    if (name != NULL) {
        snprintf(fault->what, sizeof(fault->what), "unknown field");
        RsFields_Siblings(fault->field, fault->allowed,
                          sizeof(fault->allowed));
    }
    else {
        fill_what(report->message, fault);
        RsFields_Allowed(fault->field, fault->allowed, sizeof(fault->allowed));
    }
    fault->line = RsLocate_Line(lines, fault->field);
}

static int
refuse_empty(struct rs_settings_fault *fault)
{
    snprintf(fault->what, sizeof(fault->what), "no fields");
    RsFields_Siblings("", fault->allowed, sizeof(fault->allowed));
    return RsSettings_INVALID;
}

static int
parse(const char *text, size_t size_bytes, const cyaml_schema_value_t *schema,
      void **out, GHashTable *lines, struct rs_settings_fault *fault)
{
    struct report report = {0};
    cyaml_config_t options = cyaml_options(&report);
    cyaml_err_t error = cyaml_load_data((const uint8_t *)text, size_bytes,
                                        &options, schema, out, NULL);
    if (error != CYAML_OK) {
        fill_fault(&report, lines, fault);
        return RsSettings_INVALID;
    }
    return *out == NULL ? refuse_empty(fault) : 0;
}

static int
refuse_file(struct rs_settings_fault *fault, const char *what)
{
    snprintf(fault->what, sizeof(fault->what), "%s", what);
    snprintf(fault->allowed, sizeof(fault->allowed),
             "a readable file of at most %d bytes", MAX_FILE_BYTES);
    return RsSettings_UNREADABLE;
}

/* Reads a file by a schema into `*out`, which the caller frees with
 * RsYaml_Free(), and the lines of its fields into `*lines`. Returns 0,
 * RsSettings_UNREADABLE or RsSettings_INVALID with `*fault` filled. */
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
        int status = refuse_file(fault, error->message);
        g_error_free(error);
        return status;
    }
    int status = RsSettings_INVALID;
    if (size_bytes > MAX_FILE_BYTES) {
        status = refuse_file(fault, "too large");
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

/* Frees what RsYaml_Load() made; NULL is allowed. */
void
RsYaml_Free(const cyaml_schema_value_t *schema, void *data)
{
    struct report report = {0};
    cyaml_config_t options = cyaml_options(&report);
    cyaml_free(&options, schema, data, 0);
}
