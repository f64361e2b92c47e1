/* Several submitters race each other over a model of the platform's table,
 * which may lose an answer before or after the write, hold a call back for
 * long, or be out. The input decides the first steps, and a generator seeded
 * by it the rest, so that short inputs reach far too.
 *
 * Oracle: the log has no gap and no number twice, the objects equal the fold
 * of the log, each logged ticket was valid on what came before it, left all
 * references whole and moved no key to another rule's slices, and what a
 * submission reported stays true for ever. */

#include <glib.h>
#include <string.h>

#include "ticket/submit.h"
#include "ticket/ticket_fuzz_model.h"

#define SUBMITTERS 4
#define MAX_CALLS 64
#define MAX_SUBMISSIONS 64
#define MAX_LOG 64
#define CALL_MS 100
#define RETRY_MS 50
#define DEADLINE_MS 1000
#define STEPS 300

/* A call under way in the network. */
struct call {
    bool open;
    size_t submission;
    uint32_t number;
    enum rs_submit_action_kind kind;
    char key[RsTicket_KEY_BYTES];
    json_t *body;
};

struct submission {
    struct rs_submit *submit;
    bool done;
    struct rs_submit_result result;
};

struct logged {
    char digest[RsId_TEXT_BYTES];
    size_t submission;
};

struct world {
    struct rs_fuzz_bytes bytes;
    struct rs_fuzz_table table;
    int64_t now_ms;
    struct call calls[MAX_CALLS];
    struct submission submissions[MAX_SUBMISSIONS];
    size_t submission_count;
    size_t current[SUBMITTERS];
    struct rs_config *view[SUBMITTERS]; /* lags behind the table */
    struct rs_submit_action action[SUBMITTERS];
    struct logged log[MAX_LOG];
    size_t log_count;
    GHashTable *fold; /* key to JSON value, from the log alone */
};

static void
check_was_valid(struct rs_config *before, const json_t *entry)
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
fold_entry(struct world *world, const json_t *entry)
{
    const json_t *list = json_object_get(entry, "objects");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *object = json_array_get(list, i);
        char *key = g_strdup_printf(
            "object/%s/%s", json_string_value(json_object_get(object, "kind")),
            json_string_value(json_object_get(object, "name")));
        json_t *value = json_object_get(object, "value");
        if (json_is_null(value)) {
            g_hash_table_remove(world->fold, key);
            g_free(key);
        }
        else {
            g_hash_table_replace(world->fold, key, json_incref(value));
        }
    }
}

static void
on_written(struct world *world, struct rs_config *before, size_t submission)
{
    char key[RsTicket_KEY_BYTES];
    uint64_t number = world->log_count + 1;
    RsTicket_LogKey(number, key);
    struct rs_fuzz_row *row = RsFuzzTable_Find(&world->table, key);
    RsFuzz_CHECK(row != NULL && row->version == world->table.revision);
    const json_t *head =
        RsFuzzTable_Find(&world->table, RsTicket_HEAD_KEY)->value;
    RsFuzz_CHECK((uint64_t)json_integer_value(
                     json_object_get(head, "number")) == number);
    check_was_valid(before, row->value);
    struct rs_config *after = RsFuzzTable_Config(&world->table);
    RsFuzz_CheckKeysStay(before, after);
    RsConfig_Unref(after);
    fold_entry(world, row->value);
    struct logged *logged = &world->log[world->log_count++];
    logged->submission = submission;
    snprintf(logged->digest, sizeof(logged->digest), "%s",
             json_string_value(json_object_get(row->value, "digest")));
}

static int
apply_commit(struct world *world, const struct call *call)
{
    if (world->log_count == MAX_LOG) {
        return 503;
    }
    struct rs_config *before = RsFuzzTable_Config(&world->table);
    bool written = RsFuzzTable_Commit(&world->table, call->body);
    if (written) {
        on_written(world, before, call->submission);
    }
    RsConfig_Unref(before);
    return written ? 200 : 409;
}

static int
apply_get(struct world *world, const struct call *call, json_t **body)
{
    struct rs_fuzz_row *row = RsFuzzTable_Find(&world->table, call->key);
    if (row == NULL) {
        return 404;
    }
    *body = json_pack("{s:s, s:I, s:O}", "key", call->key, "version",
                      (json_int_t)row->version, "value", row->value);
    return 200;
}

static int
apply(struct world *world, const struct call *call, json_t **body)
{
    return call->kind == RsSubmit_COMMIT ? apply_commit(world, call)
                                         : apply_get(world, call, body);
}

static void
drop_call(struct call *call)
{
    json_decref(call->body);
    *call = (struct call){0};
}

/* Starts the action that a submitter was given, unless it has begun. */
static void
follow(struct world *world, size_t submitter, struct rs_submit_action action)
{
    struct submission *submission =
        &world->submissions[world->current[submitter]];
    bool same = world->action[submitter].call == action.call;
    world->action[submitter] = action;
    if (action.kind == RsSubmit_DONE && !submission->done) {
        submission->done = true;
        submission->result = RsSubmit_Result(submission->submit);
    }
    if (same ||
        (action.kind != RsSubmit_GET && action.kind != RsSubmit_COMMIT)) {
        return;
    }
    for (size_t i = 0; i < MAX_CALLS; i++) {
        struct call *call = &world->calls[i];
        if (!call->open) {
            call->open = true;
            call->submission = world->current[submitter];
            call->number = action.call;
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
is_idle(const struct world *world, size_t submitter)
{
    size_t current = world->current[submitter];
    return current == MAX_SUBMISSIONS || world->submissions[current].done;
}

static void
start(struct world *world, size_t submitter)
{
    if (!is_idle(world, submitter) ||
        world->submission_count == MAX_SUBMISSIONS) {
        return;
    }
    struct rs_ticket *ticket =
        RsFuzzBytes_Ticket(&world->bytes, world->log_count);
    if (ticket == NULL) {
        return;
    }
    struct rs_submit_options options = {.ticket = ticket,
                                        .deadline_ms =
                                            world->now_ms + DEADLINE_MS,
                                        .call_timeout_ms = CALL_MS,
                                        .retry_after_ms = RETRY_MS};
    size_t index = world->submission_count++;
    world->submissions[index].submit = RsSubmit_New(&options);
    world->current[submitter] = index;
    world->action[submitter] = (struct rs_submit_action){0};
    follow(world, submitter,
           RsSubmit_Start(world->submissions[index].submit,
                          world->view[submitter], world->now_ms));
}

static size_t
submitter_of(const struct world *world, const struct call *call)
{
    for (size_t i = 0; i < SUBMITTERS; i++) {
        if (world->current[i] == call->submission) {
            return i;
        }
    }
    return SUBMITTERS;
}

static void
report_answer(struct world *world, const struct call *call, int status,
              const json_t *body)
{
    size_t submitter = submitter_of(world, call);
    if (submitter < SUBMITTERS) {
        struct submission *to = &world->submissions[call->submission];
        follow(world, submitter,
               RsSubmit_OnAnswer(to->submit, call->number, status, body,
                                 world->view[submitter], world->now_ms));
    }
}

static void
report_loss(struct world *world, const struct call *call, bool sent)
{
    size_t submitter = submitter_of(world, call);
    if (submitter < SUBMITTERS) {
        struct submission *to = &world->submissions[call->submission];
        follow(world, submitter,
               RsSubmit_OnLost(to->submit, call->number, sent,
                               world->view[submitter], world->now_ms));
    }
}

static void
deliver(struct world *world, struct call *call, uint8_t how)
{
    struct call taken = *call;
    *call = (struct call){0};
    json_t *body = NULL;
    if (how < 12) {
        int status = apply(world, &taken, &body);
        report_answer(world, &taken, status, body);
    }
    else if (how == 12) {
        apply(world, &taken, &body);
        report_loss(world, &taken, true);
    }
    else if (how == 13) {
        apply(world, &taken, &body);
        report_answer(world, &taken, 503, NULL);
    }
    else {
        report_loss(world, &taken, how == 14);
    }
    json_decref(body);
    drop_call(&taken);
}

static void
refresh_view(struct world *world, size_t submitter)
{
    RsConfig_Unref(world->view[submitter]);
    world->view[submitter] = RsFuzzTable_Config(&world->table);
}

static void
pass_time(struct world *world, uint8_t step)
{
    world->now_ms += step;
    for (size_t i = 0; i < SUBMITTERS; i++) {
        if (!is_idle(world, i) && world->action[i].until_ms <= world->now_ms) {
            follow(
                world, i,
                RsSubmit_OnTimer(world->submissions[world->current[i]].submit,
                                 world->view[i], world->now_ms));
        }
    }
}

static void
check_log(struct world *world)
{
    char key[RsTicket_KEY_BYTES];
    for (size_t i = 0; i < world->log_count; i++) {
        RsTicket_LogKey(i + 1, key);
        struct rs_fuzz_row *row = RsFuzzTable_Find(&world->table, key);
        RsFuzz_CHECK(row != NULL);
        RsFuzz_CHECK(
            strcmp(json_string_value(json_object_get(row->value, "digest")),
                   world->log[i].digest) == 0);
    }
}

static void
check_objects(struct world *world)
{
    size_t live = 0;
    for (guint i = 0; i < world->table.rows->len; i++) {
        struct rs_fuzz_row *row = RsFuzzTable_At(&world->table, i);
        if (!g_str_has_prefix(row->key, "object/") ||
            json_is_null(row->value)) {
            continue;
        }
        live++;
        json_t *folded = g_hash_table_lookup(world->fold, row->key);
        RsFuzz_CHECK(folded != NULL);
        RsFuzz_CHECK(json_equal(folded, json_object_get(row->value, "value")));
    }
    RsFuzz_CHECK(live == g_hash_table_size(world->fold));
}

/* Looks through the references once more, with lookups alone. */
static void
check_references(struct world *world)
{
    struct rs_config *config = RsFuzzTable_Config(&world->table);
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_PLACE); i++) {
        const struct rs_model_place *place =
            &RsConfig_At(config, RsObject_PLACE, i)->object.as.place;
        RsFuzz_CHECK(RsConfig_Service(config, place->service) != NULL);
        RsFuzz_CHECK(RsConfig_Domain(config, place->domain) != NULL);
        for (size_t j = 0; j < place->target_count; j++) {
            RsFuzz_CHECK(RsConfig_PlaceOfTarget(
                             config, place->targets[j].name) == place);
        }
    }
    for (size_t i = 0; i < RsConfig_Count(config, RsObject_RULE); i++) {
        const struct rs_model_rule *rule =
            &RsConfig_At(config, RsObject_RULE, i)->object.as.rule;
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
wrote(const struct world *world, size_t submission)
{
    for (size_t i = 0; i < world->log_count; i++) {
        if (world->log[i].submission == submission) {
            return true;
        }
    }
    return false;
}

static void
check_results(struct world *world)
{
    for (size_t i = 0; i < world->submission_count; i++) {
        const struct submission *submission = &world->submissions[i];
        if (!submission->done) {
            continue;
        }
        const struct rs_submit_result *result = &submission->result;
        if (result->outcome == RsSubmit_ACCEPTED) {
            RsFuzz_CHECK(result->number <= world->log_count);
            RsFuzz_CHECK(strcmp(world->log[result->number - 1].digest,
                                result->digest) == 0);
        }
        else if (result->outcome != RsSubmit_UNKNOWN) {
            RsFuzz_CHECK(!wrote(world, i));
        }
    }
}

/* Returns one of the open calls, or NULL when there is none. */
static struct call *
pick_call(struct world *world, uint8_t choice)
{
    struct call *open[MAX_CALLS];
    size_t count = 0;
    for (size_t i = 0; i < MAX_CALLS; i++) {
        if (world->calls[i].open) {
            open[count++] = &world->calls[i];
        }
    }
    return count == 0 ? NULL : open[choice % count];
}

static void
step(struct world *world)
{
    uint8_t what = RsFuzzBytes_Take(&world->bytes);
    size_t submitter = what / 16 % SUBMITTERS;
    switch (what % 16) {
    case 0:
    case 1:
        start(world, submitter);
        break;
    case 2:
    case 3:
    case 4:
        refresh_view(world, submitter);
        break;
    case 5:
        pass_time(world, RsFuzzBytes_Take(&world->bytes));
        break;
    default: {
        struct call *call = pick_call(world, RsFuzzBytes_Take(&world->bytes));
        if (call != NULL) {
            deliver(world, call, RsFuzzBytes_Take(&world->bytes) % 16);
        }
        break;
    }
    }
}

static void
open_world(struct world *world, const uint8_t *data, size_t size_bytes)
{
    *world = (struct world){0};
    RsFuzzBytes_Open(&world->bytes, data, size_bytes);
    RsFuzzTable_Open(&world->table);
    world->fold = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)json_decref);
    for (size_t i = 0; i < SUBMITTERS; i++) {
        world->current[i] = MAX_SUBMISSIONS;
        world->view[i] = RsConfig_Build(NULL, 0);
    }
}

static void
close_world(struct world *world)
{
    for (size_t i = 0; i < MAX_CALLS; i++) {
        drop_call(&world->calls[i]);
    }
    for (size_t i = 0; i < world->submission_count; i++) {
        RsSubmit_Free(world->submissions[i].submit);
    }
    for (size_t i = 0; i < SUBMITTERS; i++) {
        RsConfig_Unref(world->view[i]);
    }
    RsFuzzTable_Close(&world->table);
    RsFuzzBytes_Close(&world->bytes);
    g_hash_table_unref(world->fold);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
    static struct world world;
    open_world(&world, data, size_bytes);
    for (int i = 0; i < STEPS; i++) {
        uint64_t before = world.table.revision;
        step(&world);
        if (world.table.revision != before) {
            check_log(&world);
            check_objects(&world);
            check_references(&world);
        }
        check_results(&world);
    }
    /* What the network held back arrives in the end. */
    for (size_t i = 0; i < MAX_CALLS; i++) {
        if (world.calls[i].open) {
            deliver(&world, &world.calls[i], 0);
        }
    }
    check_log(&world);
    check_objects(&world);
    check_results(&world);
    close_world(&world);
    return 0;
}
