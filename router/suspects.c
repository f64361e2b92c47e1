#include "router/suspects.h"

#include "core/id.h"
#include "core/log.h"

/* Once this many processes have ended under a request, it is refused but for
 * its trials: TRIAL_MS in each cycle of TRIAL_SLOTS of them, a time that
 * differs between requests. Those that were in flight beside the one that
 * crashes targets are answered then. */
#define MIN_CRASHES 2
#define TRIALS_AFTER_MS 1000 /* the last crash */
#define TRIAL_MS 300
#define TRIAL_SLOTS 8
/* How long a request is refused that has crashed a target on trial; doubles
 * with each further crash. */
#define FIRST_REFUSAL_MS 600000
#define MAX_DOUBLINGS 6
/* A process that has ended is known to have within this time of the break of
 * its connections. */
#define MAX_BREAK_AGE_MS 10000
#define MAX_BREAKS 512
#define MAX_ENDED 512
#define MAX_SUSPECTS 256
/* A change is told with this many messages in a row, as some may be lost, and
 * afterwards in one of TURNS, for nodes that start. A turn is longer than the
 * interval between two messages. */
#define TELL_CHANGES 4
#define TURN_PERCENT 140 /* of that interval */
#define TURNS 16
/* A request that is not refused is forgotten after this time without news. */
#define FORGET_MS 3600000

/* A connection that broke while a request was in flight on it. */
struct break_record {
    uint64_t fingerprint;
    const char *target; /* interned id */
    int64_t started_wall_ms;
    int64_t sent_at_ms;
    int64_t at_ms;
};

/* Initializes an empty memory; RsSuspects_Clear() releases it. */
void
RsSuspects_Init(struct rs_suspects *suspects)
{
    suspects->suspects =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    suspects->breaks = g_array_new(FALSE, FALSE, sizeof(struct break_record));
    suspects->ended =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

/* Releases all memory. */
void
RsSuspects_Clear(struct rs_suspects *suspects)
{
    g_hash_table_unref(suspects->suspects);
    g_array_unref(suspects->breaks);
    g_hash_table_unref(suspects->ended);
}

static uint64_t
process_id(const char *target, int64_t started_wall_ms)
{
    return RsId_Combine(RsId_FromName(target), (uint64_t)started_wall_ms);
}

static struct rs_suspect *
find(const struct rs_suspects *suspects, uint64_t fingerprint)
{
    return g_hash_table_lookup(suspects->suspects, &fingerprint);
}

static int64_t
last_crash_at_ms(const struct rs_suspect *suspect)
{
    int64_t last_ms = 0;
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        last_ms = MAX(last_ms, suspect->crashes[i].at_ms);
    }
    return last_ms;
}

/* Removes the request whose last crash is the oldest. */
static void
forget_oldest(struct rs_suspects *suspects)
{
    const struct rs_suspect *oldest = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, suspects->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (oldest == NULL ||
            last_crash_at_ms(value) < last_crash_at_ms(oldest)) {
            oldest = value;
        }
    }
    g_hash_table_remove(suspects->suspects, &oldest->fingerprint);
}

static struct rs_suspect *
get_or_create(struct rs_suspects *suspects, uint64_t fingerprint)
{
    struct rs_suspect *suspect = find(suspects, fingerprint);
    if (suspect == NULL) {
        if (g_hash_table_size(suspects->suspects) == MAX_SUSPECTS) {
            forget_oldest(suspects);
        }
        suspect = g_new0(struct rs_suspect, 1);
        suspect->fingerprint = fingerprint;
        g_hash_table_insert(suspects->suspects, &suspect->fingerprint,
                            suspect);
    }
    return suspect;
}

/* Returns whether a request was on trial when it crashed a target: enough
 * others had crashed TRIALS_AFTER_MS before it was sent, give or take what the
 * clocks of nodes are compared with. */
static bool
was_on_trial(const struct rs_suspect *suspect,
             const struct rs_suspect_crash *crash)
{
    uint32_t before = 0;
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        before += suspect->crashes[i].at_ms + TRIALS_AFTER_MS / 2 <=
                  crash->sent_at_ms;
    }
    return before >= MIN_CRASHES;
}

static uint32_t
count_trials(const struct rs_suspect *suspect)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        count += was_on_trial(suspect, &suspect->crashes[i]);
    }
    return count;
}

/* Returns a crash that may give way to one on trial: it was not on trial
 * itself, and enough others were before it. Returns NULL if there is none. */
static struct rs_suspect_crash *
find_replaceable(struct rs_suspect *suspect)
{
    struct rs_suspect_crash *last = NULL;
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        struct rs_suspect_crash *crash = &suspect->crashes[i];
        if (!was_on_trial(suspect, crash) &&
            (last == NULL || crash->at_ms >= last->at_ms)) {
            last = crash;
        }
    }
    return last;
}

/* Adds a crash, unless it is known, the request was answered since, or there
 * is no room. Crashes on trial replace others. Returns whether it was added.
 */
static bool
add_crash(struct rs_suspect *suspect, const struct rs_suspect_crash *crash)
{
    if (crash->at_ms <= suspect->answered_at_ms) {
        return false;
    }
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        if (suspect->crashes[i].process == crash->process) {
            return false;
        }
    }
    if (suspect->crash_count < RsSuspects_MAX_CRASHES) {
        suspect->crashes[suspect->crash_count++] = *crash;
        return true;
    }
    struct rs_suspect_crash *replaced =
        was_on_trial(suspect, crash) ? find_replaceable(suspect) : NULL;
    if (replaced != NULL) {
        *replaced = *crash;
    }
    return replaced != NULL;
}

static void
log_crash(const struct rs_suspect *suspect, const char *target)
{
    char fingerprint[RsId_TEXT_BYTES];
    RsId_Format(suspect->fingerprint, fingerprint);
    RsLog_EVENT(RsLog_INFO, "request_suspected",
                RsLog_TEXT("fingerprint", fingerprint),
                RsLog_TEXT("target", target),
                RsLog_NUMBER("crashes", suspect->crash_count));
}

static void
record_crash(struct rs_suspects *suspects, const struct break_record *record,
             int64_t now_ms)
{
    struct rs_suspect *suspect = get_or_create(suspects, record->fingerprint);
    const struct rs_suspect_crash crash = {
        process_id(record->target, record->started_wall_ms), record->at_ms,
        record->sent_at_ms};
    if (add_crash(suspect, &crash)) {
        suspect->changed_at_ms = now_ms;
        log_crash(suspect, record->target);
    }
}

static bool
has_ended(const struct rs_suspects *suspects, uint64_t process)
{
    return g_hash_table_contains(suspects->ended, &process);
}

static void
add_ended(struct rs_suspects *suspects, uint64_t process)
{
    if (g_hash_table_size(suspects->ended) >= MAX_ENDED) {
        g_hash_table_remove_all(suspects->ended);
    }
    uint64_t *key = g_new(uint64_t, 1);
    *key = process;
    g_hash_table_add(suspects->ended, key);
}

/* Returns when the next trial of a request begins, or 0 if it is on trial. */
static int64_t
next_trial_at_ms(const struct rs_suspect *suspect, int64_t now_ms)
{
    const int64_t cycle_ms = (int64_t)TRIAL_SLOTS * TRIAL_MS;
    int64_t slot = (int64_t)(suspect->fingerprint % TRIAL_SLOTS);
    int64_t first_at_ms =
        last_crash_at_ms(suspect) + TRIALS_AFTER_MS + slot * TRIAL_MS;
    if (now_ms < first_at_ms) {
        return first_at_ms;
    }
    int64_t phase_ms = (now_ms - first_at_ms) % cycle_ms;
    return phase_ms < TRIAL_MS ? 0 : now_ms - phase_ms + cycle_ms;
}

/* Returns until when a request is refused, 0 if it is not. */
static int64_t
refused_until_ms(const struct rs_suspect *suspect, int64_t now_ms)
{
    if (suspect->crash_count < MIN_CRASHES) {
        return 0;
    }
    uint32_t trials = count_trials(suspect);
    if (trials == 0) {
        return next_trial_at_ms(suspect, now_ms);
    }
    uint32_t doublings = MIN(trials - 1, MAX_DOUBLINGS);
    int64_t until_ms =
        last_crash_at_ms(suspect) + ((int64_t)FIRST_REFUSAL_MS << doublings);
    return now_ms < until_ms ? until_ms : 0;
}

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer data)
{
    const struct rs_suspect *suspect = value;
    int64_t now_ms = *(const int64_t *)data;
    return now_ms - suspect->changed_at_ms > FORGET_MS &&
           (count_trials(suspect) == 0 ||
            refused_until_ms(suspect, now_ms) == 0);
}

/* Forgets requests of which nothing was heard for long. */
static void
forget_old(struct rs_suspects *suspects, int64_t now_ms)
{
    g_hash_table_foreach_remove(suspects->suspects, is_forgotten, &now_ms);
}

/* Drops breaks that are too old, or the oldest if there are too many. */
static void
drop_old_breaks(struct rs_suspects *suspects, int64_t now_ms)
{
    GArray *breaks = suspects->breaks;
    guint count = 0;
    while (count < breaks->len &&
           (now_ms - g_array_index(breaks, struct break_record, count).at_ms >
                MAX_BREAK_AGE_MS ||
            breaks->len - count >= MAX_BREAKS)) {
        count++;
    }
    g_array_remove_range(breaks, 0, count);
}

/* Records that a connection to a process of a target broke before the request
 * was answered, which was sent there at `sent_at_ms`; `target` must be
 * interned. Returns whether the caller should
 * find out if the process has ended; RsSuspects_RecordEnd() takes the result.
 */
bool
RsSuspects_RecordBreak(struct rs_suspects *suspects, uint64_t fingerprint,
                       const char *target, int64_t started_wall_ms,
                       int64_t sent_at_ms, int64_t now_ms)
{
    const struct break_record record = {fingerprint, target, started_wall_ms,
                                        sent_at_ms, now_ms};
    drop_old_breaks(suspects, now_ms);
    if (has_ended(suspects, process_id(target, started_wall_ms))) {
        record_crash(suspects, &record, now_ms);
        return false;
    }
    bool is_first = true;
    for (guint i = 0; i < suspects->breaks->len; i++) {
        const struct break_record *other =
            &g_array_index(suspects->breaks, struct break_record, i);
        is_first &= other->target != target || other->at_ms != now_ms;
    }
    g_array_append_val(suspects->breaks, record);
    return is_first;
}

/* Records that the processes of a target that were started before
 * `before_wall_ms` have ended. Suspects the requests that were in flight there
 * when their connections broke. Returns whether there were any. */
bool
RsSuspects_RecordEnd(struct rs_suspects *suspects, const char *target,
                     int64_t before_wall_ms, int64_t now_ms)
{
    GArray *breaks = suspects->breaks;
    bool any = false;
    drop_old_breaks(suspects, now_ms);
    forget_old(suspects, now_ms);
    for (guint i = breaks->len; i > 0; i--) {
        struct break_record record =
            g_array_index(breaks, struct break_record, i - 1);
        if (record.target != target ||
            record.started_wall_ms >= before_wall_ms) {
            continue;
        }
        record_crash(suspects, &record, now_ms);
        add_ended(suspects, process_id(target, record.started_wall_ms));
        g_array_remove_index(breaks, i - 1);
        any = true;
    }
    return any;
}

/* Removes the crashes that an answer has cleared. */
static void
clear_until(struct rs_suspect *suspect, int64_t answered_at_ms)
{
    uint32_t kept = 0;
    suspect->answered_at_ms = answered_at_ms;
    for (uint32_t i = 0; i < suspect->crash_count; i++) {
        if (suspect->crashes[i].at_ms > answered_at_ms) {
            suspect->crashes[kept++] = suspect->crashes[i];
        }
    }
    suspect->crash_count = kept;
}

/* Records that a target has run the request and answered it. Returns whether
 * that clears the request. */
bool
RsSuspects_RecordAnswer(struct rs_suspects *suspects, uint64_t fingerprint,
                        int64_t now_ms)
{
    struct rs_suspect *suspect = find(suspects, fingerprint);
    if (suspect == NULL || suspect->crash_count == 0) {
        return false;
    }
    clear_until(suspect, now_ms);
    suspect->changed_at_ms = now_ms;
    return true;
}

/* Adds what another node knows of a request. */
void
RsSuspects_Merge(struct rs_suspects *suspects, const struct rs_suspect *other,
                 int64_t now_ms)
{
    struct rs_suspect *suspect = find(suspects, other->fingerprint);
    bool changed = false;
    if (suspect == NULL && other->crash_count == 0) {
        return;
    }
    forget_old(suspects, now_ms);
    suspect = get_or_create(suspects, other->fingerprint);
    if (other->answered_at_ms > suspect->answered_at_ms &&
        suspect->crash_count > 0) {
        clear_until(suspect, other->answered_at_ms);
        changed = true;
    }
    for (uint32_t i = 0; i < other->crash_count; i++) {
        changed |= add_crash(suspect, &other->crashes[i]);
    }
    if (changed) {
        suspect->changed_at_ms = now_ms;
        log_crash(suspect, "");
    }
}

/* Returns the requests (struct rs_suspect) that other nodes are to be told of
 * now, given the interval between two messages to the same node. The caller
 * releases the list with g_ptr_array_unref(). */
GPtrArray *
RsSuspects_ListDue(const struct rs_suspects *suspects, uint32_t interval_ms,
                   int64_t now_ms)
{
    GPtrArray *due = g_ptr_array_new();
    int64_t turn_ms = (int64_t)interval_ms * TURN_PERCENT / 100;
    uint64_t turn = (uint64_t)(now_ms / turn_ms) % TURNS;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, suspects->suspects);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct rs_suspect *suspect = value;
        if (now_ms - suspect->changed_at_ms <
                (int64_t)interval_ms * TELL_CHANGES ||
            suspect->fingerprint % TURNS == turn) {
            g_ptr_array_add(due, value);
        }
    }
    return due;
}

/* Returns whether no request is suspected. */
bool
RsSuspects_IsEmpty(const struct rs_suspects *suspects)
{
    return g_hash_table_size(suspects->suspects) == 0;
}

/* Returns until when the request is refused, 0 if it is not. */
int64_t
RsSuspects_RefusedUntilMs(const struct rs_suspects *suspects,
                          uint64_t fingerprint, int64_t now_ms)
{
    const struct rs_suspect *suspect = find(suspects, fingerprint);
    return suspect != NULL ? refused_until_ms(suspect, now_ms) : 0;
}
