/* Settings files of nodes and the operator's configuration, for the soak and
 * for tests with real nodes. */

#ifndef RATTANSHED_SOAK_SETUP_H
#define RATTANSHED_SOAK_SETUP_H

#include <stdbool.h>
#include <stdint.h>

/* Ports of each node, as offsets from `base_port`. Node N has the address
 * 127.0.1.(N + 1). */
#define RsSoakSetup_CALLER_PORT 0
#define RsSoakSetup_READINESS_PORT 1
#define RsSoakSetup_PEER_PORT 2
#define RsSoakSetup_ADMIN_PORT 4
#define RsSoakSetup_GRACE_MS 6000
#define RsSoakSetup_MAX_BODY_BYTES (1024 * 1024)

struct rs_soak_node_setup {
    uint32_t number;
    uint16_t base_port;
    uint16_t store_port; /* on 127.0.0.1 */
    bool bootstrap;      /* the whole system starts for the first time */
    uint32_t revoke_ms;  /* 0: revocation is not strict */
    uint32_t memory_mb;  /* 0: not stated */
};

/* The configuration has two routes of the host soak.example: "/get/" to the
 * sharded service "keyed", which may be repeated, and "/post/" to "plain",
 * which may not. With workspaces, it has also the public route "/open/" to
 * "plain". */
struct rs_soak_config {
    uint32_t version;
    uint32_t get_timeout_ms;
    uint32_t post_timeout_ms;
    uint32_t max_body_bytes; /* 0: RsSoakSetup_MAX_BODY_BYTES */
    const char *workspaces;  /* as JSON; NULL: none */
};

bool RsSoakSetup_WriteSettings(const struct rs_soak_node_setup *setup,
                               const char *path);
char *RsSoakSetup_Config(const struct rs_soak_config *config);

#endif
