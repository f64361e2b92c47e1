/* Fuzzes concurrent submissions of tickets to a model of the platform's table.
 * A call may fail before or after the table has handled it, be delayed for a
 * long time, or get status 503. The input determines the first steps. A random
 * generator seeded by the input determines the rest, so that short inputs also
 * reach later states.
 *
 * Checks that the log has no gaps and no duplicate numbers, that the objects
 * are those that result from replaying the log, that each ticket in the log
 * was valid for the state before it, and that the outcome that a submission
 * reported stays true. Also checks that no ticket leaves a dangling reference
 * or moves one of a few sample keys to another rule. */

#include <glib.h>
#include <string.h>

#include "ticket/submit.h"
#include "ticket/ticket_fuzz_model.h"

#define SUBMITTER_COUNT 4
#define MAX_CALLS 64
#define MAX_SUBMISSIONS 64
#define MAX_LOG_ENTRIES 64
#define CALL_TIMEOUT_MS 100
#define RETRY_DELAY_MS 50
#define DEADLINE_MS 1000
#define STEP_COUNT 300

/* A read or commit call on its way through the network. */
struct call {
    bool open;
    size_t submission;
    uint32_t action_number;
    enum rs_submit_action_kind kind;
    char key[RsTicket_KEY_BYTES];
    json_t *body;
};

struct submission {
    struct rs_submit *submit;
    bool done;
    struct rs_submit_result result;
};

struct log_entry {
    char digest[RsId_TEXT_BYTES];
    size_t submission;
};

struct simulation {
    struct rs_fuzz_bytes bytes;
    struct rs_fuzz_table table;
    int64_t now_ms;
    struct call calls[MAX_CALLS];
    struct submission submissions[MAX_SUBMISSIONS];
    size_t submission_count;
    /* Index of each submitter's submission; MAX_SUBMISSIONS if none yet. */
    size_t current[SUBMITTER_COUNT];
    struct rs_config *configs[SUBMITTER_COUNT]; /* may lag behind the table */
    struct rs_submit_action actions[SUBMITTER_COUNT];
    struct log_entry log[MAX_LOG_ENTRIES];
    size_t log_count;
    GHashTable *replayed; /* key to JSON value, built from the log only */
};

static void
check_logged_ticket(struct rs_config *before, const json_t *entry)
{
    json_t *body = json_copy((json_t *)entry);
    json_object_del(body, "digest");
    char *text = json_dumps(body, 0);
    struct rs_faults faults = {0};
    struct rs_ticket *ticket = NULL;
    RsFuzz_CHECK(RsTicket_Parse(text, strlen(text), &ticket, &faults) == 0);
    RsFuzz_CHECK(RsTicket_Validate(ticket, before, &faults) == 0);
    RsFuzz_CHECK(strcmp(ticket->digest, json_string_value(json_object_get(
                                            entry, "digest"))) == 0);
    RsTicket_Free(ticket);
    free(text);
    json_decref(body);
}

static void
replay_entry(struct simulation *simulation, const json_t *entry)
{
    const json_t *list = json_object_get(entry, "objects");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *object = json_array_get(list, i);
        char *key = g_strdup_printf(
            "object/%s/%s", json_string_value(json_object_get(object, "kind")),
            json_string_value(json_object_get(object, "name")));
        json_t *value = json_object_get(object, "value");
        if (json_is_null(value)) {
            g_hash_table_remove(simulation->replayed, key);
            g_free(key);
        }
        else {
            g_hash_table_replace(simulation->replayed, key,
                                 json_incref(value));
        }
    }
}

static void
check_and_record_commit(struct simulation *simulation,
                        struct rs_config *before, size_t submission)
{
    char key[RsTicket_KEY_BYTES];
    uint64_t number = simulation->log_count + 1;
    RsTicket_LogKey(number, key);
    struct rs_fuzz_row *row = RsFuzzTable_Find(&simulation->table, key);
    RsFuzz_CHECK(row != NULL && row->version == simulation->table.revision);
    const json_t *head =
        RsFuzzTable_Find(&simulation->table, RsTicket_HEAD_KEY)->value;
    RsFuzz_CHECK((uint64_t)json_integer_value(
                     json_object_get(head, "number")) == number);
    check_logged_ticket(before, row->value);
    struct rs_config *after = RsFuzzTable_Config(&simulation->table);
    RsFuzz_CheckKeysKeepRules(before, after);
    RsConfig_Unref(after);
    replay_entry(simulation, row->value);
    struct log_entry *entry = &simulation->log[simulation->log_count++];
    entry->submission = submission;
    snprintf(entry->digest, sizeof(entry->digest), "%s",
             json_string_value(json_object_get(row->value, "digest")));
}

static int
execute_commit(struct simulation *simulation, const struct call *call)
{
    if (simulation->log_count == MAX_LOG_ENTRIES) {
        return 503;
    }
    struct rs_config *before = RsFuzzTable_Config(&simulation->table);
    bool written = RsFuzzTable_Commit(&simulation->table, call->body);
    if (written) {
        check_and_record_commit(simulation, before, call->submission);
    }
    RsConfig_Unref(before);
    return written ? 200 : 409;
}

static int
execute_get(struct simulation *simulation, const struct call *call,
            json_t **body)
{
    struct rs_fuzz_row *row = RsFuzzTable_Find(&simulation->table, call->key);
    if (row == NULL) {
        return 404;
    }
    *body = json_pack("{s:s, s:I, s:O}", "key", call->key, "version",
                      (json_int_t)row->version, "value", row->value);
    return 200;
}

static int
execute_call(struct simulation *simulation, const struct call *call,
             json_t **body)
{
    return call->kind == RsSubmit_COMMIT ? execute_commit(simulation, call)
                                         : execute_get(simulation, call, body);
}

static void
free_call(struct call *call)
{
    json_decref(call->body);
    *call = (struct call){0};
}

/* Records a submitter's current action. For RsSubmit_DONE, stores the result.
 * For a new GET or COMMIT, opens a call; if MAX_CALLS calls are open, the
 * action gets no response. */
static void
carry_out(struct simulation *simulation, size_t submitter,
          struct rs_submit_action action)
{
    struct submission *submission =
        &simulation->submissions[simulation->current[submitter]];
    bool already_started =
        simulation->actions[submitter].action_number == action.action_number;
    simulation->actions[submitter] = action;
    if (action.kind == RsSubmit_DONE && !submission->done) {
        submission->done = true;
        submission->result = RsSubmit_Result(submission->submit);
    }
    if (already_started ||
        (action.kind != RsSubmit_GET && action.kind != RsSubmit_COMMIT)) {
        return;
    }
    for (size_t i = 0; i < MAX_CALLS; i++) {
        struct call *call = &simulation->calls[i];
        if (!call->open) {
            call->open = true;
            call->submission = simulation->current[submitter];
            call->action_number = action.action_number;
            call->kind = action.kind;
            snprintf(call->key, sizeof(call->key), "%s", action.key);
            call->body = action.kind == RsSubmit_COMMIT
                             ? json_deep_copy(action.body)
                             : NULL;
            return;
        }
    }
}

static bool
is_idle(const struct simulation *simulation, size_t submitter)
{
    size_t current = simulation->current[submitter];
    return current == MAX_SUBMISSIONS || simulation->submissions[current].done;
}

static void
start_submission(struct simulation *simulation, size_t submitter)
{
    if (!is_idle(simulation, submitter) ||
        simulation->submission_count == MAX_SUBMISSIONS) {
        return;
    }
    struct rs_ticket *ticket =
        RsFuzzBytes_MakeTicket(&simulation->bytes, simulation->log_count);
    if (ticket == NULL) {
        return;
    }
    struct rs_submit_options options = {.ticket = ticket,
                                        .deadline_ms =
                                            simulation->now_ms + DEADLINE_MS,
                                        .call_timeout_ms = CALL_TIMEOUT_MS,
                                        .retry_after_ms = RETRY_DELAY_MS};
    size_t index = simulation->submission_count++;
    simulation->submissions[index].submit = RsSubmit_New(&options);
    simulation->current[submitter] = index;
    simulation->actions[submitter] = (struct rs_submit_action){0};
    carry_out(simulation, submitter,
              RsSubmit_Start(simulation->submissions[index].submit,
                             simulation->configs[submitter],
                             simulation->now_ms));
}

static size_t
find_submitter(const struct simulation *simulation, const struct call *call)
{
    for (size_t i = 0; i < SUBMITTER_COUNT; i++) {
        if (simulation->current[i] == call->submission) {
            return i;
        }
    }
    return SUBMITTER_COUNT;
}

static void
report_response(struct simulation *simulation, const struct call *call,
                int status, const json_t *body)
{
    size_t submitter = find_submitter(simulation, call);
    if (submitter < SUBMITTER_COUNT) {
        struct submission *submission =
            &simulation->submissions[call->submission];
        carry_out(simulation, submitter,
                  RsSubmit_OnResponse(
                      submission->submit, call->action_number, status, body,
                      simulation->configs[submitter], simulation->now_ms));
    }
}

static void
report_failure(struct simulation *simulation, const struct call *call,
               bool sent)
{
    size_t submitter = find_submitter(simulation, call);
    if (submitter < SUBMITTER_COUNT) {
        struct submission *submission =
            &simulation->submissions[call->submission];
        carry_out(simulation, submitter,
                  RsSubmit_OnCallFailed(
                      submission->submit, call->action_number, sent,
                      simulation->configs[submitter], simulation->now_ms));
    }
}

/* Ends a call in the way that `result`, 0 to 15, selects: the table handles it
 * and the response arrives, the table handles it and the response is lost or
 * is a 503, or the table does not handle it and the call is reported as failed
 * with or without having been sent. */
static void
end_call(struct simulation *simulation, struct call *call, uint8_t result)
{
    struct call taken = *call;
    *call = (struct call){0};
    json_t *body = NULL;
    if (result < 12) {
        int status = execute_call(simulation, &taken, &body);
        report_response(simulation, &taken, status, body);
    }
    else if (result == 12) {
        execute_call(simulation, &taken, &body);
        report_failure(simulation, &taken, true);
    }
    else if (result == 13) {
        execute_call(simulation, &taken, &body);
        report_response(simulation, &taken, 503, NULL);
    }
    else {
        report_failure(simulation, &taken, result == 14);
    }
    json_decref(body);
    free_call(&taken);
}

static void
refresh_config(struct simulation *simulation, size_t submitter)
{
    RsConfig_Unref(simulation->configs[submitter]);
    simulation->configs[submitter] = RsFuzzTable_Config(&simulation->table);
}

static void
advance_time(struct simulation *simulation, uint8_t elapsed_ms)
{
    simulation->now_ms += elapsed_ms;
    for (size_t i = 0; i < SUBMITTER_COUNT; i++) {
        if (!is_idle(simulation, i) &&
            simulation->actions[i].until_ms <= simulation->now_ms) {
            carry_out(
                simulation, i,
                RsSubmit_OnTimer(
                    simulation->submissions[simulation->current[i]].submit,
                    simulation->configs[i], simulation->now_ms));
        }
    }
}

static void
check_log(struct simulation *simulation)
{
    char key[RsTicket_KEY_BYTES];
    for (size_t i = 0; i < simulation->log_count; i++) {
        RsTicket_LogKey(i + 1, key);
        struct rs_fuzz_row *row = RsFuzzTable_Find(&simulation->table, key);
        RsFuzz_CHECK(row != NULL);
        RsFuzz_CHECK(
            strcmp(json_string_value(json_object_get(row->value, "digest")),
                   simulation->log[i].digest) == 0);
    }
}

static void
check_objects(struct simulation *simulation)
{
    size_t live = 0;
    for (guint i = 0; i < simulation->table.rows->len; i++) {
        struct rs_fuzz_row *row = RsFuzzTable_At(&simulation->table, i);
        if (!g_str_has_prefix(row->key, "object/") ||
            json_is_null(row->value)) {
            continue;
        }
        live++;
        json_t *replayed_value =
            g_hash_table_lookup(simulation->replayed, row->key);
        RsFuzz_CHECK(replayed_value != NULL);
        RsFuzz_CHECK(
            json_equal(replayed_value, json_object_get(row->value, "value")));
    }
    RsFuzz_CHECK(live == g_hash_table_size(simulation->replayed));
}

/* Checks by lookups, independently of the validation, that all referenced
 * objects exist, that each target is in one place, and that each prefix of a
 * service is in one rule. */
static void
check_references_and_uniqueness(struct simulation *simulation)
{
    struct rs_config *config = RsFuzzTable_Config(&simulation->table);
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_PLACE); i++) {
        const struct rs_model_place *place =
            &RsConfig_EntryAt(config, RsObject_PLACE, i)->object.as.place;
        RsFuzz_CHECK(RsConfig_Service(config, place->service) != NULL);
        RsFuzz_CHECK(RsConfig_Domain(config, place->domain) != NULL);
        for (size_t j = 0; j < place->target_count; j++) {
            RsFuzz_CHECK(RsConfig_PlaceOfTarget(
                             config, place->targets[j].name) == place);
        }
    }
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_RULE); i++) {
        const struct rs_model_rule *rule =
            &RsConfig_EntryAt(config, RsObject_RULE, i)->object.as.rule;
        const struct rs_model_service *service =
            RsConfig_Service(config, rule->service);
        RsFuzz_CHECK(service != NULL && service->keyed);
        RsFuzz_CHECK(RsConfig_RuleOfKey(config, rule->service, rule->prefix,
                                        strlen(rule->prefix)) == rule);
        for (size_t j = 0; j < rule->place_count; j++) {
            const struct rs_model_place *place =
                RsConfig_Place(config, rule->places[j]);
            RsFuzz_CHECK(place != NULL);
            RsFuzz_CHECK(strcmp(place->service, rule->service) == 0);
        }
    }
    RsConfig_Unref(config);
}

static bool
has_log_entry(const struct simulation *simulation, size_t submission)
{
    for (size_t i = 0; i < simulation->log_count; i++) {
        if (simulation->log[i].submission == submission) {
            return true;
        }
    }
    return false;
}

static void
check_results(struct simulation *simulation)
{
    for (size_t i = 0; i < simulation->submission_count; i++) {
        const struct submission *submission = &simulation->submissions[i];
        if (!submission->done) {
            continue;
        }
        const struct rs_submit_result *result = &submission->result;
        if (result->outcome == RsSubmit_ACCEPTED) {
            RsFuzz_CHECK(result->number <= simulation->log_count);
            RsFuzz_CHECK(strcmp(simulation->log[result->number - 1].digest,
                                result->digest) == 0);
        }
        else if (result->outcome != RsSubmit_UNKNOWN) {
            RsFuzz_CHECK(!has_log_entry(simulation, i));
        }
    }
}

/* Returns the open call that `choice` selects, or NULL if no call is open. */
static struct call *
pick_call(struct simulation *simulation, uint8_t choice)
{
    struct call *open[MAX_CALLS];
    size_t count = 0;
    for (size_t i = 0; i < MAX_CALLS; i++) {
        if (simulation->calls[i].open) {
            open[count++] = &simulation->calls[i];
        }
    }
    return count == 0 ? NULL : open[choice % count];
}

static void
run_step(struct simulation *simulation)
{
    uint8_t choice = RsFuzzBytes_Next(&simulation->bytes);
    size_t submitter = choice / 16 % SUBMITTER_COUNT;
    switch (choice % 16) {
    case 0:
    case 1:
        start_submission(simulation, submitter);
        break;
    case 2:
    case 3:
    case 4:
        refresh_config(simulation, submitter);
        break;
    case 5:
        advance_time(simulation, RsFuzzBytes_Next(&simulation->bytes));
        break;
    default: {
        struct call *call =
            pick_call(simulation, RsFuzzBytes_Next(&simulation->bytes));
        if (call != NULL) {
            end_call(simulation, call,
                     RsFuzzBytes_Next(&simulation->bytes) % 16);
        }
        break;
    }
    }
}

static void
init_simulation(struct simulation *simulation, const uint8_t *data,
                size_t size_bytes)
{
    *simulation = (struct simulation){0};
    RsFuzzBytes_Open(&simulation->bytes, data, size_bytes);
    RsFuzzTable_Open(&simulation->table);
    simulation->replayed = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
    for (size_t i = 0; i < SUBMITTER_COUNT; i++) {
        simulation->current[i] = MAX_SUBMISSIONS;
        simulation->configs[i] = RsConfig_Build(NULL, 0);
    }
}

static void
free_simulation(struct simulation *simulation)
{
    for (size_t i = 0; i < MAX_CALLS; i++) {
        free_call(&simulation->calls[i]);
    }
    for (size_t i = 0; i < simulation->submission_count; i++) {
        RsSubmit_Free(simulation->submissions[i].submit);
    }
    for (size_t i = 0; i < SUBMITTER_COUNT; i++) {
        RsConfig_Unref(simulation->configs[i]);
    }
    RsFuzzTable_Close(&simulation->table);
    RsFuzzBytes_Close(&simulation->bytes);
    g_hash_table_unref(simulation->replayed);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
    static struct simulation simulation;
    init_simulation(&simulation, data, size_bytes);
    for (int i = 0; i < STEP_COUNT; i++) {
        uint64_t before = simulation.table.revision;
        run_step(&simulation);
        if (simulation.table.revision != before) {
            check_log(&simulation);
            check_objects(&simulation);
            check_references_and_uniqueness(&simulation);
        }
        check_results(&simulation);
    }
    /* The table handles the calls that are still open. */
    for (size_t i = 0; i < MAX_CALLS; i++) {
        if (simulation.calls[i].open) {
            end_call(&simulation, &simulation.calls[i], 0);
        }
    }
    check_log(&simulation);
    check_objects(&simulation);
    check_results(&simulation);
    free_simulation(&simulation);
    return 0;
}
