#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "core/clock.h"
#include "core/id.h"
#include "standin/load.h"
#include "standin/load_entries.h"
#include "standin/load_http.h"
#include "standin/load_report.h"

#define HEALTH_EVERY_MS 500
#define HEALTH_TIMEOUT_US 1000000
#define US_PER_S 1000000
#define US_PER_MS 1000
#define NS_PER_US 1000
#define ID_BYTES 64
#define KEY_BYTES 16

struct load;

/* The health check of one entry process. */
struct health_check {
    struct load *load;
    struct rs_load_exchange exchange;
    bool in_progress;
};

/* The state of the run. */
struct load {
    const struct rs_load_options *options;
    uv_loop_t loop;
    struct rs_load_http http;
    struct rs_load_entries entries;
    struct health_check health_checks[RsLoadEntries_MAX];
    uv_timer_t health_timer;
    struct rs_load_traffic *traffic;
    struct rs_load_report *report;
    struct rs_load_arrival next; /* the next request to send */
    int64_t started_at_us;
    int timer_fd; /* libuv's timers only have a resolution of 1 ms */
    uv_poll_t send_timer;
    uint64_t sent_count;
    size_t in_flight;
    bool sending_done; /* all requests were sent */
};

/* One request, from its intended time until its end. */
struct request {
    struct load *load;
    struct rs_load_arrival arrival;
    struct rs_load_exchange exchange;
    char id[ID_BYTES];
    char key[KEY_BYTES];
    char *text;
    int64_t wall_sent_us; /* first attempt, for the log */
    size_t attempts;      /* 1 plus the number of refused connections */
};

static const char *const methods[RsLoad_CLASS_COUNT] = {"GET", "POST", "GET"};

static const char health_text[] = "GET /health HTTP/1.1\r\n"
                                  "Host: entry\r\n\r\n";

static void
on_health(struct rs_load_exchange *exchange, enum rs_load_http_result result)
{
    struct health_check *check = exchange->arg;
    bool is_up =
        result == RsLoadHttp_ANSWERED && exchange->answer.status == 200;
    RsLoadEntries_Set(&check->load->entries, exchange->entry, is_up);
    check->in_progress = false;
}

/* Starts a health check of each entry process that has none in progress. */
static void
check_health(uv_timer_t *timer)
{
    struct load *load = timer->data;
    for (size_t i = 0; i < load->entries.count; i++) {
        struct health_check *check = &load->health_checks[i];
        struct rs_load_exchange *exchange = &check->exchange;
        struct rs_load_expected expected = {"", "", false};
        if (check->in_progress) {
            continue;
        }
        check->load = load;
        check->in_progress = true;
        exchange->entry = i;
        exchange->request = health_text;
        exchange->request_bytes = sizeof(health_text) - 1;
        exchange->give_up_at_us = RsClock_NowUs() + HEALTH_TIMEOUT_US;
        exchange->done = on_health;
        exchange->arg = check;
        RsLoadAnswer_Init(&exchange->answer, &expected);
        RsLoadHttp_Send(&load->http, exchange);
    }
}

static enum rs_load_outcome
get_outcome(const struct rs_load_exchange *exchange,
            enum rs_load_http_result result)
{
    switch (result) {
    case RsLoadHttp_ANSWERED:
        return RsLoadAnswer_Classify(&exchange->answer);
    case RsLoadHttp_TIMEOUT:
        return RsLoad_SILENT;
    default:
        return RsLoad_BROKEN;
    }
}

static const char *
get_reason(const struct rs_load_exchange *exchange,
           enum rs_load_http_result result)
{
    switch (result) {
    case RsLoadHttp_ANSWERED:
        return exchange->answer.reason;
    case RsLoadHttp_REFUSED:
        return "connection-refused";
    case RsLoadHttp_CLOSED:
        return "connection-closed";
    default:
        return "no-answer";
    }
}

static void
log_request(const struct request *request, enum rs_load_outcome outcome,
            const char *reason)
{
    const struct load *load = request->load;
    if (load->options->log == NULL) {
        return;
    }
    fprintf(
        load->options->log,
        "{\"id\":\"%s\",\"method\":\"%s\",\"service\":\"%s\",\"key\":\"%s\","
        "\"sent_us\":%lld,\"end_us\":%lld,\"outcome\":\"%s\","
        "\"reason\":\"%s\",\"status\":%d,\"entry\":%zu}\n",
        request->id, methods[request->arrival.class],
        load->options->services[request->arrival.class], request->key,
        (long long)request->wall_sent_us, (long long)RsClock_WallUs(),
        RsLoadAnswer_OutcomeName(outcome), reason,
        request->exchange.answer.status, request->exchange.entry);
}

/* Ends the loop once all requests were sent and have ended. */
static void
stop_when_done(struct load *load)
{
    if (load->sending_done && load->in_flight == 0) {
        uv_stop(&load->loop);
    }
}

static void send_attempt(struct request *request);

/* If the connection was refused, tries again until there were as many attempts
 * as there are entry processes. Otherwise counts and logs the request's end.
 */
static void
on_done(struct rs_load_exchange *exchange, enum rs_load_http_result result)
{
    struct request *request = exchange->arg;
    struct load *load = request->load;
    if (result == RsLoadHttp_REFUSED) {
        RsLoadEntries_Set(&load->entries, exchange->entry, false);
        if (request->attempts < load->entries.count) {
            send_attempt(request);
            return;
        }
    }
    struct rs_load_result ended = {
        .class = request->arrival.class,
        .outcome = get_outcome(exchange, result),
        .key_hash = RsId_FromName(request->key),
        .intended_us = request->arrival.at_us,
        .end_us = RsClock_NowUs() - load->started_at_us,
        .reason = get_reason(exchange, result),
    };
    RsLoadReport_AddResult(load->report, &ended);
    log_request(request, ended.outcome, ended.reason);
    g_free(request->text);
    g_free(request);
    load->in_flight--;
    stop_when_done(load);
}

/* Sends a request to the next entry process. Called again for a request only
 * if its connection was refused, so that nothing was sent. */
static void
send_attempt(struct request *request)
{
    struct load *load = request->load;
    struct rs_load_exchange *exchange = &request->exchange;
    struct rs_load_expected expected = {.request_id = request->id,
                                        .key = request->key,
                                        .is_file = request->arrival.class ==
                                                   RsLoad_FILE};
    request->attempts++;
    exchange->entry = RsLoadEntries_Pick(&load->entries);
    RsLoadAnswer_Init(&exchange->answer, &expected);
    RsLoadHttp_Send(&load->http, exchange);
}

static char *
format_request(const struct load *load, const struct request *request)
{
    enum rs_load_class class = request->arrival.class;
    bool is_post = class == RsLoad_POST;
    return g_strdup_printf(
        "%s /%s/%s HTTP/1.1\r\nHost: entry\r\nX-Request-Id: %s\r\n"
        "X-Timeout-Ms: %lld\r\n%s\r\n%s",
        methods[class], load->options->services[class], request->key,
        request->id, (long long)load->options->timeout_ms,
        is_post ? "Content-Length: 2\r\n" : "", is_post ? "{}" : "");
}

/* Creates a request and sends it. */
static void
send_request(struct load *load, const struct rs_load_arrival *arrival)
{
    struct request *request = g_new0(struct request, 1);
    struct rs_load_exchange *exchange = &request->exchange;
    int64_t max_wait_us =
        (load->options->timeout_ms + load->options->grace_ms) * US_PER_MS;
    load->sent_count++;
    load->in_flight++;
    request->load = load;
    request->arrival = *arrival;
    request->wall_sent_us = RsClock_WallUs();
    snprintf(request->id, sizeof(request->id), "%s-%llu", load->options->name,
             (unsigned long long)load->sent_count);
    snprintf(request->key, sizeof(request->key), "k%07u", arrival->key);
    request->text = format_request(load, request);
    exchange->request = request->text;
    exchange->request_bytes = strlen(request->text);
    exchange->give_up_at_us =
        load->started_at_us + arrival->at_us + max_wait_us;
    exchange->done = on_done;
    exchange->arg = request;
    RsLoadReport_AddSent(load->report, arrival->class,
                         RsId_FromName(request->key), arrival->at_us);
    send_attempt(request);
}

/* Sets the timer to the next request's time, or to the end of the run. */
static void
arm_send_timer(struct load *load)
{
    int64_t at_us = load->started_at_us +
                    MIN(load->next.at_us, load->options->duration_us);
    struct itimerspec at = {
        .it_value = {at_us / US_PER_S, at_us % US_PER_S * NS_PER_US}};
    timerfd_settime(load->timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

/* Sends all requests whose intended time has come, and ends the sending when
 * the duration is over. */
static void
on_send_timer(uv_poll_t *timer, int status, int events)
{
    struct load *load = timer->data;
    uint64_t expiration_count;
    ssize_t got =
        read(load->timer_fd, &expiration_count, sizeof(expiration_count));
    (void)got;
    int64_t now_us = RsClock_NowUs() - load->started_at_us;
    while (load->next.at_us <= now_us &&
           load->next.at_us < load->options->duration_us) {
        send_request(load, &load->next);
        load->next = RsLoadTraffic_Next(load->traffic);
    }
    if (now_us >= load->options->duration_us) {
        load->sending_done = true;
        uv_poll_stop(&load->send_timer);
        stop_when_done(load);
        return;
    }
    arm_send_timer(load);
}

/* Adds the entry processes of the options. Returns 0 or a negative libuv
 * error. */
static int
add_entries(struct load *load)
{
    int result = 0;
    char **addresses = g_strsplit(load->options->entries, ",", -1);
    for (size_t i = 0; addresses[i] != NULL && result == 0; i++) {
        char *colon = strrchr(addresses[i], ':');
        guint64 port = 0;
        if (colon == NULL || !g_ascii_string_to_unsigned(
                                 colon + 1, 10, 1, UINT16_MAX, &port, NULL)) {
            result = UV_EINVAL;
            break;
        }
        *colon = '\0';
        result =
            RsLoadHttp_AddEntry(&load->http, addresses[i], (uint16_t)port);
    }
    load->entries.count = load->http.entry_count;
    g_strfreev(addresses);
    return result;
}

static void
write_json(const struct load *load)
{
    json_t *json = RsLoadReport_Json(load->report);
    json_object_set_new(json, "requests",
                        json_integer((json_int_t)load->sent_count));
    json_object_set_new(
        json, "seconds",
        json_real((double)load->options->duration_us / US_PER_S));
    json_object_set_new(json, "leftover_bytes_events",
                        json_integer((json_int_t)load->http.extra_read_count));
    if (json_dump_file(json, load->options->json_path, JSON_INDENT(1)) != 0) {
        fprintf(stderr, "can't write %s\n", load->options->json_path);
    }
    json_decref(json);
}

static void
start(struct load *load)
{
    load->started_at_us = RsClock_NowUs();
    load->timer_fd = timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK);
    load->next = RsLoadTraffic_Next(load->traffic);
    uv_poll_init(&load->loop, &load->send_timer, load->timer_fd);
    load->send_timer.data = load;
    uv_poll_start(&load->send_timer, UV_READABLE, on_send_timer);
    arm_send_timer(load);
    uv_timer_init(&load->loop, &load->health_timer);
    load->health_timer.data = load;
    uv_timer_start(&load->health_timer, check_health, 0, HEALTH_EVERY_MS);
}

/* Runs the load to its end, prints the report and writes it to `json_path`
 * if that is set. Returns the exit status: 0, or 2 for invalid addresses. */
int
RsLoad_Run(const struct rs_load_options *options)
{
    struct load *load = g_new0(struct load, 1);
    load->options = options;
    uv_loop_init(&load->loop);
    RsLoadHttp_Init(&load->http, &load->loop, options->max_connections);
    if (add_entries(load) != 0 || load->entries.count == 0) {
        fprintf(stderr, "invalid addresses of entry processes: %s\n",
                options->entries);
        return 2;
    }
    load->traffic = RsLoadTraffic_New(&options->traffic);
    load->report = RsLoadReport_New(options->duration_us);
    start(load);
    uv_run(&load->loop, UV_RUN_DEFAULT);
    RsLoadReport_EndWaits(load->report, RsClock_NowUs() - load->started_at_us);
    RsLoadReport_Print(load->report);
    printf("answers followed by extra bytes: %llu\n",
           (unsigned long long)load->http.extra_read_count);
    if (options->json_path != NULL) {
        write_json(load);
    }
    RsLoadTraffic_Free(load->traffic);
    RsLoadReport_Free(load->report);
    g_free(load);
    return 0;
}
