/* Tests the leases of a cell of three members that exchange messages in
 * memory, on simulated time. */

#include "control/leases.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "cell/cell_wire.h"
#include "core/id.h"
#include "place/preferred_holder.h"
#include "wire/frame.h"

#define MEMBER_COUNT 3
#define SLICE_COUNT 4
#define TICK_MS 10
#define LEASE_MS 900
#define RENEW_INTERVAL_MS 250
#define MARGIN_MS 50
#define SUSPECT_AFTER_MS 600
#define STARTUP_MS 3000
#define TAKE_OVER_MS 2000 /* after which each slice has a holder again */
#define STEADY_WAIT_MS 6000

static const char *const names[MEMBER_COUNT] = {"a", "b", "c"};

struct cluster;

struct instance {
    struct cluster *cluster;
    struct rs_members *members;
    struct rs_leases *leases;
    struct rs_lease_table *table;
    bool running;
};

struct queued_message {
    int to;
    uint8_t *frame;
    size_t size;
};

struct cluster {
    struct instance instances[MEMBER_COUNT];
    struct rs_assignment_cache *assignment_cache;
    struct rs_view *view;
    GQueue message_queue;
    int64_t now_ms;
    bool drains;       /* the data tasks report drained slices at once */
    int overlap_count; /* number of times that two members held one slice */
};

static int
member_index(const char *name)
{
    return name[0] - 'a';
}

static void
on_send(void *arg, const char *to, const struct rs_cell_message *message)
{
    struct instance *instance = arg;
    struct queued_message *queued_message = g_new0(struct queued_message, 1);
    queued_message->to = member_index(to);
    queued_message->frame = RsCellWire_Pack(message, &queued_message->size);
    g_queue_push_tail(&instance->cluster->message_queue, queued_message);
}

static void
on_publish(void *arg, struct rs_lease_table *table)
{
    struct instance *instance = arg;
    RsLeaseTable_Unref(instance->table);
    instance->table = table;
}

static json_t *
parse(const char *text)
{
    json_t *json = json_loads(text, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(json);
    return json;
}

/* Returns the JSON text of a row of four slices, each with the targets `owner`
 * and `next` as its succession. */
static char *
row_text(uint64_t epoch, const char *owner, const char *next)
{
    GString *text = g_string_new("{\"slices\":[");
    for (int i = 0; i < SLICE_COUNT; i++) {
        g_string_append_printf(
            text,
            "%s{\"e\":%" G_GUINT64_FORMAT
            ",\"c\":\"d/1\",\"s\":[\"%s\",\"%s\"],\"f\":[]}",
            i > 0 ? "," : "", epoch, owner, next);
    }
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

/* Makes a snapshot with one rule of four slices, all of the given epoch. */
static void
make_view(struct cluster *cluster, uint64_t epoch, const char *owner,
          const char *next)
{
    static const char *const objects[][2] = {
        {"object/service/s",
         "{\"ticket\":1,\"value\":{\"keyed\":true,\"slots\":2,"
         "\"connections\":4,\"timeout_ms\":500,\"max_run_ms\":200,"
         "\"window\":1,\"cold_ms\":0,\"cut_off\":\"keep-serving\","
         "\"repeatable\":[\"GET\"]}}"},
        {"object/place/p",
         "{\"ticket\":1,\"value\":{\"service\":\"s\",\"domain\":\"d\","
         "\"targets\":[{\"name\":\"t\",\"checks_fences\":true},"
         "{\"name\":\"u\",\"checks_fences\":true}]}}"},
        {"object/rule/r", "{\"ticket\":1,\"value\":{\"service\":\"s\","
                          "\"prefix\":\"\",\"slices\":4,"
                          "\"places\":[\"p\"]}}"},
    };
    struct rs_config_row rows[G_N_ELEMENTS(objects)];
    struct rs_mirror *mirror = RsMirror_New();
    for (size_t i = 0; i < G_N_ELEMENTS(objects); i++) {
        rows[i] =
            (struct rs_config_row){objects[i][0], 1, parse(objects[i][1])};
    }
    RsMirror_Put(mirror, "cell/d/1", 1,
                 "{\"version\":1,\"domain\":\"d\","
                 "\"members\":[\"a\",\"b\",\"c\"],\"former\":[]}");
    char *row = row_text(epoch, owner, next);
    RsMirror_Put(mirror, "assign/r/0000", epoch, row);
    g_free(row);
    RsMirror_Advance(mirror, epoch);
    struct rs_config *config = RsConfig_Build(rows, G_N_ELEMENTS(rows));
    CU_ASSERT_EQUAL_FATAL(RsConfig_InvalidRowCount(config), 0);
    if (cluster->assignment_cache == NULL) {
        cluster->assignment_cache = RsAssignmentCache_New();
    }
    struct rs_view_options options = {.mirror = mirror,
                                      .config = config,
                                      .assignment_cache =
                                          cluster->assignment_cache};
    cluster->view = RsView_New(&options);
    RsConfig_Unref(config);
    RsMirror_Free(mirror);
    for (size_t i = 0; i < G_N_ELEMENTS(objects); i++) {
        json_decref(rows[i].value);
    }
}

static void
start_member(struct cluster *cluster, int at)
{
    struct instance *instance = &cluster->instances[at];
    struct rs_members_options members = {.self = names[at],
                                         .suspect_after_ms = SUSPECT_AFTER_MS,
                                         .forget_after_ms = 60000};
    struct rs_leases_options options = {
        .self = names[at],
        .incarnation = (uint64_t)at + 1,
        .now_ms = cluster->now_ms,
        .lease_ms = LEASE_MS,
        .renew_every_ms = RENEW_INTERVAL_MS,
        .margin_ms = MARGIN_MS,
        .send = on_send,
        .publish = on_publish,
        .arg = instance,
    };
    instance->cluster = cluster;
    instance->members = RsMembers_New(&members);
    options.members = instance->members;
    instance->leases = RsLeases_New(&options);
    instance->running = true;
    RsLeases_SetView(instance->leases, cluster->now_ms,
                     RsView_Ref(cluster->view), true);
}

static void
deliver_messages(struct cluster *cluster)
{
    guint count = g_queue_get_length(&cluster->message_queue);
    for (guint i = 0; i < count; i++) {
        struct queued_message *queued_message =
            g_queue_pop_head(&cluster->message_queue);
        struct instance *to = &cluster->instances[queued_message->to];
        struct rs_cell_message message;
        Rs__Wire__Peer *peer = rs__wire__peer__unpack(
            NULL, queued_message->size - RsFrame_HEADER_BYTES,
            queued_message->frame + RsFrame_HEADER_BYTES);
        if (to->running &&
            RsCellWire_Unpack(peer, RsId_FromName(names[queued_message->to]),
                              &message) == 0) {
            RsLeases_Receive(to->leases, cluster->now_ms, &message);
            RsCell_FreeMessage(&message);
        }
        rs__wire__peer__free_unpacked(peer, NULL);
        g_free(queued_message->frame);
        g_free(queued_message);
    }
}

static void
receive_heartbeats(struct cluster *cluster, int at)
{
    for (int other = 0; other < MEMBER_COUNT; other++) {
        struct rs_member entry = {.incarnation = 1, .cell_version = 1};
        g_strlcpy(entry.name, names[other], sizeof(entry.name));
        if (cluster->instances[other].running) {
            RsMembers_Update(cluster->instances[at].members, cluster->now_ms,
                             &entry, 0, true);
        }
    }
}

static void
report_drained(struct cluster *cluster, struct instance *instance)
{
    struct rs_lease_table *table = RsLeaseTable_Ref(instance->table);
    for (size_t i = 0; i < table->count; i++) {
        const struct rs_lease *lease = &table->leases[i];
        if (lease->mine && lease->stopping) {
            RsLeases_SliceDrained(instance->leases, cluster->now_ms,
                                  lease->slice, lease->epoch, lease->step);
        }
    }
    RsLeaseTable_Unref(table);
}

static bool
is_mine(const struct cluster *cluster, int at, size_t slice)
{
    const struct rs_lease_table *table = cluster->instances[at].table;
    return table != NULL && slice < table->count &&
           table->leases[slice].mine &&
           table->leases[slice].until_ms > cluster->now_ms;
}

/* Returns the member that holds a slice by its own lease table, or -1. Counts
 * an overlap when there are two; members that are not running count as well.
 */
static int
find_holder(struct cluster *cluster, size_t slice)
{
    int holder = -1;
    for (int at = 0; at < MEMBER_COUNT; at++) {
        if (is_mine(cluster, at, slice)) {
            cluster->overlap_count += holder >= 0 ? 1 : 0;
            holder = at;
        }
    }
    return holder;
}

static void
run_for(struct cluster *cluster, int64_t for_ms)
{
    int64_t end_ms = cluster->now_ms + for_ms;
    for (; cluster->now_ms < end_ms; cluster->now_ms += TICK_MS) {
        deliver_messages(cluster);
        for (int at = 0; at < MEMBER_COUNT; at++) {
            struct instance *instance = &cluster->instances[at];
            if (!instance->running) {
                continue;
            }
            receive_heartbeats(cluster, at);
            RsLeases_Tick(instance->leases, cluster->now_ms);
            if (cluster->drains && instance->table != NULL) {
                report_drained(cluster, instance);
            }
        }
        for (size_t slice = 0; slice < SLICE_COUNT; slice++) {
            find_holder(cluster, slice);
        }
    }
}

static void
start_cluster(struct cluster *cluster, int member_count)
{
    memset(cluster, 0, sizeof(*cluster));
    g_queue_init(&cluster->message_queue);
    cluster->now_ms = 1000;
    make_view(cluster, 1, "t", "u");
    for (int at = 0; at < member_count; at++) {
        start_member(cluster, at);
    }
    run_for(cluster, STARTUP_MS);
}

static int
preferred_holder(const char *target, int member_count)
{
    uint64_t ids[MEMBER_COUNT];
    for (int at = 0; at < member_count; at++) {
        ids[at] = RsId_FromName(names[at]);
    }
    uint64_t id = RsPreferredHolder_OfTarget(RsId_FromName(target), ids,
                                             (size_t)member_count);
    for (int at = 0; at < member_count; at++) {
        if (ids[at] == id) {
            return at;
        }
    }
    g_assert_not_reached();
}

static void
expect_held(struct cluster *cluster, int holder, const char *target)
{
    for (size_t slice = 0; slice < SLICE_COUNT; slice++) {
        CU_ASSERT_EQUAL_FATAL(find_holder(cluster, slice), holder);
        const struct rs_lease *lease =
            &cluster->instances[holder].table->leases[slice];
        CU_ASSERT_EQUAL(g_strcmp0(lease->target, target), 0);
    }
    CU_ASSERT_EQUAL(cluster->overlap_count, 0);
}

static void
test_preferred_member_claims(void)
{
    struct cluster cluster;
    start_cluster(&cluster, MEMBER_COUNT);
    int holder = preferred_holder("t", MEMBER_COUNT);
    expect_held(&cluster, holder, "t");
    const struct rs_lease_table *other =
        cluster.instances[(holder + 1) % MEMBER_COUNT].table;
    CU_ASSERT_STRING_EQUAL(other->leases[0].holder, names[holder]);
}

/* The slices of a lost target pass to its successor only once the data task
 * has reported them drained. Otherwise a request could still run under the old
 * lease. */
static void
test_lost_target_is_drained_before_release(void)
{
    struct cluster cluster;
    start_cluster(&cluster, MEMBER_COUNT);
    int holder = preferred_holder("t", MEMBER_COUNT);
    struct rs_lease before = cluster.instances[holder].table->leases[0];
    for (int at = 0; at < MEMBER_COUNT; at++) {
        RsLeases_TargetChanged(cluster.instances[at].leases, "t", true);
    }
    run_for(&cluster, TAKE_OVER_MS);
    expect_held(&cluster, holder, "t");
    CU_ASSERT(cluster.instances[holder].table->leases[0].stopping);
    cluster.drains = true;
    run_for(&cluster, TAKE_OVER_MS);
    holder = preferred_holder("u", MEMBER_COUNT);
    expect_held(&cluster, holder, "u");
    const struct rs_lease *after = &cluster.instances[holder].table->leases[0];
    CU_ASSERT_EQUAL(after->epoch, before.epoch);
    CU_ASSERT(after->step > before.step);
}

/* A report that a slice is drained releases nothing if it names an older
 * fence, since it is about an earlier lease. */
static void
test_drain_report_of_older_fence_is_ignored(void)
{
    struct cluster cluster;
    start_cluster(&cluster, MEMBER_COUNT);
    int holder = preferred_holder("t", MEMBER_COUNT);
    struct instance *instance = &cluster.instances[holder];
    struct rs_lease lease = instance->table->leases[0];
    RsLeases_TargetChanged(instance->leases, "t", true);
    run_for(&cluster, RENEW_INTERVAL_MS);
    RsLeases_SliceDrained(instance->leases, cluster.now_ms, lease.slice,
                          lease.epoch, lease.step - 1);
    run_for(&cluster, RENEW_INTERVAL_MS);
    expect_held(&cluster, holder, "t");
}

static void
test_slices_of_silent_holder_are_taken_over(void)
{
    struct cluster cluster;
    start_cluster(&cluster, MEMBER_COUNT);
    int holder = preferred_holder("t", MEMBER_COUNT);
    cluster.instances[holder].running = false;
    run_for(&cluster, TAKE_OVER_MS);
    for (size_t slice = 0; slice < SLICE_COUNT; slice++) {
        int new_holder = find_holder(&cluster, slice);
        CU_ASSERT(new_holder >= 0 && new_holder != holder);
    }
    CU_ASSERT_EQUAL(cluster.overlap_count, 0);
}

static void
test_leaving_member_releases_all_slices(void)
{
    struct cluster cluster;
    start_cluster(&cluster, MEMBER_COUNT);
    int holder = preferred_holder("t", MEMBER_COUNT);
    RsLeases_BeginLeaving(cluster.instances[holder].leases);
    run_for(&cluster, RENEW_INTERVAL_MS);
    CU_ASSERT(cluster.instances[holder].table->leases[0].stopping);
    CU_ASSERT_EQUAL(RsLeases_HeldCount(cluster.instances[holder].leases),
                    SLICE_COUNT);
    cluster.drains = true;
    run_for(&cluster, RENEW_INTERVAL_MS);
    CU_ASSERT_EQUAL(RsLeases_HeldCount(cluster.instances[holder].leases), 0);
    cluster.instances[holder].running = false;
    run_for(&cluster, TAKE_OVER_MS);
    for (size_t slice = 0; slice < SLICE_COUNT; slice++) {
        int new_holder = find_holder(&cluster, slice);
        CU_ASSERT(new_holder >= 0 && new_holder != holder);
    }
    CU_ASSERT_EQUAL(cluster.overlap_count, 0);
}

/* A member that starts later gets the slices for which it is the preferred
 * holder, once its heartbeats have been steady. */
static void
test_slices_move_to_preferred_member_that_starts_later(void)
{
    struct cluster cluster;
    int preferred = preferred_holder("t", MEMBER_COUNT);
    start_cluster(&cluster, 0);
    for (int at = 0; at < MEMBER_COUNT; at++) {
        if (at != preferred) {
            start_member(&cluster, at);
        }
    }
    run_for(&cluster, STARTUP_MS);
    CU_ASSERT(find_holder(&cluster, 0) >= 0);
    cluster.drains = true;
    start_member(&cluster, preferred);
    run_for(&cluster, STARTUP_MS / 2);
    CU_ASSERT_NOT_EQUAL(find_holder(&cluster, 0), preferred);
    run_for(&cluster, STEADY_WAIT_MS);
    expect_held(&cluster, preferred, "t");
}

/* A later epoch may assign slices to another target with the same preferred
 * holder. No other member claims them then, so the holder must release and
 * claim them itself. */
static void
test_holder_moves_slices_between_its_own_targets(void)
{
    struct cluster cluster;
    char target[8] = "t";
    start_cluster(&cluster, MEMBER_COUNT);
    int holder = preferred_holder("t", MEMBER_COUNT);
    for (int i = 0; strcmp(target, "t") == 0 && i < 100; i++) {
        char name[8];
        snprintf(name, sizeof(name), "v%d", i);
        if (preferred_holder(name, MEMBER_COUNT) == holder) {
            g_strlcpy(target, name, sizeof(target));
        }
    }
    RsView_Unref(cluster.view);
    make_view(&cluster, 2, target, "t");
    for (int at = 0; at < MEMBER_COUNT; at++) {
        RsLeases_SetView(cluster.instances[at].leases, cluster.now_ms,
                         RsView_Ref(cluster.view), true);
    }
    cluster.drains = true;
    run_for(&cluster, TAKE_OVER_MS);
    expect_held(&cluster, holder, target);
    CU_ASSERT_EQUAL(cluster.instances[holder].table->leases[0].epoch, 2);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("leases", NULL, NULL);
    CU_ADD_TEST(suite, test_preferred_member_claims);
    CU_ADD_TEST(suite, test_lost_target_is_drained_before_release);
    CU_ADD_TEST(suite, test_drain_report_of_older_fence_is_ignored);
    CU_ADD_TEST(suite, test_slices_of_silent_holder_are_taken_over);
    CU_ADD_TEST(suite, test_leaving_member_releases_all_slices);
    CU_ADD_TEST(suite, test_slices_move_to_preferred_member_that_starts_later);
    CU_ADD_TEST(suite, test_holder_moves_slices_between_its_own_targets);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
