#include "settings/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uv.h>

#include "settings/locate.h"
#include "settings/yaml.h"

#define MAX_PORT 65535
#define MIN_HOLD_MS 1000 /* a shorter grant expires between two renewals */
/* With less, nodes could not stop in time, as they learn of a change of the
 * target table up to half a second late. */
#define MIN_DRAIN_MS 1000
#define DEFAULT_QUOTA_WINDOW_S 5
#define DEFAULT_REVOKE_MS 5000

#define TEXT(type, member) RsYaml_TEXT(struct type, member, CYAML_FLAG_DEFAULT)
#define NUMBER(type, member)                                                  \
    RsYaml_NUMBER(struct type, member, CYAML_FLAG_DEFAULT)
#define FLOAT(type, member)                                                   \
    CYAML_FIELD_FLOAT(#member, CYAML_FLAG_DEFAULT, struct type, member)
#define OPTIONAL_NUMBER(type, member)                                         \
    RsYaml_NUMBER(struct type, member, CYAML_FLAG_OPTIONAL)
#define OPTIONAL_FLOAT(type, member)                                          \
    CYAML_FIELD_FLOAT(#member, CYAML_FLAG_OPTIONAL, struct type, member)
#define OPTIONAL_TRUTH(type, member)                                          \
    CYAML_FIELD_ENUM(#member, CYAML_FLAG_OPTIONAL | CYAML_FLAG_STRICT,        \
                     struct type, member, truth_values,                       \
                     CYAML_ARRAY_LEN(truth_values))
#define GROUP(member, schema_fields)                                          \
    CYAML_FIELD_MAPPING(#member, CYAML_FLAG_DEFAULT, struct rs_node_settings, \
                        member, schema_fields)

/* CYAML_FIELD_BOOL takes any text. */
static const cyaml_strval_t truth_values[] = {{"false", false},
                                              {"true", true}};

static const cyaml_schema_field_t node_schema[] = {
    TEXT(rs_node_identity, name),
    TEXT(rs_node_identity, zone),
    TEXT(rs_node_identity, address),
    FLOAT(rs_node_identity, cpu_share),
    FLOAT(rs_node_identity, link_mbps),
    OPTIONAL_NUMBER(rs_node_identity, memory_mb),
    CYAML_FIELD_ENUM("bootstrap", CYAML_FLAG_STRICT, struct rs_node_identity,
                     bootstrap, truth_values, CYAML_ARRAY_LEN(truth_values)),
    CYAML_FIELD_END};

static const cyaml_schema_field_t listen_schema[] = {
    TEXT(rs_node_listen, callers), TEXT(rs_node_listen, readiness),
    NUMBER(rs_node_listen, peer_port), NUMBER(rs_node_listen, admin_port),
    CYAML_FIELD_END};

static const cyaml_schema_field_t store_schema[] = {
    TEXT(rs_node_store, address), CYAML_FIELD_END};

static const cyaml_schema_field_t bounds_schema[] = {
    NUMBER(rs_node_bounds, grace_s),
    NUMBER(rs_node_bounds, max_hold_ms),
    NUMBER(rs_node_bounds, drain_ms),
    FLOAT(rs_node_bounds, retry_ratio),
    NUMBER(rs_node_bounds, retry_window_s),
    NUMBER(rs_node_bounds, retry_slack),
    FLOAT(rs_node_bounds, cold_factor),
    NUMBER(rs_node_bounds, cold_slack),
    OPTIONAL_NUMBER(rs_node_bounds, quota_window_s),
    OPTIONAL_FLOAT(rs_node_bounds, quota_overage),
    OPTIONAL_NUMBER(rs_node_bounds, quota_slack),
    OPTIONAL_TRUTH(rs_node_bounds, strict_revoke),
    OPTIONAL_NUMBER(rs_node_bounds, revoke_ms),
    CYAML_FIELD_END};

static const cyaml_schema_field_t load_schema[] = {
    OPTIONAL_TRUTH(rs_node_load, adaptive), CYAML_FIELD_END};

static const cyaml_schema_field_t settings_schema[] = {
    GROUP(node, node_schema),
    GROUP(listen, listen_schema),
    GROUP(store, store_schema),
    GROUP(bounds, bounds_schema),
    CYAML_FIELD_MAPPING("load", CYAML_FLAG_OPTIONAL, struct rs_node_settings,
                        load, load_schema),
    CYAML_FIELD_END};

static const cyaml_schema_value_t schema = {CYAML_VALUE_MAPPING(
    CYAML_FLAG_POINTER, struct rs_node_settings, settings_schema)};

/* Parses an IPv4 endpoint of the form "IP:PORT". Returns 0 or
 * RsSettings_INVALID. */
int
RsNodeSettings_ParseEndpoint(const char *text, struct sockaddr_in *address)
{
    char host[INET_ADDRSTRLEN];
    const char *colon = strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return RsSettings_INVALID;
    }
    snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
    char *end = NULL;
    long port = strtol(colon + 1, &end, 10);
    if (end == colon + 1 || *end != '\0' || port < 1 || port > MAX_PORT ||
        uv_ip4_addr(host, (int)port, address) != 0) {
        return RsSettings_INVALID;
    }
    return 0;
}

static int
set_fault(struct rs_settings_fault *fault, const char *field, const char *what,
          const char *allowed)
{
    snprintf(fault->field, sizeof(fault->field), "%s", field);
    snprintf(fault->what, sizeof(fault->what), "%.150s", what);
    snprintf(fault->allowed, sizeof(fault->allowed), "%s", allowed);
    return RsSettings_INVALID;
}

static int
check_endpoint(const char *field, const char *text,
               struct rs_settings_fault *fault)
{
    struct sockaddr_in address;
    if (RsNodeSettings_ParseEndpoint(text, &address) != 0) {
        return set_fault(fault, field, text, "IP:PORT");
    }
    return 0;
}

static int
check_port(const char *field, uint32_t port, struct rs_settings_fault *fault)
{
    if (port < 1 || port > MAX_PORT) {
        return set_fault(fault, field, "not a port", "1 to 65535");
    }
    return 0;
}

static int
check_bounds(const struct rs_node_bounds *bounds,
             struct rs_settings_fault *fault)
{
    if (bounds->max_hold_ms < MIN_HOLD_MS) {
        return set_fault(fault, "bounds.max_hold_ms", "too short",
                         "1000 or more");
    }
    if (bounds->drain_ms < MIN_DRAIN_MS) {
        return set_fault(fault, "bounds.drain_ms", "too short",
                         "1000 or more");
    }
    if (bounds->grace_s == 0) {
        return set_fault(fault, "bounds.grace_s", "0", "1 or more");
    }
    if (bounds->retry_window_s == 0) {
        return set_fault(fault, "bounds.retry_window_s", "0", "1 or more");
    }
    if (bounds->retry_ratio < 0 || bounds->cold_factor < 0 ||
        bounds->quota_overage < 0) {
        return set_fault(fault, "bounds", "negative", "0 or more");
    }
    return 0;
}

static int
check(const struct rs_node_settings *settings, struct rs_settings_fault *fault)
{
    struct in_addr address;
    const struct rs_node_listen *listen = &settings->listen;
    if (inet_pton(AF_INET, settings->node.address, &address) != 1) {
        return set_fault(fault, "node.address", settings->node.address,
                         "an IPv4 number");
    }
    if (!(settings->node.cpu_share > 0) || !(settings->node.link_mbps > 0)) {
        return set_fault(fault, "node",
                         "cpu_share or link_mbps is not positive", "above 0");
    }
    int status = check_endpoint("listen.callers", listen->callers, fault);
    if (status == 0) {
        status = check_endpoint("listen.readiness", listen->readiness, fault);
    }
    if (status == 0) {
        status =
            check_endpoint("store.address", settings->store.address, fault);
    }
    if (status == 0) {
        status = check_port("listen.peer_port", listen->peer_port, fault);
    }
    if (status == 0) {
        status = check_port("listen.admin_port", listen->admin_port, fault);
    }
    return status == 0 ? check_bounds(&settings->bounds, fault) : status;
}

/* Sets the bounds that the file may leave out. */
static void
set_defaults(struct rs_node_bounds *bounds)
{
    if (bounds->quota_window_s == 0) {
        bounds->quota_window_s = DEFAULT_QUOTA_WINDOW_S;
    }
    if (bounds->revoke_ms == 0) {
        bounds->revoke_ms = DEFAULT_REVOKE_MS;
    }
}

/* Loads and checks a settings file. On success, sets `*out`, which the caller
 * frees with RsNodeSettings_Free(), and returns 0. Otherwise returns
 * RsSettings_UNREADABLE or RsSettings_INVALID, describes the error in `*fault`
 * and leaves `*out` unchanged. */
int
RsNodeSettings_Load(const char *path, struct rs_node_settings **out,
                    struct rs_settings_fault *fault)
{
    GHashTable *lines = NULL;
    struct rs_node_settings *settings = NULL;
    int status = RsYaml_Load(path, &schema, (void **)&settings, &lines, fault);
    if (status == 0) {
        status = check(settings, fault);
        fault->line = RsLocate_Line(lines, fault->field);
        g_hash_table_unref(lines);
    }
    else if (strcmp(fault->field, "node.bootstrap") == 0 ||
             strcmp(fault->field, "bounds.strict_revoke") == 0 ||
             strcmp(fault->field, "load.adaptive") == 0) {
        snprintf(fault->allowed, sizeof(fault->allowed), "true, false");
    }
    if (status < 0) {
        RsNodeSettings_Free(settings);
        return status;
    }
    set_defaults(&settings->bounds);
    *out = settings;
    return 0;
}

/* Frees the settings; NULL is allowed. */
void
RsNodeSettings_Free(struct rs_node_settings *settings)
{
    RsYaml_Free(&schema, settings);
}
