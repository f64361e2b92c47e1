#include "router/reload.h"

#include <stddef.h>
#include <string.h>

enum field_type {
    Text,
    Number,
    Float,
    Truth,
};

struct field {
    const char *name;
    enum field_type type;
    size_t offset;   /* in struct rs_node_settings */
    bool changeable; /* may change while the node runs */
};

#define FIELD(type, path, changeable)                                         \
    {                                                                         \
#path, (type), offsetof(struct rs_node_settings, path), (changeable)  \
    }

static const struct field fields[] = {
    FIELD(Text, node.name, false),
    FIELD(Text, node.zone, false),
    FIELD(Text, node.address, false),
    FIELD(Float, node.cpu_share, false),
    FIELD(Float, node.link_mbps, false),
    FIELD(Number, node.memory_mb, false),
    FIELD(Text, listen.callers, false),
    FIELD(Text, listen.readiness, false),
    FIELD(Number, listen.peer_port, false),
    FIELD(Number, listen.admin_port, false),
    FIELD(Text, store.address, false),
    FIELD(Number, bounds.grace_s, true),
    /* A new granter relies on the grants of the former one not being longer.
     */
    FIELD(Number, bounds.max_hold_ms, false),
    FIELD(Number, bounds.drain_ms, true),
    FIELD(Float, bounds.retry_ratio, true),
    FIELD(Number, bounds.retry_window_s, true),
    FIELD(Number, bounds.retry_slack, true),
    FIELD(Float, bounds.cold_factor, true),
    FIELD(Number, bounds.cold_slack, true),
    FIELD(Number, bounds.quota_window_s, true),
    FIELD(Float, bounds.quota_overage, true),
    FIELD(Number, bounds.quota_slack, true),
    FIELD(Truth, bounds.strict_revoke, true),
    FIELD(Number, bounds.revoke_ms, true),
    FIELD(Truth, load.adaptive, true),
};

static size_t
size_of(enum field_type type)
{
    static const size_t sizes[] = {
        [Text] = sizeof(char *),
        [Number] = sizeof(uint32_t),
        [Float] = sizeof(float),
        [Truth] = sizeof(bool),
    };
    return sizes[type];
}

static bool
is_equal(const struct field *field, const void *a, const void *b)
{
    if (field->type == Text) {
        return strcmp(*(char *const *)a, *(char *const *)b) == 0;
    }
    return memcmp(a, b, size_of(field->type)) == 0;
}

/* Applies those settings that other state holds copies of. */
static void
apply_copies(struct rs_router *router, const struct rs_node_bounds *bounds)
{
    GHashTableIter iter;
    gpointer value;
    RsFleet_SetDrainMs(&router->fleet, bounds->drain_ms);
    router->workspaces.strict = bounds->strict_revoke;
    router->workspaces.revoke_ms = bounds->revoke_ms;
    g_hash_table_iter_init(&iter, router->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_router_service *service = value;
        service->budget.ratio = bounds->retry_ratio;
        service->budget.slack = bounds->retry_slack;
        service->budget.window_s = bounds->retry_window_s;
    }
}

/* Copies the settings that may change while the node runs from `update` to
 * `current`, the settings of `router`, and has them take effect. Returns how
 * many have changed. Appends the names of the others that differ to
 * `needs_restart`, separated by spaces. */
uint32_t
RsReload_Apply(struct rs_router *router, struct rs_node_settings *current,
               const struct rs_node_settings *update, GString *needs_restart)
{
    uint32_t changed = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        const struct field *field = &fields[i];
        char *old_value = (char *)current + field->offset;
        const char *new_value = (const char *)update + field->offset;
        if (is_equal(field, old_value, new_value)) {
            continue;
        }
        if (field->changeable) {
            memcpy(old_value, new_value, size_of(field->type));
            changed++;
        }
        else {
            g_string_append_printf(needs_restart, "%s%s",
                                   needs_restart->len > 0 ? " " : "",
                                   field->name);
        }
    }
    apply_copies(router, &current->bounds);
    return changed;
}
