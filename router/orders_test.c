#include <CUnit/Basic.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/fixture.h"
#include "router/orders.h"

#define RUN_MS 300

struct scene {
    uv_loop_t loop;
    uv_tcp_t listener;
    uv_timer_t stop;
    struct rs_router router;
    struct rs_granter granter;
    struct rs_orders orders;
    size_t received_bytes;
};

static void
count_bytes(uv_stream_t *stream, ssize_t size_bytes, const uv_buf_t *buffer)
{
    struct scene *scene = stream->data;
    scene->received_bytes += size_bytes > 0 ? (size_t)size_bytes : 0;
}

static void
give_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
    static char bytes[4096];
    *buffer = uv_buf_init(bytes, sizeof(bytes));
}

static void
on_connection(uv_stream_t *listener, int status)
{
    uv_tcp_t *tcp = g_new0(uv_tcp_t, 1);
    uv_tcp_init(listener->loop, tcp);
    tcp->data = listener->data;
    uv_accept(listener, (uv_stream_t *)tcp);
    uv_read_start((uv_stream_t *)tcp, give_buffer, count_bytes);
}

static void
on_stop(uv_timer_t *timer)
{
    uv_stop(timer->loop);
}

/* A target that takes connections and says nothing. */
static void
open_scene(struct scene *scene)
{
    struct sockaddr_in address;
    int size = sizeof(address);
    *scene = (struct scene){0};
    uv_loop_init(&scene->loop);
    uv_tcp_init(&scene->loop, &scene->listener);
    scene->listener.data = scene;
    uv_ip4_addr("127.0.0.1", 0, &address);
    uv_tcp_bind(&scene->listener, (struct sockaddr *)&address, 0);
    uv_listen((uv_stream_t *)&scene->listener, 8, on_connection);
    uv_tcp_getsockname(&scene->listener, (struct sockaddr *)&address, &size);
    scene->router.loop = &scene->loop;
    RsFleet_Init(&scene->router.fleet, RsFixture_FleetEvents(), NULL);
    const struct rs_fixture_report report = {
        .id = "a",
        .service = "s",
        .zone = "z",
        .port = ntohs(address.sin_port),
        .born_ms = 1,
        .sequence = 1,
    };
    RsFixture_Report(&scene->router.fleet, &report, RsClock_NowMs());
    RsOrders_Init(&scene->orders, &scene->router, &scene->granter);
}

static void
run_order(struct scene *scene, int64_t authority_ms)
{
    const struct rs_order order = {
        .service = g_intern_string("s"),
        .target_id = g_intern_string("a"),
        .grant = {.last_key = 9, .fence = 1, .hold_ms = 1000},
        .send_before_ms = RsClock_NowMs() + authority_ms,
    };
    RsOrders_Send(&scene->orders, &order);
    uv_timer_init(&scene->loop, &scene->stop);
    uv_timer_start(&scene->stop, on_stop, RUN_MS, 0);
    uv_run(&scene->loop, UV_RUN_DEFAULT);
}

static void
test_order_is_sent_within_the_authority(void)
{
    static struct scene scene;
    open_scene(&scene);
    run_order(&scene, 5000);
    CU_ASSERT_TRUE(scene.received_bytes > 0);
    CU_ASSERT_EQUAL(RsCounter_Read(&scene.orders.failed), 0);
}

/* It may have waited in a queue while another node became the granter. */
static void
test_order_is_not_sent_after_the_authority(void)
{
    static struct scene scene;
    open_scene(&scene);
    run_order(&scene, -1);
    CU_ASSERT_EQUAL(scene.received_bytes, 0);
    CU_ASSERT_EQUAL(RsCounter_Read(&scene.orders.failed), 1);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("orders", NULL, NULL);
    CU_ADD_TEST(suite, test_order_is_sent_within_the_authority);
    CU_ADD_TEST(suite, test_order_is_not_sent_after_the_authority);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
