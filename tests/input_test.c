/* Malformed, oversized, incomplete and slow requests to an entry process, and
 * bytes that are no requests to all of its ports. It must go on serving other
 * callers and answer malformed requests with the matching HTTP error. */

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/failures.h"
#include "tests/scenario.h"

#define BODY_BYTES (2 * 1024 * 1024)
#define LONG_HEADER_BYTES (64 * 1024)
#define GARBAGE_BYTES 4096
#define ANSWER_BYTES 4096
#define ANSWER_WITHIN_MS 3000
#define SLOW_CALLER_COUNT 100
#define SLOW_BYTES 10
#define SLOW_BYTE_INTERVAL_MS 50
#define SEED 11
#define TIMEOUT_MS 1000

static const struct rs_cluster_options one_domain = {
    .domains = 1, .entries = 3, .targets = 2};

static int
connect_to(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    int result =
        connect(descriptor, (struct sockaddr *)&address, sizeof(address));
    CU_ASSERT_EQUAL(result, 0);
    return descriptor;
}

/* Sends data until all is sent, or the peer closes or stops reading. */
static void
send_all(int descriptor, const char *data, size_t size_bytes)
{
    size_t sent = 0;
    while (sent < size_bytes) {
        struct pollfd writable = {.fd = descriptor, .events = POLLOUT};
        if (poll(&writable, 1, ANSWER_WITHIN_MS) <= 0) {
            return;
        }
        ssize_t count = send(descriptor, data + sent, size_bytes - sent,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count <= 0) {
            return;
        }
        sent += (size_t)count;
    }
}

/* Returns the HTTP status of the answer, 0 when the connection was closed
 * without one or what arrived is no HTTP/1.1 answer, and -1 when nothing
 * arrived in time. */
static int
read_status(int descriptor)
{
    char answer[ANSWER_BYTES] = "";
    int status = 0;
    struct pollfd readable = {.fd = descriptor, .events = POLLIN};
    if (poll(&readable, 1, ANSWER_WITHIN_MS) <= 0) {
        return -1;
    }
    if (recv(descriptor, answer, sizeof(answer) - 1, 0) <= 0) {
        return 0;
    }
    return sscanf(answer, "HTTP/1.1 %d", &status) == 1 ? status : 0;
}

/* Sends bytes to a port on a new connection, shuts down the sending direction
 * if `half_close` is set, and returns the result of read_status(). */
static int
exchange(uint16_t port, const char *data, size_t size_bytes, bool half_close)
{
    int descriptor = connect_to(port);
    send_all(descriptor, data, size_bytes);
    if (half_close) {
        shutdown(descriptor, SHUT_WR);
    }
    int status = read_status(descriptor);
    close(descriptor);
    return status;
}

static int
exchange_text(uint16_t port, const char *text, bool half_close)
{
    return exchange(port, text, strlen(text), half_close);
}

/* Expects that no entry process has ended and that each one answers a request.
 */
static void
expect_serving(struct rs_cluster *cluster)
{
    int status = 0;
    for (uint32_t i = 0; i < cluster->entry_count; i++) {
        struct rs_cluster_entry *entry = &cluster->entries[i];
        CU_ASSERT_FALSE(RsProcess_HasEnded(&entry->process, &status));
        CU_ASSERT_EQUAL(
            RsCaller_SendRequest(cluster, entry, "GET", "k0", TIMEOUT_MS)
                .outcome,
            RsLoad_ANSWERED);
    }
}

static void
send_oversized_requests(uint16_t port)
{
    GString *text = g_string_new("");
    g_string_printf(text,
                    "POST /listas/k0 HTTP/1.1\r\nHost: a\r\n"
                    "Content-Length: %d\r\n\r\n",
                    BODY_BYTES);
    size_t head_bytes = text->len;
    g_string_set_size(text, head_bytes + BODY_BYTES);
    memset(text->str + head_bytes, 'a', BODY_BYTES);
    CU_ASSERT_EQUAL(exchange(port, text->str, text->len, false), 413);
    g_string_assign(text, "GET /listas/k0 HTTP/1.1\r\nHost: a\r\nX-Long: ");
    head_bytes = text->len;
    g_string_set_size(text, head_bytes + LONG_HEADER_BYTES);
    memset(text->str + head_bytes, 'b', LONG_HEADER_BYTES);
    g_string_append(text, "\r\n\r\n");
    CU_ASSERT_EQUAL(exchange(port, text->str, text->len, false), 431);
    g_string_free(text, TRUE);
}

static void
send_malformed_requests(uint16_t port)
{
    CU_ASSERT_EQUAL(exchange_text(port, "nonsense\r\n\r\n", false), 400);
    CU_ASSERT_EQUAL(
        exchange_text(port, "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false), 400);
    CU_ASSERT_EQUAL(exchange_text(port,
                                  "GET /nobody/k0 HTTP/1.1\r\nHost: a\r\n\r\n",
                                  false),
                    404);
    CU_ASSERT_EQUAL(
        exchange_text(port, "GET /listas HTTP/1.1\r\nHost: a\r\n\r\n", false),
        400);
    int status = exchange_text(port,
                               "POST /listas/k0 HTTP/1.1\r\nHost: a\r\n"
                               "Content-Length: -5\r\n\r\n",
                               false);
    CU_ASSERT(status == 400 || status == 413);
}

/* Sends incomplete requests and then closes the sending direction of the
 * connection. The answer must be 400 or none. */
static void
send_incomplete_requests(uint16_t port)
{
    int status =
        exchange_text(port, "GET /listas/k0 HTTP/1.1\r\nHost: a\r\n", true);
    CU_ASSERT(status == 0 || status == 400);
    status = exchange_text(port,
                           "POST /listas/k0 HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 10\r\n\r\nabc",
                           true);
    CU_ASSERT(status == 0 || status == 400);
}

/* Sends random bytes, then 0xff bytes, then zeros to each port of an entry
 * process. No port may answer 200. */
static void
send_garbage(const struct rs_cluster_entry *entry)
{
    char garbage[GARBAGE_BYTES];
    const uint16_t ports[] = {entry->callers_port, entry->admin_port,
                              entry->control_port, entry->relay_port};
    GRand *random = g_rand_new_with_seed(SEED);
    for (size_t i = 0; i < G_N_ELEMENTS(ports); i++) {
        for (size_t j = 0; j < GARBAGE_BYTES; j++) {
            garbage[j] = (char)g_rand_int(random);
        }
        CU_ASSERT_NOT_EQUAL(
            exchange(ports[i], garbage, sizeof(garbage), false), 200);
        memset(garbage, 0xff, sizeof(garbage));
        CU_ASSERT_NOT_EQUAL(
            exchange(ports[i], garbage, sizeof(garbage), false), 200);
        memset(garbage, 0, sizeof(garbage));
        CU_ASSERT_NOT_EQUAL(exchange(ports[i], garbage, sizeof(garbage), true),
                            200);
    }
    g_rand_free(random);
}

/* Callers that send the first bytes of their requests one by one, with pauses,
 * must not keep other callers from being answered, and get their answers once
 * they have sent the rest. */
static void
send_slowly(struct rs_cluster *cluster, uint16_t port)
{
    static const char text[] = "GET /listas/k0 HTTP/1.1\r\nHost: a\r\n\r\n";
    int callers[SLOW_CALLER_COUNT];
    for (size_t i = 0; i < SLOW_CALLER_COUNT; i++) {
        callers[i] = connect_to(port);
    }
    for (size_t offset = 0; offset < SLOW_BYTES; offset++) {
        for (size_t i = 0; i < SLOW_CALLER_COUNT; i++) {
            send_all(callers[i], text + offset, 1);
        }
        RsCluster_SleepMs(SLOW_BYTE_INTERVAL_MS);
    }
    expect_serving(cluster);
    for (size_t i = 0; i < SLOW_CALLER_COUNT; i++) {
        send_all(callers[i], text + SLOW_BYTES, sizeof(text) - 1 - SLOW_BYTES);
    }
    for (size_t i = 0; i < SLOW_CALLER_COUNT; i++) {
        CU_ASSERT_EQUAL(read_status(callers[i]), 200);
        close(callers[i]);
    }
}

void
test_bad_input(void)
{
    struct rs_scenario scenario;
    if (RsScenario_Start(&scenario, &one_domain)) {
        const struct rs_cluster_entry *entry = &scenario.cluster->entries[0];
        send_oversized_requests(entry->callers_port);
        expect_serving(scenario.cluster);
        send_malformed_requests(entry->callers_port);
        send_incomplete_requests(entry->callers_port);
        expect_serving(scenario.cluster);
        send_garbage(entry);
        expect_serving(scenario.cluster);
        send_slowly(scenario.cluster, entry->callers_port);
        CU_ASSERT(RsScenario_StopStream(&scenario, 0) <=
                  RsCluster_SERVED_WITHIN_MS);
    }
    RsScenario_Finish(&scenario);
}
