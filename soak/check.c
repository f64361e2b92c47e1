#include "soak/check.h"

#include <stdarg.h>
#include <stdio.h>

#define STATUS_OK 200
#define STATUS_REDIRECT 300

/* Prepares a check that has seen nothing. */
void
RsCheck_Init(struct rs_check *check, FILE *report, int64_t now_ms)
{
    *check = (struct rs_check){.report = report, .start_ms = now_ms};
    for (size_t i = 0; i < RsCheck_MAX_TARGETS; i++) {
        check->targets[i].holds =
            g_array_new(FALSE, FALSE, sizeof(struct rs_check_hold));
    }
    check->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    check->refused =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Frees what the check remembers. */
void
RsCheck_Free(struct rs_check *check)
{
    for (size_t i = 0; i < RsCheck_MAX_TARGETS; i++) {
        g_array_unref(check->targets[i].holds);
    }
    g_hash_table_unref(check->runs);
    g_hash_table_unref(check->refused);
}

/* Reports that a rule was broken. */
void
RsCheck_Fail(struct rs_check *check, const char *rule, int64_t now_ms,
             const char *format, ...)
{
    va_list arguments;
    check->violations++;
    fprintf(check->report,
            "%8.3f s  %s: ", (double)(now_ms - check->start_ms) / 1000, rule);
    va_start(arguments, format);
    vfprintf(check->report, format, arguments);
    va_end(arguments);
    fputc('\n', check->report);
    fflush(check->report);
}

/* A target starts, and holds nothing. */
void
RsCheck_TargetStarts(struct rs_check *check, uint32_t target)
{
    check->targets[target].up = true;
    g_array_set_size(check->targets[target].holds, 0);
}

/* A target has ended; what it held is free. */
void
RsCheck_TargetEnds(struct rs_check *check, uint32_t target)
{
    check->targets[target].up = false;
    g_array_set_size(check->targets[target].holds, 0);
}

static bool
overlap(const struct rs_check_hold *a, const struct rs_check_hold *b)
{
    return a->first_key <= b->last_key && b->first_key <= a->last_key;
}

static void
check_others(struct rs_check *check, uint32_t target,
             const struct rs_check_hold *hold, int64_t now_ms)
{
    for (uint32_t i = 0; i < RsCheck_MAX_TARGETS; i++) {
        const struct rs_check_target *other = &check->targets[i];
        for (guint k = 0; i != target && other->up && k < other->holds->len;
             k++) {
            const struct rs_check_hold *theirs =
                &g_array_index(other->holds, struct rs_check_hold, k);
            if (now_ms < theirs->until_ms && overlap(theirs, hold)) {
                RsCheck_Fail(
                    check, "OWNER", now_ms,
                    "targets %u and %u hold keys %u to %u with "
                    "fences %lu and %lu",
                    i, target, MAX(theirs->first_key, hold->first_key),
                    MIN(theirs->last_key, hold->last_key),
                    (unsigned long)theirs->fence, (unsigned long)hold->fence);
            }
        }
    }
}

static void
check_fence(struct rs_check *check, uint32_t target,
            const struct rs_check_hold *hold, int64_t now_ms)
{
    for (uint32_t key = hold->first_key; key <= hold->last_key; key++) {
        if (check->taken_fence[key] >= hold->fence &&
            check->taken_by[key] != target) {
            RsCheck_Fail(check, "FENCE", now_ms,
                         "key %u went to target %u with fence %lu; target %u "
                         "had it with %lu",
                         key, target, (unsigned long)hold->fence,
                         check->taken_by[key],
                         (unsigned long)check->taken_fence[key]);
            break;
        }
    }
    for (uint32_t key = hold->first_key; key <= hold->last_key; key++) {
        check->taken_fence[key] = MAX(check->taken_fence[key], hold->fence);
        check->taken_by[key] = target;
    }
}

/* A target has taken a grant. */
void
RsCheck_Grant(struct rs_check *check, uint32_t target,
              const struct rs_check_hold *hold, int64_t now_ms)
{
    check_fence(check, target, hold, now_ms);
    check_others(check, target, hold, now_ms);
    RsCheck_Release(check, target, hold->first_key, hold->last_key, now_ms);
    g_array_append_val(check->targets[target].holds, *hold);
}

/* A target has given keys up. */
void
RsCheck_Release(struct rs_check *check, uint32_t target, uint32_t first_key,
                uint32_t last_key, int64_t now_ms)
{
    GArray *holds = check->targets[target].holds;
    for (guint i = holds->len; i > 0; i--) {
        struct rs_check_hold hold =
            g_array_index(holds, struct rs_check_hold, i - 1);
        bool lapsed = now_ms >= hold.until_ms;
        if (!lapsed &&
            (hold.last_key < first_key || last_key < hold.first_key)) {
            continue;
        }
        g_array_remove_index_fast(holds, i - 1);
        if (!lapsed && hold.first_key < first_key) {
            struct rs_check_hold left = hold;
            left.last_key = first_key - 1;
            g_array_append_val(holds, left);
        }
        if (!lapsed && hold.last_key > last_key) {
            hold.first_key = last_key + 1;
            g_array_append_val(holds, hold);
        }
    }
}

/* Tells whether a target holds a key. */
bool
RsCheck_Holds(const struct rs_check *check, uint32_t target, uint32_t key,
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

/* A target begins to run a request. */
void
RsCheck_Run(struct rs_check *check, const char *request_id, bool repeatable,
            int64_t now_ms)
{
    if (repeatable) {
        return;
    }
    if (g_hash_table_contains(check->runs, request_id)) {
        RsCheck_Fail(check, "TWICE", now_ms, "request %s runs again",
                     request_id);
    }
    if (g_hash_table_contains(check->refused, request_id)) {
        RsCheck_Fail(check, "REFUSED", now_ms,
                     "request %s runs after it was refused", request_id);
    }
    g_hash_table_add(check->runs, g_strdup(request_id));
}

static bool
promises_not_run(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/* A caller has got a whole answer; `sound` tells whether it is the one that
 * a target made for this request. */
void
RsCheck_Answer(struct rs_check *check, const char *request_id, bool repeatable,
               int status, bool sound, int64_t now_ms)
{
    if (status >= STATUS_OK && status < STATUS_REDIRECT && !sound) {
        RsCheck_Fail(check, "MIXED", now_ms,
                     "the answer to request %s is not its own", request_id);
    }
    if (repeatable || !promises_not_run(status)) {
        return;
    }
    if (g_hash_table_contains(check->runs, request_id)) {
        RsCheck_Fail(check, "REFUSED", now_ms,
                     "request %s has run and is answered %d", request_id,
                     status);
    }
    g_hash_table_add(check->refused, g_strdup(request_id));
}
