/* The control task's state, shared by its files. */

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
    struct rs_chunks *chunks;
    struct rs_peers *peers;
    struct rs_server *admin;
    struct rs_config *config; /* NULL until the first snapshot */
    uint64_t config_rows;     /* that it was built from, and the highest */
    uint64_t config_newest;   /* version among them */
    struct rs_view *view;     /* NULL until the first snapshot */
    GHashTable *dumps;        /* token to a pending dump */
    uint64_t next_dump;
    bool snapshot_due;
    bool table_was_read; /* whole, after the first lease */
    bool leaving;
    bool data_idle;
    int64_t leave_by_ms; /* end of the grace; 0: not leaving */
    int64_t idle_from_ms;
    int64_t vms_seen_at_ms;
    int64_t heartbeat_at_ms;
    int64_t gossip_at_ms;
    int64_t loads_at_ms;
    int64_t started_at_ms;
    GRand *random;
    struct rs_counter heartbeats_sent;
    struct rs_counter snapshots;
    struct rs_counter snapshot_us;
};

/* Heartbeats (control/heartbeat.c) */
void RsControlHeartbeat_Tick(struct rs_control *control, int64_t now_ms);
void RsControlHeartbeat_Take(struct rs_control *control, const char *from,
                             const Rs__Member__Heartbeat *heartbeat);
bool RsControlHeartbeat_IsReader(const struct rs_control *control,
                                 int64_t now_ms);

/* Operators' API (control/admin.c, control/admin_report.c) */
int RsControlAdmin_Open(struct rs_control *control);
void RsControlAdmin_Dumped(struct rs_control *control,
                           const struct rs_task_dump *dump);
json_t *RsControlReport_Status(const struct rs_control *control);
json_t *RsControlReport_Force(const struct rs_control *control,
                              uint64_t number);
json_t *RsControlReport_Owner(const struct rs_control *control,
                              const char *service, const char *key);
json_t *RsControlReport_Dump(const struct rs_control *control);
void RsControlReport_Metrics(const struct rs_control *control,
                             struct rs_text *text);

#endif
