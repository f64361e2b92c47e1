#include "router/metrics.h"

#include <inttypes.h>

#include "core/clock.h"

static void
print_counter(struct rs_text_buffer *text, const char *name, const char *help,
              const struct rs_counter *counter)
{
    RsCounter_AppendText(text, name, "", help, "counter", counter);
}

/* Appends counters and histograms of the node to `text`, in the Prometheus
 * text format. */
void
RsMetrics_Print(struct rs_text_buffer *text,
                const struct rs_metrics_sources *sources)
{
    const struct rs_router_counters *router = &sources->router->counters;
    const struct rs_store_counters *store = sources->store_counters;
    print_counter(text, "rattanshed_requests_total", "Requests of callers.",
                  &router->requests);
    print_counter(text, "rattanshed_answered_total", "Targets' answers.",
                  &router->answered);
    print_counter(text, "rattanshed_refused_total",
                  "Requests that were not run.", &router->refused);
    print_counter(text, "rattanshed_refused_suspects_total",
                  "Requests refused because targets crashed under them.",
                  &router->suspected);
    print_counter(text, "rattanshed_not_admitted_total",
                  "Requests refused because the owner of their key is "
                  "overloaded.",
                  &router->not_admitted);
    print_counter(text, "rattanshed_admitted_by_place_total",
                  "Requests admitted because they came back when they were "
                  "told to.",
                  &router->placed);
    print_counter(text, "rattanshed_refused_again_total",
                  "Requests refused at an overloaded owner within some "
                  "seconds of a request like it.",
                  &router->refused_again);
    print_counter(text, "rattanshed_failed_total",
                  "Requests that may have been run.", &router->failed);
    print_counter(text, "rattanshed_rejected_total",
                  "Requests that can't be served.", &router->rejected);
    print_counter(text, "rattanshed_abandoned_total",
                  "Requests whose caller left.", &router->abandoned);
    print_counter(text, "rattanshed_attempts_total", "Sends to targets.",
                  &router->attempts);
    print_counter(text, "rattanshed_repeats_total",
                  "Sends beyond the first of a request.",
                  &router->extra_attempts);
    const struct rs_notice_counters *notices = &sources->router->notices;
    print_counter(text, "rattanshed_targets_leaving_total",
                  "Targets that said in an answer that they leave.",
                  &notices->leaving);
    print_counter(text, "rattanshed_targets_closed_total",
                  "Refusals of targets with a time to come back.",
                  &notices->closed);
    print_counter(text, "rattanshed_retry_after_malformed_total",
                  "Such times that could not be used.", &notices->malformed);
    print_counter(text, "rattanshed_limits_stated_total",
                  "Answers of targets that stated a request limit.",
                  &notices->limited);
    print_counter(text, "rattanshed_limits_malformed_total",
                  "Such limits that could not be used.",
                  &notices->malformed_limits);
    print_counter(text, "rattanshed_tunnels_total",
                  "Tunnels to targets opened for other nodes.",
                  &sources->tunnels->opened);
    print_counter(text, "rattanshed_tunnels_refused_total",
                  "Tunnels that other nodes did not get.",
                  &sources->tunnels->refused);
    print_counter(text, "rattanshed_tunnels_failed_total",
                  "Tunnels whose target could not be reached.",
                  &sources->tunnels->failed);
    RsHistogram_AppendText(text, "rattanshed_request_us", "",
                           "From a request's arrival to its end.",
                           &router->latency_us);
    RsHistogram_AppendText(text, "rattanshed_attempt_us", "",
                           "From a send to the target's whole answer.",
                           &router->attempt_us);
    print_counter(text, "rattanshed_store_calls_total", "Calls to the store.",
                  &store->calls);
    print_counter(text, "rattanshed_store_failures_total",
                  "Calls without a good answer.", &store->failures);
    print_counter(text, "rattanshed_store_received_bytes_total",
                  "Bytes of the store's answers.", &store->received_bytes);
    print_counter(text, "rattanshed_orders_total", "Grants and releases sent.",
                  &sources->orders->sent);
    print_counter(text, "rattanshed_orders_failed_total",
                  "Grants and releases without an answer.",
                  &sources->orders->failed);
}

static void
print_targets(struct rs_text_buffer *text, const struct rs_router *router,
              int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    const char *comma = "";
    g_hash_table_iter_init(&iter, router->fleet.targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_fleet_target *target = value;
        RsText_Append(
            text,
            "%s{\"id\":\"%s\",\"service\":\"%s\",\"zone\":\"%s\","
            "\"listed\":%s,\"may_take_work\":%s,\"in_flight\":%u,"
            "\"ahead\":%.1f,\"service_ms\":%.1f,\"failures\":%u,"
            "\"limit_per_s\":%.3f}",
            comma, target->id, target->report.service, target->report.zone,
            target->listed ? "true" : "false",
            RsFleet_MayTakeWork(&router->fleet, target, now_ms) ? "true"
                                                                : "false",
            target->in_flight, RsLoad_CountOutstanding(target, now_ms),
            target->service_ms, target->failures, target->limit.per_s);
        comma = ",";
    }
}

/* Appends the state of the node to `text`, as JSON: the targets and key owners
 * that the node knows, and the granter. */
void
RsMetrics_PrintState(struct rs_text_buffer *text,
                     const struct rs_metrics_sources *sources)
{
    const struct rs_router *router = sources->router;
    int64_t now_ms = RsClock_NowMs();
    GHashTableIter iter;
    gpointer value;
    const char *comma = "";
    RsText_Append(
        text,
        "{\"config_version\":%" PRIu32 ",\"nodes\":%" PRIu32
        ",\"isolated\":%s,\"granter\":\"%s\",\"authority_left_ms\":%" PRId64
        ",\"active\":%u,\"waiting\":%u,\"targets\":[",
        router->config != NULL ? router->config->version : 0,
        router->share.nodes, router->paths.isolated ? "true" : "false",
        sources->granter->holder.node,
        sources->granter->authority_until_ms - now_ms, router->active.length,
        router->schedule.count);
    print_targets(text, router, now_ms);
    RsText_Append(text, "],\"keys\":[");
    g_hash_table_iter_init(&iter, router->keymaps);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_router_keymap *keys = value;
        char *map = RsKeymap_Encode(keys->map);
        RsText_Append(text, "%s{\"service\":\"%s\",\"map\":%s}", comma,
                      keys->map->service, map);
        g_free(map);
        comma = ",";
    }
    RsText_Append(text, "]}\n");
}
