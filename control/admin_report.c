/* Reports of the admin API: status, dump, owner of a key, ticket progress and
 * metrics. */

#include <string.h>

#include "control/state.h"
#include "core/clock.h"
#include "core/id.h"
#include "place/slice.h"
#include "wire/link.h"

#define MAX_MEMBERS 4096
#define UNREACHABLE_AFTER_SILENCE_MS 5000

static json_t *
member_json(const struct rs_member *member, int64_t now_ms)
{
    return json_pack("{s:s,s:s,s:I,s:I,s:b,s:I}", "name", member->name,
                     "domain", member->domain, "applied_ticket",
                     (json_int_t)member->applied_ticket, "applied_revision",
                     (json_int_t)member->applied_revision, "leaving",
                     member->leaving, "heard_ms_ago",
                     (json_int_t)(now_ms - member->heard_at_ms));
}

static json_t *
members_json(const struct rs_control *control, int64_t now_ms)
{
    const struct rs_member **list =
        g_new(const struct rs_member *, MAX_MEMBERS);
    size_t count = RsMembers_List(control->members, list, MAX_MEMBERS);
    json_t *members = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(members, member_json(list[i], now_ms));
    }
    g_free(list);
    return members;
}

static uint64_t
applied_ticket(const struct rs_control *control)
{
    return control->config != NULL ? RsConfig_AppliedTicket(control->config)
                                   : 0;
}

/* Returns the status of this process as a new JSON object. */
json_t *
RsControlReport_Status(const struct rs_control *control)
{
    int64_t now_ms = RsClock_NowMs();
    const struct rs_view_cell *cell = RsLeases_Cell(control->leases);
    char incarnation[RsId_TEXT_BYTES];
    RsId_Format(control->options.incarnation, incarnation);
    return json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:b,s:b,s:b,s:i,s:I,s:o}", "name",
        control->settings->name, "version", RATTANSHED_VERSION, "incarnation",
        incarnation, "region", control->settings->region, "domain",
        control->settings->domain, "cell", cell != NULL ? cell->row.cell : "",
        "applied_ticket", (json_int_t)applied_ticket(control),
        "applied_revision",
        (json_int_t)RsMirror_Revision(RsFeed_Mirror(control->feed)),
        "platform_answers", RsFeed_PlatformAnswers(control->feed, now_ms),
        "table_was_read", RsFeed_TableWasRead(control->feed), "leaving",
        control->leaving, "held_slices",
        (int)RsLeases_HeldCount(control->leases), "up_ms",
        (json_int_t)(now_ms - control->started_at_ms), "members",
        members_json(control, now_ms));
}

/* Returns, as a new JSON object, which entry VMs have applied a ticket, which
 * are behind, and which are not known to have been alive within the last
 * UNREACHABLE_AFTER_SILENCE_MS (`unreachable`). The ticket is in force when
 * all have applied it and none is unreachable. */
json_t *
RsControlReport_TicketProgress(const struct rs_control *control,
                               uint64_t number)
{
    int64_t now_ms = RsClock_NowMs();
    json_t *applied = json_array();
    json_t *behind = json_array();
    json_t *unreachable = json_array();
    const struct rs_view_vm *vms = NULL;
    size_t count = control->view != NULL ? RsView_Vms(control->view, &vms) : 0;
    for (size_t i = 0; i < count; i++) {
        if (!vms[i].is_entry) {
            continue;
        }
        const char *name = vms[i].name;
        const struct rs_member *member =
            RsMembers_Find(control->members, name);
        bool self = strcmp(name, control->settings->name) == 0;
        bool heard =
            self || (member != NULL && now_ms - member->heard_at_ms <
                                           UNREACHABLE_AFTER_SILENCE_MS);
        uint64_t member_ticket = self             ? applied_ticket(control)
                                 : member != NULL ? member->applied_ticket
                                                  : 0;
        json_t *list = member_ticket >= number ? applied : behind;
        json_array_append_new(heard ? list : unreachable, json_string(name));
    }
    bool in_force = count > 0 && json_array_size(behind) == 0 &&
                    json_array_size(unreachable) == 0;
    return json_pack("{s:I,s:b,s:o,s:o,s:o}", "number", (json_int_t)number,
                     "in_force", in_force, "applied", applied, "behind",
                     behind, "unreachable", unreachable);
}

static json_t *
succession_json(const struct rs_model_assignment *assignment)
{
    json_t *list = json_array();
    for (size_t i = 0; i < assignment->succession_count; i++) {
        json_array_append_new(list, json_string(assignment->succession[i]));
    }
    return list;
}

/* Adds the owner, the fence step and whether the slice is held, as far as this
 * process knows them for the present epoch. */
static void
add_owner(const struct rs_control *control,
          const struct rs_model_assignment *assignment, json_t *owner)
{
    uint64_t slice = assignment->slice;
    struct rs_cell_view slice_view;
    int64_t now_ms = RsClock_NowMs();
    if (!RsLeases_GetSliceView(control->leases, now_ms, slice, &slice_view) ||
        slice_view.claim.fence.epoch != assignment->epoch) {
        return;
    }
    size_t position = slice_view.claim.position;
    if (position < assignment->succession_count) {
        json_object_set_new(owner, "owner",
                            json_string(assignment->succession[position]));
    }
    json_object_set_new(owner, "step",
                        json_integer((json_int_t)slice_view.claim.fence.step));
    json_object_set_new(owner, "held", json_boolean(slice_view.holder != 0));
}

/* Returns the rule, slice, cell and owner of a key as a new JSON object, or
 * NULL when no rule covers the key. Only members of the cell know the present
 * position in the succession, so only they report the owner. */
json_t *
RsControlReport_Owner(const struct rs_control *control, const char *service,
                      const char *key)
{
    char id[RsId_TEXT_BYTES];
    const struct rs_model_rule *rule =
        control->config != NULL
            ? RsConfig_RuleOfKey(control->config, service, key, strlen(key))
            : NULL;
    if (rule == NULL) {
        return NULL;
    }
    uint32_t index = RsSlice_IndexOfKey(key, strlen(key), rule->slices);
    uint64_t slice = RsSlice_Id(rule->name, index);
    struct rs_model_assignment assignment;
    RsId_Format(slice, id);
    json_t *owner =
        json_pack("{s:s,s:s,s:s,s:I,s:s}", "service", service, "key", key,
                  "rule", rule->name, "index", (json_int_t)index, "slice", id);
    if (RsView_Assignment(control->view, slice, &assignment)) {
        json_object_set_new(owner, "epoch",
                            json_integer((json_int_t)assignment.epoch));
        json_object_set_new(owner, "cell", json_string(assignment.cell));
        json_object_set_new(owner, "succession", succession_json(&assignment));
        add_owner(control, &assignment, owner);
    }
    return owner;
}

/* Returns the control task's part of a dump as a new JSON object. */
json_t *
RsControlReport_Dump(const struct rs_control *control)
{
    json_t *dump = RsControlReport_Status(control);
    json_object_set_new(dump, "process", json_string(control->settings->name));
    json_object_set_new(dump, "leases",
                        RsLeases_Dump(control->leases, RsClock_NowMs()));
    json_object_set_new(dump, "mirror_rows",
                        json_integer((json_int_t)RsMirror_RowCount(
                            RsFeed_Mirror(control->feed))));
    return dump;
}

struct metric {
    const char *name;
    const char *help;
    const char *type;
    const struct rs_counter *counter;
};

static void
print_metrics(struct rs_text_buffer *text, const struct metric *metrics,
              size_t count)
{
    for (size_t i = 0; i < count; i++) {
        RsCounter_AppendText(text, metrics[i].name, "", metrics[i].help,
                             metrics[i].type, metrics[i].counter);
    }
}

static void
print_front(struct rs_text_buffer *text, const struct rs_front_counters *c)
{
    const struct metric metrics[] = {
        {"rattanshed_requests_total", "Requests of callers.", "counter",
         &c->requests},
        {"rattanshed_answered_total", "Answered whole.", "counter",
         &c->answered},
        {"rattanshed_not_run_total", "Refused; nothing was done.", "counter",
         &c->not_run},
        {"rattanshed_unknown_total", "Ended with an unknown outcome.",
         "counter", &c->unknown},
        {"rattanshed_bad_total", "Could not be understood or routed.",
         "counter", &c->rejected},
        {"rattanshed_broken_total", "Broke off while streaming.", "counter",
         &c->broken},
        {"rattanshed_left_total", "Callers who went away.", "counter",
         &c->disconnected},
        {"rattanshed_tries_total", "Tries, first ones too.", "counter",
         &c->attempts},
        {"rattanshed_redirects_total", "Tries sent on elsewhere.", "counter",
         &c->redirects},
        {"rattanshed_hedges_total", "Second copies of file requests.",
         "counter", &c->hedges},
        {"rattanshed_open_requests", "Requests without a final answer.",
         "gauge", &c->open},
    };
    print_metrics(text, metrics, G_N_ELEMENTS(metrics));
    RsHistogram_AppendText(text, "rattanshed_latency_us", "",
                           "Time from arrival to the answer's head.",
                           &c->latency_us);
}

static void
print_targets(struct rs_text_buffer *text, const struct rs_target_counters *c)
{
    const struct metric metrics[] = {
        {"rattanshed_target_sent_total", "Requests sent to targets.",
         "counter", &c->sent},
        {"rattanshed_target_done_total", "Answered by targets.", "counter",
         &c->done},
        {"rattanshed_target_not_run_total", "Refused before any effect.",
         "counter", &c->not_run},
        {"rattanshed_target_unknown_total", "Outcome not known.", "counter",
         &c->unknown},
        {"rattanshed_target_mismatched_total",
         "Answers that were cut or another request's.", "counter",
         &c->mismatched},
        {"rattanshed_target_refused_total", "Refused by targets.", "counter",
         &c->refused_by_target},
        {"rattanshed_target_cancelled_total", "Dropped for their callers.",
         "counter", &c->cancelled},
        {"rattanshed_grants_total", "Grants acknowledged.", "counter",
         &c->grants},
        {"rattanshed_target_restarts_total", "Restarts seen.", "counter",
         &c->restarts},
    };
    print_metrics(text, metrics, G_N_ELEMENTS(metrics));
    RsHistogram_AppendText(text, "rattanshed_run_us", "",
                           "Time from sending to the target's whole answer.",
                           &c->run_us);
}

static void
print_control(struct rs_text_buffer *text, const struct rs_control *control)
{
    const struct rs_lease_counters *l = RsLeases_Counters(control->leases);
    const struct rs_planning_counters *p =
        RsPlanning_Counters(control->planning);
    const struct metric metrics[] = {
        {"rattanshed_held_slices", "Slices held.", "gauge", &l->held},
        {"rattanshed_claims_total", "Claims begun.", "counter", &l->claims},
        {"rattanshed_claims_won_total", "Claims won.", "counter", &l->won},
        {"rattanshed_leases_lost_total", "Leases that lapsed.", "counter",
         &l->expired},
        {"rattanshed_released_total", "Slices given back.", "counter",
         &l->released},
        {"rattanshed_owner_changes_total",
         "Slices that this process gave to another target.", "counter",
         &l->owner_changes},
        {"rattanshed_seals_total", "Former cells asked to give up.", "counter",
         &l->seals},
        {"rattanshed_planning_rounds_total", "Rounds of planning.", "counter",
         &p->rounds},
        {"rattanshed_planning_us_total", "Time spent planning.", "counter",
         &p->round_us},
        {"rattanshed_planning_commits_total", "Rows committed.", "counter",
         &p->commits},
        {"rattanshed_planning_conflicts_total",
         "Commits that another process was before.", "counter", &p->conflicts},
        {"rattanshed_planned_moves_total", "Owners changed by plans.",
         "counter", &p->moves},
        {"rattanshed_balance_moves_total",
         "Owners changed within the cell for their load.", "counter",
         &p->balance_moves},
        {"rattanshed_heartbeats_total", "Heartbeats sent.", "counter",
         &control->heartbeats_sent},
        {"rattanshed_snapshots_total", "Routing snapshots made.", "counter",
         &control->snapshots},
        {"rattanshed_snapshot_us_total", "Time spent on snapshots.", "counter",
         &control->snapshot_us},
        {"rattanshed_platform_calls_total", "Calls to the platform.",
         "counter", &control->platform->calls},
        {"rattanshed_platform_failures_total",
         "Calls to the platform without an answer.", "counter",
         &control->platform->failures},
    };
    print_metrics(text, metrics, G_N_ELEMENTS(metrics));
}

static void
print_gauge(struct rs_text_buffer *text, const char *name, const char *help,
            uint64_t value)
{
    struct rs_counter counter = {0};
    RsCounter_Set(&counter, value);
    RsCounter_AppendText(text, name, "", help, "gauge", &counter);
}

/* Prints all metrics in the Prometheus text format. */
void
RsControlReport_Metrics(const struct rs_control *control,
                        struct rs_text_buffer *text)
{
    struct rs_link_totals totals = RsLink_Totals();
    print_front(text, control->options.front_counters);
    print_targets(text, control->options.target_counters);
    print_control(text, control);
    print_gauge(text, "rattanshed_applied_ticket",
                "Highest ticket in force here.", applied_ticket(control));
    print_gauge(text, "rattanshed_applied_revision",
                "Revision of the table in force here.",
                RsMirror_Revision(RsFeed_Mirror(control->feed)));
    print_gauge(text, "rattanshed_control_sent_bytes",
                "Bytes sent on control links.", totals.sent_bytes);
    print_gauge(text, "rattanshed_control_received_bytes",
                "Bytes received on control links.", totals.received_bytes);
}
