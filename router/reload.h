/* Takes over new settings while the node runs: those that may change take
 * effect, the others are named. */

#ifndef RATTANSHED_ROUTER_RELOAD_H
#define RATTANSHED_ROUTER_RELOAD_H

#include <glib.h>

#include "router/router.h"

uint32_t RsReload_Apply(struct rs_router *router,
                        struct rs_node_settings *current,
                        const struct rs_node_settings *update,
                        GString *needs_restart);

#endif
