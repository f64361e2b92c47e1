/* Load reports between nodes over UDP. Each node reports to the granter its
 * requests in flight and service time at each target, and the keys that were
 * requested; the granter responds with totals over all nodes. A lost datagram
 * is not sent again: the next one brings newer loads, but the keys in a lost
 * report are not counted. */

#ifndef RATTANSHED_ROUTER_REPORTS_H
#define RATTANSHED_ROUTER_REPORTS_H

#include <protobuf-c/protobuf-c.h>

#include "router/key_rates.h"
#include "router/router.h"

struct rs_reports;

/* Called for each node that the granter names, with its IPv4 address in
 * network byte order. */
typedef void (*rs_reports_peer_handler)(void *arg, uint32_t address);

struct rs_reports *RsReports_Open(struct rs_router *router,
                                  uint64_t incarnation,
                                  rs_reports_peer_handler on_peer, void *arg);

uint32_t RsReports_IntervalMs(uint32_t nodes);

/* Sends this node's report to the granter, or processes it if `granter` is
 * NULL, which means that this node is the granter. */
void RsReports_Send(struct rs_reports *reports,
                    const struct sockaddr_in *granter, int64_t now_ms);

/* Sends another message from the peer port. `reports` is a struct rs_reports.
 */
void RsReports_SendDatagram(void *reports, const struct sockaddr *address,
                            const ProtobufCMessage *message);

/* Returns the highest strength, in thousandths of a core, of the nodes that
 * reported to this node within the last second; 0 if there are none. */
double RsReports_ClosedShare(const struct rs_reports *reports, const char *id);
uint32_t RsReports_MaxStrength(const struct rs_reports *reports,
                               int64_t now_ms);

struct rs_key_rates *RsReports_KeyRates(struct rs_reports *reports,
                                        const char *service, int64_t now_ms);

#endif
