/* Reports between nodes over UDP: each tells the granter what it has at each
 * target and which keys were asked for; the granter answers with sums. Lost
 * datagrams only make the picture older. */

#ifndef RATTANSHED_ROUTER_REPORTS_H
#define RATTANSHED_ROUTER_REPORTS_H

#include "router/router.h"

/* Requests of this span make a rate: a hot key must be noticed within a
 * second. */
/* Rates vary by chance as if counted over this time: 0.4 of a window of 1.5 s
 * and 0.6 of one of 5 s. */
#define RsReports_WINDOW_S 3.0

struct rs_reports;

/* The granter named a node: its IPv4 number in network byte order. */
typedef void (*rs_reports_peer_handler)(void *arg, uint32_t address);

struct rs_reports *RsReports_Open(struct rs_router *router,
                                  uint64_t incarnation,
                                  rs_reports_peer_handler on_peer, void *arg);

/* Sends this node's report; `granter` is NULL when this node is the one. */
void RsReports_Report(struct rs_reports *reports,
                      const struct sockaddr_in *granter, int64_t now_ms);

uint32_t RsReports_Strongest(const struct rs_reports *reports, int64_t now_ms);

/* Requests a second for each key of a service, as told by all nodes. */
const float *RsReports_Rates(struct rs_reports *reports, const char *service,
                             int64_t now_ms);

#endif
