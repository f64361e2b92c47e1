#include "settings/settings.h"

#include <cyaml/cyaml.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/log.h"
#include "settings/fields.h"
#include "settings/locate.h"

#define MAX_FILE_BYTES (64 * 1024)
#define MAX_FRAMES 4
#define FRAME_BYTES 32

static const cyaml_strval_t levels[] = {
    {"error", RsLog_ERROR},
    {"warning", RsLog_WARNING},
    {"info", RsLog_INFO},
    {"debug", RsLog_DEBUG},
};

#define TEXT(type, member, flags)                                             \
    CYAML_FIELD_STRING_PTR(#member, CYAML_FLAG_POINTER | (flags), type,       \
                           member, 0, CYAML_UNLIMITED)
#define NUMBER(type, member, flags)                                           \
    CYAML_FIELD_UINT(#member, flags, type, member)
#define TUNABLE(member)                                                       \
    NUMBER(struct rs_settings_tunables, member, CYAML_FLAG_OPTIONAL)
#define POLICY(member)                                                        \
    TEXT(struct rs_settings_policies, member, CYAML_FLAG_OPTIONAL)

static const cyaml_schema_field_t endpoint_schema[] = {
    TEXT(struct rs_settings_endpoint, address, CYAML_FLAG_DEFAULT),
    NUMBER(struct rs_settings_endpoint, port, CYAML_FLAG_DEFAULT),
    CYAML_FIELD_END};

static const cyaml_schema_field_t peers_schema[] = {
    TEXT(struct rs_settings_peers, address, CYAML_FLAG_DEFAULT),
    NUMBER(struct rs_settings_peers, control_port, CYAML_FLAG_DEFAULT),
    NUMBER(struct rs_settings_peers, relay_port, CYAML_FLAG_DEFAULT),
    CYAML_FIELD_END};

static const cyaml_schema_field_t tunables_schema[] = {
    TUNABLE(lease_ms),          TUNABLE(renew_every_ms),
    TUNABLE(margin_ms),         TUNABLE(heartbeat_every_ms),
    TUNABLE(suspect_after_ms),  TUNABLE(poll_every_ms),
    TUNABLE(shutdown_grace_ms), TUNABLE(max_body_bytes),
    TUNABLE(max_header_bytes),  TUNABLE(retry_budget_percent),
    TUNABLE(max_callers),       CYAML_FIELD_END};

static const cyaml_schema_field_t policies_schema[] = {
    POLICY(admission), POLICY(choice), POLICY(retry), POLICY(ramp),
    CYAML_FIELD_END};

static const cyaml_schema_field_t settings_schema[] = {
    TEXT(struct rs_settings, name, CYAML_FLAG_DEFAULT),
    TEXT(struct rs_settings, region, CYAML_FLAG_DEFAULT),
    TEXT(struct rs_settings, domain, CYAML_FLAG_DEFAULT),
    CYAML_FIELD_MAPPING("callers", CYAML_FLAG_DEFAULT, struct rs_settings,
                        callers, endpoint_schema),
    CYAML_FIELD_MAPPING("admin", CYAML_FLAG_DEFAULT, struct rs_settings, admin,
                        endpoint_schema),
    CYAML_FIELD_MAPPING("peers", CYAML_FLAG_DEFAULT, struct rs_settings, peers,
                        peers_schema),
    CYAML_FIELD_MAPPING("platform", CYAML_FLAG_DEFAULT, struct rs_settings,
                        platform, endpoint_schema),
    CYAML_FIELD_ENUM("log_level", CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,
                     struct rs_settings, log_level, levels,
                     CYAML_ARRAY_LEN(levels)),
    CYAML_FIELD_MAPPING("tunables", CYAML_FLAG_OPTIONAL, struct rs_settings,
                        tunables, tunables_schema),
    CYAML_FIELD_MAPPING("policies", CYAML_FLAG_OPTIONAL, struct rs_settings,
                        policies, policies_schema),
    CYAML_FIELD_END};

static const cyaml_schema_value_t schema = {CYAML_VALUE_MAPPING(
    CYAML_FLAG_POINTER, struct rs_settings, settings_schema)};

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
parse(const char *text, size_t size_bytes, struct rs_settings **out,
      struct rs_settings_fault *fault)
{
    GHashTable *lines = RsLocate_Fields(text, size_bytes, fault);
    if (lines == NULL) {
        return RsSettings_INVALID;
    }
    struct report report = {0};
    cyaml_config_t options = cyaml_options(&report);
    struct rs_settings *settings = NULL;
    int status = 0;
    cyaml_err_t error =
        cyaml_load_data((const uint8_t *)text, size_bytes, &options, &schema,
                        (cyaml_data_t **)&settings, NULL);
    if (error != CYAML_OK) {
        fill_fault(&report, lines, fault);
        status = RsSettings_INVALID;
    }
    else if (settings == NULL) {
        status = refuse_empty(fault);
    }
    else {
        RsFields_SetDefaults(settings, lines);
        status = RsFields_Check(settings, fault);
        fault->line = RsLocate_Line(lines, fault->field);
    }
    g_hash_table_unref(lines);
    if (status < 0) {
        RsSettings_Free(settings);
        return status;
    }
    *out = settings;
    return 0;
}

static int
refuse_file(struct rs_settings_fault *fault, const char *what)
{
    snprintf(fault->what, sizeof(fault->what), "%s", what);
    snprintf(fault->allowed, sizeof(fault->allowed),
             "a readable file of at most %d bytes", MAX_FILE_BYTES);
    return RsSettings_UNREADABLE;
}

/* Reads the file into `*out`, which the caller frees with RsSettings_Free.
 * Returns 0, RsSettings_UNREADABLE or RsSettings_INVALID; on an error
 * `*fault` tells what is wrong and `*out` is left as it was. */
int
RsSettings_Load(const char *path, struct rs_settings **out,
                struct rs_settings_fault *fault)
{
    *fault = (struct rs_settings_fault){0};
    snprintf(fault->file, sizeof(fault->file), "%s", path);
    char *text = NULL;
    gsize size_bytes = 0;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, &size_bytes, &error)) {
        int status = refuse_file(fault, error->message);
        g_error_free(error);
        return status;
    }
    int status = size_bytes > MAX_FILE_BYTES
                     ? refuse_file(fault, "too large")
                     : parse(text, size_bytes, out, fault);
    g_free(text);
    return status;
}

/* Frees the settings; NULL is allowed. */
void
RsSettings_Free(struct rs_settings *settings)
{
    struct report report = {0};
    cyaml_config_t options = cyaml_options(&report);
    cyaml_free(&options, &schema, settings, 0);
}

/* Writes a fault as one line of text, without the line's end. */
void
RsSettings_FormatFault(const struct rs_settings_fault *fault, char *text,
                       size_t size_bytes)
{
    snprintf(text, size_bytes, "%s:%u: %s%s%s; allowed: %s", fault->file,
             fault->line, fault->field, fault->field[0] != '\0' ? ": " : "",
             fault->what, fault->allowed);
}
