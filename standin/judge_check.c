#include "standin/judge_check.h"

#include <string.h>

#define US_PER_MS 1000.0

struct rs_judge {
    GStringChunk *texts;   /* each text once */
    GPtrArray *events;     /* struct rs_judge_event */
    GPtrArray *requests;   /* struct rs_judge_request */
    GHashTable *slots;     /* target to slots */
    GHashTable *partial;   /* targets whose record is not whole */
    GPtrArray *violations; /* text */
};

/* The effects of one request id. */
struct tally {
    uint32_t effects;
    uint32_t post_effects;
    const char *targets[2];
};

/* Returns a judge who knows nothing yet. */
struct rs_judge *
RsJudge_New(void)
{
    struct rs_judge *judge = g_new0(struct rs_judge, 1);
    judge->texts = g_string_chunk_new(1 << 16);
    judge->events = g_ptr_array_new_with_free_func(g_free);
    judge->requests = g_ptr_array_new_with_free_func(g_free);
    judge->slots = g_hash_table_new(g_str_hash, g_str_equal);
    judge->partial = g_hash_table_new(g_str_hash, g_str_equal);
    judge->violations = g_ptr_array_new_with_free_func(g_free);
    return judge;
}

/* Frees the judge and the violations. */
void
RsJudge_Free(struct rs_judge *judge)
{
    g_hash_table_destroy(judge->slots);
    g_hash_table_destroy(judge->partial);
    g_ptr_array_free(judge->events, TRUE);
    g_ptr_array_free(judge->requests, TRUE);
    g_ptr_array_free(judge->violations, TRUE);
    g_string_chunk_free(judge->texts);
    g_free(judge);
}

static const char *
keep(struct rs_judge *judge, const char *text)
{
    return g_string_chunk_insert_const(judge->texts, text);
}

/* Takes in one event of a target's record. */
void
RsJudge_AddEvent(struct rs_judge *judge, const struct rs_judge_event *event)
{
    struct rs_judge_event *copy = g_memdup2(event, sizeof(*event));
    copy->target = keep(judge, event->target);
    copy->service = keep(judge, event->service);
    copy->request_id = keep(judge, event->request_id);
    copy->method = keep(judge, event->method);
    copy->key = keep(judge, event->key);
    copy->slice = keep(judge, event->slice);
    g_ptr_array_add(judge->events, copy);
}

/* Takes in what a caller was told of one request. */
void
RsJudge_AddRequest(struct rs_judge *judge,
                   const struct rs_judge_request *request)
{
    struct rs_judge_request *copy = g_memdup2(request, sizeof(*request));
    copy->request_id = keep(judge, request->request_id);
    copy->method = keep(judge, request->method);
    copy->outcome = keep(judge, request->outcome);
    g_ptr_array_add(judge->requests, copy);
}

/* Says how many requests a target may run at once. */
void
RsJudge_SetSlots(struct rs_judge *judge, const char *target, uint32_t slots)
{
    g_hash_table_insert(judge->slots, (gpointer)keep(judge, target),
                        GUINT_TO_POINTER(slots));
}

/* Says that events of a target are missing, so that a request without an
 * effect proves nothing. */
void
RsJudge_MarkPartial(struct rs_judge *judge, const char *target)
{
    g_hash_table_add(judge->partial, (gpointer)keep(judge, target));
}

static void violate(struct rs_judge *judge, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
violate(struct rs_judge *judge, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_ptr_array_add(judge->violations, g_strdup_vprintf(format, arguments));
    va_end(arguments);
}

static int
compare_times(int64_t a, int64_t b)
{
    return (a > b) - (a < b);
}

static gint
by_key_and_start(gconstpointer a, gconstpointer b)
{
    const struct rs_judge_event *one = *(struct rs_judge_event *const *)a;
    const struct rs_judge_event *two = *(struct rs_judge_event *const *)b;
    int order = strcmp(one->service, two->service);
    order = order != 0 ? order : strcmp(one->key, two->key);
    return order != 0 ? order : compare_times(one->start_us, two->start_us);
}

static gint
by_slice_and_end(gconstpointer a, gconstpointer b)
{
    const struct rs_judge_event *one = *(struct rs_judge_event *const *)a;
    const struct rs_judge_event *two = *(struct rs_judge_event *const *)b;
    int order = strcmp(one->slice, two->slice);
    return order != 0 ? order : compare_times(one->end_us, two->end_us);
}

/* Returns the effects on keys, sorted. */
static GPtrArray *
sorted_effects(const struct rs_judge *judge, GCompareFunc compare)
{
    GPtrArray *effects = g_ptr_array_new();
    for (guint i = 0; i < judge->events->len; i++) {
        const struct rs_judge_event *event =
            g_ptr_array_index(judge->events, i);
        if (event->effect && event->slice[0] != '\0') {
            g_ptr_array_add(effects, (gpointer)event);
        }
    }
    g_ptr_array_sort(effects, compare);
    return effects;
}

static void
check_overlap(struct rs_judge *judge, const struct rs_judge_event *earlier,
              const struct rs_judge_event *later)
{
    if (earlier->target == later->target ||
        later->start_us >= earlier->end_us) {
        return;
    }
    violate(judge,
            "two owners: key %s of %s ran on %s (request %s, %lld to %lld us) "
            "and on %s (request %s, %lld to %lld us)",
            later->key, later->service, earlier->target, earlier->request_id,
            (long long)earlier->start_us, (long long)earlier->end_us,
            later->target, later->request_id, (long long)later->start_us,
            (long long)later->end_us);
}

/* No two effects on a key overlap in time on different targets. Each is
 * compared with the one that ends last of those that began before it; if that
 * one ran on the same target, an overlap with a third was already found. */
static void
check_owners(struct rs_judge *judge)
{
    GPtrArray *effects = sorted_effects(judge, by_key_and_start);
    const struct rs_judge_event *last = NULL;
    for (guint i = 0; i < effects->len; i++) {
        const struct rs_judge_event *event = g_ptr_array_index(effects, i);
        if (last == NULL || last->key != event->key ||
            last->service != event->service) {
            last = event;
            continue;
        }
        check_overlap(judge, last, event);
        if (event->end_us >= last->end_us) {
            last = event;
        }
    }
    g_ptr_array_free(effects, TRUE);
}

static bool
fence_is_below(const struct rs_judge_event *a, const struct rs_judge_event *b)
{
    return a->epoch != b->epoch ? a->epoch < b->epoch : a->step < b->step;
}

/* No effect comes under a fence lower than that of an earlier effect on the
 * same slice. */
static void
check_fences(struct rs_judge *judge)
{
    GPtrArray *effects = sorted_effects(judge, by_slice_and_end);
    const struct rs_judge_event *highest = NULL;
    for (guint i = 0; i < effects->len; i++) {
        const struct rs_judge_event *event = g_ptr_array_index(effects, i);
        if (highest == NULL || highest->slice != event->slice ||
            fence_is_below(highest, event)) {
            highest = event;
        }
        else if (fence_is_below(event, highest) &&
                 event->end_us > highest->end_us) {
            violate(judge,
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

static GHashTable *
tally_effects(const struct rs_judge *judge)
{
    GHashTable *tallies =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < judge->events->len; i++) {
        const struct rs_judge_event *event =
            g_ptr_array_index(judge->events, i);
        if (!event->effect || event->request_id[0] == '\0') {
            continue;
        }
        struct tally *tally = g_hash_table_lookup(tallies, event->request_id);
        if (tally == NULL) {
            tally = g_new0(struct tally, 1);
            g_hash_table_insert(tallies, (gpointer)event->request_id, tally);
        }
        tally->targets[MIN(tally->effects, 1)] = event->target;
        tally->effects++;
        tally->post_effects += strcmp(event->method, "POST") == 0;
    }
    return tallies;
}

static void
check_repeats(struct rs_judge *judge, GHashTable *tallies)
{
    GHashTableIter at;
    gpointer request_id;
    gpointer value;
    g_hash_table_iter_init(&at, tallies);
    while (g_hash_table_iter_next(&at, &request_id, &value)) {
        const struct tally *tally = value;
        if (tally->post_effects > 1) {
            violate(judge,
                    "repeated: POST request %s took effect %u times, on %s "
                    "and %s",
                    (const char *)request_id, tally->post_effects,
                    tally->targets[0], tally->targets[1]);
        }
    }
}

/* What callers were told is true. */
static void
check_requests(struct rs_judge *judge, GHashTable *tallies)
{
    for (guint i = 0; i < judge->requests->len; i++) {
        const struct rs_judge_request *request =
            g_ptr_array_index(judge->requests, i);
        const struct tally *tally =
            g_hash_table_lookup(tallies, request->request_id);
        if (strcmp(request->outcome, "not-run") == 0 && tally != NULL) {
            violate(judge, "false refusal: %s request %s ran on %s",
                    request->method, request->request_id, tally->targets[0]);
        }
        if (strcmp(request->outcome, "answered") == 0 &&
            strcmp(request->method, "POST") == 0 && tally == NULL &&
            g_hash_table_size(judge->partial) == 0) {
            violate(judge, "lost: POST request %s was answered but never ran",
                    request->request_id);
        }
    }
}

/* A moment at which the number of running requests changes. */
struct edge {
    const char *target;
    int64_t at_us;
    int change;
};

/* At one time, ends come before starts. */
static gint
compare_edges(gconstpointer a, gconstpointer b)
{
    const struct edge *one = a;
    const struct edge *two = b;
    int order = strcmp(one->target, two->target);
    order = order != 0 ? order : compare_times(one->at_us, two->at_us);
    return order != 0 ? order : one->change - two->change;
}

static GArray *
list_edges(const struct rs_judge *judge)
{
    GArray *edges = g_array_new(FALSE, FALSE, sizeof(struct edge));
    for (guint i = 0; i < judge->events->len; i++) {
        const struct rs_judge_event *event =
            g_ptr_array_index(judge->events, i);
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

/* No target runs more requests at once than it has slots. Each time that it
 * goes beyond them is told once. */
static void
check_slots(struct rs_judge *judge)
{
    GArray *edges = list_edges(judge);
    const char *target = NULL;
    uint32_t running = 0;
    uint32_t slots = 0;
    for (guint i = 0; i < edges->len; i++) {
        const struct edge *edge = &g_array_index(edges, struct edge, i);
        if (edge->target != target) {
            target = edge->target;
            slots =
                GPOINTER_TO_UINT(g_hash_table_lookup(judge->slots, target));
        }
        running += edge->change;
        if (slots > 0 && edge->change > 0 && running == slots + 1) {
            violate(judge, "overrun: %s ran %u requests at once, %u slots",
                    target, running, slots);
        }
    }
    g_array_free(edges, TRUE);
}

/* Compares what is known. Called once. */
const GPtrArray *
RsJudge_Check(struct rs_judge *judge)
{
    GHashTable *tallies = tally_effects(judge);
    check_owners(judge);
    check_fences(judge);
    check_repeats(judge, tallies);
    check_requests(judge, tallies);
    check_slots(judge);
    g_hash_table_destroy(tallies);
    return judge->violations;
}
