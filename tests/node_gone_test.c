/* Callers that close their connections before they are answered. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"
#include "tests/node_fixture.h"
#include "tests/node_tests.h"

#define QUICK_WORK_MS 20
#define SLOWDOWN 40
#define WORK_MS (QUICK_WORK_MS * SLOWDOWN)
#define SETTLE_MS 100

static struct rs_node_fixture *
open_fixture(uint16_t base_port)
{
    const struct rs_node_fixture_options options = {
        .base_port = base_port,
        .node_count = 1,
        .sharded_targets = 1,
        .work_ms = QUICK_WORK_MS,
        .timeout_ms = 10000,
    };
    struct rs_node_fixture *fixture = RsNodeFixture_OpenServing(&options);
    RsSoakTarget_SetSlowdown(fixture->targets[0], SLOWDOWN);
    return fixture;
}

static int
connect_to_node(const struct rs_node_fixture *fixture)
{
    struct sockaddr_in address;
    uv_ip4_addr("127.0.1.1",
                fixture->options.base_port + RsSoakSetup_CALLER_PORT,
                &address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CU_ASSERT_EQUAL(
        connect(fd, (const struct sockaddr *)&address, sizeof(address)), 0);
    return fd;
}

static void
send_request(int fd, const char *id)
{
    char *text =
        g_strdup_printf("GET /get/x HTTP/1.1\r\nhost: soak.example\r\n"
                        "x-request-id: %s\r\n"
                        "x-deadline-ms: 10000\r\n"
                        "x-shard-key: 1\r\n\r\n",
                        id);
    CU_ASSERT_EQUAL(write(fd, text, strlen(text)), (ssize_t)strlen(text));
    g_free(text);
}

/* GONE: the second request is read when the first one has been answered, and
 * is sent to a target although its caller has left. */
void
test_request_behind_another_is_sent_for_a_caller_that_left(void)
{
    struct rs_node_fixture *fixture = open_fixture(23800);
    const struct rs_soak_target *target = fixture->targets[0];
    uint64_t count = RsSoakTarget_RequestCount(target);
    int fd = connect_to_node(fixture);
    send_request(fd, "first");
    RsNodeFixture_Run(fixture, SETTLE_MS);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(target), count + 1);
    send_request(fd, "second");
    close(fd);
    RsNodeFixture_Run(fixture, 4 * WORK_MS);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(target), count + 1);
    RsNodeFixture_Close(fixture);
}

/* GONE: a node that was busy reads a request whose caller has left. */
void
test_request_is_read_after_its_caller_has_left(void)
{
    struct rs_node_fixture *fixture = open_fixture(23700);
    const struct rs_soak_target *target = fixture->targets[0];
    uint64_t count = RsSoakTarget_RequestCount(target);
    RsProcess_Signal(&fixture->nodes[0], SIGSTOP);
    int fd = connect_to_node(fixture);
    send_request(fd, "only");
    close(fd);
    RsNodeFixture_Run(fixture, SETTLE_MS);
    RsProcess_Signal(&fixture->nodes[0], SIGCONT);
    RsNodeFixture_Run(fixture, WORK_MS);
    CU_ASSERT_EQUAL(RsSoakTarget_RequestCount(target), count);
    RsNodeFixture_Close(fixture);
}
