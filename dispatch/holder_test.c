/* Tests the holder with a service without keys, whose target the test serves
 * itself, at one of two ports. */

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
#define TEST_TIMEOUT_MS 5000
#define TIME_LEFT_MS 1000
#define VALUE_BYTES 400
#define STATUS_OK 200

struct fake_target {
    struct rs_server *server;
    struct sockaddr_in address;
    const char *start_id;
    int received; /* requests, without pings */
    /* the last request that was kept without an answer, or NULL */
    h2o_req_t *held_request;
    bool holds_requests; /* keeps requests instead of answering them */
    bool mute;           /* answers neither requests nor pings */
};

struct fixture {
    struct rs_assignment_cache *assignment_cache;
    uv_loop_t loop;
    uv_timer_t timer;
    struct fake_target fakes[2];
    struct rs_holder *holder;
    int64_t deadline_ms;
    int ended;         /* number of ended requests plus losses of the target */
    int done;          /* number of requests with a complete answer */
    char reason[32];   /* of the last request that got no answer */
    int stop_at_ended; /* value of `ended` at which the loop stops */
    bool lost; /* whether target_changed() last reported the target as lost */
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
        fake->received++;
        if (fake->holds_requests) {
            fake->held_request = http;
        }
        else {
            reply(fake, http);
        }
    }
    g_free(path);
}

static void
listen_at_free_port(struct fixture *fixture, struct fake_target *fake)
{
    for (uint16_t port = FIRST_PORT; port < LAST_PORT; port++) {
        RsHttp_ParseAddress("127.0.0.1", port, &fake->address);
        struct rs_server_options options = {
            .loop = &fixture->loop,
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
    struct fixture *fixture = arg;
    fixture->lost = lost;
    fixture->ended += lost ? 1 : 0;
}

static void
on_loads(void *arg, const struct rs_slice_load *loads, size_t count)
{
}

static void
on_share(void *arg, const char *target, double share)
{
}

static const struct rs_holder_callbacks reports = {
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

/* Sets a view in which target `t` has `slots` slots and stands at the address
 * of `fake`, or isn't listed when `fake` is NULL. */
static void
set_view(struct fixture *fixture, const struct fake_target *fake, int slots)
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
    CU_ASSERT_EQUAL_FATAL(RsConfig_InvalidRowCount(config), 0);
    fixture->assignment_cache = RsAssignmentCache_New();
    struct rs_view_options options = {
        .mirror = mirror,
        .config = config,
        .vms = vms,
        .assignment_cache = fixture->assignment_cache,
    };
    RsHolder_SetView(fixture->holder, RsView_New(&options));
    RsConfig_Unref(config);
    RsMirror_Free(mirror);
    json_decref(vms);
    json_decref(rows[0].value);
    json_decref(rows[1].value);
}

static void
on_timer(uv_timer_t *timer)
{
    struct fixture *fixture = timer->data;
    int64_t now_ms = RsClock_NowMs();
    RsHolder_Tick(fixture->holder, now_ms);
    if (fixture->ended >= fixture->stop_at_ended ||
        now_ms > fixture->deadline_ms) {
        uv_stop(&fixture->loop);
    }
}

static void
open_fixture(struct fixture *fixture)
{
    struct rs_holder_options options = {
        .loop = &fixture->loop,
        .self = "e",
        .domain = "d",
        .policies = {&rs_limit_fixed, &rs_ramp_none},
        .ping_interval_ms = 20,
        .reports = &reports,
        .arg = fixture,
    };
    memset(fixture, 0, sizeof(*fixture));
    uv_loop_init(&fixture->loop);
    fixture->fakes[0].start_id = "first";
    fixture->fakes[1].start_id = "second";
    listen_at_free_port(fixture, &fixture->fakes[0]);
    listen_at_free_port(fixture, &fixture->fakes[1]);
    fixture->holder = RsHolder_New(&options);
    uv_timer_init(&fixture->loop, &fixture->timer);
    fixture->timer.data = fixture;
    uv_timer_start(&fixture->timer, on_timer, 0, TICK_MS);
}

static void
on_head(void *arg, const Rs__Relay__AnswerHead *head)
{
    struct fixture *fixture = arg;
    if (head->outcome != RS__RELAY__OUTCOME__OUTCOME_DONE) {
        fixture->ended++;
        g_strlcpy(fixture->reason, head->reason, sizeof(fixture->reason));
    }
}

static void
on_body(void *arg, const void *data, size_t size, bool last, bool broken)
{
    struct fixture *fixture = arg;
    fixture->ended += last ? 1 : 0;
    fixture->done += last && !broken ? 1 : 0;
}

static const struct rs_target_request_events events = {on_head, on_body};

static void
forward(struct fixture *fixture)
{
    Rs__Relay__Forward *forward = malloc(sizeof(*forward));
    rs__relay__forward__init(forward);
    forward->request_id = strdup("r");
    forward->service = strdup("f");
    forward->method = strdup("GET");
    forward->path = strdup("/f/x");
    forward->target = strdup("t");
    forward->time_left_ms = TIME_LEFT_MS;
    RsHolder_Forward(fixture->holder, forward, &events, fixture);
}

static void
run_until_end_count(struct fixture *fixture, int stop_at_ended)
{
    fixture->stop_at_ended = stop_at_ended;
    fixture->deadline_ms = RsClock_NowMs() + TEST_TIMEOUT_MS;
    uv_run(&fixture->loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(fixture->ended, stop_at_ended);
}

static json_int_t
dumped_limit(const struct fixture *fixture)
{
    json_t *list = RsHolder_Dump(fixture->holder, RsClock_NowMs());
    json_int_t limit =
        json_integer_value(json_object_get(json_array_get(list, 0), "limit"));
    json_decref(list);
    return limit;
}

/* A VM that is replaced under the same name has a new address. Requests must
 * go there, and no longer to the old one. */
static void
test_target_is_found_at_its_new_address(void)
{
    struct fixture fixture;
    open_fixture(&fixture);
    set_view(&fixture, &fixture.fakes[0], 1);
    forward(&fixture);
    run_until_end_count(&fixture, 1);
    CU_ASSERT_EQUAL(fixture.fakes[0].received, 1);
    set_view(&fixture, &fixture.fakes[1], 1);
    RsHolder_Tick(fixture.holder, RsClock_NowMs());
    forward(&fixture);
    run_until_end_count(&fixture, 2);
    CU_ASSERT_EQUAL(fixture.done, 2);
    CU_ASSERT_EQUAL(fixture.fakes[0].received, 1);
    CU_ASSERT_EQUAL(fixture.fakes[1].received, 1);
}

/* A running request must finish when its service changes. New ones are refused
 * as moving until then, and run with the new settings afterwards. */
static void
test_service_change_waits_for_running_request(void)
{
    struct fixture fixture;
    open_fixture(&fixture);
    fixture.fakes[0].holds_requests = true;
    set_view(&fixture, &fixture.fakes[0], 1);
    forward(&fixture);
    run_until_end_count(&fixture, 0);
    while (fixture.fakes[0].held_request == NULL) {
        uv_run(&fixture.loop, UV_RUN_ONCE);
    }
    set_view(&fixture, &fixture.fakes[0], 40);
    forward(&fixture);
    CU_ASSERT_EQUAL(fixture.ended, 1);
    CU_ASSERT_STRING_EQUAL(fixture.reason, "moving");
    reply(&fixture.fakes[0], fixture.fakes[0].held_request);
    run_until_end_count(&fixture, 2);
    CU_ASSERT_EQUAL(fixture.done, 1);
    fixture.fakes[0].holds_requests = false;
    RsHolder_Tick(fixture.holder, RsClock_NowMs());
    forward(&fixture);
    run_until_end_count(&fixture, 3);
    CU_ASSERT_EQUAL(fixture.done, 2);
    CU_ASSERT(dumped_limit(&fixture) > 2);
}

/* A lost target whose VM was removed and is listed again must be reported as
 * no longer lost. */
static void
test_target_that_is_listed_again_is_not_lost(void)
{
    struct fixture fixture;
    open_fixture(&fixture);
    set_view(&fixture, &fixture.fakes[1], 1);
    forward(&fixture);
    run_until_end_count(&fixture, 1);
    fixture.fakes[1].mute = true;
    run_until_end_count(&fixture, 2);
    CU_ASSERT(fixture.lost);
    set_view(&fixture, NULL, 1);
    RsHolder_Tick(fixture.holder, RsClock_NowMs());
    set_view(&fixture, &fixture.fakes[0], 1);
    forward(&fixture);
    run_until_end_count(&fixture, 3);
    CU_ASSERT_EQUAL(fixture.done, 2);
    CU_ASSERT_FALSE(fixture.lost);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("holder", NULL, NULL);
    CU_ADD_TEST(suite, test_target_is_found_at_its_new_address);
    CU_ADD_TEST(suite, test_service_change_waits_for_running_request);
    CU_ADD_TEST(suite, test_target_that_is_listed_again_is_not_lost);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
