/* A small deployment of real processes on loopback: entry processes, stand-ins
 * for the platform and the targets, and optionally a stand-in for the network
 * between the failure domains and towards the platform. */

#ifndef RATTANSHED_TESTS_CLUSTER_H
#define RATTANSHED_TESTS_CLUSTER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "standin/checker.h"
#include "tests/process.h"

#define RsCluster_MAX_DOMAINS 3
#define RsCluster_MAX_ENTRIES 9
#define RsCluster_MAX_TARGETS 10
/* Number of requests that a target runs at a time. */
#define RsCluster_SLOTS_PER_TARGET 2
#define RsCluster_KEYED_SERVICE "listas"
#define RsCluster_FILE_SERVICE "guias"
/* A key must be served again within this time after a loss. */
#define RsCluster_SERVED_WITHIN_MS 2000
/* A target that is taken out of service, alone or with its domain, must start
 * no request later than this, which stands for "a few seconds". tickets_test.c
 * counts from before the change is submitted, cuts_test.c from when the ticket
 * is in force. */
#define RsCluster_DRAINED_WITHIN_MS 5000
/* A ticket must be in force in all entry processes within this time. Tests
 * count from when they begin to wait for it. */
#define RsCluster_IN_FORCE_WITHIN_MS 5000

struct rs_cluster_options {
    uint32_t domains;
    uint32_t entries; /* entry processes in each domain */
    uint32_t targets; /* targets of the keyed service in each domain */
    /* The targets don't check fences and take no grants. */
    bool ignores_fences;
    /* Connections of entry processes to those of other domains and to the
     * platform go through the network stand-in, which can cut them;
     * connections to targets don't. */
    bool has_links;
    bool has_files;           /* one target of files, in the first domain */
    uint32_t service_time_us; /* 0: 3 ms */
    /* Warm-up time of the targets, also given in the services' objects. */
    uint32_t cold_ms;
};

struct rs_cluster_entry {
    struct rs_process process;
    uint32_t domain;
    uint16_t callers_port;
    uint16_t admin_port;
    uint16_t control_port;
    uint16_t relay_port;
    /* Streams send requests here, as the platform's load balancer would. */
    bool in_rotation;
};

struct rs_cluster_target {
    struct rs_process process;
    uint32_t domain;
    uint16_t port;
    bool has_files;
    /* The start id in the record page that was read last, and the number of
     * the last event that was read. A restarted target has a new start id. */
    char start_id[64];
    int64_t last_event_number;
};

/* A request that a target ran, from its record. */
struct rs_cluster_event {
    struct rs_checker_event event; /* its strings are interned */
    const char *holder;            /* entry process that sent it; interned */
};

struct rs_cluster {
    struct rs_cluster_options options;
    char *folder;
    struct rs_process platform;
    struct rs_process link;
    uint16_t platform_port;
    uint16_t link_port;
    /* The network stand-in's ports for the platform, by domain. */
    uint16_t platform_link_ports[RsCluster_MAX_DOMAINS];
    uint16_t next_port;
    struct rs_cluster_entry entries[RsCluster_MAX_ENTRIES];
    uint32_t entry_count;
    struct rs_cluster_target targets[RsCluster_MAX_TARGETS];
    uint32_t target_count;
    uint64_t next_ticket;
    /* Guards `events`, `requests`, and each target's `start_id` and
     * `last_event_number`. */
    GMutex mutex;
    GPtrArray *events;   /* struct rs_cluster_event */
    GPtrArray *requests; /* struct rs_caller_request */
    /* Events may be missing: a target was killed, or its record couldn't be
     * read at the end. */
    bool records_incomplete;
    /* Polls the targets' records, because a killed target's record is lost. */
    GThread *reader;
    gint reader_must_stop; /* atomic */
};

/* Lifecycle. RsCluster_Free() ends every process that was started. */
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

/* HTTP calls to the stand-ins and to the operators' API */
int RsCluster_Call(uint16_t port, const char *method, const char *path,
                   const char *body, json_t **answer);
void RsCluster_SetFaults(uint16_t port, const char *body);

/* Tickets */
char *RsCluster_MakeDomainTicket(struct rs_cluster *cluster, uint32_t domain,
                                 const char *state);
int RsCluster_Submit(const struct rs_cluster_entry *entry, const char *ticket);
bool RsCluster_WaitInForce(struct rs_cluster *cluster, uint64_t ticket,
                           int64_t within_ms);

/* The target and the entry process of the last request that took effect on a
 * key, according to the events read so far */
struct rs_cluster_target *RsCluster_FindTarget(struct rs_cluster *cluster,
                                               const char *key);
struct rs_cluster_entry *RsCluster_FindHolder(struct rs_cluster *cluster,
                                              const char *key);

/* Utilities */
uint32_t RsCluster_ParseDomain(const char *name);
void RsCluster_SleepMs(int64_t duration_ms);

#endif
