/* Responses that end early must not look complete to the caller. */

#include <CUnit/Basic.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "tests/node_tests.h"
#include "tests/raw_peer.h"

#define TARGET_PORT_OFFSET 90
#define LISTED_WITHIN_MS 1500
#define SERVES_WITHIN_MS 15000
#define ANSWER_WITHIN_MS 8000
#define PIECES 80
#define PIECE_BYTES 50000
#define PIECE_INTERVAL_MS 5
#define BODY_BYTES (PIECES * PIECE_BYTES)
#define READ_BYTES 65536
#define READ_PAUSE_MS 8

enum framing {
    WithoutLength,
    Chunked,
};

static enum framing framing;

static void
on_piece_due(uv_timer_t *timer)
{
    struct rs_raw_connection *connection = timer->data;
    char piece[PIECE_BYTES];
    memset(piece, 'g', sizeof(piece));
    if (framing == Chunked) {
        char size[16];
        snprintf(size, sizeof(size), "%x\r\n", PIECE_BYTES);
        RsRawTarget_SendText(connection, size);
    }
    RsRawTarget_Send(connection, piece, sizeof(piece));
    if (framing == Chunked) {
        RsRawTarget_SendText(connection, "\r\n");
    }
    if (++connection->step < PIECES) {
        return;
    }
    uv_timer_stop(timer);
    if (framing == Chunked) {
        RsRawTarget_SendText(connection, "0\r\n\r\n");
    }
    else {
        RsRawTarget_End(connection);
    }
}

static void
answer_in_pieces(struct rs_raw_connection *connection)
{
    connection->step = 0;
    RsRawTarget_SendHead(connection, framing == Chunked
                                         ? "transfer-encoding: chunked\r\n"
                                         : "connection: close\r\n");
    uv_timer_start(&connection->timer, on_piece_due, 0, PIECE_INTERVAL_MS);
}

static struct rs_node_fixture *
open_fixture(uint16_t base_port)
{
    static struct rs_raw_target target;
    const struct rs_node_fixture_options options = {
        .base_port = base_port,
        .node_count = 1,
        .sharded_targets = 1,
        .work_ms = 10,
        .timeout_ms = 6000,
    };
    const struct rs_raw_target_options target_options = {
        .id = "pieces",
        .service = "plain",
        .port_offset = TARGET_PORT_OFFSET,
        .handler = answer_in_pieces,
    };
    struct rs_node_fixture *fixture = RsNodeFixture_OpenServing(&options);
    RsRawTarget_Open(&target, fixture, &target_options);
    RsNodeFixture_Run(fixture, LISTED_WITHIN_MS);
    return fixture;
}

static struct rs_raw_caller
ask(struct rs_node_fixture *fixture, const char *version)
{
    struct rs_raw_caller caller = RsRawCaller_Open(fixture, 0);
    char *text = g_strdup_printf("POST /post/x HTTP/%s\r\n"
                                 "host: soak.example\r\n"
                                 "x-request-id: pieces-%d-%s\r\n"
                                 "x-deadline-ms: 6000\r\n"
                                 "content-length: 0\r\n\r\n",
                                 version, (int)framing, version);
    RsRawCaller_Send(&caller, text);
    g_free(text);
    return caller;
}

static size_t
count_body(const struct rs_raw_caller *caller)
{
    size_t count = 0;
    const char *body = strstr(caller->received->str, "\r\n\r\n");
    for (; body != NULL && *body != '\0'; body++) {
        count += *body == 'g';
    }
    return count;
}

/* MIXED (review/2): a node is killed while it passes on a response without a
 * length, or one to a caller of HTTP/1.0. */
void
test_killed_node_leaves_no_whole_answer(void)
{
    static const char *const versions[] = {"1.1", "1.0"};
    const struct rs_raw_pace slow = {READ_BYTES, READ_PAUSE_MS};
    struct rs_node_fixture *fixture = open_fixture(22100);
    for (framing = WithoutLength; framing <= Chunked; framing++) {
        for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
            struct rs_raw_caller whole = ask(fixture, versions[i]);
            CU_ASSERT_TRUE(
                RsRawCaller_AwaitEnd(&whole, &slow, ANSWER_WITHIN_MS));
            CU_ASSERT_EQUAL(RsRawCaller_Status(&whole), 200);
            CU_ASSERT_TRUE(RsRawCaller_LooksComplete(&whole));
            CU_ASSERT_TRUE(count_body(&whole) >= BODY_BYTES);
            RsRawCaller_Close(&whole);
            struct rs_raw_caller cut = ask(fixture, versions[i]);
            CU_ASSERT_TRUE(RsRawCaller_AwaitBytes(&cut, 2 * READ_BYTES, &slow,
                                                  ANSWER_WITHIN_MS));
            RsProcess_Signal(&fixture->nodes[0], SIGKILL);
            CU_ASSERT_TRUE(
                RsRawCaller_AwaitEnd(&cut, &slow, ANSWER_WITHIN_MS));
            CU_ASSERT_TRUE(count_body(&cut) < BODY_BYTES);
            printf("HTTP/%s, framing %d: %zu bytes, looks %s\n", versions[i],
                   (int)framing, cut.received->len,
                   RsRawCaller_LooksComplete(&cut) ? "complete"
                                                   : "incomplete");
            CU_ASSERT_FALSE(RsRawCaller_LooksComplete(&cut));
            RsRawCaller_Close(&cut);
            RsNodeFixture_RestartNode(fixture, 0);
            CU_ASSERT_TRUE(
                RsNodeFixture_AwaitService(fixture, SERVES_WITHIN_MS));
            RsNodeFixture_Run(fixture, LISTED_WITHIN_MS);
        }
    }
    RsNodeFixture_Close(fixture);
}
