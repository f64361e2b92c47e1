#include "router/granter.h"

#include <assert.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/log.h"

/* The lease expires when it has not been renewed for this long. Keys must be
 * served again within a few seconds of a loss, and the grants of the lost
 * granter outlast the change (HOLD_MS). */
#define LEASE_MS 2000
/* The clocks of two nodes drift apart by less than this within LEASE_MS. */
#define LEASE_MARGIN_MS 100
/* Allows three tries within a lease. */
#define RENEW_LEASE_EVERY_MS 650
/* Changes of the maps are committed at the earliest this long after the
 * previous commit was sent, so that several share one commit. Also the pause
 * after a version conflict. */
#define COMMIT_BATCH_MS 20
/* Pause after a commit that failed without a version conflict; allows several
 * retries within a lease. */
#define COMMIT_RETRY_MS 200
/* How long after the commit of a move the former owner is asked to release the
 * keys. By then the other nodes should know the new owner and send the former
 * one no more requests. */
#define RELEASE_DELAY_MS 40
/* Without a confirmed commit for this long, no owners are changed, and grants
 * last as long as targets accept, so that they outlast an outage of the
 * store. */
#define STORE_OUTAGE_MS 1100
/* Duration of a grant while the store confirms commits. If the granter is
 * lost, the grant lasts until the lease has expired and the next granter has
 * sent its first grants, even if the renewal of the grant was due. */
#define HOLD_MS 3800
#define RENEW_GRANT_EVERY_MS 900
#define ORDER_RETRY_MS 300
/* By how much at most the clock of a target runs slow, which makes holds
 * longer. */
#define CLOCK_DRIFT_PERCENT 2
#define HOLD_MARGIN_MS 150 /* added to the end of a hold */
/* A grant without an answer may arrive up to this long after it was given up,
 * or after its granter gave up the lease. Resetting its connection doesn't
 * recall packets that the network holds or repeats. */
#define GRANT_DELAY_MS 3500
/* A granter that resigns may still send an order that waits for the target's
 * readiness. */
#define LAST_ORDER_MS 500
/* A granter whose last confirmed commit is older than this doesn't go on after
 * the store went back. A granter that followed it may have given keys to other
 * targets without the word of their owners, once it had waited for the longest
 * hold (10 s). */
#define RESUME_WITHIN_MS 9000
/* After the store went back, the granter may still have the maps in memory.
 * Other nodes leave it this time, from when they find no lease, to renew its
 * own; it tries every COMMIT_RETRY_MS. */
#define HEAD_START_MS 700
/* Fences of an era have the era in their high bits. */
#define FENCE_NUMBER_BITS 32
/* Fences that a commit reserves for renewals under a new fence; the map is
 * committed again when half of them are used. */
#define RESERVED_FENCES 4096
/* More fences than an era has used when a map is begun anew and the former
 * granter has not stated its next fence, as versions before that field. */
#define UNSTATED_FENCES ((uint64_t)1 << 28)
/* Nodes on strong VMs should get the lease, since the granter sends messages
 * to all other nodes. A weak node delays its claim by up to this long. The
 * delay exceeds the heartbeat interval (200 ms), because nodes learn of the
 * last renewal up to one heartbeat apart. */
#define MAX_CLAIM_DELAY_MS 350
/* A granter yields the lease when there is a node at least YIELD_FACTOR times
 * as strong, at the earliest YIELD_AFTER_MS after its own election. It yields
 * at most once in MIN_YIELD_INTERVAL_MS, because no keys can be moved during a
 * change of granter and the stronger node may be unable to reach the store. */
#define YIELD_FACTOR 2
#define YIELD_AFTER_MS 2000
#define MIN_YIELD_INTERVAL_MS 20000
/* Nodes of equal strength claim at times spread over this span, so that most
 * of them see the first claim and don't make their own. */
#define CLAIM_SPREAD_MS 60
/* Read interval of a node without a current upstream node, which would tell it
 * of renewals. Allows a few reads within a lease. */
#define LEASE_READ_EVERY_MS 500
/* A node claims the lease only if it has read the row this recently. */
#define MAX_LEASE_READ_AGE_MS 700
/* The lease row is read this long before a claim. */
#define READ_BEFORE_CLAIM_MS 30
/* Assumed as the highest strength when none is known: one core. */
#define ONE_CORE_STRENGTH 1000
/* With this much bandwidth per core, CPU and link of a granter reach their
 * limits together, at about 250 nodes. */
#define LINK_MBPS_PER_CORE 200

/* Initializes a granter that has not read the lease row yet. Copies the
 * options, but not what they point to. */
void
RsGranter_Init(struct rs_granter *granter,
               const struct rs_granter_options *options)
{
    *granter = (struct rs_granter){.options = *options};
}

/* Returns the strength of a VM in thousandths of a core, at least 1.
 * `cpu_share` is in cores; a slow link limits the result. */
uint32_t
RsGranter_Strength(double cpu_share, double link_mbps)
{
    double cores = MIN(cpu_share, link_mbps / LINK_MBPS_PER_CORE);
    return (uint32_t)MAX(cores * ONE_CORE_STRENGTH, 1.0);
}

/* Returns how long this node waits before it claims a lease that is free or
 * has expired. */
static int64_t
claim_delay_ms(const struct rs_granter *granter)
{
    uint32_t strongest = granter->holder.strongest;
    strongest = strongest > 0 ? strongest : ONE_CORE_STRENGTH;
    double share =
        MIN((double)granter->options.strength / (double)strongest, 1.0);
    int64_t spread_ms =
        (int64_t)(granter->options.incarnation % CLAIM_SPREAD_MS);
    return (int64_t)((1 - share) * MAX_CLAIM_DELAY_MS) + spread_ms;
}

/* Returns whether this node may send orders now. */
bool
RsGranter_HasAuthority(const struct rs_granter *granter, int64_t now_ms)
{
    return granter->phase == RsGranter_LEADING && !granter->resigning &&
           now_ms < granter->authority_until_ms;
}

/* Returns whether this node may change owners now: it has authority, and the
 * store has confirmed a commit recently. */
bool
RsGranter_MayPlan(const struct rs_granter *granter, int64_t now_ms)
{
    return RsGranter_HasAuthority(granter, now_ms) &&
           now_ms - granter->confirmed_at_ms < STORE_OUTAGE_MS;
}

/* Returns the number that stands for an era in the keys of rows. It falls with
 * the era, so that the rows of the present era are read first. */
static uint32_t
era_in_key(uint32_t era)
{
    return RsStore_MAX_ERA - era;
}

/* Returns the key of the lease row of an era; the caller frees it with
 * g_free(). */
char *
RsGranter_LeaseKey(uint32_t era)
{
    return g_strdup_printf(RsGranter_LEASE_PREFIX "%05" PRIu32,
                           era_in_key(era));
}

/* Returns the key of the row of a service's map in an era; the caller frees it
 * with g_free(). */
char *
RsGranter_MapKey(uint32_t era, const char *service)
{
    return g_strdup_printf(RsGranter_MAP_PREFIX "%05" PRIu32 "/%s",
                           era_in_key(era), service);
}

/* Parses the key of a row of a map. Returns false for keys of another form.
 * `*service` is interned. */
bool
RsGranter_ParseMapKey(const char *key, uint32_t *era, const char **service)
{
    if (!g_str_has_prefix(key, RsGranter_MAP_PREFIX)) {
        return false;
    }
    char *end = NULL;
    const char *digits = key + strlen(RsGranter_MAP_PREFIX);
    unsigned long number = strtoul(digits, &end, 10);
    if (!g_ascii_isdigit(digits[0]) || *end != '/' || end[1] == '\0' ||
        number > RsStore_MAX_ERA) {
        return false;
    }
    *era = RsStore_MAX_ERA - (uint32_t)number;
    *service = g_intern_string(end + 1);
    return true;
}

/* Returns the lowest fence of an era. */
static uint64_t
first_fence(uint32_t era)
{
    return ((uint64_t)era << FENCE_NUMBER_BITS) + 1;
}

/* Records the fences of a map that this node knows. */
void
RsGranter_RecordFences(struct rs_granter *granter, const struct rs_keymap *map)
{
    granter->next_fence = MAX(granter->next_fence, map->next_fence);
}

/* Decodes the key map in a row. Returns NULL for rows of another kind and,
 * after logging it, for malformed maps. The caller owns the map. */
struct rs_keymap *
RsGranter_DecodeRow(const char *key, const char *value, uint64_t version)
{
    const char *service = NULL;
    uint32_t era = 0;
    if (!RsGranter_ParseMapKey(key, &era, &service)) {
        return NULL;
    }
    struct rs_keymap *map = RsKeymap_Decode(service, value);
    if (map == NULL) {
        RsLog_EVENT(RsLog_ERROR, "keymap_malformed",
                    RsLog_TEXT("service", service),
                    RsLog_NUMBER("era", RsStore_Era(version)),
                    RsLog_NUMBER("row_version", RsStore_Number(version)));
    }
    return map;
}

/* Returns the map of a service, whose name must be interned, or NULL if none
 * was loaded or added. */
struct rs_granter_map *
RsGranter_FindMap(struct rs_granter *granter, const char *service)
{
    for (size_t i = 0; i < granter->map_count; i++) {
        if (granter->maps[i].map->service == service) {
            return &granter->maps[i];
        }
    }
    return NULL;
}

/* Marks a range as unproven, and as blocked if `blocked` is set. */
static void
mark_unproven(struct rs_key_range *range, bool blocked)
{
    range->unproven = true;
    range->orders.blocked |= blocked;
}

/* Adds a map without owners, whose row has this version. Returns NULL when
 * there are RsGranter_MAX_MAPS already. */
static struct rs_granter_map *
begin_map(struct rs_granter *granter, const char *service,
          uint64_t row_version)
{
    uint64_t fence = MAX(first_fence(granter->era), granter->next_fence);
    if (granter->map_count == RsGranter_MAX_MAPS) {
        return NULL;
    }
    struct rs_granter_map *entry = &granter->maps[granter->map_count++];
    *entry = (struct rs_granter_map){
        .map = RsKeymap_New(service),
        .row_version = row_version,
        .committed_fence = fence,
    };
    entry->map->next_fence = fence;
    return entry;
}

/* Adds a map without owners for a service that has no row yet; the name must
 * be interned. Returns NULL when there are RsGranter_MAX_MAPS already. */
struct rs_granter_map *
RsGranter_AddMap(struct rs_granter *granter, const char *service)
{
    struct rs_granter_map *entry = begin_map(
        granter, service, RsStore_Version(granter->era, RsStore_ABSENT));
    if (entry != NULL && granter->restored) {
        /* The copy may be older than the map. */
        mark_unproven(RsKeymap_GetRange(entry->map, 0), true);
    }
    return entry;
}

static void
drop_maps(struct rs_granter *granter)
{
    for (size_t i = 0; i < granter->map_count; i++) {
        RsKeymap_Free(granter->maps[i].map);
    }
    granter->map_count = 0;
}

/* Returns the longest time for which a target may hold keys after it got a
 * grant of `hold_ms`, given a slow clock and the time on the wire. */
static int64_t
max_hold_at_target_ms(uint32_t hold_ms)
{
    return hold_ms + (int64_t)hold_ms * CLOCK_DRIFT_PERCENT / 100 +
           HOLD_MARGIN_MS;
}

/* Ends this node's role as granter or its claim, and drops the maps. A node
 * that yielded may claim the lease again. */
static void
step_down(struct rs_granter *granter, const char *reason)
{
    if (granter->phase != RsGranter_OBSERVING) {
        RsLog_EVENT(RsLog_WARNING, "granter_stopped",
                    RsLog_TEXT("reason", reason),
                    RsLog_NUMBER("era", RsStore_Era(granter->lease_version)),
                    RsLog_NUMBER("lease_version",
                                 RsStore_Number(granter->lease_version)));
    }
    granter->phase = RsGranter_OBSERVING;
    granter->authority_until_ms = 0;
    granter->resigning = granter->resigning && !granter->yielding;
    granter->yielding = false;
    drop_maps(granter);
}

/* Adds a service to a list without it. Does nothing if `service` is NULL or
 * the list is full. */
static void
add_service(const char *list[RsGranter_MAX_MAPS], size_t *count,
            const char *service)
{
    const char *interned = g_intern_string(service);
    for (size_t i = 0; i < *count; i++) {
        if (list[i] == interned) {
            return;
        }
    }
    if (interned != NULL && *count < RsGranter_MAX_MAPS) {
        list[(*count)++] = interned;
    }
}

/* Keeps what a lease row states of fences and maps. */
static void
record_stated(struct rs_granter *granter, const struct rs_granter_lease *lease)
{
    granter->next_fence = MAX(granter->next_fence, lease->next_fence);
    for (size_t i = 0; i < lease->service_count; i++) {
        add_service(granter->services, &granter->service_count,
                    lease->services[i]);
    }
}

/* Decodes the lease row. A malformed row is treated as the lease of an unknown
 * node, which expires like any other. */
static struct rs_granter_lease
decode_lease(const char *value)
{
    struct rs_granter_lease lease = {0};
    json_t *body = json_loads(value, 0, NULL);
    const char *node = json_string_value(json_object_get(body, "node"));
    const char *host = json_string_value(json_object_get(body, "peer_host"));
    const char *incarnation =
        json_string_value(json_object_get(body, "incarnation"));
    json_int_t next_fence =
        json_integer_value(json_object_get(body, "next_fence"));
    if (node == NULL) {
        RsLog_EVENT(RsLog_ERROR, "lease_malformed");
    }
    snprintf(lease.node, sizeof(lease.node), "%s", node != NULL ? node : "?");
    snprintf(lease.peer_host, sizeof(lease.peer_host), "%s",
             host != NULL ? host : "");
    lease.peer_port =
        (uint32_t)json_integer_value(json_object_get(body, "peer_port"));
    lease.nodes = (uint32_t)json_integer_value(json_object_get(body, "nodes"));
    lease.strongest =
        (uint32_t)json_integer_value(json_object_get(body, "strongest"));
    lease.next_fence = next_fence > 0 ? (uint64_t)next_fence : 0;
    const json_t *services = json_object_get(body, "services");
    for (size_t i = 0; i < json_array_size(services); i++) {
        add_service(lease.services, &lease.service_count,
                    json_string_value(json_array_get(services, i)));
    }
    if (incarnation != NULL) {
        lease.incarnation = strtoull(incarnation, NULL, 16);
    }
    json_decref(body);
    return lease;
}

/* Returns the services whose maps have rows once the commit is confirmed that
 * is being made, as a JSON array. */
static json_t *
encode_services(const struct rs_granter *granter)
{
    const char *services[RsGranter_MAX_MAPS];
    size_t count = granter->service_count;
    memcpy(services, granter->services, sizeof(services));
    for (size_t i = 0; i < granter->map_count; i++) {
        if (granter->maps[i].in_commit) {
            add_service(services, &count, granter->maps[i].map->service);
        }
    }
    json_t *array = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(array, json_string(services[i]));
    }
    return array;
}

/* Returns the value of the lease row, which the caller frees with g_free(). */
static char *
encode_lease(const struct rs_granter *granter)
{
    const struct rs_granter_options *options = &granter->options;
    char incarnation[20];
    snprintf(incarnation, sizeof(incarnation), "%" PRIx64,
             options->incarnation);
    json_t *body = json_pack(
        "{s:s,s:s,s:I,s:s,s:I,s:I,s:I,s:o}", "node",
        granter->resigning ? "" : options->node, "peer_host",
        options->peer_host, "peer_port", (json_int_t)options->peer_port,
        "incarnation", incarnation, "nodes", (json_int_t)granter->nodes,
        "strongest", (json_int_t)MAX(granter->strongest, options->strength),
        "next_fence", (json_int_t)granter->next_fence, "services",
        encode_services(granter));
    char *text = json_dumps(body, JSON_COMPACT);
    assert(text != NULL); /* settings are valid UTF-8 */
    char *copy = g_strdup(text);
    free(text);
    json_decref(body);
    return copy;
}

/* Adopts a newer state of the lease, and steps down if another process holds
 * it, unless a commit is in flight. `source` tells in the log where the state
 * came from. */
static void
update_holder(struct rs_granter *granter, const struct rs_granter_lease *lease,
              uint64_t version, const char *source, int64_t now_ms)
{
    if (strcmp(lease->node, granter->holder.node) != 0 ||
        lease->incarnation != granter->holder.incarnation) {
        RsLog_EVENT(RsLog_INFO, "granter_seen",
                    RsLog_TEXT("node", lease->node),
                    RsLog_TEXT("source", source),
                    RsLog_NUMBER("era", RsStore_Era(version)),
                    RsLog_NUMBER("lease_version", RsStore_Number(version)));
    }
    granter->lease_known = true;
    granter->lease_version = version;
    granter->lease_seen_at_ms = now_ms;
    granter->holder = *lease;
    granter->lease_lost = false;
    record_stated(granter, lease);
    if (lease->incarnation != granter->options.incarnation &&
        !granter->commit_in_flight) {
        step_down(granter, "another node holds the lease");
    }
}

/* Sets the times from which owners can be proven and former grants have
 * lapsed, given that the store went back before `now_ms`. */
static void
set_proof_times(struct rs_granter *granter, int64_t now_ms)
{
    granter->proof_from_ms = now_ms + LEASE_MS + LEASE_MARGIN_MS;
    granter->lapsed_from_ms =
        now_ms + LEASE_MS +
        max_hold_at_target_ms(granter->options.max_hold_ms);
}

/* Records that the store has gone back to a copy. */
static void
record_restore(struct rs_granter *granter, int64_t now_ms)
{
    granter->restored = true;
    set_proof_times(granter, now_ms);
}

/* Records what the lease row states whose version is known already, but maybe
 * from a peer, which doesn't tell that. */
static void
read_known_lease(struct rs_granter *granter, uint64_t version,
                 const char *value)
{
    if (version != granter->lease_version || granter->holder.next_fence > 0 ||
        RsStore_Number(version) == RsStore_ABSENT) {
        return;
    }
    const struct rs_granter_lease lease = decode_lease(value);
    granter->holder.next_fence = lease.next_fence;
    record_stated(granter, &lease);
}

/* Handles the lease row as read from the store; a version with the number
 * RsStore_ABSENT means that the present era has no row. If the version is not
 * newer than the known one, only the time of the read is recorded. */
void
RsGranter_LeaseRead(struct rs_granter *granter, uint64_t version,
                    const char *value, int64_t now_ms)
{
    granter->lease_read_at_ms = now_ms;
    if (granter->lease_known && version <= granter->lease_version) {
        read_known_lease(granter, version, value);
        return;
    }
    if (RsStore_Number(version) == RsStore_ABSENT) {
        if (!granter->restored && granter->era > 0 &&
            !granter->options.bootstrap) {
            /* The copy is older than the first lease. */
            record_restore(granter, now_ms);
        }
        granter->lease_known = true;
        granter->lease_version = version;
        granter->lease_seen_at_ms = now_ms;
        return;
    }
    struct rs_granter_lease lease = decode_lease(value);
    update_holder(granter, &lease, version, "store", now_ms);
}

/* Handles the lease row of a former era, when the present one has none. This
 * node may have started after the store had gone back. The holder is the node
 * that most likely delivers current data. */
static void
read_former_lease(struct rs_granter *granter, const char *value,
                  int64_t now_ms)
{
    if (!granter->restored) {
        record_restore(granter, now_ms);
    }
    const struct rs_granter_lease lease = decode_lease(value);
    record_stated(granter, &lease);
    if (granter->holder.node[0] == '\0') {
        granter->holder = lease;
    }
}

/* Returns whether this is the version of a lease row that was written. A
 * granter that goes on in a new era has not written the row of that era at
 * first. */
static bool
is_written(uint64_t version)
{
    return RsStore_Number(version) != RsStore_ABSENT;
}

/* Records that the lease row is gone, which no node deletes. Its holder may
 * have authority yet. */
static void
record_lost_lease(struct rs_granter *granter, int64_t now_ms)
{
    RsLog_EVENT(
        RsLog_ERROR, "lease_lost", RsLog_TEXT("node", granter->holder.node),
        RsLog_NUMBER("era", RsStore_Era(granter->lease_version)),
        RsLog_NUMBER("lease_version", RsStore_Number(granter->lease_version)));
    granter->lease_lost = true;
    granter->lease_version =
        RsStore_Version(RsStore_Era(granter->lease_version), RsStore_ABSENT);
    granter->lease_seen_at_ms = now_ms;
}

/* Handles the lease rows as read from the store, in the order of their keys;
 * the row of the latest era comes first. Returns whether the era of the store
 * that answered has a lease row. */
bool
RsGranter_LeaseRowsRead(struct rs_granter *granter,
                        const struct rs_store_rows *rows, int64_t now_ms)
{
    uint32_t era = RsStore_Era(rows->version);
    const struct rs_store_row *row = rows->count > 0 ? &rows->rows[0] : NULL;
    char *key = RsGranter_LeaseKey(era);
    bool has_row = row != NULL && strcmp(row->key, key) == 0;
    g_free(key);
    if (has_row) {
        RsGranter_LeaseRead(granter, row->version, row->value, now_ms);
        return true;
    }
    if (row != NULL) {
        read_former_lease(granter, row->value, now_ms);
    }
    if (is_written(granter->lease_version) &&
        RsStore_Era(granter->lease_version) == era &&
        rows->version > granter->lease_version) {
        record_lost_lease(granter, now_ms);
    }
    RsGranter_LeaseRead(granter, RsStore_Version(era, RsStore_ABSENT), "",
                        now_ms);
    return false;
}

/* Handles a lease that a peer has sent. It is ignored unless it is newer than
 * the known one and this node is neither the granter nor claiming the lease. A
 * claim is still conditional on the version of the row in the store, so a
 * wrong lease only costs time. */
void
RsGranter_LeaseLearned(struct rs_granter *granter,
                       const struct rs_granter_lease *lease, uint64_t version,
                       int64_t now_ms)
{
    if (granter->phase == RsGranter_OBSERVING && !granter->commit_in_flight &&
        is_written(version) && version > granter->lease_version) {
        update_holder(granter, lease, version, "peer", now_ms);
    }
}

/* Records that the known holder has renewed its lease, as a peer reports.
 * Does nothing if this node is the granter or is claiming the lease, if
 * `incarnation` is not that of the known holder, or if `version` is not
 * newer. */
void
RsGranter_LeaseRenewed(struct rs_granter *granter, uint64_t incarnation,
                       uint64_t version, int64_t now_ms)
{
    if (granter->phase == RsGranter_OBSERVING &&
        incarnation == granter->holder.incarnation && is_written(version) &&
        version > granter->lease_version) {
        granter->lease_version = version;
        granter->lease_seen_at_ms = now_ms;
    }
}

/* Returns whether the holder is an earlier process of this node. That process
 * must have ended, since otherwise this one could not have opened the same
 * port. */
static bool
is_held_by_earlier_process(const struct rs_granter *granter)
{
    const struct rs_granter_lease *holder = &granter->holder;
    const struct rs_granter_options *own = &granter->options;
    return strcmp(holder->node, own->node) == 0 &&
           strcmp(holder->peer_host, own->peer_host) == 0 &&
           holder->peer_port == own->peer_port &&
           holder->incarnation != own->incarnation;
}

/* Returns the earliest time at which this node may claim the lease, by what it
 * knows now. */
static int64_t
earliest_claim_at_ms(const struct rs_granter *granter)
{
    bool has_row = RsStore_Number(granter->lease_version) != RsStore_ABSENT;
    if (!has_row && granter->restored) {
        return MAX(granter->proof_from_ms,
                   granter->lease_seen_at_ms + HEAD_START_MS) +
               claim_delay_ms(granter);
    }
    if (is_held_by_earlier_process(granter)) {
        return granter->lease_seen_at_ms;
    }
    bool is_free =
        !granter->lease_lost && (!has_row || granter->holder.node[0] == '\0');
    return granter->lease_seen_at_ms + claim_delay_ms(granter) +
           (is_free ? 0 : LEASE_MS + LEASE_MARGIN_MS);
}

/* Returns whether the lease row should be read now. `last_read_at_ms` is
 * the time of the last read, 0 for none. A read is due at once if there was
 * none yet. After that, a node whose upstream node delivers current data
 * (`upstream_current`) learns of renewals from that node, and reads a known
 * lease only once more, READ_BEFORE_CLAIM_MS before it may claim the lease.
 * Other nodes also read the row every LEASE_READ_EVERY_MS. */
bool
RsGranter_LeaseReadIsDue(const struct rs_granter *granter,
                         int64_t last_read_at_ms, bool upstream_current,
                         int64_t now_ms)
{
    int64_t read_due_at_ms =
        earliest_claim_at_ms(granter) - READ_BEFORE_CLAIM_MS;
    return last_read_at_ms == 0 ||
           (!upstream_current &&
            now_ms - last_read_at_ms >= LEASE_READ_EVERY_MS) ||
           (granter->lease_known && now_ms >= read_due_at_ms &&
            last_read_at_ms < read_due_at_ms);
}

/* Returns a fence above all that this node knows of. */
static uint64_t
highest_next_fence(const struct rs_granter *granter)
{
    uint64_t next_fence = granter->next_fence;
    for (size_t i = 0; i < granter->map_count; i++) {
        const struct rs_keymap *map = granter->maps[i].map;
        next_fence =
            MAX(next_fence, MAX(map->next_fence, map->reserved_fence));
    }
    return next_fence;
}

/* Sends a commit that writes the lease row and, on the granter, all changed
 * maps. It is conditional on the known versions of these rows. */
static void
send_commit(struct rs_granter *granter, int64_t now_ms)
{
    struct rs_store_condition conditions[1 + RsGranter_MAX_MAPS];
    struct rs_store_write writes[1 + RsGranter_MAX_MAPS];
    char *texts[2 * (1 + RsGranter_MAX_MAPS)];
    size_t count = 0;
    size_t text_count = 0;
    for (size_t i = 0; i < granter->map_count; i++) {
        struct rs_granter_map *entry = &granter->maps[i];
        entry->in_commit = entry->dirty && granter->phase == RsGranter_LEADING;
        if (entry->in_commit) {
            entry->map->reserved_fence =
                entry->map->next_fence + RESERVED_FENCES;
        }
    }
    granter->next_fence = highest_next_fence(granter);
    char *lease = encode_lease(granter);
    char *lease_key = RsGranter_LeaseKey(granter->era);
    texts[text_count++] = lease;
    texts[text_count++] = lease_key;
    conditions[count] = (struct rs_store_condition){
        RsGranter_LEASE_TABLE, lease_key, granter->lease_version};
    writes[count++] = (struct rs_store_write){RsGranter_LEASE_TABLE, lease_key,
                                              lease, strlen(lease)};
    for (size_t i = 0; i < granter->map_count; i++) {
        struct rs_granter_map *entry = &granter->maps[i];
        if (!entry->in_commit) {
            continue;
        }
        char *key = RsGranter_MapKey(granter->era, entry->map->service);
        char *value = RsKeymap_Encode(entry->map);
        entry->in_commit_fence = entry->map->next_fence;
        entry->dirty = false;
        texts[text_count++] = key;
        texts[text_count++] = value;
        conditions[count] = (struct rs_store_condition){
            RsGranter_MAP_TABLE, key, entry->row_version};
        writes[count++] = (struct rs_store_write){RsGranter_MAP_TABLE, key,
                                                  value, strlen(value)};
    }
    const struct rs_store_commit commit = {conditions, count, writes, count};
    granter->commit_in_flight = true;
    granter->resign_in_commit = granter->resigning;
    granter->commit_sent_at_ms = now_ms;
    granter->next_commit_at_ms = now_ms + RENEW_LEASE_EVERY_MS;
    granter->options.actions->commit(granter->options.arg, &commit);
    for (size_t i = 0; i < text_count; i++) {
        g_free(texts[i]);
    }
}

/* Delays the release orders for ranges whose move was not committed before the
 * commit that is now confirmed, see RELEASE_DELAY_MS. */
static void
delay_releases(struct rs_granter_map *entry, int64_t now_ms)
{
    for (size_t i = 0; i < entry->map->ranges->len; i++) {
        struct rs_key_range *range = RsKeymap_GetRange(entry->map, i);
        if (range->former.id != NULL &&
            range->fence >= entry->committed_fence) {
            range->orders.next_release_at_ms = now_ms + RELEASE_DELAY_MS;
        }
    }
}

/* Extends the authority of this node after a confirmed commit, and marks the
 * maps in the commit as committed. If the commit was the claim of this node,
 * starts to load the maps. */
static void
apply_confirmed_commit(struct rs_granter *granter, uint64_t version,
                       int64_t now_ms)
{
    granter->lease_version = version;
    granter->lease_seen_at_ms = now_ms;
    granter->lease_known = true;
    granter->lease_lost = false;
    granter->confirmed_at_ms = now_ms;
    granter->authority_until_ms =
        granter->commit_sent_at_ms + LEASE_MS - LEASE_MARGIN_MS;
    for (size_t i = 0; i < granter->map_count; i++) {
        struct rs_granter_map *entry = &granter->maps[i];
        if (entry->in_commit) {
            delay_releases(entry, now_ms);
            entry->row_version = version;
            entry->committed_fence = entry->in_commit_fence;
            entry->reserved_fence = entry->map->reserved_fence;
            entry->in_commit = false;
            add_service(granter->services, &granter->service_count,
                        entry->map->service);
        }
    }
    if (granter->phase == RsGranter_CLAIMING) {
        snprintf(granter->holder.node, sizeof(granter->holder.node), "%s",
                 granter->options.node);
        snprintf(granter->holder.peer_host, sizeof(granter->holder.peer_host),
                 "%s", granter->options.peer_host);
        granter->holder.peer_port = granter->options.peer_port;
        granter->holder.incarnation = granter->options.incarnation;
        granter->phase = RsGranter_LOADING;
        granter->elected_at_ms = now_ms;
        RsLog_EVENT(RsLog_INFO, "granter_elected",
                    RsLog_NUMBER("era", RsStore_Era(version)),
                    RsLog_NUMBER("lease_version", RsStore_Number(version)));
        granter->options.actions->load_maps(granter->options.arg);
    }
}

/* Returns the row that a commit found instead of the one that it knew, or NULL
 * if there is none. */
static const struct rs_store_row *
find_row(const struct rs_store_rows *rows, const char *table, const char *key)
{
    for (size_t i = 0; i < rows->count; i++) {
        const struct rs_store_row *row = &rows->rows[i];
        if (strcmp(row->table, table) == 0 && strcmp(row->key, key) == 0 &&
            !row->deleted) {
            return row;
        }
    }
    return NULL;
}

/* Adopts the version of the row of a map in the commit that was in conflict. A
 * row that is gone is written anew. */
static void
adopt_row_version(struct rs_granter *granter, struct rs_granter_map *entry,
                  const struct rs_store_rows *rows)
{
    char *key = RsGranter_MapKey(granter->era, entry->map->service);
    const struct rs_store_row *row = find_row(rows, RsGranter_MAP_TABLE, key);
    entry->row_version = row != NULL
                             ? row->version
                             : RsStore_Version(granter->era, RsStore_ABSENT);
    g_free(key);
}

/* Handles a version conflict. The cause may be an earlier commit of this node
 * whose response was lost: then this node still holds the lease, and the map
 * rows are as it wrote them, so their versions are adopted. Otherwise it steps
 * down, also if the lease row is gone and its authority has ended. */
static void
handle_conflict(struct rs_granter *granter, const struct rs_store_rows *rows,
                int64_t now_ms)
{
    char *key = RsGranter_LeaseKey(granter->era);
    const struct rs_store_row *lease =
        find_row(rows, RsGranter_LEASE_TABLE, key);
    g_free(key);
    if (lease != NULL) {
        RsGranter_LeaseRead(granter, lease->version, lease->value, now_ms);
    }
    if (granter->holder.incarnation != granter->options.incarnation ||
        granter->holder.node[0] == '\0') {
        step_down(granter, "another node holds the lease");
        return;
    }
    if (lease == NULL && granter->phase == RsGranter_LEADING &&
        !RsGranter_HasAuthority(granter, now_ms)) {
        step_down(granter, "the lease row is gone");
        return;
    }
    for (size_t i = 0; i < granter->map_count; i++) {
        if (granter->maps[i].in_commit) {
            adopt_row_version(granter, &granter->maps[i], rows);
        }
    }
}

/* Returns the pause after a claim that was neither confirmed nor in conflict.
 * The pause doubles with each further such claim, at most three times, and has
 * a part that differs between nodes. */
static int64_t
claim_backoff_ms(const struct rs_granter *granter)
{
    uint32_t doublings = MIN(granter->failed_claims, 3);
    return (COMMIT_RETRY_MS << doublings) +
           (int64_t)(granter->options.incarnation % COMMIT_RETRY_MS);
}

/* Handles the response to the commit in flight. After a confirmed commit,
 * `rows` has its version; after a conflict, `rows` has the current rows. */
void
RsGranter_CommitAnswered(struct rs_granter *granter,
                         enum rs_store_status status,
                         const struct rs_store_rows *rows, int64_t now_ms)
{
    granter->commit_in_flight = false;
    granter->last_commit_confirmed = status == RsStore_DONE;
    if (status == RsStore_DONE || status == RsStore_CONFLICT) {
        granter->failed_claims = 0;
    }
    if (status == RsStore_DONE && granter->resign_in_commit) {
        granter->lease_version = rows->version;
        granter->lease_seen_at_ms = now_ms;
        step_down(granter, "resigned");
        return;
    }
    if (status == RsStore_DONE) {
        apply_confirmed_commit(granter, rows->version, now_ms);
        return;
    }
    RsLog_EVENT(
        RsLog_WARNING, "granter_commit_failed",
        RsLog_TEXT("status", RsStore_StatusName(status)),
        RsLog_NUMBER("era", RsStore_Era(granter->lease_version)),
        RsLog_NUMBER("lease_version", RsStore_Number(granter->lease_version)));
    granter->next_commit_at_ms = now_ms + COMMIT_RETRY_MS;
    if (status == RsStore_CONFLICT) {
        granter->next_commit_at_ms = now_ms + COMMIT_BATCH_MS;
        handle_conflict(granter, rows, now_ms);
    }
    else if (granter->phase == RsGranter_CLAIMING) {
        step_down(granter, "no response to the lease claim");
        granter->next_commit_at_ms = now_ms + claim_backoff_ms(granter);
        granter->failed_claims++;
    }
    for (size_t i = 0; i < granter->map_count; i++) {
        struct rs_granter_map *entry = &granter->maps[i];
        entry->dirty = entry->dirty || entry->in_commit;
        entry->in_commit = false;
    }
}

/* Assumes that all owners and former owners in a loaded map are about to get
 * grants of the maximum duration, as the previous granter's orders are
 * unknown. So is which of their processes got the fences. */
static void
assume_max_holds(const struct rs_granter *granter, struct rs_keymap *map,
                 int64_t now_ms)
{
    int64_t until_ms = now_ms + LAST_ORDER_MS + GRANT_DELAY_MS +
                       max_hold_at_target_ms(granter->options.max_hold_ms);
    for (size_t i = 0; i < map->ranges->len; i++) {
        struct rs_range_orders *orders = &RsKeymap_GetRange(map, i)->orders;
        orders->hold_until_ms = until_ms;
        orders->former_hold_until_ms = until_ms;
        orders->fence_sent = true;
    }
}

/* Calls the `owner` action for each owner and former owner of a map. */
static void
report_owners(const struct rs_granter *granter, const struct rs_keymap *map)
{
    for (size_t i = 0; i < map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_GetRange(map, i);
        if (range->owner.id != NULL) {
            granter->options.actions->owner(granter->options.arg,
                                            &range->owner);
        }
        if (range->former.id != NULL) {
            granter->options.actions->owner(granter->options.arg,
                                            &range->former);
        }
    }
}

/* Marks all ranges of a map that is of a former era as unproven and blocked.
 */
static void
mark_map_unproven(struct rs_keymap *map)
{
    for (size_t i = 0; i < map->ranges->len; i++) {
        mark_unproven(RsKeymap_GetRange(map, i), true);
    }
}

/* Begins the map of a service anew whose row can't be read or is gone. Any
 * target may hold its keys under any fence that was given. There must be room
 * for one more map. */
static void
begin_lost_map(struct rs_granter *granter, const char *service,
               uint64_t row_version, int64_t now_ms)
{
    if (granter->holder.next_fence == 0) {
        granter->next_fence =
            MAX(granter->next_fence, first_fence(granter->era)) +
            UNSTATED_FENCES;
    }
    struct rs_granter_map *entry = begin_map(granter, service, row_version);
    mark_unproven(RsKeymap_GetRange(entry->map, 0), true);
    RsLog_EVENT(
        RsLog_ERROR, "keymap_begun_anew", RsLog_TEXT("service", service),
        RsLog_NUMBER("next_fence", entry->map->next_fence),
        RsLog_NUMBER("grants_in_ms", granter->lapsed_from_ms - now_ms));
}

/* Adds the map in a row of the present era or, if there is none, of the last
 * former one. Rows of later eras come first. */
static void
add_loaded_map(struct rs_granter *granter, const struct rs_store_row *row,
               int64_t now_ms)
{
    uint32_t era = 0;
    const char *service = NULL;
    if (!RsGranter_ParseMapKey(row->key, &era, &service) ||
        RsGranter_FindMap(granter, service) != NULL ||
        granter->map_count == RsGranter_MAX_MAPS) {
        return;
    }
    bool current = era == granter->era;
    uint64_t row_version =
        current ? row->version : RsStore_Version(granter->era, RsStore_ABSENT);
    struct rs_keymap *map =
        RsGranter_DecodeRow(row->key, row->value, row->version);
    if (map == NULL) {
        begin_lost_map(granter, service, row_version, now_ms);
        return;
    }
    RsGranter_RecordFences(granter, map);
    if (!current) {
        mark_map_unproven(map);
        map->next_fence = MAX(map->next_fence, first_fence(granter->era));
    }
    assume_max_holds(granter, map, now_ms);
    report_owners(granter, map);
    granter->maps[granter->map_count++] = (struct rs_granter_map){
        .map = map,
        .row_version = row_version,
        .committed_fence = map->next_fence,
        .dirty = current, /* reserves fences */
    };
}

/* Handles the key maps, which are read after the lease was claimed. From then
 * on this node is the granter; if the read failed, it steps down instead. Does
 * nothing if this node has stepped down meanwhile. */
void
RsGranter_MapsLoaded(struct rs_granter *granter, enum rs_store_status status,
                     const struct rs_store_rows *rows, int64_t now_ms)
{
    if (granter->phase != RsGranter_LOADING) {
        return;
    }
    if (status != RsStore_DONE) {
        step_down(granter, "could not read the key maps");
        return;
    }
    drop_maps(granter);
    if (!granter->restored) {
        /* The former granter may have marked ranges as unproven. */
        set_proof_times(granter, now_ms);
    }
    for (size_t i = 0; i < rows->count; i++) {
        add_loaded_map(granter, &rows->rows[i], now_ms);
    }
    for (size_t i = 0; i < granter->service_count; i++) {
        if (RsGranter_FindMap(granter, granter->services[i]) == NULL &&
            granter->map_count < RsGranter_MAX_MAPS) {
            begin_lost_map(granter, granter->services[i],
                           RsStore_Version(granter->era, RsStore_ABSENT),
                           now_ms);
        }
    }
    granter->phase = RsGranter_LEADING;
    RsLog_EVENT(RsLog_INFO, "granter_leads",
                RsLog_NUMBER("maps", granter->map_count));
}

/* Returns whether another target is listed at the address of an owner. That is
 * what a row says, which may be wrong, so the owner may still hold keys. */
static bool
is_replaced(const struct rs_granter *granter, const struct rs_owner *owner)
{
    const struct rs_fleet_target *target =
        RsFleet_Find(granter->options.fleet, owner->id);
    return target != NULL && target->replaced;
}

/* Returns whether the owner is an earlier process of a target that has
 * restarted. */
static bool
has_restarted(const struct rs_granter *granter, const struct rs_owner *owner)
{
    const struct rs_fleet_target *target =
        RsFleet_Find(granter->options.fleet, owner->id);
    return target != NULL &&
           target->report.started_wall_ms > owner->started_wall_ms;
}

/* Grants a range to its owner, or renews the grant of its former owner when
 * `to_former` is set. */
static void
send_grant(struct rs_granter *granter, const struct rs_keymap *map,
           struct rs_key_range *range, bool to_former, int64_t now_ms)
{
    struct rs_range_orders *orders = &range->orders;
    const struct rs_owner *owner = to_former ? &range->former : &range->owner;
    uint32_t hold_ms = MIN(HOLD_MS, granter->options.max_hold_ms);
    if (granter->extended_holds) {
        hold_ms = granter->options.max_hold_ms;
    }
    const struct rs_order order = {
        .service = map->service,
        .sent_at_ms = now_ms,
        .send_before_ms = granter->authority_until_ms,
        .target_id = owner->id,
        .grant = {.first_key = range->first_key,
                  .last_key = range->last_key,
                  .fence = to_former ? range->former_fence
                                     : RsKeymap_GrantFence(range),
                  .hold_ms = hold_ms,
                  .handover = to_former ? NULL : orders->handover},
        /* An unproven range is not renewed under another fence: the owner
         * proves by accepting this one that it holds the keys. */
        .repeats_fence = to_former || (orders->fence_sent && !range->unproven),
        .newest_opening =
            to_former ? orders->former_newest_opening : orders->newest_opening,
    };
    orders->grant_in_flight = true;
    orders->next_grant_at_ms = now_ms + RENEW_GRANT_EVERY_MS;
    granter->options.actions->order(granter->options.arg, &order);
}

/* Asks the former owner to release a range. */
static void
send_release(struct rs_granter *granter, const struct rs_keymap *map,
             struct rs_key_range *range, int64_t now_ms)
{
    const struct rs_order order = {
        .release = true,
        .service = map->service,
        .sent_at_ms = now_ms,
        .send_before_ms = granter->authority_until_ms,
        .target_id = range->former.id,
        /* The new fence makes the target refuse late grants under the former
         * owner's fence. */
        .grant = {.first_key = range->first_key,
                  .last_key = range->last_key,
                  .fence = range->fence},
    };
    range->orders.release_in_flight = true;
    range->orders.next_release_at_ms = now_ms + ORDER_RETRY_MS;
    granter->options.actions->order(granter->options.arg, &order);
}

/* Removes the former owner of a range, so that the owner gets its grant. `how`
 * names the reason in the log. */
static void
complete_handover(struct rs_granter_map *entry, struct rs_key_range *range,
                  const char *how, int64_t now_ms)
{
    RsLog_EVENT(RsLog_INFO, "keys_settled",
                RsLog_TEXT("service", entry->map->service),
                RsLog_NUMBER("first_key", range->first_key),
                RsLog_NUMBER("last_key", range->last_key),
                RsLog_TEXT("former", range->former.id),
                RsLog_TEXT("owner", range->owner.id),
                RsLog_NUMBER("fence", range->fence), RsLog_TEXT("how", how),
                RsLog_NUMBER("hold_left_ms",
                             range->orders.former_hold_until_ms - now_ms));
    RsKeymap_ClearFormer(range);
    range->orders.next_grant_at_ms = 0;
    entry->dirty = true;
}

/* Takes the next step in moving a range away from its former owner. Until the
 * commit of the move is confirmed, the former owner's grant is renewed. */
static void
advance_handover(struct rs_granter *granter, struct rs_granter_map *entry,
                 struct rs_key_range *range, int64_t now_ms)
{
    struct rs_range_orders *orders = &range->orders;
    if (range->fence >= entry->committed_fence) {
        if (!orders->grant_in_flight && now_ms >= orders->next_grant_at_ms) {
            send_grant(granter, entry->map, range, true, now_ms);
        }
        return;
    }
    if (orders->released) {
        complete_handover(entry, range, orders->ended ? "ended" : "released",
                          now_ms);
    }
    else if (!orders->grant_in_flight &&
             now_ms >= orders->former_hold_until_ms) {
        complete_handover(entry, range, "lapsed", now_ms);
    }
    else if (!orders->release_in_flight && !orders->grant_in_flight &&
             now_ms >= orders->next_release_at_ms) {
        send_release(granter, entry->map, range, now_ms);
    }
}

/* Makes a range proven once no target can hold its keys by a grant of a former
 * era any more. Its grants get a fence of the present era. */
static void
prove_by_lapse(struct rs_granter_map *entry, struct rs_key_range *range)
{
    range->unproven = false;
    range->orders.blocked = false;
    range->orders.next_grant_at_ms = 0;
    range->orders.renewed_fence = 0;
    range->orders.fence_sent = false;
    range->fence = entry->map->next_fence++;
    entry->dirty = true;
}

/* Returns whether the fence of the grants to the owner of a range, and the
 * owner itself, are committed. */
static bool
may_grant(const struct rs_granter_map *entry, const struct rs_key_range *range)
{
    return range->fence < entry->committed_fence &&
           RsKeymap_GrantFence(range) <
               MAX(entry->committed_fence, entry->reserved_fence);
}

/* Gives the owner of a range a new fence, which no process has had. */
static void
renew_fence(struct rs_granter_map *entry, struct rs_key_range *range)
{
    struct rs_range_orders *orders = &range->orders;
    orders->renewed_fence = entry->map->next_fence++;
    orders->fence_sent = false;
    orders->newest_opening = 0;
    /* What a commit in flight reserves counts already. */
    entry->dirty |= entry->map->next_fence + RESERVED_FENCES / 2 >
                    entry->map->reserved_fence;
}

/* Sends the orders for one range that are due. */
static void
process_range(struct rs_granter *granter, struct rs_granter_map *entry,
              struct rs_key_range *range, int64_t now_ms)
{
    struct rs_range_orders *orders = &range->orders;
    if (range->unproven && !orders->grant_in_flight &&
        now_ms >= granter->lapsed_from_ms) {
        prove_by_lapse(entry, range);
    }
    if (orders->blocked) {
        return;
    }
    if (range->former.id != NULL) {
        advance_handover(granter, entry, range, now_ms);
    }
    if (range->former.id == NULL && range->owner.id != NULL &&
        may_grant(entry, range) && !orders->grant_in_flight &&
        now_ms >= orders->next_grant_at_ms &&
        !is_replaced(granter, &range->owner) &&
        !has_restarted(granter, &range->owner)) {
        send_grant(granter, entry->map, range, false, now_ms);
    }
}

/* Switches to grants of the maximum duration while the store doesn't confirm
 * commits, and back to the normal duration afterwards. On the switch to the
 * maximum duration, all grants are renewed at once. */
static void
update_hold_mode(struct rs_granter *granter, int64_t now_ms)
{
    bool outage = now_ms - granter->confirmed_at_ms >= STORE_OUTAGE_MS;
    if (outage == granter->extended_holds) {
        return;
    }
    granter->extended_holds = outage;
    RsLog_EVENT(
        RsLog_INFO, outage ? "grants_made_long" : "grants_made_short",
        RsLog_NUMBER("confirmed_age_ms", now_ms - granter->confirmed_at_ms));
    for (size_t i = 0; outage && i < granter->map_count; i++) {
        struct rs_keymap *map = granter->maps[i].map;
        for (size_t k = 0; k < map->ranges->len; k++) {
            RsKeymap_GetRange(map, k)->orders.next_grant_at_ms = now_ms;
        }
    }
}

static bool
has_dirty_map(const struct rs_granter *granter)
{
    for (size_t i = 0; i < granter->map_count; i++) {
        if (granter->maps[i].dirty) {
            return true;
        }
    }
    return false;
}

static bool
commit_is_due(const struct rs_granter *granter, int64_t now_ms)
{
    if (granter->commit_in_flight || granter->phase == RsGranter_LOADING) {
        return false;
    }
    if (now_ms >= granter->next_commit_at_ms) {
        return true;
    }
    return has_dirty_map(granter) && granter->last_commit_confirmed &&
           now_ms - granter->commit_sent_at_ms >= COMMIT_BATCH_MS;
}

/* Carries a map over into a new era. If the authority of this node has lapsed,
 * moves that were not committed are undone, and all ranges are unproven. */
static void
carry_over_map(struct rs_granter *granter, struct rs_granter_map *entry,
               bool proven)
{
    struct rs_keymap *map = entry->map;
    for (size_t i = 0; !proven && i < map->ranges->len; i++) {
        struct rs_key_range *range = RsKeymap_GetRange(map, i);
        bool committed = range->fence < entry->committed_fence;
        if (!committed && range->former.id != NULL) {
            RsKeymap_UndoMove(range);
            committed = true;
        }
        mark_unproven(range, !committed);
    }
    entry->row_version = RsStore_Version(granter->era, RsStore_ABSENT);
    entry->dirty = true;
    map->next_fence = MAX(map->next_fence, first_fence(granter->era));
}

/* Decides whether this granter goes on after the store has gone back. */
static void
continue_in_new_era(struct rs_granter *granter, int64_t now_ms)
{
    bool proven = RsGranter_HasAuthority(granter, now_ms);
    int64_t confirmed_age_ms = now_ms - granter->confirmed_at_ms;
    if (!proven &&
        (granter->resigning || confirmed_age_ms >= RESUME_WITHIN_MS)) {
        step_down(granter, "the store has gone back");
        return;
    }
    for (size_t i = 0; i < granter->map_count; i++) {
        carry_over_map(granter, &granter->maps[i], proven);
    }
    granter->next_commit_at_ms = now_ms;
    RsLog_EVENT(RsLog_WARNING, "granter_continues",
                RsLog_NUMBER("era", granter->era),
                RsLog_NUMBER("proven", proven),
                RsLog_NUMBER("confirmed_age_ms", confirmed_age_ms));
}

/* Handles the era that a response of the store has named. Does nothing unless
 * it is later than the known one. The first era that a node sees doesn't tell
 * whether the store has gone back; see RsGranter_LeaseRowsRead(). */
void
RsGranter_EraSeen(struct rs_granter *granter, uint32_t era, int64_t now_ms)
{
    if (granter->era_known && era <= granter->era) {
        return;
    }
    bool is_first = !granter->era_known;
    granter->era_known = true;
    granter->era = era;
    if (is_first) {
        return;
    }
    record_restore(granter, now_ms);
    if (RsStore_Era(granter->lease_version) < era) {
        granter->lease_known = false;
        granter->lease_version = RsStore_Version(era, RsStore_ABSENT);
        granter->lease_seen_at_ms = now_ms;
    }
    if (granter->phase == RsGranter_LEADING) {
        continue_in_new_era(granter, now_ms);
    }
    else if (granter->phase != RsGranter_OBSERVING) {
        step_down(granter, "the store has gone back");
    }
}

/* Claims the lease if that is due. */
static void
claim_if_due(struct rs_granter *granter, int64_t now_ms)
{
    if (granter->lease_known && !granter->commit_in_flight &&
        !granter->resigning && now_ms >= granter->next_commit_at_ms &&
        now_ms >= earliest_claim_at_ms(granter) &&
        now_ms - granter->lease_read_at_ms <= MAX_LEASE_READ_AGE_MS) {
        granter->phase = RsGranter_CLAIMING;
        send_commit(granter, now_ms);
    }
}

/* Claims the lease, sends commits and orders, and switches the duration of
 * grants, each when due. Call this function every few tens of ms. */
void
RsGranter_Tick(struct rs_granter *granter, int64_t now_ms)
{
    if (granter->phase == RsGranter_OBSERVING) {
        claim_if_due(granter, now_ms);
        return;
    }
    if (commit_is_due(granter, now_ms)) {
        send_commit(granter, now_ms);
    }
    if (!RsGranter_HasAuthority(granter, now_ms)) {
        return;
    }
    update_hold_mode(granter, now_ms);
    for (size_t i = 0; i < granter->map_count; i++) {
        struct rs_granter_map *entry = &granter->maps[i];
        for (size_t k = 0; k < entry->map->ranges->len; k++) {
            process_range(granter, entry, RsKeymap_GetRange(entry->map, k),
                          now_ms);
        }
    }
}

/* Gives up the lease with the next commit, so that another node can claim it
 * before it expires. Existing grants stay valid. A node that isn't the granter
 * only stops claiming the lease. */
void
RsGranter_Resign(struct rs_granter *granter, int64_t now_ms)
{
    granter->resigning = true;
    granter->yielding = false;
    granter->next_commit_at_ms = now_ms;
}

/* Resigns in favour of a stronger node if `strongest`, the highest strength of
 * any node, is at least YIELD_FACTOR times that of this node. Does nothing if
 * this node may not change owners, was elected less than YIELD_AFTER_MS ago or
 * last yielded less than MIN_YIELD_INTERVAL_MS ago. */
void
RsGranter_YieldIfStronger(struct rs_granter *granter, uint32_t strongest,
                          int64_t now_ms)
{
    if (strongest < granter->options.strength * YIELD_FACTOR ||
        !RsGranter_MayPlan(granter, now_ms) ||
        now_ms - granter->elected_at_ms < YIELD_AFTER_MS ||
        now_ms < granter->next_yield_at_ms) {
        return;
    }
    RsLog_EVENT(RsLog_INFO, "granter_yields",
                RsLog_NUMBER("strength", granter->options.strength),
                RsLog_NUMBER("strongest", strongest));
    granter->next_yield_at_ms = now_ms + MIN_YIELD_INTERVAL_MS;
    RsGranter_Resign(granter, now_ms);
    granter->yielding = true;
}

/* Returns the range that an order was for, or NULL when its owner or fence has
 * changed since. */
static struct rs_key_range *
find_ordered_range(const struct rs_granter_map *entry,
                   const struct rs_order *order)
{
    struct rs_key_range *range =
        RsKeymap_FindRange(entry->map, order->grant.first_key);
    if (order->release) {
        bool same = range->former.id == order->target_id &&
                    range->fence == order->grant.fence;
        return same ? range : NULL;
    }
    bool to_owner = range->owner.id == order->target_id &&
                    RsKeymap_GrantFence(range) == order->grant.fence;
    bool to_former = range->former.id == order->target_id &&
                     range->former_fence == order->grant.fence;
    return to_owner || to_former ? range : NULL;
}

/* Extends the time until which the target may hold the range. The hold counts
 * from the arrival of the grant. The grant arrived before its answer; without
 * an answer, it may arrive until GRANT_DELAY_MS from now. An order that was
 * not sent extends nothing. */
static void
extend_hold(struct rs_range_orders *orders, const struct rs_order *order,
            bool to_owner, int status, int64_t now_ms)
{
    int64_t *until_ms =
        to_owner ? &orders->hold_until_ms : &orders->former_hold_until_ms;
    if (status == RsGranter_NOT_SENT || status == RsGranter_NO_CONNECTION) {
        return;
    }
    int64_t arrived_by_ms =
        now_ms + (status == RsGranter_UNANSWERED ? GRANT_DELAY_MS : 0);
    *until_ms =
        MAX(*until_ms,
            arrived_by_ms + max_hold_at_target_ms(order->grant.hold_ms));
}

/* Records which connections may carry the fence of a grant that was sent under
 * it for the first time. */
static void
record_sent_fence(struct rs_range_orders *orders, const struct rs_order *order,
                  int status)
{
    if (!order->repeats_fence && status != RsGranter_NOT_SENT) {
        orders->newest_opening =
            orders->fence_sent
                ? MIN(orders->newest_opening, order->newest_opening)
                : order->newest_opening;
        orders->fence_sent = true;
    }
}

/* Handles the answer to a grant. If the owner refuses the fence as stale, the
 * range gets a new fence, unless it is being handed over. The owner of an
 * unproven range has released the keys for another target then, so the range
 * is blocked. */
static void
handle_grant_answer(const struct rs_granter *granter,
                    struct rs_granter_map *entry, struct rs_key_range *range,
                    const struct rs_order *order, int status, int64_t now_ms)
{
    struct rs_range_orders *orders = &range->orders;
    bool to_owner = range->owner.id == order->target_id &&
                    RsKeymap_GrantFence(range) == order->grant.fence;
    orders->grant_in_flight = false;
    extend_hold(orders, order, to_owner, status, now_ms);
    if (to_owner) {
        record_sent_fence(orders, order, status);
    }
    if (status == RsGranter_NO_CONNECTION && to_owner &&
        range->former.id == NULL) {
        renew_fence(entry, range);
        orders->next_grant_at_ms = now_ms;
        return;
    }
    if (status == RsWire_GRANTED && to_owner) {
        g_free(orders->handover);
        orders->handover = NULL;
        if (range->unproven && order->sent_at_ms >= granter->proof_from_ms) {
            range->unproven = false;
            entry->dirty = true;
            /* The last grant of the former era, under the same fence, may
             * arrive after this one and outlast it. */
            orders->hold_until_ms =
                MAX(orders->hold_until_ms, granter->lapsed_from_ms);
        }
        return;
    }
    if (status == RsWire_GRANTED) {
        return;
    }
    orders->next_grant_at_ms =
        MIN(orders->next_grant_at_ms, now_ms + ORDER_RETRY_MS);
    RsLog_EVENT(RsLog_WARNING, "grant_failed",
                RsLog_TEXT("target", order->target_id),
                RsLog_NUMBER("first_key", order->grant.first_key),
                RsLog_NUMBER("fence", order->grant.fence),
                RsLog_NUMBER("status", status),
                RsLog_NUMBER("age_ms", now_ms - order->sent_at_ms),
                RsLog_NUMBER("hold_left_ms",
                             (to_owner ? orders->hold_until_ms
                                       : orders->former_hold_until_ms) -
                                 now_ms));
    if (status == RsWire_STALE_FENCE && to_owner && range->unproven) {
        orders->blocked = true;
    }
    else if (status == RsWire_STALE_FENCE && to_owner &&
             range->former.id == NULL) {
        renew_fence(entry, range);
    }
}

/* Handles the answer to an order. `status` is the HTTP status or one of enum
 * rs_granter_order_error; `handover` is the text from the former owner's
 * answer to a release, or NULL. */
void
RsGranter_OrderAnswered(struct rs_granter *granter,
                        const struct rs_order *order, int status,
                        const char *handover, int64_t now_ms)
{
    struct rs_granter_map *entry = RsGranter_FindMap(granter, order->service);
    struct rs_key_range *range =
        entry != NULL ? find_ordered_range(entry, order) : NULL;
    if (range == NULL) {
        return;
    }
    if (!order->release) {
        handle_grant_answer(granter, entry, range, order, status, now_ms);
        return;
    }
    range->orders.release_in_flight = false;
    /* Another process runs at the address, so the former owner has ended. A
     * restart under the same id doesn't look like that: the new process may
     * have accepted renewals that were sent to the old one. */
    range->orders.ended = status == RsWire_MISDIRECTED;
    if (status != RsWire_GRANTED && !range->orders.ended) {
        RsLog_EVENT(RsLog_WARNING, "release_failed",
                    RsLog_TEXT("target", order->target_id),
                    RsLog_NUMBER("first_key", order->grant.first_key),
                    RsLog_NUMBER("status", status),
                    RsLog_NUMBER("age_ms", now_ms - order->sent_at_ms));
        return;
    }
    range->orders.released = true;
    g_free(range->orders.handover);
    range->orders.handover = g_strdup(handover);
}
