/* A small deployment of real processes: entries, stand-ins of the platform
 * and the targets, and links between failure domains. */

#ifndef RATTANSHED_TESTS_CLUSTER_H
#define RATTANSHED_TESTS_CLUSTER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "standin/judge_check.h"
#include "tests/process.h"

#define RsCluster_MAX_DOMAINS 3
#define RsCluster_MAX_ENTRIES 9
#define RsCluster_MAX_TARGETS 10
#define RsCluster_SLOTS 2 /* of each target */
#define RsCluster_KEYED "listas"
#define RsCluster_FILES "guias"
#define RsCluster_SERVED_WITHIN_MS 2000 /* after a loss */
#define RsCluster_LEFT_WITHIN_MS 5000   /* the brief's "few seconds" */
#define RsCluster_IN_FORCE_WITHIN_MS 5000

struct rs_cluster_options {
    uint32_t domains;
    uint32_t entries;         /* of each domain */
    uint32_t targets;         /* keyed ones of each domain */
    bool ignores_fences;      /* the targets take no grants */
    bool has_links;           /* between domains and towards the platform */
    bool has_files;           /* one target of files, in the first domain */
    uint32_t service_time_us; /* 0: 3 ms */
    uint32_t cold_ms;         /* of the targets and in the service's object */
};

struct rs_cluster_entry {
    struct rs_process process;
    uint32_t domain;
    uint16_t callers_port;
    uint16_t admin_port;
    uint16_t control_port;
    uint16_t relay_port;
    bool is_offered; /* by the platform's balancer */
};

struct rs_cluster_target {
    struct rs_process process;
    uint32_t domain;
    uint16_t port;
    bool has_files;
    char start_id[64];  /* of the start whose record was read last */
    int64_t last_event; /* that was read from that start */
};

/* An event of a target's record. */
struct rs_cluster_event {
    struct rs_judge_event event; /* with interned texts */
    const char *holder;
};

struct rs_cluster {
    struct rs_cluster_options options;
    char *folder;
    struct rs_process platform;
    struct rs_process link;
    uint16_t platform_port;
    uint16_t link_port;
    uint16_t platform_link_ports[RsCluster_MAX_DOMAINS];
    uint16_t next_port;
    struct rs_cluster_entry entries[RsCluster_MAX_ENTRIES];
    uint32_t entry_count;
    struct rs_cluster_target targets[RsCluster_MAX_TARGETS];
    uint32_t target_count;
    uint64_t next_ticket;
    GMutex mutex;        /* guards what follows */
    GPtrArray *events;   /* struct rs_cluster_event */
    GPtrArray *requests; /* struct rs_caller_request */
    bool is_partial;     /* a target was lost with a part of its record */
    GThread *reader;     /* reads the records, since a loss takes them away */
    gint reader_ends;
};

/* From start to end. Nothing is left running after the end. */
struct rs_cluster *RsCluster_New(const struct rs_cluster_options *options);
bool RsCluster_Start(struct rs_cluster *cluster);
void RsCluster_Free(struct rs_cluster *cluster, bool keep_logs);

/* Processes */
void RsCluster_KillTarget(struct rs_cluster *cluster,
                          struct rs_cluster_target *target);
void RsCluster_KillEntry(struct rs_cluster_entry *entry);
void RsCluster_RestartEntry(struct rs_cluster_entry *entry);
bool RsCluster_WaitApplied(const struct rs_cluster_entry *entry,
                           uint64_t ticket, int64_t within_ms);

/* HTTP to the stand-ins and the operators' API; the status is 0 when there
 * was no answer. */
int RsCluster_Call(uint16_t port, const char *method, const char *path,
                   const char *body, json_t **answer);
void RsCluster_Switch(uint16_t port, const char *body);

/* Tickets */
char *RsCluster_DomainTicket(struct rs_cluster *cluster, uint32_t domain,
                             const char *state);
int RsCluster_Submit(const struct rs_cluster_entry *entry, const char *ticket);
bool RsCluster_WaitInForce(struct rs_cluster *cluster, uint64_t ticket,
                           int64_t within_ms);

/* Who has a key, by the newest event of the targets' records. */
struct rs_cluster_target *RsCluster_TargetOf(struct rs_cluster *cluster,
                                             const char *key);
struct rs_cluster_entry *RsCluster_HolderOf(struct rs_cluster *cluster,
                                            const char *key);
uint32_t RsCluster_DomainOf(const char *name);
void RsCluster_SleepMs(int64_t duration_ms);

#endif
