/* The leases of three members of one cell, wired together in memory. */

#include "control/leases.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "cell/cell_wire.h"
#include "core/id.h"
#include "place/speaker.h"
#include "wire/frame.h"

#define MEMBERS 3
#define SLICES 4
#define TICK_MS 10
#define LEASE_MS 900
#define RENEW_MS 250
#define MARGIN_MS 50
#define SUSPECT_MS 600
#define START_MS 3000
#define TAKE_OVER_MS 2000 /* a key is served again */
#define STEADY_MS 6000

static const char *const names[MEMBERS] = {"a", "b", "c"};

struct world;

struct instance {
    struct world *world;
    struct rs_members *members;
    struct rs_leases *leases;
    struct rs_lease_table *table;
    bool up;
};

struct letter {
    int to;
    uint8_t *frame;
    size_t size;
};

struct world {
    struct instance instances[MEMBERS];
    struct rs_chunks *chunks;
    struct rs_view *view;
    GQueue letters;
    int64_t now_ms;
    bool drains; /* the data tasks say at once that a slice is drained */
    int overlaps;
};

static int
index_of(const char *name)
{
    return name[0] - 'a';
}

static void
on_send(void *arg, const char *to, const struct rs_cell_message *message)
{
    struct instance *instance = arg;
    struct letter *letter = g_new0(struct letter, 1);
    letter->to = index_of(to);
    letter->frame = RsCellWire_Pack(message, &letter->size);
    g_queue_push_tail(&instance->world->letters, letter);
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

/* A row of four slices; each goes to `owner`, and from there to `next`. */
static char *
row_text(uint64_t epoch, const char *owner, const char *next)
{
    GString *text = g_string_new("{\"slices\":[");
    for (int i = 0; i < SLICES; i++) {
        g_string_append_printf(
            text,
            "%s{\"e\":%" G_GUINT64_FORMAT
            ",\"c\":\"d/1\",\"s\":[\"%s\",\"%s\"],\"f\":[]}",
            i > 0 ? "," : "", epoch, owner, next);
    }
    g_string_append(text, "]}");
    return g_string_free(text, FALSE);
}

/* One rule of four slices under an epoch. */
static void
make_view(struct world *world, uint64_t epoch, const char *owner,
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
    CU_ASSERT_EQUAL_FATAL(RsConfig_BrokenRows(config), 0);
    if (world->chunks == NULL) {
        world->chunks = RsChunks_New();
    }
    struct rs_view_options options = {
        .mirror = mirror, .config = config, .chunks = world->chunks};
    world->view = RsView_New(&options);
    RsConfig_Unref(config);
    RsMirror_Free(mirror);
    for (size_t i = 0; i < G_N_ELEMENTS(objects); i++) {
        json_decref(rows[i].value);
    }
}

static void
start(struct world *world, int at)
{
    struct instance *instance = &world->instances[at];
    struct rs_members_options members = {.self = names[at],
                                         .suspect_after_ms = SUSPECT_MS,
                                         .forget_after_ms = 60000};
    struct rs_leases_options options = {
        .self = names[at],
        .incarnation = (uint64_t)at + 1,
        .now_ms = world->now_ms,
        .lease_ms = LEASE_MS,
        .renew_every_ms = RENEW_MS,
        .margin_ms = MARGIN_MS,
        .send = on_send,
        .publish = on_publish,
        .arg = instance,
    };
    instance->world = world;
    instance->members = RsMembers_New(&members);
    options.members = instance->members;
    instance->leases = RsLeases_New(&options);
    instance->up = true;
    RsLeases_SetView(instance->leases, world->now_ms, RsView_Ref(world->view),
                     true);
}

static void
deliver(struct world *world)
{
    guint count = g_queue_get_length(&world->letters);
    for (guint i = 0; i < count; i++) {
        struct letter *letter = g_queue_pop_head(&world->letters);
        struct instance *to = &world->instances[letter->to];
        struct rs_cell_message message;
        Rs__Wire__Peer *peer =
            rs__wire__peer__unpack(NULL, letter->size - RsFrame_HEADER_BYTES,
                                   letter->frame + RsFrame_HEADER_BYTES);
        if (to->up && RsCellWire_Unpack(peer, RsId_FromName(names[letter->to]),
                                        &message) == 0) {
            RsLeases_Receive(to->leases, world->now_ms, &message);
            RsCell_FreeMessage(&message);
        }
        rs__wire__peer__free_unpacked(peer, NULL);
        g_free(letter->frame);
        g_free(letter);
    }
}

static void
hear_others(struct world *world, int at)
{
    for (int other = 0; other < MEMBERS; other++) {
        struct rs_member word = {.incarnation = 1, .cell_version = 1};
        g_strlcpy(word.name, names[other], sizeof(word.name));
        if (world->instances[other].up) {
            RsMembers_Heard(world->instances[at].members, world->now_ms, &word,
                            0, true);
        }
    }
}

static void
drain(struct world *world, struct instance *instance)
{
    struct rs_lease_table *table = RsLeaseTable_Ref(instance->table);
    for (size_t i = 0; i < table->count; i++) {
        const struct rs_lease *lease = &table->leases[i];
        if (lease->mine && lease->stopping) {
            RsLeases_SliceDrained(instance->leases, world->now_ms,
                                  lease->slice, lease->epoch, lease->step);
        }
    }
    RsLeaseTable_Unref(table);
}

static bool
is_mine(const struct world *world, int at, size_t slice)
{
    const struct rs_lease_table *table = world->instances[at].table;
    return table != NULL && slice < table->count &&
           table->leases[slice].mine &&
           table->leases[slice].until_ms > world->now_ms;
}

/* Returns the member that holds a slice (of those up, by its own table), or
 * -1; counts moments at which there are two, paused ones among them. */
static int
holder_of(struct world *world, size_t slice)
{
    int holder = -1;
    for (int at = 0; at < MEMBERS; at++) {
        if (is_mine(world, at, slice)) {
            world->overlaps += holder >= 0 ? 1 : 0;
            holder = at;
        }
    }
    return holder;
}

static void
run(struct world *world, int64_t for_ms)
{
    int64_t end_ms = world->now_ms + for_ms;
    for (; world->now_ms < end_ms; world->now_ms += TICK_MS) {
        deliver(world);
        for (int at = 0; at < MEMBERS; at++) {
            struct instance *instance = &world->instances[at];
            if (!instance->up) {
                continue;
            }
            hear_others(world, at);
            RsLeases_Tick(instance->leases, world->now_ms);
            if (world->drains && instance->table != NULL) {
                drain(world, instance);
            }
        }
        for (size_t slice = 0; slice < SLICES; slice++) {
            holder_of(world, slice);
        }
    }
}

static void
open_world(struct world *world, int members)
{
    memset(world, 0, sizeof(*world));
    g_queue_init(&world->letters);
    world->now_ms = 1000;
    make_view(world, 1, "t", "u");
    for (int at = 0; at < members; at++) {
        start(world, at);
    }
    run(world, START_MS);
}

static int
speaker_of(const char *target, int members)
{
    uint64_t ids[MEMBERS];
    for (int at = 0; at < members; at++) {
        ids[at] = RsId_FromName(names[at]);
    }
    uint64_t id =
        RsSpeaker_OfTarget(RsId_FromName(target), ids, (size_t)members);
    for (int at = 0; at < members; at++) {
        if (ids[at] == id) {
            return at;
        }
    }
    g_assert_not_reached();
}

static void
expect_held(struct world *world, int holder, const char *target)
{
    for (size_t slice = 0; slice < SLICES; slice++) {
        CU_ASSERT_EQUAL_FATAL(holder_of(world, slice), holder);
        const struct rs_lease *lease =
            &world->instances[holder].table->leases[slice];
        CU_ASSERT_EQUAL(g_strcmp0(lease->target, target), 0);
    }
    CU_ASSERT_EQUAL(world->overlaps, 0);
}

static void
test_preferred_member_claims(void)
{
    struct world world;
    open_world(&world, MEMBERS);
    int holder = speaker_of("t", MEMBERS);
    expect_held(&world, holder, "t");
    const struct rs_lease_table *other =
        world.instances[(holder + 1) % MEMBERS].table;
    CU_ASSERT_STRING_EQUAL(other->leases[0].holder, names[holder]);
}

/* Its successor gets the slices only once the data task said that nothing of
 * them runs any more. */
static void
test_lost_target_waits_for_the_data_task(void)
{
    struct world world;
    open_world(&world, MEMBERS);
    int holder = speaker_of("t", MEMBERS);
    struct rs_lease before = world.instances[holder].table->leases[0];
    for (int at = 0; at < MEMBERS; at++) {
        RsLeases_TargetChanged(world.instances[at].leases, "t", true);
    }
    run(&world, TAKE_OVER_MS);
    expect_held(&world, holder, "t");
    CU_ASSERT(world.instances[holder].table->leases[0].stopping);
    world.drains = true;
    run(&world, TAKE_OVER_MS);
    holder = speaker_of("u", MEMBERS);
    expect_held(&world, holder, "u");
    const struct rs_lease *after = &world.instances[holder].table->leases[0];
    CU_ASSERT_EQUAL(after->epoch, before.epoch);
    CU_ASSERT(after->step > before.step);
}

/* The word of a drain under an older fence gives nothing back. */
static void
test_stale_drain_is_passed_over(void)
{
    struct world world;
    open_world(&world, MEMBERS);
    int holder = speaker_of("t", MEMBERS);
    struct instance *instance = &world.instances[holder];
    struct rs_lease lease = instance->table->leases[0];
    RsLeases_TargetChanged(instance->leases, "t", true);
    run(&world, RENEW_MS);
    RsLeases_SliceDrained(instance->leases, world.now_ms, lease.slice,
                          lease.epoch, lease.step - 1);
    run(&world, RENEW_MS);
    expect_held(&world, holder, "t");
}

static void
test_silent_holder_is_followed(void)
{
    struct world world;
    open_world(&world, MEMBERS);
    int holder = speaker_of("t", MEMBERS);
    world.instances[holder].up = false;
    run(&world, TAKE_OVER_MS);
    for (size_t slice = 0; slice < SLICES; slice++) {
        int next = holder_of(&world, slice);
        CU_ASSERT(next >= 0 && next != holder);
    }
    CU_ASSERT_EQUAL(world.overlaps, 0);
}

static void
test_leaving_member_gives_all_back(void)
{
    struct world world;
    open_world(&world, MEMBERS);
    int holder = speaker_of("t", MEMBERS);
    RsLeases_ReleaseAll(world.instances[holder].leases);
    run(&world, RENEW_MS);
    CU_ASSERT(world.instances[holder].table->leases[0].stopping);
    CU_ASSERT_EQUAL(RsLeases_HeldCount(world.instances[holder].leases),
                    SLICES);
    world.drains = true;
    run(&world, RENEW_MS);
    CU_ASSERT_EQUAL(RsLeases_HeldCount(world.instances[holder].leases), 0);
    world.instances[holder].up = false;
    run(&world, TAKE_OVER_MS);
    for (size_t slice = 0; slice < SLICES; slice++) {
        int next = holder_of(&world, slice);
        CU_ASSERT(next >= 0 && next != holder);
    }
    CU_ASSERT_EQUAL(world.overlaps, 0);
}

/* A member that comes later gets what it is to speak for, once it is steady.
 */
static void
test_slices_go_to_the_preferred_member_later(void)
{
    struct world world;
    int preferred = speaker_of("t", MEMBERS);
    open_world(&world, 0);
    for (int at = 0; at < MEMBERS; at++) {
        if (at != preferred) {
            start(&world, at);
        }
    }
    run(&world, START_MS);
    CU_ASSERT(holder_of(&world, 0) >= 0);
    world.drains = true;
    start(&world, preferred);
    run(&world, START_MS / 2);
    CU_ASSERT_NOT_EQUAL(holder_of(&world, 0), preferred);
    run(&world, STEADY_MS);
    expect_held(&world, preferred, "t");
}

/* A later row may give slices to another target of the same speaker: nobody
 * else asks for them then. */
static void
test_speaker_moves_slices_between_its_own_targets(void)
{
    struct world world;
    char target[8] = "t";
    open_world(&world, MEMBERS);
    int holder = speaker_of("t", MEMBERS);
    for (int i = 0; strcmp(target, "t") == 0 && i < 100; i++) {
        char name[8];
        snprintf(name, sizeof(name), "v%d", i);
        if (speaker_of(name, MEMBERS) == holder) {
            g_strlcpy(target, name, sizeof(target));
        }
    }
    RsView_Unref(world.view);
    make_view(&world, 2, target, "t");
    for (int at = 0; at < MEMBERS; at++) {
        RsLeases_SetView(world.instances[at].leases, world.now_ms,
                         RsView_Ref(world.view), true);
    }
    world.drains = true;
    run(&world, TAKE_OVER_MS);
    expect_held(&world, holder, target);
    CU_ASSERT_EQUAL(world.instances[holder].table->leases[0].epoch, 2);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("leases", NULL, NULL);
    CU_ADD_TEST(suite, test_preferred_member_claims);
    CU_ADD_TEST(suite, test_lost_target_waits_for_the_data_task);
    CU_ADD_TEST(suite, test_stale_drain_is_passed_over);
    CU_ADD_TEST(suite, test_silent_holder_is_followed);
    CU_ADD_TEST(suite, test_leaving_member_gives_all_back);
    CU_ADD_TEST(suite, test_slices_go_to_the_preferred_member_later);
    CU_ADD_TEST(suite, test_speaker_moves_slices_between_its_own_targets);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
