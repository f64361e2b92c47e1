#include "router/granter.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/log.h"

/* A granter that is lost is replaced after this; a key must be served again
 * within a few seconds, and its grants outlast it (HOLD_MS). */
#define LEASE_MS 2000
#define LEASE_MARGIN_MS                                                       \
    100 /* clocks of two nodes differ by less in LEASE_MS */
#define COMMIT_EVERY_MS 650 /* three tries within a lease */
#define COMMIT_SOON_MS 20   /* changes in a row share one commit */
#define COMMIT_RETRY_MS 200 /* the store is away; several within a lease */
/* Other nodes know of a new owner this long after the commit; then the former
 * one is asked to release, and nobody sends it requests any more. */
#define PUBLISH_MS 40
/* Without a confirmed commit for this long, grants are made as long as
 * targets take them, so that they bridge an outage of the store. */
#define STORE_SILENT_MS 1100
/* A renewal, a lapsed lease and the successor's first grants must fit in. */
#define HOLD_MS 3800
#define RENEW_EVERY_MS 900
#define ORDER_RETRY_MS 300
#define CLOCK_RATE_PERCENT 2 /* by which the clock of a target may be slow */
#define HOLD_MARGIN_MS 150   /* of a grant's way to the target */
/* The granter feeds many nodes, so that strong VMs should have the lease. A
 * weak one claims it up to this much later: nodes hear of its last renewal up
 * to a beat (200 ms) apart. */
#define WEAK_CLAIM_DELAY_MS 350
/* A granter leaves the lease to a node that is this much stronger, once it has
 * taken over itself; seldom, as each change stops the planning for a while and
 * the stronger one may not reach the store. */
#define YIELD_FACTOR 2
#define YIELD_AFTER_MS 2000
#define YIELD_EVERY_MS 20000
/* Nodes that are equally strong claim at different times, so that most see
 * the claim of the first and make none. */
#define CLAIM_SPREAD_MS 60
/* By a node that hears of no renewals: a few times within a lease. */
#define LEASE_READ_EVERY_MS 500
/* A claim is made only by a node that the store has just answered. */
#define CLAIM_READ_AGE_MS 700
#define CLAIM_READ_AHEAD_MS 30 /* the lease is read shortly before a claim */
/* Strength of a VM where none is known to be stronger: a core. */
#define FULL_STRENGTH 1000
/* A link with this much to a core carries the messages of a granter that uses
 * the core: both are at their limit at about 250 nodes. */
#define LINK_MBPS_PER_CORE 200

/* Prepares a granter that has read nothing yet. */
void
RsGranter_Init(struct rs_granter *granter,
               const struct rs_granter_options *options)
{
    *granter = (struct rs_granter){.options = *options};
}

/* Returns the strength of a VM, in thousandths of a core, as far as its link
 * does not limit it. At least 1. */
uint32_t
RsGranter_Strength(double cpu_share, double link_mbps)
{
    double cores = MIN(cpu_share, link_mbps / LINK_MBPS_PER_CORE);
    return (uint32_t)MAX(cores * FULL_STRENGTH, 1.0);
}

/* Returns how long after the first moment this node claims the lease. */
static int64_t
claim_delay_ms(const struct rs_granter *granter)
{
    uint32_t strongest = granter->holder.strongest;
    strongest = strongest > 0 ? strongest : FULL_STRENGTH;
    double share =
        MIN((double)granter->options.strength / (double)strongest, 1.0);
    int64_t spread_ms =
        (int64_t)(granter->options.incarnation % CLAIM_SPREAD_MS);
    return (int64_t)((1 - share) * WEAK_CLAIM_DELAY_MS) + spread_ms;
}

/* Tells whether this node may send orders now. */
bool
RsGranter_HasAuthority(const struct rs_granter *granter, int64_t now_ms)
{
    return granter->phase == RsGranter_LEADING && !granter->resigning &&
           now_ms < granter->authority_until_ms;
}

/* Tells whether owners may be changed now: the store takes commits. */
bool
RsGranter_MayPlan(const struct rs_granter *granter, int64_t now_ms)
{
    return RsGranter_HasAuthority(granter, now_ms) &&
           now_ms - granter->confirmed_ms < STORE_SILENT_MS;
}

static const char *
service_of_row(const char *key)
{
    return g_str_has_prefix(key, RsGranter_MAP_PREFIX)
               ? g_intern_string(key + strlen(RsGranter_MAP_PREFIX))
               : NULL;
}

/* Returns the key of a map's row, which the caller frees with g_free(). */
char *
RsGranter_RowKey(const struct rs_keymap *map)
{
    return g_strconcat(RsGranter_MAP_PREFIX, map->service, NULL);
}

/* Returns the map in a row, or NULL when it holds none that can be read. */
struct rs_keymap *
RsGranter_DecodeRow(const char *key, const char *value, uint64_t version)
{
    const char *service = service_of_row(key);
    struct rs_keymap *map =
        service != NULL ? RsKeymap_Decode(service, value) : NULL;
    if (service != NULL && map == NULL) {
        RsLog_EVENT(RsLog_ERROR, "keymap_malformed",
                    RsLog_TEXT("service", service),
                    RsLog_NUMBER("row_version", version));
    }
    return map;
}

/* Returns the map of a service that this node has loaded, or NULL. */
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

/* Adds an empty map for a service without a row. Returns NULL when there are
 * too many. */
struct rs_granter_map *
RsGranter_AddMap(struct rs_granter *granter, const char *service)
{
    if (granter->map_count == RsGranter_MAX_MAPS) {
        return NULL;
    }
    struct rs_granter_map *entry = &granter->maps[granter->map_count++];
    *entry = (struct rs_granter_map){
        .map = RsKeymap_New(service),
        .row_version = RsStore_ABSENT,
        .committed_fence = 1,
    };
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

static void
step_down(struct rs_granter *granter, const char *reason)
{
    if (granter->phase != RsGranter_OBSERVING) {
        RsLog_EVENT(RsLog_WARNING, "granter_stopped",
                    RsLog_TEXT("reason", reason),
                    RsLog_NUMBER("lease_version", granter->lease_version));
    }
    granter->phase = RsGranter_OBSERVING;
    granter->authority_until_ms = 0;
    drop_maps(granter);
}

/* A row that can't be read counts as a lease that lapses like any other. */
static struct rs_granter_lease
decode_lease(const char *value)
{
    struct rs_granter_lease lease = {0};
    json_t *body = json_loads(value, 0, NULL);
    const char *node = json_string_value(json_object_get(body, "node"));
    const char *host = json_string_value(json_object_get(body, "peer_host"));
    const char *incarnation =
        json_string_value(json_object_get(body, "incarnation"));
    snprintf(lease.node, sizeof(lease.node), "%s", node != NULL ? node : "?");
    snprintf(lease.peer_host, sizeof(lease.peer_host), "%s",
             host != NULL ? host : "");
    lease.peer_port =
        (uint32_t)json_integer_value(json_object_get(body, "peer_port"));
    lease.nodes = (uint32_t)json_integer_value(json_object_get(body, "nodes"));
    lease.strongest =
        (uint32_t)json_integer_value(json_object_get(body, "strongest"));
    if (incarnation != NULL) {
        lease.incarnation = strtoull(incarnation, NULL, 16);
    }
    json_decref(body);
    return lease;
}

static char *
encode_lease(const struct rs_granter *granter)
{
    const struct rs_granter_options *options = &granter->options;
    return g_strdup_printf(
        "{\"node\":\"%s\",\"peer_host\":\"%s\",\"peer_port\":%" PRIu32
        ",\"incarnation\":\"%" PRIx64 "\",\"nodes\":%" PRIu32
        ",\"strongest\":%" PRIu32 "}",
        granter->resigning ? "" : options->node, options->peer_host,
        options->peer_port, options->incarnation, granter->nodes,
        MAX(granter->strongest, options->strength));
}

static void
take_lease(struct rs_granter *granter, const struct rs_granter_lease *lease,
           uint64_t version, const char *source, int64_t now_ms)
{
    if (strcmp(lease->node, granter->holder.node) != 0 ||
        lease->incarnation != granter->holder.incarnation) {
        RsLog_EVENT(RsLog_INFO, "granter_seen",
                    RsLog_TEXT("node", lease->node),
                    RsLog_TEXT("source", source),
                    RsLog_NUMBER("lease_version", version));
    }
    granter->lease_known = true;
    granter->lease_version = version;
    granter->lease_seen_ms = now_ms;
    granter->holder = *lease;
    if (lease->incarnation != granter->options.incarnation &&
        !granter->committing) {
        step_down(granter, "another node has the lease");
    }
}

/* Takes the lease row; version 0 says that there is none. */
void
RsGranter_LeaseRead(struct rs_granter *granter, uint64_t version,
                    const char *value, int64_t now_ms)
{
    granter->lease_read_ms = now_ms;
    if (granter->lease_known && version <= granter->lease_version) {
        return;
    }
    struct rs_granter_lease lease = {0};
    if (version != RsStore_ABSENT) {
        lease = decode_lease(value);
    }
    take_lease(granter, &lease, version, "store", now_ms);
}

/* Takes from another node who has the lease, if that is news. A claim of this
 * node still goes by the version of the row, so that a wrong word costs time
 * only. */
void
RsGranter_LeaseTold(struct rs_granter *granter,
                    const struct rs_granter_lease *lease, uint64_t version,
                    int64_t now_ms)
{
    if (granter->phase == RsGranter_OBSERVING && !granter->committing &&
        version > granter->lease_version) {
        take_lease(granter, lease, version, "peer", now_ms);
    }
}

/* Takes from another node that the holder has renewed its lease. */
void
RsGranter_LeaseHeard(struct rs_granter *granter, uint64_t incarnation,
                     uint64_t version, int64_t now_ms)
{
    if (granter->phase == RsGranter_OBSERVING &&
        incarnation == granter->holder.incarnation &&
        version > granter->lease_version) {
        granter->lease_version = version;
        granter->lease_seen_ms = now_ms;
    }
}

/* Tells whether the holder is the process that ran on this VM before this one:
 * it can't run any more, as it had the same port. */
static bool
is_former_life(const struct rs_granter *granter)
{
    const struct rs_granter_lease *holder = &granter->holder;
    const struct rs_granter_options *own = &granter->options;
    return strcmp(holder->node, own->node) == 0 &&
           strcmp(holder->peer_host, own->peer_host) == 0 &&
           holder->peer_port == own->peer_port &&
           holder->incarnation != own->incarnation;
}

/* Returns when this node may claim the lease, as far as it knows. */
static int64_t
claim_at_ms(const struct rs_granter *granter)
{
    if (is_former_life(granter)) {
        return granter->lease_seen_ms;
    }
    bool free_now = granter->lease_version == RsStore_ABSENT ||
                    granter->holder.node[0] == '\0';
    return granter->lease_seen_ms + claim_delay_ms(granter) +
           (free_now ? 0 : LEASE_MS + LEASE_MARGIN_MS);
}

/* Tells whether the lease row should be read, which was done last at `read_ms`
 * (0: never): often by a node that is not `fed` with news of renewals, and
 * shortly before this node may claim the lease. */
bool
RsGranter_LeaseIsDue(const struct rs_granter *granter, int64_t read_ms,
                     bool fed, int64_t now_ms)
{
    int64_t before_claim_ms = claim_at_ms(granter) - CLAIM_READ_AHEAD_MS;
    return read_ms == 0 || (!fed && now_ms - read_ms >= LEASE_READ_EVERY_MS) ||
           (granter->lease_known && now_ms >= before_claim_ms &&
            read_ms < before_claim_ms);
}

static void
send_commit(struct rs_granter *granter, int64_t now_ms)
{
    struct rs_store_condition conditions[1 + RsGranter_MAX_MAPS];
    struct rs_store_write writes[1 + RsGranter_MAX_MAPS];
    char *texts[2 * (1 + RsGranter_MAX_MAPS)];
    size_t count = 0;
    size_t text_count = 0;
    char *lease = encode_lease(granter);
    texts[text_count++] = lease;
    conditions[count] = (struct rs_store_condition){
        RsGranter_LEASE_TABLE, RsGranter_LEASE_KEY, granter->lease_version};
    writes[count++] = (struct rs_store_write){
        RsGranter_LEASE_TABLE, RsGranter_LEASE_KEY, lease, strlen(lease)};
    for (size_t i = 0; i < granter->map_count; i++) {
        struct rs_granter_map *entry = &granter->maps[i];
        entry->offered = entry->dirty && granter->phase == RsGranter_LEADING;
        if (!entry->offered) {
            continue;
        }
        char *key = RsGranter_RowKey(entry->map);
        char *value = RsKeymap_Encode(entry->map);
        entry->offered_fence = entry->map->next_fence;
        entry->dirty = false;
        texts[text_count++] = key;
        texts[text_count++] = value;
        conditions[count] = (struct rs_store_condition){
            RsGranter_MAP_TABLE, key, entry->row_version};
        writes[count++] = (struct rs_store_write){RsGranter_MAP_TABLE, key,
                                                  value, strlen(value)};
    }
    const struct rs_store_commit commit = {conditions, count, writes, count};
    granter->committing = true;
    granter->resign_offered = granter->resigning;
    granter->commit_sent_ms = now_ms;
    granter->next_commit_ms = now_ms + COMMIT_EVERY_MS;
    granter->options.actions->commit(granter->options.arg, &commit);
    for (size_t i = 0; i < text_count; i++) {
        g_free(texts[i]);
    }
}

/* Ranges that this commit gave to others are not released at once. */
static void
delay_releases(struct rs_granter_map *entry, int64_t now_ms)
{
    for (size_t i = 0; i < entry->map->ranges->len; i++) {
        struct rs_key_range *range = RsKeymap_At(entry->map, i);
        if (range->former.id != NULL &&
            range->fence >= entry->committed_fence) {
            range->orders.next_release_ms = now_ms + PUBLISH_MS;
        }
    }
}

static void
take_confirmed(struct rs_granter *granter, uint64_t version, int64_t now_ms)
{
    granter->lease_version = version;
    granter->lease_seen_ms = now_ms;
    granter->lease_known = true;
    granter->confirmed_ms = now_ms;
    granter->authority_until_ms =
        granter->commit_sent_ms + LEASE_MS - LEASE_MARGIN_MS;
    for (size_t i = 0; i < granter->map_count; i++) {
        struct rs_granter_map *entry = &granter->maps[i];
        if (entry->offered) {
            delay_releases(entry, now_ms);
            entry->row_version = version;
            entry->committed_fence = entry->offered_fence;
            entry->offered = false;
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
        granter->elected_ms = now_ms;
        RsLog_EVENT(RsLog_INFO, "granter_elected",
                    RsLog_NUMBER("lease_version", version));
        granter->options.actions->load_maps(granter->options.arg);
    }
}

/* A commit whose answer was lost may have been done: then the lease row is
 * still this node's, and the map rows are as this node wrote them. */
static void
take_conflict(struct rs_granter *granter, const struct rs_store_rows *rows,
              int64_t now_ms)
{
    for (size_t i = 0; i < rows->count; i++) {
        const struct rs_store_row *row = &rows->rows[i];
        if (strcmp(row->table, RsGranter_LEASE_TABLE) == 0) {
            RsGranter_LeaseRead(granter, row->deleted ? 0 : row->version,
                                row->value, now_ms);
        }
    }
    if (granter->holder.incarnation != granter->options.incarnation ||
        granter->holder.node[0] == '\0') {
        step_down(granter, "another node has the lease");
        return;
    }
    for (size_t i = 0; i < rows->count; i++) {
        const struct rs_store_row *row = &rows->rows[i];
        struct rs_granter_map *entry =
            RsGranter_FindMap(granter, service_of_row(row->key));
        if (entry != NULL) {
            entry->row_version = row->version;
        }
    }
}

/* Doubles with each claim without an answer, and differs between nodes. */
static int64_t
claim_pause_ms(const struct rs_granter *granter)
{
    uint32_t doublings = MIN(granter->claims_failed, 3);
    return (COMMIT_RETRY_MS << doublings) +
           (int64_t)(granter->options.incarnation % COMMIT_RETRY_MS);
}

/* Takes the answer of the commit that was sent last. */
void
RsGranter_Committed(struct rs_granter *granter, enum rs_store_status status,
                    const struct rs_store_rows *rows, int64_t now_ms)
{
    granter->committing = false;
    granter->last_commit_done = status == RsStore_DONE;
    if (status == RsStore_DONE || status == RsStore_CONFLICT) {
        granter->claims_failed = 0;
    }
    if (status == RsStore_DONE && granter->resign_offered) {
        granter->lease_version = rows->version;
        granter->lease_seen_ms = now_ms;
        granter->resigning = !granter->yielding;
        granter->yielding = false;
        step_down(granter, "resigned");
        return;
    }
    if (status == RsStore_DONE) {
        take_confirmed(granter, rows->version, now_ms);
        return;
    }
    for (size_t i = 0; i < granter->map_count; i++) {
        struct rs_granter_map *entry = &granter->maps[i];
        entry->dirty = entry->dirty || entry->offered;
        entry->offered = false;
    }
    RsLog_EVENT(RsLog_WARNING, "granter_commit_failed",
                RsLog_TEXT("status", RsStore_StatusName(status)),
                RsLog_NUMBER("lease_version", granter->lease_version));
    granter->next_commit_ms = now_ms + COMMIT_RETRY_MS;
    if (status == RsStore_CONFLICT) {
        granter->next_commit_ms = now_ms + COMMIT_SOON_MS;
        take_conflict(granter, rows, now_ms);
    }
    else if (granter->phase == RsGranter_CLAIMING) {
        step_down(granter, "the claim had no answer");
        granter->next_commit_ms = now_ms + claim_pause_ms(granter);
        granter->claims_failed++;
    }
}

static int64_t
longest_hold_ms(uint32_t hold_ms)
{
    return hold_ms + (int64_t)hold_ms * CLOCK_RATE_PERCENT / 100 +
           HOLD_MARGIN_MS;
}

static void
assume_longest_holds(const struct rs_granter *granter, struct rs_keymap *map,
                     int64_t now_ms)
{
    int64_t until_ms = now_ms + longest_hold_ms(granter->options.max_hold_ms);
    for (size_t i = 0; i < map->ranges->len; i++) {
        struct rs_range_orders *orders = &RsKeymap_At(map, i)->orders;
        orders->hold_until_ms = until_ms;
        orders->former_until_ms = until_ms;
    }
}

static void
name_owners(const struct rs_granter *granter, const struct rs_keymap *map)
{
    for (size_t i = 0; i < map->ranges->len; i++) {
        const struct rs_key_range *range = RsKeymap_At(map, i);
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

static void
add_loaded(struct rs_granter *granter, const struct rs_store_row *row,
           int64_t now_ms)
{
    struct rs_keymap *map =
        RsGranter_DecodeRow(row->key, row->value, row->version);
    if (map == NULL) {
        return;
    }
    if (granter->map_count == RsGranter_MAX_MAPS) {
        RsKeymap_Free(map);
        return;
    }
    assume_longest_holds(granter, map, now_ms);
    name_owners(granter, map);
    granter->maps[granter->map_count++] = (struct rs_granter_map){
        .map = map,
        .row_version = row->version,
        .committed_fence = map->next_fence,
    };
}

/* Takes the maps' rows, which are read once the lease was taken. */
void
RsGranter_MapsLoaded(struct rs_granter *granter, enum rs_store_status status,
                     const struct rs_store_rows *rows, int64_t now_ms)
{
    if (granter->phase != RsGranter_LOADING) {
        return;
    }
    if (status != RsStore_DONE) {
        step_down(granter, "the maps could not be read");
        return;
    }
    drop_maps(granter);
    for (size_t i = 0; i < rows->count; i++) {
        add_loaded(granter, &rows->rows[i], now_ms);
    }
    granter->phase = RsGranter_LEADING;
    RsLog_EVENT(RsLog_INFO, "granter_leads",
                RsLog_NUMBER("maps", granter->map_count));
}

/* Tells whether a target can't hold keys any more, as another one answers at
 * its address: it would refuse orders that name the former. A new life under
 * the same id is no proof, since it may have taken renewals that were meant
 * for the old one; it answers a release, though. */
static bool
has_ended(const struct rs_granter *granter, const struct rs_owner *owner)
{
    const struct rs_fleet_target *target =
        RsFleet_Find(granter->options.fleet, owner->id);
    return target != NULL && target->replaced;
}

static bool
has_new_life(const struct rs_granter *granter, const struct rs_owner *owner)
{
    const struct rs_fleet_target *target =
        RsFleet_Find(granter->options.fleet, owner->id);
    return target != NULL && target->report.born_ms > owner->born_ms;
}

static void
send_grant(struct rs_granter *granter, const struct rs_keymap *map,
           struct rs_key_range *range, bool to_former, int64_t now_ms)
{
    struct rs_range_orders *orders = &range->orders;
    const struct rs_owner *owner = to_former ? &range->former : &range->owner;
    uint32_t hold_ms = MIN(HOLD_MS, granter->options.max_hold_ms);
    if (granter->long_holds) {
        hold_ms = granter->options.max_hold_ms;
    }
    const struct rs_order order = {
        .service = map->service,
        .send_before_ms = granter->authority_until_ms,
        .target_id = owner->id,
        .grant = {.first_key = range->first_key,
                  .last_key = range->last_key,
                  .fence = to_former ? range->former_fence : range->fence,
                  .hold_ms = hold_ms,
                  .handover = to_former ? NULL : orders->handover},
    };
    orders->grant_in_flight = true;
    orders->next_grant_ms = now_ms + RENEW_EVERY_MS;
    granter->options.actions->order(granter->options.arg, &order);
}

static void
send_release(struct rs_granter *granter, const struct rs_keymap *map,
             struct rs_key_range *range, int64_t now_ms)
{
    const struct rs_order order = {
        .release = true,
        .service = map->service,
        .send_before_ms = granter->authority_until_ms,
        .target_id = range->former.id,
        /* The new fence: grants under the former one that come late are
         * refused by a target that has seen it. */
        .grant = {.first_key = range->first_key,
                  .last_key = range->last_key,
                  .fence = range->fence},
    };
    range->orders.release_in_flight = true;
    range->orders.next_release_ms = now_ms + ORDER_RETRY_MS;
    granter->options.actions->order(granter->options.arg, &order);
}

static void
settle(struct rs_granter_map *entry, struct rs_key_range *range,
       const char *how)
{
    RsLog_EVENT(RsLog_INFO, "keys_settled",
                RsLog_TEXT("service", entry->map->service),
                RsLog_NUMBER("first_key", range->first_key),
                RsLog_NUMBER("last_key", range->last_key),
                RsLog_TEXT("former", range->former.id),
                RsLog_TEXT("owner", range->owner.id),
                RsLog_NUMBER("fence", range->fence), RsLog_TEXT("how", how));
    RsKeymap_Settle(range);
    range->orders.next_grant_ms = 0;
    entry->dirty = true;
}

/* Brings the end of a former ownership nearer. */
static void
advance_handover(struct rs_granter *granter, struct rs_granter_map *entry,
                 struct rs_key_range *range, int64_t now_ms)
{
    struct rs_range_orders *orders = &range->orders;
    if (range->fence >= entry->committed_fence) {
        if (!orders->grant_in_flight && now_ms >= orders->next_grant_ms) {
            send_grant(granter, entry->map, range, true, now_ms);
        }
        return;
    }
    if (has_ended(granter, &range->former)) {
        settle(entry, range, "ended");
    }
    else if (orders->released) {
        settle(entry, range, "released");
    }
    else if (!orders->grant_in_flight && now_ms >= orders->former_until_ms) {
        settle(entry, range, "lapsed");
    }
    else if (!orders->release_in_flight && !orders->grant_in_flight &&
             now_ms >= orders->next_release_ms) {
        send_release(granter, entry->map, range, now_ms);
    }
}

static void
tend_range(struct rs_granter *granter, struct rs_granter_map *entry,
           struct rs_key_range *range, int64_t now_ms)
{
    struct rs_range_orders *orders = &range->orders;
    if (range->former.id != NULL) {
        advance_handover(granter, entry, range, now_ms);
    }
    if (range->former.id == NULL && range->owner.id != NULL &&
        range->fence < entry->committed_fence && !orders->grant_in_flight &&
        now_ms >= orders->next_grant_ms &&
        !has_ended(granter, &range->owner) &&
        !has_new_life(granter, &range->owner)) {
        send_grant(granter, entry->map, range, false, now_ms);
    }
}

/* While the store is silent, all grants are renewed at once, for as long as
 * targets take. */
static void
watch_store(struct rs_granter *granter, int64_t now_ms)
{
    bool silent = now_ms - granter->confirmed_ms >= STORE_SILENT_MS;
    if (silent == granter->long_holds) {
        return;
    }
    granter->long_holds = silent;
    RsLog_EVENT(
        RsLog_INFO, silent ? "grants_made_long" : "grants_made_short",
        RsLog_NUMBER("confirmed_age_ms", now_ms - granter->confirmed_ms));
    for (size_t i = 0; silent && i < granter->map_count; i++) {
        struct rs_keymap *map = granter->maps[i].map;
        for (size_t k = 0; k < map->ranges->len; k++) {
            RsKeymap_At(map, k)->orders.next_grant_ms = now_ms;
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
    if (granter->committing || granter->phase == RsGranter_LOADING) {
        return false;
    }
    if (now_ms >= granter->next_commit_ms) {
        return true;
    }
    return has_dirty_map(granter) && granter->last_commit_done &&
           now_ms - granter->commit_sent_ms >= COMMIT_SOON_MS;
}

static void
observe(struct rs_granter *granter, int64_t now_ms)
{
    if (granter->lease_known && !granter->committing && !granter->resigning &&
        now_ms >= granter->next_commit_ms && now_ms >= claim_at_ms(granter) &&
        now_ms - granter->lease_read_ms <= CLAIM_READ_AGE_MS) {
        granter->phase = RsGranter_CLAIMING;
        send_commit(granter, now_ms);
    }
}

/* Does what the time asks for; to be called every few tens of ms. */
void
RsGranter_Tick(struct rs_granter *granter, int64_t now_ms)
{
    if (granter->phase == RsGranter_OBSERVING) {
        observe(granter, now_ms);
        return;
    }
    if (commit_is_due(granter, now_ms)) {
        send_commit(granter, now_ms);
    }
    if (!RsGranter_HasAuthority(granter, now_ms)) {
        return;
    }
    watch_store(granter, now_ms);
    for (size_t i = 0; i < granter->map_count; i++) {
        struct rs_granter_map *entry = &granter->maps[i];
        for (size_t k = 0; k < entry->map->ranges->len; k++) {
            tend_range(granter, entry, RsKeymap_At(entry->map, k), now_ms);
        }
    }
}

/* Gives the lease up at once, so that another node need not wait for it to
 * lapse. Grants that were made go on. */
void
RsGranter_Resign(struct rs_granter *granter, int64_t now_ms)
{
    granter->resigning = true;
    granter->next_commit_ms = now_ms;
}

/* Gives the lease up when a much stronger node, of which `strongest` is the
 * strength, is there to take it. */
void
RsGranter_MayYield(struct rs_granter *granter, uint32_t strongest,
                   int64_t now_ms)
{
    if (strongest < granter->options.strength * YIELD_FACTOR ||
        !RsGranter_MayPlan(granter, now_ms) ||
        now_ms - granter->elected_ms < YIELD_AFTER_MS ||
        now_ms < granter->next_yield_ms) {
        return;
    }
    RsLog_EVENT(RsLog_INFO, "granter_yields",
                RsLog_NUMBER("strength", granter->options.strength),
                RsLog_NUMBER("strongest", strongest));
    granter->next_yield_ms = now_ms + YIELD_EVERY_MS;
    granter->yielding = true;
    RsGranter_Resign(granter, now_ms);
}

static struct rs_key_range *
find_ordered(const struct rs_granter_map *entry, const struct rs_order *order)
{
    struct rs_key_range *range =
        RsKeymap_Find(entry->map, order->grant.first_key);
    if (order->release) {
        bool same = range->former.id == order->target_id &&
                    range->fence == order->grant.fence;
        return same ? range : NULL;
    }
    bool to_owner = range->owner.id == order->target_id &&
                    range->fence == order->grant.fence;
    bool to_former = range->former.id == order->target_id &&
                     range->former_fence == order->grant.fence;
    return to_owner || to_former ? range : NULL;
}

/* A grant counts from its arrival, which was before its answer, or before its
 * connection was reset for want of one. */
static void
note_hold(struct rs_range_orders *orders, const struct rs_order *order,
          bool to_owner, int status, int64_t now_ms)
{
    int64_t *until_ms =
        to_owner ? &orders->hold_until_ms : &orders->former_until_ms;
    if (status == RsGranter_NOT_SENT) {
        return;
    }
    *until_ms = MAX(*until_ms, now_ms + longest_hold_ms(order->grant.hold_ms));
}

static void
take_grant_answer(struct rs_granter_map *entry, struct rs_key_range *range,
                  const struct rs_order *order, int status, int64_t now_ms)
{
    struct rs_range_orders *orders = &range->orders;
    bool to_owner = range->owner.id == order->target_id &&
                    range->fence == order->grant.fence;
    orders->grant_in_flight = false;
    note_hold(orders, order, to_owner, status, now_ms);
    if (status == RsWire_GRANTED && to_owner) {
        g_free(orders->handover);
        orders->handover = NULL;
        return;
    }
    if (status == RsWire_GRANTED) {
        return;
    }
    orders->next_grant_ms =
        MIN(orders->next_grant_ms, now_ms + ORDER_RETRY_MS);
    RsLog_EVENT(RsLog_WARNING, "grant_failed",
                RsLog_TEXT("target", order->target_id),
                RsLog_NUMBER("first_key", order->grant.first_key),
                RsLog_NUMBER("fence", order->grant.fence),
                RsLog_NUMBER("status", status));
    if (status == RsWire_STALE_FENCE && to_owner && range->former.id == NULL) {
        range->fence = entry->map->next_fence++;
        entry->dirty = true;
    }
}

/* Takes the answer to an order; `status` is that of HTTP, or one of enum
 * rs_granter_order_error. */
void
RsGranter_OrderAnswered(struct rs_granter *granter,
                        const struct rs_order *order, int status,
                        const char *handover, int64_t now_ms)
{
    struct rs_granter_map *entry = RsGranter_FindMap(granter, order->service);
    struct rs_key_range *range =
        entry != NULL ? find_ordered(entry, order) : NULL;
    if (range == NULL) {
        return;
    }
    if (!order->release) {
        take_grant_answer(entry, range, order, status, now_ms);
        return;
    }
    range->orders.release_in_flight = false;
    if (status != RsWire_GRANTED) {
        RsLog_EVENT(RsLog_WARNING, "release_failed",
                    RsLog_TEXT("target", order->target_id),
                    RsLog_NUMBER("first_key", order->grant.first_key),
                    RsLog_NUMBER("status", status));
        return;
    }
    range->orders.released = true;
    g_free(range->orders.handover);
    range->orders.handover = g_strdup(handover);
}
