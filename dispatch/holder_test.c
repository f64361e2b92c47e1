/* The holder with keyless targets that the test serves itself, each on a port
 * of its own. */

#include "dispatch/holder.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "core/clock.h"
#include "http/server.h"
#include "member/mirror.h"

#define FIRST_PORT 27300
#define LAST_PORT 27400
#define TICK_MS 5
#define GIVE_UP_MS 5000
#define TIME_LEFT_MS 1000
#define VALUE_BYTES 400
#define STATUS_OK 200

struct fake_target {
    struct rs_server *server;
    struct sockaddr_in address;
    const char *start_id;
    int served;
    h2o_req_t *held; /* a request that is not answered yet */
    bool holds;
    bool mute; /* answers nothing any more */
};

struct bench {
    struct rs_chunks *chunks;
    uv_loop_t loop;
    uv_timer_t timer;
    struct fake_target fakes[2];
    struct rs_holder *holder;
    int64_t give_up_at_ms;
    int ended;
    int done;
    char reason[32];
    int wanted;
    bool lost; /* what was told of the target last */
};

static void
reply(struct fake_target *fake, h2o_req_t *http)
{
    char *id = RsServer_Header(http, "x-request-id");
    if (id != NULL) {
        RsServer_AddHeader(http, "x-request-id", id);
        RsServer_AddHeader(http, "x-outcome", "done");
    }
    RsServer_AddHeader(http, "x-start-id", fake->start_id);
    RsServer_Reply(http, STATUS_OK, "text/plain", "ok", 2);
    g_free(id);
}

static void
serve(void *arg, h2o_req_t *http)
{
    struct fake_target *fake = arg;
    if (fake->mute) {
        return;
    }
    char *path = RsServer_Path(http);
    if (strcmp(path, "/health") == 0) {
        char *body = g_strdup_printf(
            "{\"state\":\"ok\",\"start_id\":\"%s\",\"clock_ms\":%" PRId64 "}",
            fake->start_id, RsClock_NowMs());
        RsServer_Reply(http, STATUS_OK, "application/json", body,
                       strlen(body));
        g_free(body);
    }
    else {
        fake->served++;
        if (fake->holds) {
            fake->held = http;
        }
        else {
            reply(fake, http);
        }
    }
    g_free(path);
}

static void
listen_at_any_port(struct bench *bench, struct fake_target *fake)
{
    for (uint16_t port = FIRST_PORT; port < LAST_PORT; port++) {
        RsHttp_ParseAddress("127.0.0.1", port, &fake->address);
        struct rs_server_options options = {
            .loop = &bench->loop,
            .address = fake->address,
            .max_body_bytes = VALUE_BYTES,
            .max_connections = 100,
            .handler = serve,
            .arg = fake,
        };
        if (RsServer_Open(&options, &fake->server) == 0) {
            return;
        }
    }
    CU_FAIL_FATAL("no free port");
}

static void
on_target_changed(void *arg, const char *target, bool lost)
{
    struct bench *bench = arg;
    bench->lost = lost;
    bench->ended += lost ? 1 : 0;
}

static void
on_loads(void *arg, const struct rs_task_load *loads, size_t count)
{
}

static void
on_share(void *arg, const char *target, double share)
{
}

static const struct rs_holder_reports reports = {
    .target_changed = on_target_changed,
    .loads = on_loads,
    .share = on_share,
};

static void
put_object(struct rs_config_row *row, const char *key, json_t *value)
{
    CU_ASSERT_PTR_NOT_NULL_FATAL(value);
    row->key = key;
    row->version = 1;
    row->value = json_pack("{s:i,s:o}", "ticket", 1, "value", value);
}

/* A view in which target `t` stands at a port, or is not listed, and has so
 * many slots. */
static void
set_view(struct bench *bench, const struct fake_target *fake, int slots)
{
    struct rs_config_row rows[2];
    struct rs_mirror *mirror = RsMirror_New();
    put_object(&rows[0], "object/service/f",
               json_pack("{s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:s,s:[s]}", "keyed", 0,
                         "slots", slots, "connections", 4, "timeout_ms", 500,
                         "max_run_ms", 200, "window", 1, "cold_ms", 0,
                         "cut_off", "keep-serving", "repeatable", "GET"));
    put_object(&rows[1], "object/place/p",
               json_pack("{s:s,s:s,s:[{s:s,s:b}]}", "service", "f", "domain",
                         "d", "targets", "name", "t", "checks_fences", 0));
    json_t *vms = json_array();
    if (fake != NULL) {
        json_array_append_new(
            vms,
            json_pack("{s:s,s:s,s:s,s:s,s:s,s:i}", "id", "t", "kind", "target",
                      "domain", "d", "state", "live", "host", "127.0.0.1",
                      "port", (int)ntohs(fake->address.sin_port)));
    }
    struct rs_config *config = RsConfig_Build(rows, G_N_ELEMENTS(rows));
    CU_ASSERT_EQUAL_FATAL(RsConfig_BrokenRows(config), 0);
    bench->chunks = RsChunks_New();
    struct rs_view_options options = {
        .mirror = mirror,
        .config = config,
        .vms = vms,
        .chunks = bench->chunks,
    };
    RsHolder_SetView(bench->holder, RsView_New(&options));
    RsConfig_Unref(config);
    RsMirror_Free(mirror);
    json_decref(vms);
    json_decref(rows[0].value);
    json_decref(rows[1].value);
}

static void
on_timer(uv_timer_t *timer)
{
    struct bench *bench = timer->data;
    int64_t now_ms = RsClock_NowMs();
    RsHolder_Tick(bench->holder, now_ms);
    if (bench->ended >= bench->wanted || now_ms > bench->give_up_at_ms) {
        uv_stop(&bench->loop);
    }
}

static void
open_bench(struct bench *bench)
{
    struct rs_holder_options options = {
        .loop = &bench->loop,
        .self = "e",
        .domain = "d",
        .policies = {&rs_limit_fixed, &rs_ramp_none},
        .ping_every_ms = 20,
        .reports = &reports,
        .arg = bench,
    };
    memset(bench, 0, sizeof(*bench));
    uv_loop_init(&bench->loop);
    bench->fakes[0].start_id = "first";
    bench->fakes[1].start_id = "second";
    listen_at_any_port(bench, &bench->fakes[0]);
    listen_at_any_port(bench, &bench->fakes[1]);
    bench->holder = RsHolder_New(&options);
    uv_timer_init(&bench->loop, &bench->timer);
    bench->timer.data = bench;
    uv_timer_start(&bench->timer, on_timer, 0, TICK_MS);
}

static void
on_head(void *arg, const Rs__Relay__AnswerHead *head)
{
    struct bench *bench = arg;
    if (head->outcome != RS__RELAY__OUTCOME__OUTCOME_DONE) {
        bench->ended++;
        g_strlcpy(bench->reason, head->reason, sizeof(bench->reason));
    }
}

static void
on_body(void *arg, const void *data, size_t size, bool last, bool broken)
{
    struct bench *bench = arg;
    bench->ended += last ? 1 : 0;
    bench->done += last && !broken ? 1 : 0;
}

static const struct rs_work_events events = {on_head, on_body};

static void
forward(struct bench *bench)
{
    Rs__Relay__Forward *forward = malloc(sizeof(*forward));
    rs__relay__forward__init(forward);
    forward->request_id = strdup("r");
    forward->service = strdup("f");
    forward->method = strdup("GET");
    forward->path = strdup("/f/x");
    forward->target = strdup("t");
    forward->time_left_ms = TIME_LEFT_MS;
    RsHolder_Forward(bench->holder, forward, &events, bench);
}

static void
run_until_ended(struct bench *bench, int wanted)
{
    bench->wanted = wanted;
    bench->give_up_at_ms = RsClock_NowMs() + GIVE_UP_MS;
    uv_run(&bench->loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(bench->ended, wanted);
}

static json_int_t
limit_in_dump(const struct bench *bench)
{
    json_t *list = RsHolder_Dump(bench->holder, RsClock_NowMs());
    json_int_t limit =
        json_integer_value(json_object_get(json_array_get(list, 0), "limit"));
    json_decref(list);
    return limit;
}

/* A VM that was replaced under its name has another address. */
static void
test_target_is_found_at_its_new_address(void)
{
    struct bench bench;
    open_bench(&bench);
    set_view(&bench, &bench.fakes[0], 1);
    forward(&bench);
    run_until_ended(&bench, 1);
    CU_ASSERT_EQUAL(bench.fakes[0].served, 1);
    set_view(&bench, &bench.fakes[1], 1);
    RsHolder_Tick(bench.holder, RsClock_NowMs());
    forward(&bench);
    run_until_ended(&bench, 2);
    CU_ASSERT_EQUAL(bench.done, 2);
    CU_ASSERT_EQUAL(bench.fakes[0].served, 1);
    CU_ASSERT_EQUAL(bench.fakes[1].served, 1);
}

/* What runs goes on; new work waits until the ticket is in force. */
static void
test_changed_service_is_in_force(void)
{
    struct bench bench;
    open_bench(&bench);
    bench.fakes[0].holds = true;
    set_view(&bench, &bench.fakes[0], 1);
    forward(&bench);
    run_until_ended(&bench, 0);
    while (bench.fakes[0].held == NULL) {
        uv_run(&bench.loop, UV_RUN_ONCE);
    }
    set_view(&bench, &bench.fakes[0], 40);
    forward(&bench);
    CU_ASSERT_EQUAL(bench.ended, 1);
    CU_ASSERT_STRING_EQUAL(bench.reason, "moving");
    reply(&bench.fakes[0], bench.fakes[0].held);
    run_until_ended(&bench, 2);
    CU_ASSERT_EQUAL(bench.done, 1);
    bench.fakes[0].holds = false;
    RsHolder_Tick(bench.holder, RsClock_NowMs());
    forward(&bench);
    run_until_ended(&bench, 3);
    CU_ASSERT_EQUAL(bench.done, 2);
    CU_ASSERT(limit_in_dump(&bench) > 2);
}

/* A target that was lost, and whose VM is listed anew, is not lost. */
static void
test_target_that_is_listed_again_is_not_lost(void)
{
    struct bench bench;
    open_bench(&bench);
    set_view(&bench, &bench.fakes[1], 1);
    forward(&bench);
    run_until_ended(&bench, 1);
    bench.fakes[1].mute = true;
    run_until_ended(&bench, 2);
    CU_ASSERT(bench.lost);
    set_view(&bench, NULL, 1);
    RsHolder_Tick(bench.holder, RsClock_NowMs());
    set_view(&bench, &bench.fakes[0], 1);
    forward(&bench);
    run_until_ended(&bench, 3);
    CU_ASSERT_EQUAL(bench.done, 2);
    CU_ASSERT_FALSE(bench.lost);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("holder", NULL, NULL);
    CU_ADD_TEST(suite, test_target_is_found_at_its_new_address);
    CU_ADD_TEST(suite, test_changed_service_is_in_force);
    CU_ADD_TEST(suite, test_target_that_is_listed_again_is_not_lost);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
