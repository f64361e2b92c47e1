/* The control task's state, private to the files of control/. */

#ifndef RATTANSHED_CONTROL_STATE_H
#define RATTANSHED_CONTROL_STATE_H

#include "control/control_task.h"
#include "control/feed.h"
#include "control/leases.h"
#include "control/loads.h"
#include "control/peers.h"
#include "control/planning.h"
#include "http/server.h"
#include "member/members.h"
#include "platform/platform.h"
#include "ticket/config.h"
#include "view/view.h"

struct rs_control {
    struct rs_control_options options;
    const struct rs_settings *settings;
    uv_timer_t timer;
    struct rs_platform *platform;
    struct rs_members *members;
    struct rs_feed *feed;
    struct rs_leases *leases;
    struct rs_planning *planning;
    struct rs_loads *loads;
    struct rs_assignment_cache *assignment_cache;
    struct rs_peers *peers;
    struct rs_server *admin_server;
    struct rs_config *config;        /* NULL until the first snapshot */
    uint64_t config_row_count;       /* rows from which `config` was built */
    uint64_t config_highest_version; /* of these rows */
    struct rs_view *view;            /* NULL until the first snapshot */
    GHashTable *pending_dumps;       /* token to the admin request */
    uint64_t last_dump_token;
    bool snapshot_due;
    bool table_was_read; /* a read of the table that began after the first
                          * lease period is complete */
    bool leaving;
    bool data_idle;
    int64_t leave_deadline_ms;   /* deadline of the shutdown; 0: not leaving */
    int64_t leave_not_before_ms; /* no exit before, except at the deadline, so
                                  * that load balancers notice */
    int64_t handled_vms_read_at_ms; /* read time of the VM list handled last */
    int64_t next_heartbeat_at_ms;
    int64_t next_gossip_at_ms;
    int64_t next_load_report_at_ms;
    int64_t started_at_ms;
    GRand *random;
    struct rs_counter heartbeats_sent;
    struct rs_counter snapshots;
    struct rs_counter snapshot_us;
};

/* Heartbeats (control/heartbeat.c) */
void RsControlHeartbeat_Tick(struct rs_control *control, int64_t now_ms);
void RsControlHeartbeat_Receive(struct rs_control *control, const char *from,
                                const Rs__Member__Heartbeat *heartbeat);
bool RsControlHeartbeat_IsReader(const struct rs_control *control,
                                 int64_t now_ms);

/* Admin API (control/admin.c, control/admin_report.c) */
int RsControlAdmin_Open(struct rs_control *control);
void RsControlAdmin_CompleteDump(struct rs_control *control,
                                 const struct rs_task_dump *dump);
json_t *RsControlReport_Status(const struct rs_control *control);
json_t *RsControlReport_TicketProgress(const struct rs_control *control,
                                       uint64_t number);
json_t *RsControlReport_Owner(const struct rs_control *control,
                              const char *service, const char *key);
json_t *RsControlReport_Dump(const struct rs_control *control);
void RsControlReport_Metrics(const struct rs_control *control,
                             struct rs_text_buffer *text);

#endif
