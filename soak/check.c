#include "soak/check.h"

#include <stdarg.h>
#include <stdio.h>

#define STATUS_OK 200
#define STATUS_MULTIPLE_CHOICES 300
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5
#define MS_PER_S 1000

/* Initializes a check that writes violations to `report`, with the time since
 * `now_ms`. */
void
RsCheck_Init(struct rs_check *check, FILE *report, int64_t now_ms)
{
    *check = (struct rs_check){.report = report, .started_at_ms = now_ms};
    for (size_t i = 0; i < RsCheck_MAX_TARGETS; i++) {
        check->targets[i].holds =
            g_array_new(FALSE, FALSE, sizeof(struct rs_check_hold));
    }
    check->executed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    check->not_executed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Frees the state of a check, but not the report file. */
void
RsCheck_Free(struct rs_check *check)
{
    for (size_t i = 0; i < RsCheck_MAX_TARGETS; i++) {
        g_array_unref(check->targets[i].holds);
    }
    g_hash_table_unref(check->executed);
    g_hash_table_unref(check->not_executed);
}

/* Counts a violation of the rule with the given name and writes it to the
 * report. */
void
RsCheck_ReportViolation(struct rs_check *check, const char *rule,
                        int64_t now_ms, const char *format, ...)
{
    va_list args;
    check->violation_count++;
    fprintf(check->report,
            "%8.3f s  %s: ", (double)(now_ms - check->started_at_ms) / 1000,
            rule);
    va_start(args, format);
    vfprintf(check->report, format, args);
    va_end(args);
    fputc('\n', check->report);
    fflush(check->report);
}

/* Records that a target has started. It holds no keys yet. */
void
RsCheck_RecordTargetStart(struct rs_check *check, uint32_t target)
{
    check->targets[target].up = true;
    check->targets[target].life++;
    g_array_set_size(check->targets[target].holds, 0);
}

/* Records that a target has ended and so holds no keys any more. */
void
RsCheck_RecordTargetEnd(struct rs_check *check, uint32_t target)
{
    check->targets[target].up = false;
    g_array_set_size(check->targets[target].holds, 0);
}

static bool
ranges_overlap(const struct rs_check_hold *a, const struct rs_check_hold *b)
{
    return a->first_key <= b->last_key && b->first_key <= a->last_key;
}

/* Checks that no other target holds any of the keys (OWNER). */
static void
check_exclusive(struct rs_check *check, uint32_t target,
                const struct rs_check_hold *hold, int64_t now_ms)
{
    for (uint32_t i = 0; i < RsCheck_MAX_TARGETS; i++) {
        const struct rs_check_target *other = &check->targets[i];
        for (guint k = 0; i != target && other->up && k < other->holds->len;
             k++) {
            const struct rs_check_hold *other_hold =
                &g_array_index(other->holds, struct rs_check_hold, k);
            if (now_ms < other_hold->until_ms &&
                ranges_overlap(other_hold, hold)) {
                RsCheck_ReportViolation(
                    check, "OWNER", now_ms,
                    "targets %u and %u hold keys %u to %u with "
                    "fences %lu and %lu",
                    i, target, MAX(other_hold->first_key, hold->first_key),
                    MIN(other_hold->last_key, hold->last_key),
                    (unsigned long)other_hold->fence,
                    (unsigned long)hold->fence);
            }
        }
    }
}

/* Checks that a key goes to another target, or to another life of a target,
 * only with a higher fence (FENCE), and records the fence and the holder of
 * each key. Reports the first such key of the range only. */
static void
check_and_record_fence(struct rs_check *check, uint32_t target,
                       const struct rs_check_hold *hold, int64_t now_ms)
{
    uint32_t life = check->targets[target].life;
    for (uint32_t key = hold->first_key; key <= hold->last_key; key++) {
        if (check->highest_fence[key] >= hold->fence &&
            (check->last_holder[key] != target ||
             check->last_life[key] != life)) {
            RsCheck_ReportViolation(
                check, "FENCE", now_ms,
                "key %u went to life %u of target %u with fence %lu; life %u "
                "of target %u had it with %lu",
                key, life, target, (unsigned long)hold->fence,
                check->last_life[key], check->last_holder[key],
                (unsigned long)check->highest_fence[key]);
            break;
        }
    }
    for (uint32_t key = hold->first_key; key <= hold->last_key; key++) {
        check->highest_fence[key] =
            MAX(check->highest_fence[key], hold->fence);
        check->last_holder[key] = target;
        check->last_life[key] = life;
    }
}

/* Records that a target has accepted a grant, which replaces its earlier holds
 * of these keys, and checks the rules OWNER and FENCE. */
void
RsCheck_RecordGrant(struct rs_check *check, uint32_t target,
                    const struct rs_check_hold *hold, int64_t now_ms)
{
    check_and_record_fence(check, target, hold, now_ms);
    check_exclusive(check, target, hold, now_ms);
    RsCheck_RecordRelease(check, target, hold->first_key, hold->last_key,
                          now_ms);
    g_array_append_val(check->targets[target].holds, *hold);
}

/* Records that a target has released a range of keys. Also forgets its expired
 * holds. */
void
RsCheck_RecordRelease(struct rs_check *check, uint32_t target,
                      uint32_t first_key, uint32_t last_key, int64_t now_ms)
{
    GArray *holds = check->targets[target].holds;
    for (guint i = holds->len; i > 0; i--) {
        struct rs_check_hold hold =
            g_array_index(holds, struct rs_check_hold, i - 1);
        bool expired = now_ms >= hold.until_ms;
        if (!expired &&
            (hold.last_key < first_key || last_key < hold.first_key)) {
            continue;
        }
        g_array_remove_index_fast(holds, i - 1);
        if (!expired && hold.first_key < first_key) {
            struct rs_check_hold lower_part = hold;
            lower_part.last_key = first_key - 1;
            g_array_append_val(holds, lower_part);
        }
        if (!expired && hold.last_key > last_key) {
            hold.first_key = last_key + 1;
            g_array_append_val(holds, hold);
        }
    }
}

/* Returns whether a target holds a key at the time `now_ms`. */
bool
RsCheck_HoldsKey(const struct rs_check *check, uint32_t target, uint32_t key,
                 int64_t now_ms)
{
    const GArray *holds = check->targets[target].holds;
    for (guint i = 0; i < holds->len; i++) {
        const struct rs_check_hold *hold =
            &g_array_index(holds, struct rs_check_hold, i);
        if (hold->first_key <= key && key <= hold->last_key &&
            now_ms < hold->until_ms) {
            return true;
        }
    }
    return false;
}

/* Records that a target starts to run a request. Checks that a non-idempotent
 * request runs only once (TWICE) and not after its caller was told that it did
 * not run (REFUSED). Ignores idempotent requests. */
void
RsCheck_RecordRun(struct rs_check *check, const char *request_id,
                  bool idempotent, int64_t now_ms)
{
    if (idempotent) {
        return;
    }
    if (g_hash_table_contains(check->executed, request_id)) {
        RsCheck_ReportViolation(check, "TWICE", now_ms,
                                "request %s runs again", request_id);
    }
    if (g_hash_table_contains(check->not_executed, request_id)) {
        RsCheck_ReportViolation(check, "REFUSED", now_ms,
                                "request %s runs after it was refused",
                                request_id);
    }
    g_hash_table_add(check->executed, g_strdup(request_id));
}

static bool
guarantees_not_executed(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Records that a caller has received a complete response; `matches_request`
 * tells whether it is the one that a target made for this request. Checks that
 * a successful response matches (MIXED), and that a non-idempotent request
 * whose status guarantees that it did not run has not run (REFUSED). */
void
RsCheck_RecordResponse(struct rs_check *check, const char *request_id,
                       bool idempotent, int status, bool matches_request,
                       int64_t now_ms)
{
    if (status >= STATUS_OK && status < STATUS_MULTIPLE_CHOICES &&
        !matches_request) {
        RsCheck_ReportViolation(check, "MIXED", now_ms,
                                "the answer to request %s is not its own",
                                request_id);
    }
    if (idempotent || !guarantees_not_executed(status)) {
        return;
    }
    if (g_hash_table_contains(check->executed, request_id)) {
        RsCheck_ReportViolation(check, "REFUSED", now_ms,
                                "request %s has run and is answered %d",
                                request_id, status);
    }
    g_hash_table_add(check->not_executed, g_strdup(request_id));
}

/* Returns how many requests a target with a limit may get from all nodes
 * within RsCheck_LIMIT_WINDOW_MS, once all nodes were told. */
uint32_t
RsCheck_MaxLimited(double limit_per_s)
{
    return (uint32_t)(LIMIT_FACTOR * limit_per_s * RsCheck_LIMIT_WINDOW_MS /
                          MS_PER_S +
                      LIMIT_SLACK);
}
