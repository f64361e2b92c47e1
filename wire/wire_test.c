#include <CUnit/Basic.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/clock.h"
#include "dispatch/relay.pb-c.h"
#include "wire/frame.h"
#include "wire/link.h"

#define LINK_PORT 29318
#define LINK_QUEUE_BYTES (64 * 1024 * 1024)
#define DRAIN_TIMEOUT_MS 5000

struct decoded {
    int frames;
    uint64_t last_stream;
};

static int
unpack_cancel(void *arg, const uint8_t *data, size_t size)
{
    struct decoded *decoded = arg;
    Rs__Relay__Envelope *envelope =
        rs__relay__envelope__unpack(NULL, size, data);
    if (envelope == NULL) {
        return RsFrame_BAD_MESSAGE;
    }
    decoded->frames++;
    decoded->last_stream = envelope->cancel->stream;
    rs__relay__envelope__free_unpacked(envelope, NULL);
    return 0;
}

static uint8_t *
pack_cancel(uint64_t stream, size_t *size)
{
    Rs__Relay__Cancel cancel = RS__RELAY__CANCEL__INIT;
    Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
    cancel.stream = stream;
    envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_CANCEL;
    envelope.cancel = &cancel;
    return RsFrame_Pack(&envelope.base, size);
}

static void
test_frame_arrives_byte_by_byte(void)
{
    struct rs_frame_reader reader = {0};
    struct decoded decoded = {0};
    size_t size;
    uint8_t *data = pack_cancel(77, &size);
    for (size_t i = 0; i < size; i++) {
        CU_ASSERT_EQUAL(
            RsFrame_Read(&reader, data + i, 1, unpack_cancel, &decoded), 0);
    }
    CU_ASSERT_EQUAL(decoded.frames, 1);
    CU_ASSERT_EQUAL(decoded.last_stream, 77);
    CU_ASSERT_EQUAL(reader.size_bytes, 0);
    RsFrame_FreeReader(&reader);
    g_free(data);
}

static void
test_incomplete_frame_is_kept_for_the_next_read(void)
{
    struct rs_frame_reader reader = {0};
    struct decoded decoded = {0};
    size_t size;
    uint8_t *data = pack_cancel(5, &size);
    GByteArray *stream = g_byte_array_new();
    g_byte_array_append(stream, data, (guint)size);
    g_byte_array_append(stream, data, (guint)size);
    g_byte_array_append(stream, data, 3);
    CU_ASSERT_EQUAL(RsFrame_Read(&reader, stream->data, stream->len,
                                 unpack_cancel, &decoded),
                    0);
    CU_ASSERT_EQUAL(decoded.frames, 2);
    CU_ASSERT_EQUAL(reader.size_bytes, 3);
    CU_ASSERT_EQUAL(
        RsFrame_Read(&reader, data + 3, size - 3, unpack_cancel, &decoded), 0);
    CU_ASSERT_EQUAL(decoded.frames, 3);
    RsFrame_FreeReader(&reader);
    g_byte_array_free(stream, TRUE);
    g_free(data);
}

static void
test_oversize_frame_is_rejected_by_its_length(void)
{
    struct rs_frame_reader reader = {0};
    struct decoded decoded = {0};
    const uint8_t length[] = {0xff, 0xff, 0xff, 0xff};
    CU_ASSERT_EQUAL(
        RsFrame_Read(&reader, length, sizeof(length), unpack_cancel, &decoded),
        RsFrame_TOO_LARGE);
    RsFrame_FreeReader(&reader);
}

static void
test_malformed_message_stops_reading(void)
{
    struct rs_frame_reader reader = {0};
    struct decoded decoded = {0};
    const uint8_t frame[] = {0, 0, 0, 2, 0xff, 0xff};
    CU_ASSERT_EQUAL(
        RsFrame_Read(&reader, frame, sizeof(frame), unpack_cancel, &decoded),
        RsFrame_BAD_MESSAGE);
    RsFrame_FreeReader(&reader);
}

static uint8_t *
pack_body(size_t body_bytes, size_t *size)
{
    Rs__Relay__Envelope envelope = RS__RELAY__ENVELOPE__INIT;
    Rs__Relay__AnswerBody body = RS__RELAY__ANSWER_BODY__INIT;
    body.data.data = g_malloc0(body_bytes);
    body.data.len = body_bytes;
    envelope.message_case = RS__RELAY__ENVELOPE__MESSAGE_BODY;
    envelope.body = &body;
    uint8_t *data = RsFrame_Pack(&envelope.base, size);
    g_free(body.data.data);
    return data;
}

static void
test_oversize_message_is_not_packed(void)
{
    size_t size = 0;
    uint8_t *data = pack_body(RsFrame_MAX_BYTES - 64, &size);
    CU_ASSERT_PTR_NOT_NULL(data);
    g_free(data);
    CU_ASSERT_PTR_NULL(pack_body(RsFrame_MAX_BYTES, &size));
}

static struct rs_link *accepted;

static int
ignore_frame(void *arg, const uint8_t *data, size_t size_bytes)
{
    return 0;
}

static void
ignore_closed(void *arg, int error)
{
}

static const struct rs_link_events ignore_events = {
    .frame = ignore_frame,
    .closed = ignore_closed,
};

static void
keep_accepted(void *arg, struct rs_link *link)
{
    accepted = link;
    RsLink_SetEvents(link, &ignore_events, NULL);
}

/* Runs the loop until a link is accepted and the peer has acknowledged all
 * bytes sent on it, or until the timeout. */
static void
run_until_acknowledged(uv_loop_t *loop, int64_t timeout_ms)
{
    int64_t deadline_ms = RsClock_NowMs() + timeout_ms;
    while (RsClock_NowMs() < deadline_ms &&
           (accepted == NULL || RsLink_UnacknowledgedBytes(accepted) > 0)) {
        uv_run(loop, UV_RUN_NOWAIT);
    }
}

/* A process that shuts down must not exit before its peers have received the
 * end of each relayed answer; otherwise the callers get truncated answers. */
static void
test_bytes_are_counted_until_the_peer_acknowledges_them(void)
{
    static char discarded[65536];
    uv_loop_t loop;
    struct rs_link_listener *listener;
    struct sockaddr_in address;
    size_t size = 0;
    uv_loop_init(&loop);
    uv_ip4_addr("127.0.0.1", LINK_PORT, &address);
    CU_ASSERT_EQUAL_FATAL(RsLink_Listen(&loop, &address, LINK_QUEUE_BYTES,
                                        keep_accepted, NULL, &listener),
                          0);
    int peer = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL_FATAL(
        connect(peer, (struct sockaddr *)&address, sizeof(address)), 0);
    run_until_acknowledged(&loop, 100);
    CU_ASSERT_PTR_NOT_NULL_FATAL(accepted);
    uint8_t *frame = pack_body(RsFrame_MAX_BYTES - 64, &size);
    CU_ASSERT_EQUAL(RsLink_SendFrame(accepted, frame, size), 0);
    /* The peer does not read. */
    run_until_acknowledged(&loop, 100);
    CU_ASSERT_TRUE(RsLink_UnacknowledgedBytes(accepted) > 0);
    int64_t deadline_ms = RsClock_NowMs() + DRAIN_TIMEOUT_MS;
    while (RsLink_UnacknowledgedBytes(accepted) > 0 &&
           RsClock_NowMs() < deadline_ms) {
        (void)recv(peer, discarded, sizeof(discarded), MSG_DONTWAIT);
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    CU_ASSERT_EQUAL(RsLink_UnacknowledgedBytes(accepted), 0);
    close(peer);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("wire", NULL, NULL);
    CU_ADD_TEST(suite, test_frame_arrives_byte_by_byte);
    CU_ADD_TEST(suite, test_incomplete_frame_is_kept_for_the_next_read);
    CU_ADD_TEST(suite, test_oversize_message_is_not_packed);
    CU_ADD_TEST(suite, test_oversize_frame_is_rejected_by_its_length);
    CU_ADD_TEST(suite, test_malformed_message_stops_reading);
    CU_ADD_TEST(suite,
                test_bytes_are_counted_until_the_peer_acknowledges_them);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
