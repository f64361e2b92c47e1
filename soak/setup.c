#include "soak/setup.h"

#include <glib.h>
#include <stdio.h>

/* Writes the settings file of a node. Returns whether that succeeded. */
bool
RsSoakSetup_WriteSettings(const struct rs_soak_node_setup *setup,
                          const char *path)
{
    uint32_t host = setup->number + 1;
    char strict[64] = "";
    if (setup->revoke_ms > 0) {
        snprintf(strict, sizeof(strict),
                 "  strict_revoke: true\n  revoke_ms: %u\n", setup->revoke_ms);
    }
    char memory[32] = "";
    if (setup->memory_mb > 0) {
        snprintf(memory, sizeof(memory), "  memory_mb: %u\n",
                 setup->memory_mb);
    }
    char *text = g_strdup_printf(
        "node:\n  name: \"n%u\"\n  zone: \"z%u\"\n  address: \"127.0.1.%u\"\n"
        "  cpu_share: 1.0\n  link_mbps: 1000\n  bootstrap: %s\n%s"
        "listen:\n  callers: \"127.0.1.%u:%u\"\n"
        "  readiness: \"127.0.1.%u:%u\"\n  peer_port: %u\n  admin_port: %u\n"
        "store:\n  address: \"127.0.0.1:%u\"\n"
        "bounds:\n  grace_s: %u\n  max_hold_ms: 10000\n  drain_ms: 2000\n"
        "  retry_ratio: 0.2\n  retry_window_s: 10\n  retry_slack: 58\n"
        "  cold_factor: 1.5\n  cold_slack: 5\n"
        "  quota_window_s: 5\n  quota_overage: 0.1\n  quota_slack: 20\n%s",
        setup->number, 1 + setup->number % 2, host,
        setup->bootstrap ? "true" : "false", memory, host,
        setup->base_port + RsSoakSetup_CALLER_PORT, host,
        setup->base_port + RsSoakSetup_READINESS_PORT,
        setup->base_port + RsSoakSetup_PEER_PORT,
        setup->base_port + RsSoakSetup_ADMIN_PORT, setup->store_port,
        RsSoakSetup_GRACE_MS / 1000, strict);
    bool written = g_file_set_contents(path, text, -1, NULL);
    g_free(text);
    return written;
}

static const char public_route[] =
    ",\"open\":{\"host\":\"soak.example\",\"prefix\":\"/open/\","
    "\"kind\":\"non_idempotent\",\"timeout_ms\":2000,"
    "\"target_latency_ms\":300,\"service\":\"plain\",\"public\":true}";

/* Returns the configuration as the value of its row in the store. The caller
 * frees it with g_free(). */
char *
RsSoakSetup_Config(const struct rs_soak_config *config)
{
    char *workspaces =
        config->workspaces != NULL
            ? g_strdup_printf(",\"tenants\":%s", config->workspaces)
            : g_strdup("");
    char *text = g_strdup_printf(
        "{\"version\":\"%08x\",\"routes\":{"
        "\"get\":{\"host\":\"soak.example\",\"prefix\":\"/get/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":%u,\"target_latency_ms\":300,"
        "\"priority\":1,\"service\":\"keyed\",\"max_attempts\":2},"
        "\"post\":{\"host\":\"soak.example\",\"prefix\":\"/post/\","
        "\"kind\":\"non_idempotent\",\"timeout_ms\":%u,"
        "\"target_latency_ms\":300,\"priority\":0,\"service\":\"plain\","
        "\"max_attempts\":2}%s},\"services\":{"
        "\"keyed\":{\"health_path\":\"/"
        "health\",\"max_connections\":200,\"warmup_s\":1,"
        "\"warmup_per_s\":50,\"sharded\":true},"
        "\"plain\":{\"health_path\":\"/"
        "health\",\"max_connections\":200,\"warmup_s\":1,"
        "\"warmup_per_s\":50}},"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":%u,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}%s}",
        config->version, config->get_timeout_ms, config->post_timeout_ms,
        config->workspaces != NULL ? public_route : "",
        config->max_body_bytes != 0 ? config->max_body_bytes
                                    : RsSoakSetup_MAX_BODY_BYTES,
        workspaces);
    g_free(workspaces);
    return text;
}
