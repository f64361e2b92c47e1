#include "settings/settings.h"

#include <stdio.h>

#include "core/log.h"
#include "settings/fields.h"
#include "settings/locate.h"
#include "settings/yaml.h"

static const cyaml_strval_t levels[] = {
    {"error", RsLog_ERROR},
    {"warning", RsLog_WARNING},
    {"info", RsLog_INFO},
    {"debug", RsLog_DEBUG},
};

#define TUNABLE(member)                                                       \
    RsYaml_NUMBER(struct rs_settings_tunables, member, CYAML_FLAG_OPTIONAL)
#define POLICY(member)                                                        \
    RsYaml_TEXT(struct rs_settings_policies, member, CYAML_FLAG_OPTIONAL)

static const cyaml_schema_field_t endpoint_schema[] = {
    RsYaml_TEXT(struct rs_settings_endpoint, address, CYAML_FLAG_DEFAULT),
    RsYaml_NUMBER(struct rs_settings_endpoint, port, CYAML_FLAG_DEFAULT),
    CYAML_FIELD_END};

static const cyaml_schema_field_t peers_schema[] = {
    RsYaml_TEXT(struct rs_settings_peers, address, CYAML_FLAG_DEFAULT),
    RsYaml_NUMBER(struct rs_settings_peers, control_port, CYAML_FLAG_DEFAULT),
    RsYaml_NUMBER(struct rs_settings_peers, relay_port, CYAML_FLAG_DEFAULT),
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
    RsYaml_TEXT(struct rs_settings, name, CYAML_FLAG_DEFAULT),
    RsYaml_TEXT(struct rs_settings, region, CYAML_FLAG_DEFAULT),
    RsYaml_TEXT(struct rs_settings, domain, CYAML_FLAG_DEFAULT),
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

/* Loads and checks a settings file. On success, sets `*out`, which the caller
 * frees with RsSettings_Free(), and returns 0. Otherwise returns
 * RsSettings_UNREADABLE or RsSettings_INVALID, describes the error in `*fault`
 * and leaves `*out` unchanged. */
int
RsSettings_Load(const char *path, struct rs_settings **out,
                struct rs_settings_fault *fault)
{
    GHashTable *lines = NULL;
    struct rs_settings *settings = NULL;
    int status = RsYaml_Load(path, &schema, (void **)&settings, &lines, fault);
    if (status == 0) {
        RsFields_SetDefaults(settings, lines);
        status = RsFields_Check(settings, fault);
        fault->line = RsLocate_Line(lines, fault->field);
        g_hash_table_unref(lines);
    }
    if (status < 0) {
        RsSettings_Free(settings);
        return status;
    }
    *out = settings;
    return 0;
}

/* Frees the settings; NULL is allowed. */
void
RsSettings_Free(struct rs_settings *settings)
{
    RsYaml_Free(&schema, settings);
}

/* Formats a fault as one line of text, without a newline. */
void
RsSettings_FormatFault(const struct rs_settings_fault *fault, char *text,
                       size_t size_bytes)
{
    snprintf(text, size_bytes, "%s:%u: %s%s%s; allowed: %s", fault->file,
             fault->line, fault->field, fault->field[0] != '\0' ? ": " : "",
             fault->what, fault->allowed);
}
