#include "router/metrics.h"

#include <inttypes.h>

#include "core/clock.h"
#include "router/owners.h"
#include "router/quota_exchange.h"

static void
print_counter(struct rs_text_buffer *text, const char *name, const char *help,
              const struct rs_counter *counter)
{
    RsCounter_AppendText(text, name, "", help, "counter", counter);
}

/* Appends the value of a label. */
static void
print_escaped(struct rs_text_buffer *text, const char *value)
{
    for (; *value != '\0'; value++) {
        bool special = *value == '"' || *value == '\\' || *value == '\n';
        RsText_Append(text, special ? "\\%c" : "%c",
                      *value == '\n' ? 'n' : *value);
    }
}

/* Appends a metric of the busiest workspaces and of all others together, so
 * that the number of series is bounded. They are gauges, since workspaces may
 * join the busiest and leave them. `offset` is that of the value in struct
 * rs_workspaces_usage. */
static void
print_usages(struct rs_text_buffer *text, const char *name, const char *help,
             const struct rs_workspaces *workspaces, size_t offset)
{
    RsText_Append(text, "# HELP %s %s\n# TYPE %s gauge\n", name, help, name);
    for (uint32_t i = 0; i < workspaces->busiest_count; i++) {
        const struct rs_workspaces_usage *usage = &workspaces->busiest[i];
        RsText_Append(text, "%s{workspace=\"", name);
        print_escaped(text, usage->name);
        RsText_Append(text, "\"} %" PRIu32 "\n",
                      G_STRUCT_MEMBER(uint32_t, usage, offset));
    }
    RsText_Append(text, "%s{others=\"true\"} %" PRIu32 "\n", name,
                  G_STRUCT_MEMBER(uint32_t, &workspaces->rest, offset));
}

static void
print_workspaces(struct rs_text_buffer *text,
                 const struct rs_workspaces *workspaces)
{
    print_counter(text, "rattanshed_unauthorized_total",
                  "Requests without a valid API key.",
                  &workspaces->unauthorized_total);
    print_counter(text, "rattanshed_refused_unconfirmed_total",
                  "Requests refused because API keys could not be trusted.",
                  &workspaces->unconfirmed_total);
    print_usages(text, "rattanshed_workspace_requests",
                 "Requests that ended in the last whole minute.", workspaces,
                 offsetof(struct rs_workspaces_usage, requests));
    print_usages(text, "rattanshed_workspace_not_run",
                 "Of these, requests that were not run.", workspaces,
                 offsetof(struct rs_workspaces_usage, not_run));
}

static void
print_quotas(struct rs_text_buffer *text,
             const struct rs_quota_counters *counters)
{
    print_counter(text, "rattanshed_quota_over_total",
                  "Requests refused because their workspace was over its "
                  "quota.",
                  &counters->over);
    print_counter(text, "rattanshed_quota_unknown_total",
                  "Requests refused because no granter gave tokens.",
                  &counters->unknown);
    print_counter(text, "rattanshed_quota_waited_total",
                  "Requests that waited for a token.", &counters->waited);
    print_counter(text, "rattanshed_quota_returned_total",
                  "Tokens of requests that did not run.", &counters->returned);
    print_counter(text, "rattanshed_quota_asked_total",
                  "Requests for tokens sent to the granter.",
                  &counters->asked);
    print_counter(text, "rattanshed_quota_answered_total",
                  "Requests for tokens that this node answered as granter.",
                  &counters->answered);
    print_counter(text, "rattanshed_quota_granted_total",
                  "Tokens that this node granted.", &counters->granted);
}

static void
print_refusals(struct rs_text_buffer *text,
               const struct rs_router_counters *router)
{
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
    print_counter(text, "rattanshed_refused_hot_keys_total",
                  "Requests refused because their key has more than its owner "
                  "can run.",
                  &router->hot_key);
    print_counter(text, "rattanshed_refused_again_total",
                  "Requests refused at an overloaded owner within some "
                  "seconds of a request like it.",
                  &router->refused_again);
}

static void
print_callers(struct rs_text_buffer *text,
              const struct rs_server_counters *callers)
{
    print_counter(text, "rattanshed_callers_refused_total",
                  "Requests refused while they arrived because there was no "
                  "memory for them.",
                  &callers->refused);
    print_counter(text, "rattanshed_callers_stalled_total",
                  "Connections closed without progress to make room in "
                  "memory.",
                  &callers->stalled);
    print_counter(text, "rattanshed_callers_unfinished_total",
                  "Connections closed without a whole request, or idle, in "
                  "favour of new ones.",
                  &callers->unfinished);
    print_counter(text, "rattanshed_callers_not_accepted_total",
                  "New connections closed above their highest number.",
                  &callers->not_accepted);
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
    print_refusals(text, router);
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
    print_counter(text, "rattanshed_target_speed_changes_total",
                  "Logged changes of the learned speed of targets.",
                  &router->speed_changes);
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
    print_callers(text, sources->callers);
    print_workspaces(text, &sources->router->workspaces);
    if (sources->router->quotas != NULL) {
        print_quotas(text, RsQuotaExchange_Counters(sources->router->quotas));
    }
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
    print_counter(text, "rattanshed_renewals_without_connection_total",
                  "Renewals not sent, for want of a connection on which their "
                  "fence was known.",
                  &sources->orders->without_connection);
}

/* Returns how many requests of the route with the lowest latency target may be
 * outstanding at the target; 0 if its speed is not learned. */
static double
concurrency_limit(const struct rs_router *router,
                  const struct rs_fleet_target *target)
{
    if (router->config == NULL || target->concurrency.service_ms <= 0) {
        return 0;
    }
    return RsLoad_ConcurrencyLimit(
        target, 0,
        RsOwners_LatencyTargetMs(router->config, target->report.service));
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
        RsText_Append(text, "%s{\"id\":", comma);
        RsText_AppendQuoted(text, target->id);
        RsText_Append(text, ",\"service\":");
        RsText_AppendQuoted(text, target->report.service);
        RsText_Append(text, ",\"zone\":");
        RsText_AppendQuoted(text, target->report.zone);
        RsText_Append(
            text,
            ",\"listed\":%s,\"may_take_work\":%s,\"in_flight\":%u,"
            "\"ahead\":%.1f,\"service_ms\":%.1f,\"failures\":%u,"
            "\"orders_failing_ms\":%" PRId64 ","
            "\"limit_per_s\":%.3f,\"speed_factor\":%.2f,"
            "\"expected_work_ms\":%.1f,\"work_samples\":%.1f,"
            "\"concurrency_limit\":%.0f}",
            target->listed ? "true" : "false",
            RsFleet_MayTakeWork(&router->fleet, target, now_ms) ? "true"
                                                                : "false",
            target->in_flight, RsLoad_CountOutstanding(target, now_ms),
            target->service_ms, target->failures,
            target->reachability.failing_since_ms > 0
                ? now_ms - target->reachability.failing_since_ms
                : 0,
            target->limit.per_s, target->concurrency.factor,
            target->concurrency.service_ms, target->concurrency.all.samples,
            concurrency_limit(router, target));
        comma = ",";
    }
}

static void
print_hot_keys(struct rs_text_buffer *text, const struct rs_hot_keys *hot)
{
    for (size_t i = 0; i < hot->count; i++) {
        const struct rs_hot_key *key = &hot->keys[i];
        RsText_Append(text, "%s{\"service\":", i > 0 ? "," : "");
        RsText_AppendQuoted(text, key->service);
        RsText_Append(text,
                      ",\"key\":%u,\"demand_per_s\":%.1f,"
                      "\"admitted_per_s\":%.1f}",
                      key->key, key->demand_per_s, key->admitted_per_s);
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
    RsText_Append(text,
                  "{\"config_version\":%" PRIu32 ",\"nodes\":%" PRIu32
                  ",\"isolated\":%s,\"authority_left_ms\":%" PRId64
                  ",\"active\":%u,\"waiting\":%u,\"config_age_ms\":%" PRId64
                  ",\"granter\":",
                  router->config != NULL ? router->config->version : 0,
                  router->share.nodes,
                  router->paths.isolated ? "true" : "false",
                  sources->granter->authority_until_ms - now_ms,
                  router->active.length, router->schedule.count,
                  router->workspaces.confirmed_at_ms > 0
                      ? now_ms - router->workspaces.confirmed_at_ms
                      : -1);
    RsText_AppendQuoted(text, sources->granter->holder.node);
    RsText_Append(text, ",\"targets\":[");
    print_targets(text, router, now_ms);
    RsText_Append(text, "],\"hot_keys\":[");
    print_hot_keys(text, &router->hot_keys);
    RsText_Append(text, "],\"keys\":[");
    g_hash_table_iter_init(&iter, router->keymaps);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_router_keymap *keys = value;
        char *map = RsKeymap_Encode(keys->map);
        RsText_Append(text, "%s{\"service\":", comma);
        RsText_AppendQuoted(text, keys->map->service);
        RsText_Append(text, ",\"map\":%s}", map);
        g_free(map);
        comma = ",";
    }
    RsText_Append(text, "]}\n");
}
