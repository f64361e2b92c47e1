#include "settings/fields.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/log.h"

#define MAX_NAME_BYTES 63
#define MAX_PORT 65535
#define MAX_LEASE_MS 60000
#define MAX_INTERVAL_MS 60000
#define MAX_GRACE_MS 600000
#define KIB 1024
#define MIB (1024 * KIB)
#define NAME_CHARACTERS "abcdefghijklmnopqrstuvwxyz0123456789._-"

enum field_kind {
    FieldName,
    FieldAddress,
    FieldNumber,
    FieldLevel
};

struct field {
    const char *path;
    size_t offset;
    enum field_kind kind;
    uint32_t min;
    uint32_t max;
    uint32_t default_number;  /* 0 for a number that the file must contain */
    const char *default_text; /* NULL for numbers and required texts */
};

#define NAME_FIELD(path, member)                                              \
    {                                                                         \
        path, offsetof(struct rs_settings, member), FieldName, 0, 0, 0, NULL  \
    }
#define ADDRESS_FIELD(path, member)                                           \
    {                                                                         \
        path, offsetof(struct rs_settings, member), FieldAddress, 0, 0, 0,    \
            NULL                                                              \
    }
#define PORT_FIELD(path, member)                                              \
    {                                                                         \
        path, offsetof(struct rs_settings, member), FieldNumber, 1, MAX_PORT, \
            0, NULL                                                           \
    }
#define TUNABLE(name, min, max, number)                                       \
    {                                                                         \
        "tunables." #name, offsetof(struct rs_settings, tunables.name),       \
            FieldNumber, min, max, number, NULL                               \
    }
#define POLICY(name, text)                                                    \
    {                                                                         \
        "policies." #name, offsetof(struct rs_settings, policies.name),       \
            FieldName, 0, 0, 0, text                                          \
    }

static const struct field fields[] = {
    NAME_FIELD("name", name),
    NAME_FIELD("region", region),
    NAME_FIELD("domain", domain),
    ADDRESS_FIELD("callers.address", callers.address),
    PORT_FIELD("callers.port", callers.port),
    ADDRESS_FIELD("admin.address", admin.address),
    PORT_FIELD("admin.port", admin.port),
    ADDRESS_FIELD("peers.address", peers.address),
    PORT_FIELD("peers.control_port", peers.control_port),
    PORT_FIELD("peers.relay_port", peers.relay_port),
    ADDRESS_FIELD("platform.address", platform.address),
    PORT_FIELD("platform.port", platform.port),
    {"log_level", offsetof(struct rs_settings, log_level), FieldLevel, 0,
     RsLog_DEBUG, RsLog_INFO, NULL},
    TUNABLE(lease_ms, 100, MAX_LEASE_MS, 900),
    TUNABLE(renew_every_ms, 10, MAX_INTERVAL_MS, 250),
    TUNABLE(margin_ms, 1, MAX_INTERVAL_MS, 50),
    TUNABLE(heartbeat_every_ms, 10, MAX_INTERVAL_MS, 200),
    TUNABLE(suspect_after_ms, 20, MAX_INTERVAL_MS, 600),
    TUNABLE(poll_every_ms, 50, MAX_INTERVAL_MS, 500),
    TUNABLE(shutdown_grace_ms, 0, MAX_GRACE_MS, 5000),
    TUNABLE(max_body_bytes, KIB, 2 * MIB, MIB),
    TUNABLE(max_header_bytes, KIB, MIB, 16 * KIB),
    TUNABLE(retry_budget_percent, 0, 100, 10),
    TUNABLE(max_callers, 1, 1000000, 10000),
    POLICY(admission, "adaptive"),
    POLICY(choice, "two-choices"),
    POLICY(retry, "budget"),
    POLICY(ramp, "linear"),
};

/* Returns a pointer to the member of `settings` for a number or level field.
 */
static const uint32_t *
number_at(const struct rs_settings *settings, const struct field *field)
{
    return (const uint32_t *)((const char *)settings + field->offset);
}

/* Returns a pointer to the member of `settings` for a name or address field.
 */
static char **
text_at(const struct rs_settings *settings, const struct field *field)
{
    return (char **)((const char *)settings + field->offset);
}

/* Sets each field that is absent from the file to its default, if it has one.
 * `lines` contains the fields of the file, as returned by RsLocate_Fields().
 */
void
RsFields_SetDefaults(struct rs_settings *settings, GHashTable *lines)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        const struct field *field = &fields[i];
        if (g_hash_table_contains(lines, field->path)) {
            continue;
        }
        if (field->kind == FieldNumber || field->kind == FieldLevel) {
            *(uint32_t *)number_at(settings, field) = field->default_number;
        }
        else if (field->default_text != NULL) {
            *text_at(settings, field) = strdup(field->default_text);
        }
    }
}

static bool
is_address(const char *text)
{
    struct in6_addr address;
    return inet_pton(AF_INET, text, &address) == 1 ||
           inet_pton(AF_INET6, text, &address) == 1;
}

static bool
is_name(const char *text)
{
    size_t size = strlen(text);
    return size > 0 && size <= MAX_NAME_BYTES &&
           strspn(text, NAME_CHARACTERS) == size;
}

static void
describe_allowed(const struct field *field, char *text, size_t size_bytes)
{
    switch (field->kind) {
    case FieldName:
        snprintf(text, size_bytes, "1 to %d bytes of [a-z0-9._-]",
                 MAX_NAME_BYTES);
        break;
    case FieldAddress:
        snprintf(text, size_bytes, "an IP number");
        break;
    case FieldNumber:
        snprintf(text, size_bytes, "%u to %u", field->min, field->max);
        break;
    case FieldLevel:
        snprintf(text, size_bytes, "error, warning, info, debug");
        break;
    }
}

static int
set_fault(struct rs_settings_fault *fault, const char *path, const char *what)
{
    snprintf(fault->field, sizeof(fault->field), "%s", path);
    snprintf(fault->what, sizeof(fault->what), "%s", what);
    return RsSettings_INVALID;
}

static int
check_number(const struct field *field, uint32_t number,
             struct rs_settings_fault *fault)
{
    if (number >= field->min && number <= field->max) {
        return 0;
    }
    char what[32];
    snprintf(what, sizeof(what), "%u is out of range", number);
    describe_allowed(field, fault->allowed, sizeof(fault->allowed));
    return set_fault(fault, field->path, what);
}

static int
check_text(const struct field *field, const char *text,
           struct rs_settings_fault *fault)
{
    bool ok = field->kind == FieldAddress ? is_address(text) : is_name(text);
    if (ok) {
        return 0;
    }
    char what[96];
    snprintf(what, sizeof(what), "\"%.60s\" is no %s", text,
             field->kind == FieldAddress ? "IP number" : "name");
    describe_allowed(field, fault->allowed, sizeof(fault->allowed));
    return set_fault(fault, field->path, what);
}

static int
check_field(const struct rs_settings *settings, const struct field *field,
            struct rs_settings_fault *fault)
{
    switch (field->kind) {
    case FieldNumber:
        return check_number(field, *number_at(settings, field), fault);
    case FieldName:
    case FieldAddress:
        return check_text(field, *text_at(settings, field), fault);
    default:
        return 0;
    }
}

/* Checks that two renewal intervals fit into a lease less its margin, and two
 * heartbeat intervals into the time until a process without heartbeats is
 * suspected. */
static int
check_intervals(const struct rs_settings_tunables *t,
                struct rs_settings_fault *fault)
{
    if (2 * t->renew_every_ms + t->margin_ms > t->lease_ms) {
        snprintf(fault->allowed, sizeof(fault->allowed),
                 "2 * renew_every_ms + margin_ms <= lease_ms (%u)",
                 t->lease_ms);
        return set_fault(fault, "tunables.renew_every_ms",
                         "too long for the lease");
    }
    if (2 * t->heartbeat_every_ms > t->suspect_after_ms) {
        snprintf(fault->allowed, sizeof(fault->allowed),
                 "2 * heartbeat_every_ms <= suspect_after_ms (%u)",
                 t->suspect_after_ms);
        return set_fault(fault, "tunables.heartbeat_every_ms",
                         "too long for suspect_after_ms");
    }
    return 0;
}

/* Checks that no two listeners have the same address text and port. */
static int
check_ports(const struct rs_settings *settings,
            struct rs_settings_fault *fault)
{
    const struct {
        const char *path;
        const char *address;
        uint32_t port;
    } listeners[] = {
        {"callers.port", settings->callers.address, settings->callers.port},
        {"admin.port", settings->admin.address, settings->admin.port},
        {"peers.control_port", settings->peers.address,
         settings->peers.control_port},
        {"peers.relay_port", settings->peers.address,
         settings->peers.relay_port},
    };
    for (size_t i = 1; i < G_N_ELEMENTS(listeners); i++) {
        for (size_t j = 0; j < i; j++) {
            if (listeners[i].port == listeners[j].port &&
                strcmp(listeners[i].address, listeners[j].address) == 0) {
                snprintf(fault->allowed, sizeof(fault->allowed),
                         "a port other than %s (%u)", listeners[j].path,
                         listeners[j].port);
                return set_fault(fault, listeners[i].path, "taken already");
            }
        }
    }
    return 0;
}

/* Checks the values of the fields and the relations between them, except the
 * log level, which the schema restricts. Returns 0, or RsSettings_INVALID with
 * `field`, `what` and `allowed` of the fault set for the first fault found. */
int
RsFields_Check(const struct rs_settings *settings,
               struct rs_settings_fault *fault)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (check_field(settings, &fields[i], fault) < 0) {
            return RsSettings_INVALID;
        }
    }
    if (check_intervals(&settings->tunables, fault) < 0) {
        return RsSettings_INVALID;
    }
    return check_ports(settings, fault);
}

/* Writes a description of the values that a field may have; for a group, a
 * list of its fields. The text is empty for an unknown path. */
void
RsFields_DescribeAllowed(const char *path, char *text, size_t size_bytes)
{
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (strcmp(fields[i].path, path) == 0) {
            describe_allowed(&fields[i], text, size_bytes);
            return;
        }
    }
    char *group_prefix = g_strdup_printf("%s.", path);
    RsFields_ListSiblings(group_prefix, text, size_bytes);
    g_free(group_prefix);
}

/* Writes a comma-separated list of the fields in the same group as `path`, or
 * of the fields and groups at the top level if `path` has no dot. */
void
RsFields_ListSiblings(const char *path, char *text, size_t size_bytes)
{
    const char *dot = strrchr(path, '.');
    size_t prefix = dot == NULL ? 0 : (size_t)(dot - path) + 1;
    GString *names = g_string_new(NULL);
    char *previous = NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (strncmp(fields[i].path, path, prefix) != 0) {
            continue;
        }
        char *name = g_strdup(fields[i].path + prefix);
        name[strcspn(name, ".")] = '\0';
        if (previous == NULL || strcmp(previous, name) != 0) {
            g_string_append_printf(names, "%s%s", previous == NULL ? "" : ", ",
                                   name);
        }
        g_free(previous);
        previous = name;
    }
    g_free(previous);
    snprintf(text, size_bytes, "%s", names->str);
    g_string_free(names, TRUE);
}
