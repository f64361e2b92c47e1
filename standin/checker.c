#include "standin/checker.h"

#include <string.h>

#define US_PER_MS 1000.0

struct rs_checker {
    GStringChunk *texts;   /* interned: equal texts have the same pointer */
    GPtrArray *events;     /* struct rs_checker_event */
    GPtrArray *requests;   /* struct rs_checker_request */
    GHashTable *slots;     /* target name to number of slots */
    GHashTable *partial;   /* names of targets with missing events;
                              "" for an unknown target */
    GPtrArray *violations; /* char * */
};

/* How often requests with one ID took effect, and on which targets. */
struct effect_count {
    uint32_t effects;
    uint32_t post_effects;
    const char *targets[2]; /* of the first and the last event added;
                               the last is NULL when there is only one */
};

/* Returns a checker without events and requests. The caller frees it with
 * RsChecker_Free(). */
struct rs_checker *
RsChecker_New(void)
{
    struct rs_checker *checker = g_new0(struct rs_checker, 1);
    checker->texts = g_string_chunk_new(1 << 16);
    checker->events = g_ptr_array_new_with_free_func(g_free);
    checker->requests = g_ptr_array_new_with_free_func(g_free);
    checker->slots = g_hash_table_new(g_str_hash, g_str_equal);
    checker->partial = g_hash_table_new(g_str_hash, g_str_equal);
    checker->violations = g_ptr_array_new_with_free_func(g_free);
    return checker;
}

/* Frees the checker and the violations that RsChecker_Run() returned. */
void
RsChecker_Free(struct rs_checker *checker)
{
    g_hash_table_destroy(checker->slots);
    g_hash_table_destroy(checker->partial);
    g_ptr_array_free(checker->events, TRUE);
    g_ptr_array_free(checker->requests, TRUE);
    g_ptr_array_free(checker->violations, TRUE);
    g_string_chunk_free(checker->texts);
    g_free(checker);
}

/* Returns the checker's single copy of `text`, so that texts can be compared
 * by their pointers. */
static const char *
intern(struct rs_checker *checker, const char *text)
{
    return g_string_chunk_insert_const(checker->texts, text);
}

/* Adds one event of a target's record. */
void
RsChecker_AddEvent(struct rs_checker *checker,
                   const struct rs_checker_event *event)
{
    struct rs_checker_event *copy = g_memdup2(event, sizeof(*event));
    copy->target = intern(checker, event->target);
    copy->service = intern(checker, event->service);
    copy->request_id = intern(checker, event->request_id);
    copy->method = intern(checker, event->method);
    copy->key = intern(checker, event->key);
    copy->slice = intern(checker, event->slice);
    g_ptr_array_add(checker->events, copy);
}

/* Adds the outcome of one request as its caller saw it. */
void
RsChecker_AddRequest(struct rs_checker *checker,
                     const struct rs_checker_request *request)
{
    struct rs_checker_request *copy = g_memdup2(request, sizeof(*request));
    copy->request_id = intern(checker, request->request_id);
    copy->method = intern(checker, request->method);
    copy->outcome = intern(checker, request->outcome);
    g_ptr_array_add(checker->requests, copy);
}

/* Sets how many requests a target may run at once. Targets whose number
 * isn't set or is 0 aren't checked. */
void
RsChecker_SetSlots(struct rs_checker *checker, const char *target,
                   uint32_t slots)
{
    g_hash_table_insert(checker->slots, (gpointer)intern(checker, target),
                        GUINT_TO_POINTER(slots));
}

/* States that events of a target are missing. Answered requests are then not
 * reported as lost, since they may have run on this target. `target` may be
 * empty when the target isn't known. */
void
RsChecker_MarkPartial(struct rs_checker *checker, const char *target)
{
    g_hash_table_add(checker->partial, (gpointer)intern(checker, target));
}

/* Adds a violation. */
static void add_violation(struct rs_checker *checker, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_violation(struct rs_checker *checker, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_ptr_array_add(checker->violations, g_strdup_vprintf(format, arguments));
    va_end(arguments);
}

static int
compare_times(int64_t a, int64_t b)
{
    return (a > b) - (a < b);
}

static gint
compare_keys_and_starts(gconstpointer a, gconstpointer b)
{
    const struct rs_checker_event *one = *(struct rs_checker_event *const *)a;
    const struct rs_checker_event *two = *(struct rs_checker_event *const *)b;
    int order = strcmp(one->service, two->service);
    order = order != 0 ? order : strcmp(one->key, two->key);
    return order != 0 ? order : compare_times(one->start_us, two->start_us);
}

static gint
compare_slices_and_ends(gconstpointer a, gconstpointer b)
{
    const struct rs_checker_event *one = *(struct rs_checker_event *const *)a;
    const struct rs_checker_event *two = *(struct rs_checker_event *const *)b;
    int order = strcmp(one->slice, two->slice);
    return order != 0 ? order : compare_times(one->end_us, two->end_us);
}

/* Returns the events with a slice that took effect, in the order of `compare`.
 * The caller frees the array. */
static GPtrArray *
collect_effects(const struct rs_checker *checker, GCompareFunc compare)
{
    GPtrArray *effects = g_ptr_array_new();
    for (guint i = 0; i < checker->events->len; i++) {
        const struct rs_checker_event *event =
            g_ptr_array_index(checker->events, i);
        if (event->effect && event->slice[0] != '\0') {
            g_ptr_array_add(effects, (gpointer)event);
        }
    }
    g_ptr_array_sort(effects, compare);
    return effects;
}

static void
check_overlap(struct rs_checker *checker,
              const struct rs_checker_event *earlier,
              const struct rs_checker_event *later)
{
    if (earlier->target == later->target ||
        later->start_us >= earlier->end_us) {
        return;
    }
    add_violation(
        checker,
        "two owners: key %s of %s ran on %s (request %s, %lld to %lld us) "
        "and on %s (request %s, %lld to %lld us)",
        later->key, later->service, earlier->target, earlier->request_id,
        (long long)earlier->start_us, (long long)earlier->end_us,
        later->target, later->request_id, (long long)later->start_us,
        (long long)later->end_us);
}

/* Checks that no two effects on a key overlap in time on different targets.
 * Compares each effect E only with L, the effect that ends last among those
 * that began before E. If L ran on the same target as E, and an earlier effect
 * on another target overlaps E, that effect also overlaps L, so an overlap on
 * this key has been reported already. */
static void
check_owners(struct rs_checker *checker)
{
    GPtrArray *effects = collect_effects(checker, compare_keys_and_starts);
    const struct rs_checker_event *last = NULL;
    for (guint i = 0; i < effects->len; i++) {
        const struct rs_checker_event *event = g_ptr_array_index(effects, i);
        if (last == NULL || last->key != event->key ||
            last->service != event->service) {
            last = event;
            continue;
        }
        check_overlap(checker, last, event);
        if (event->end_us >= last->end_us) {
            last = event;
        }
    }
    g_ptr_array_free(effects, TRUE);
}

static bool
fence_is_below(const struct rs_checker_event *a,
               const struct rs_checker_event *b)
{
    return a->epoch != b->epoch ? a->epoch < b->epoch : a->step < b->step;
}

/* Checks that no effect has a lower fence than an earlier effect on the same
 * slice. Effects that end in the same microsecond have no order. */
static void
check_fences(struct rs_checker *checker)
{
    GPtrArray *effects = collect_effects(checker, compare_slices_and_ends);
    const struct rs_checker_event *highest = NULL;
    for (guint i = 0; i < effects->len; i++) {
        const struct rs_checker_event *event = g_ptr_array_index(effects, i);
        if (highest == NULL || highest->slice != event->slice ||
            fence_is_below(highest, event)) {
            highest = event;
        }
        else if (fence_is_below(event, highest) &&
                 event->end_us > highest->end_us) {
            add_violation(
                checker,
                "stale fence: slice %s, request %s on %s under %llu.%llu "
                "%.3f ms after request %s on %s under %llu.%llu",
                event->slice, event->request_id, event->target,
                (unsigned long long)event->epoch,
                (unsigned long long)event->step,
                (double)(event->end_us - highest->end_us) / US_PER_MS,
                highest->request_id, highest->target,
                (unsigned long long)highest->epoch,
                (unsigned long long)highest->step);
        }
    }
    g_ptr_array_free(effects, TRUE);
}

/* Returns a table from request ID to struct effect_count for the events that
 * took effect. Events without an ID are left out. The caller destroys it. */
static GHashTable *
count_effects(const struct rs_checker *checker)
{
    GHashTable *effect_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < checker->events->len; i++) {
        const struct rs_checker_event *event =
            g_ptr_array_index(checker->events, i);
        if (!event->effect || event->request_id[0] == '\0') {
            continue;
        }
        struct effect_count *effect_count =
            g_hash_table_lookup(effect_counts, event->request_id);
        if (effect_count == NULL) {
            effect_count = g_new0(struct effect_count, 1);
            g_hash_table_insert(effect_counts, (gpointer)event->request_id,
                                effect_count);
        }
        effect_count->targets[MIN(effect_count->effects, 1)] = event->target;
        effect_count->effects++;
        effect_count->post_effects += strcmp(event->method, "POST") == 0;
    }
    return effect_counts;
}

/* Checks that no POST request took effect more than once. */
static void
check_repeats(struct rs_checker *checker, GHashTable *effect_counts)
{
    GHashTableIter iter;
    gpointer request_id;
    gpointer value;
    g_hash_table_iter_init(&iter, effect_counts);
    while (g_hash_table_iter_next(&iter, &request_id, &value)) {
        const struct effect_count *effect_count = value;
        if (effect_count->post_effects > 1) {
            add_violation(
                checker,
                "repeated: POST request %s took effect %u times, on %s "
                "and %s",
                (const char *)request_id, effect_count->post_effects,
                effect_count->targets[0], effect_count->targets[1]);
        }
    }
}

/* Checks that the outcomes that callers were told are true: a request that was
 * refused as not run has no effect, and a POST request that was answered has
 * one. The second check is skipped when events of any target are missing. */
static void
check_requests(struct rs_checker *checker, GHashTable *effect_counts)
{
    for (guint i = 0; i < checker->requests->len; i++) {
        const struct rs_checker_request *request =
            g_ptr_array_index(checker->requests, i);
        const struct effect_count *effect_count =
            g_hash_table_lookup(effect_counts, request->request_id);
        if (strcmp(request->outcome, "not-run") == 0 && effect_count != NULL) {
            add_violation(checker, "false refusal: %s request %s ran on %s",
                          request->method, request->request_id,
                          effect_count->targets[0]);
        }
        if (strcmp(request->outcome, "answered") == 0 &&
            strcmp(request->method, "POST") == 0 && effect_count == NULL &&
            g_hash_table_size(checker->partial) == 0) {
            add_violation(checker,
                          "lost: POST request %s was answered but never ran",
                          request->request_id);
        }
    }
}

/* A point in time at which the number of requests that a target runs changes.
 */
struct edge {
    const char *target;
    int64_t at_us;
    int change;
};

/* At the same time, ends come before starts, so that a slot can be reused at
 * once. */
static gint
compare_edges(gconstpointer a, gconstpointer b)
{
    const struct edge *one = a;
    const struct edge *two = b;
    int order = strcmp(one->target, two->target);
    order = order != 0 ? order : compare_times(one->at_us, two->at_us);
    return order != 0 ? order : one->change - two->change;
}

/* Returns the starts and ends of all events that last at least a microsecond,
 * by target and time. The caller frees the array. */
static GArray *
list_edges(const struct rs_checker *checker)
{
    GArray *edges = g_array_new(FALSE, FALSE, sizeof(struct edge));
    for (guint i = 0; i < checker->events->len; i++) {
        const struct rs_checker_event *event =
            g_ptr_array_index(checker->events, i);
        struct edge start = {event->target, event->start_us, 1};
        struct edge end = {event->target, event->end_us, -1};
        if (event->end_us > event->start_us) {
            g_array_append_val(edges, start);
            g_array_append_val(edges, end);
        }
    }
    g_array_sort(edges, compare_edges);
    return edges;
}

/* Checks that no target runs more requests at once than it has slots. Each
 * period in which a target exceeds its slots is reported once. */
static void
check_slots(struct rs_checker *checker)
{
    GArray *edges = list_edges(checker);
    const char *target = NULL;
    uint32_t running = 0;
    uint32_t slots = 0;
    for (guint i = 0; i < edges->len; i++) {
        const struct edge *edge = &g_array_index(edges, struct edge, i);
        if (edge->target != target) {
            target = edge->target;
            slots =
                GPOINTER_TO_UINT(g_hash_table_lookup(checker->slots, target));
        }
        running += edge->change;
        if (slots > 0 && edge->change > 0 && running == slots + 1) {
            add_violation(checker,
                          "overrun: %s ran %u requests at once, %u slots",
                          target, running, slots);
        }
    }
    g_array_free(edges, TRUE);
}

/* Runs all checks. Returns the violations as texts, in an array that the
 * checker owns. Must be called only once, after all events and requests were
 * added. */
const GPtrArray *
RsChecker_Run(struct rs_checker *checker)
{
    GHashTable *effect_counts = count_effects(checker);
    check_owners(checker);
    check_fences(checker);
    check_repeats(checker, effect_counts);
    check_requests(checker, effect_counts);
    check_slots(checker);
    g_hash_table_destroy(effect_counts);
    return checker->violations;
}
