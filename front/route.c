/* Routing: finds the process that holds a slice, or chooses a target for a
 * request without a key. */

#include <string.h>

#include "core/id.h"
#include "front/request.h"
#include "place/preferred_holder.h"

#define MAX_CANDIDATES 256
#define HEALTH_UPDATE_INTERVAL_MS 50

static const struct rs_health_options target_health = {
    .suspect_ms = 250,
    .lost_ms = 500,
    .recovery_ms = 300,
    .slow_ms = 150,
    .fast_ms = 1000,
    .slow_factor = 3.0,
    .fast_factor = 1.5,
    .min_share_change = 0.15,
    .share_interval_ms = 1000,
    .max_connect_failures = 4,
};

static struct rs_front_target *
find_target(struct rs_front *front, const char *name, int64_t now_ms)
{
    struct rs_front_target *target = g_hash_table_lookup(front->targets, name);
    if (target == NULL) {
        target = g_new0(struct rs_front_target, 1);
        g_strlcpy(target->name, name, sizeof(target->name));
        RsHealth_Init(&target->health, &target_health, now_ms);
        g_hash_table_insert(front->targets, target->name, target);
    }
    return target;
}

static const char *
member_name(const struct rs_view_cell *cell, uint64_t id)
{
    for (size_t i = 0; i < cell->row.member_count; i++) {
        if (RsId_FromName(cell->row.members[i]) == id) {
            return cell->row.members[i];
        }
    }
    return NULL;
}

/* Lists the members of a cell whose relay links are not in backoff after a
 * loss or a failure to connect. If all are, lists all members. Returns the
 * number of members listed. */
static size_t
list_reachable_members(const struct rs_front *front,
                       const struct rs_view_cell *cell, int64_t now_ms,
                       uint64_t *ids)
{
    const struct rs_roster_row *row = &cell->row;
    size_t count = 0;
    for (size_t i = 0; i < row->member_count; i++) {
        if (!RsRelayClient_IsBackingOff(front->relay, row->members[i],
                                        now_ms)) {
            ids[count++] = RsId_FromName(row->members[i]);
        }
    }
    if (count > 0) {
        return count;
    }
    for (size_t i = 0; i < row->member_count; i++) {
        ids[i] = RsId_FromName(row->members[i]);
    }
    return row->member_count;
}

static void
remove_id(uint64_t *ids, size_t *count, uint64_t id)
{
    for (size_t i = 0; i < *count; i++) {
        if (ids[i] == id) {
            ids[i] = ids[--*count];
            return;
        }
    }
}

/* Returns the reachable member that is preferred as holder of the target's
 * slices, after passing over the `skipped_member_count` most preferred ones.
 * Passing over all of them starts again at the first. When no member can be
 * reached, all are considered. Returns NULL when the cell has no members. */
static const char *
preferred_member(const struct rs_front *front, const struct rs_view_cell *cell,
                 const char *target, uint32_t skipped_member_count,
                 int64_t now_ms)
{
    uint64_t ids[RsRoster_MAX_MEMBERS] = {0};
    uint64_t target_id = RsId_FromName(target);
    size_t count = list_reachable_members(front, cell, now_ms, ids);
    uint32_t skips_left =
        count > 0 ? skipped_member_count % (uint32_t)count : 0;
    uint64_t best = RsPreferredHolder_OfTarget(target_id, ids, count);
    for (; skips_left > 0; skips_left--) {
        remove_id(ids, &count, best);
        best = RsPreferredHolder_OfTarget(target_id, ids, count);
    }
    return member_name(cell, best);
}

/* Returns the time in milliseconds until the first member of an unreachable
 * cell may be contacted again. Returns 0 for any other cell. A cell is
 * unreachable while RsRelayClient_RetryAfterMs() is not 0 for any member. */
static uint32_t
unreachable_cell_retry_ms(const struct rs_front *front,
                          const struct rs_view_cell *cell, int64_t now_ms)
{
    uint32_t first_retry_ms = 0;
    for (size_t i = 0; i < cell->row.member_count; i++) {
        uint32_t retry_in_ms = RsRelayClient_RetryAfterMs(
            front->relay, cell->row.members[i], now_ms);
        if (retry_in_ms == 0) {
            return 0;
        }
        if (i == 0 || retry_in_ms < first_retry_ms) {
            first_retry_ms = retry_in_ms;
        }
    }
    return first_retry_ms;
}

/* Returns the process to send a keyed request to: the one that a redirect
 * named; else the one that answered the last request for the slice, if no
 * backoff is in progress for that process and no member is to be passed over;
 * else the preferred member of the slice's cell. Returns NULL when there is no
 * such process. If the reason is that no member of the cell can be reached,
 * sets the request's `cell_retry_after_ms`. */
const char *
RsFrontRoute_FindHolder(struct rs_front_request *request, int64_t now_ms)
{
    struct rs_front *front = request->front;
    uint64_t slice = request->forward->slice;
    if (request->redirect[0] != '\0') {
        return request->redirect;
    }
    const char *hint = g_hash_table_lookup(front->hints, &slice);
    if (hint != NULL && request->skipped_member_count == 0 &&
        !RsRelayClient_IsBackingOff(front->relay, hint, now_ms)) {
        return hint;
    }
    struct rs_model_assignment assignment;
    if (!RsView_Assignment(front->view, slice, &assignment)) {
        return NULL;
    }
    const struct rs_view_cell *cell =
        RsView_Cell(front->view, assignment.cell);
    if (cell == NULL) {
        return NULL;
    }
    request->cell_retry_after_ms =
        unreachable_cell_retry_ms(front, cell, now_ms);
    if (request->cell_retry_after_ms > 0) {
        return NULL;
    }
    return preferred_member(front, cell, assignment.succession[0],
                            request->skipped_member_count, now_ms);
}

struct candidates {
    struct rs_choice_target choices[MAX_CANDIDATES];
    struct rs_front_target *targets[MAX_CANDIDATES];
    const char *processes[MAX_CANDIDATES];
    size_t count;
};

static void
add_candidate(struct candidates *candidates, struct rs_front *front,
              const char *name, const struct rs_view_cell *cell,
              uint32_t limit, int64_t now_ms)
{
    if (candidates->count == MAX_CANDIDATES) {
        return;
    }
    const struct rs_view_vm *vm = RsView_Vm(front->view, name);
    size_t at = candidates->count++;
    struct rs_front_target *target = find_target(front, name, now_ms);
    const char *process = preferred_member(front, cell, name, 0, now_ms);
    candidates->targets[at] = target;
    candidates->processes[at] = process;
    candidates->choices[at] = (struct rs_choice_target){
        .usable = vm != NULL && !vm->leaving && process != NULL &&
                  !RsRelayClient_IsBackingOff(front->relay, process, now_ms),
        .state = target->health.state,
        .in_flight = target->in_flight,
        .limit = limit,
        .latency_us = RsHealth_ExpectedLatencyUs(&target->health, now_ms),
    };
}

static void
add_place(struct candidates *candidates, struct rs_front *front,
          const struct rs_model_place *place, uint32_t limit, int64_t now_ms)
{
    const struct rs_config *config = RsView_Config(front->view);
    const struct rs_model_domain *domain =
        RsConfig_Domain(config, place->domain);
    if (domain != NULL && domain->state != RsModel_DOMAIN_IN) {
        return;
    }
    for (size_t i = 0; i < place->target_count; i++) {
        const char *name = place->targets[i].name;
        const struct rs_view_cell *cell =
            RsView_CellOfTarget(front->view, place->domain, name);
        if (cell != NULL) {
            add_candidate(candidates, front, name, cell, limit, now_ms);
        }
    }
}

static void
set_target(Rs__Relay__Forward *forward, const char *name)
{
    if (forward->target != protobuf_c_empty_string) {
        free(forward->target);
    }
    forward->target = strdup(name);
}

/* Chooses a target for a request without a key, and `avoid` (which may be
 * NULL) only if no other target is usable. Sets the chosen target in `attempt`
 * and in the forwarded message. Returns the process that serves the target, or
 * NULL when no target is usable. */
const char *
RsFrontRoute_ChooseTarget(struct rs_front_request *request,
                          struct rs_front_attempt *attempt,
                          const struct rs_front_target *avoid, int64_t now_ms)
{
    struct rs_front *front = request->front;
    const struct rs_config *config = RsView_Config(front->view);
    const struct rs_model_service *service =
        RsConfig_Service(config, request->service);
    struct candidates candidates;
    candidates.count = 0;
    size_t place_count = RsConfig_Count(config, RsObject_PLACE);
    for (size_t i = 0; service != NULL && i < place_count; i++) {
        const struct rs_model_place *place =
            &RsConfig_EntryAt(config, RsObject_PLACE, i)->object.as.place;
        if (strcmp(place->service, service->name) == 0) {
            add_place(&candidates, front, place,
                      service->slots + service->window, now_ms);
        }
    }
    size_t avoid_at = RsChoice_NONE;
    for (size_t i = 0; i < candidates.count; i++) {
        if (avoid != NULL && candidates.targets[i] == avoid) {
            avoid_at = i;
        }
    }
    size_t at = RsChoice_Pick(&front->choice, candidates.choices,
                              candidates.count, avoid_at);
    if (at == RsChoice_NONE) {
        return NULL;
    }
    attempt->target = candidates.targets[at];
    set_target(request->forward, attempt->target->name);
    return candidates.processes[at];
}

/* Updates each target's health with the median latency of the targets, of at
 * most MAX_CANDIDATES of them. Does nothing until HEALTH_UPDATE_INTERVAL_MS
 * after the last update. */
void
RsFrontRoute_UpdateTargetHealth(struct rs_front *front, int64_t now_ms)
{
    const struct rs_health *peers[MAX_CANDIDATES];
    size_t count = 0;
    if (now_ms < front->next_health_update_at_ms) {
        return;
    }
    front->next_health_update_at_ms = now_ms + HEALTH_UPDATE_INTERVAL_MS;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, front->targets);
    while (count < MAX_CANDIDATES &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_front_target *target = value;
        peers[count++] = &target->health;
    }
    double median_us = RsHealth_MedianLatencyUs(peers, count, now_ms);
    g_hash_table_iter_init(&iter, front->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct rs_front_target *target = value;
        RsHealth_Update(&target->health, now_ms, median_us);
    }
}
