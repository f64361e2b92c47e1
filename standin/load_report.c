#include "standin/load_report.h"

#include <glib.h>
#include <stdio.h>

#include "core/counter.h"

#define BUCKET_US 100000
#define US_PER_MS 1000
#define NOT_WAITING (-1)

static const char *const class_names[RsLoad_CLASS_COUNT] = {"read", "post",
                                                            "file"};

/* The requests of one interval of the time line, by their intended time. */
struct bucket {
    uint32_t counts[RsLoad_CLASS_COUNT][RsLoad_OUTCOME_COUNT];
    int64_t worst_us[RsLoad_CLASS_COUNT]; /* highest latency of an answer */
};

/* A group of keys: those whose hash has the same value modulo
 * RsLoadReport_KEY_GROUPS. Records how long the group waits for an answer. */
struct key_group {
    int64_t waiting_since_us; /* intended time of the first request since the
                                 last answer, or NOT_WAITING */
    int64_t longest_us;       /* length of the longest wait */
    int64_t longest_from_us;  /* when the longest wait began */
};

struct class_report {
    uint64_t sent;
    uint64_t counts[RsLoad_OUTCOME_COUNT];
    struct rs_histogram answer_latency_us;
    GHashTable *reasons; /* reason to number of unanswered requests */
    struct key_group groups[RsLoadReport_KEY_GROUPS];
};

struct rs_load_report {
    struct class_report classes[RsLoad_CLASS_COUNT];
    struct bucket *buckets;
    size_t bucket_count;
};

/* Returns an empty report for requests that are sent within `duration_us`. The
 * caller frees it with RsLoadReport_Free(). */
struct rs_load_report *
RsLoadReport_New(int64_t duration_us)
{
    struct rs_load_report *report = g_new0(struct rs_load_report, 1);
    report->bucket_count = (size_t)(duration_us / BUCKET_US) + 1;
    report->buckets = g_new0(struct bucket, report->bucket_count);
    for (int i = 0; i < RsLoad_CLASS_COUNT; i++) {
        struct class_report *class = &report->classes[i];
        class->reasons =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        for (int j = 0; j < RsLoadReport_KEY_GROUPS; j++) {
            class->groups[j].waiting_since_us = NOT_WAITING;
        }
    }
    return report;
}

/* Frees the report. */
void
RsLoadReport_Free(struct rs_load_report *report)
{
    for (int i = 0; i < RsLoad_CLASS_COUNT; i++) {
        g_hash_table_destroy(report->classes[i].reasons);
    }
    g_free(report->buckets);
    g_free(report);
}

/* Counts a request that is now due to be sent. Starts the wait of its group
 * of keys if the group isn't waiting. */
void
RsLoadReport_AddSent(struct rs_load_report *report, enum rs_load_class class,
                     uint64_t key_hash, int64_t intended_us)
{
    struct class_report *entry = &report->classes[class];
    struct key_group *group =
        &entry->groups[key_hash % RsLoadReport_KEY_GROUPS];
    entry->sent++;
    if (group->waiting_since_us == NOT_WAITING) {
        group->waiting_since_us = intended_us;
    }
}

/* Ends a group's wait, if there is one, and records the wait if it is the
 * longest so far. */
static void
end_wait(struct key_group *group, int64_t now_us)
{
    if (group->waiting_since_us == NOT_WAITING) {
        return;
    }
    int64_t waited_us = now_us - group->waiting_since_us;
    if (waited_us > group->longest_us) {
        group->longest_us = waited_us;
        group->longest_from_us = group->waiting_since_us;
    }
    group->waiting_since_us = NOT_WAITING;
}

/* Counts how a request ended. An answer ends the wait of its group of keys. */
void
RsLoadReport_AddResult(struct rs_load_report *report,
                       const struct rs_load_result *result)
{
    struct class_report *class = &report->classes[result->class];
    size_t index = (size_t)(result->intended_us / BUCKET_US);
    struct bucket *bucket =
        &report->buckets[MIN(index, report->bucket_count - 1)];
    class->counts[result->outcome]++;
    bucket->counts[result->class][result->outcome]++;
    if (result->outcome == RsLoad_ANSWERED) {
        int64_t latency_us = result->end_us - result->intended_us;
        int64_t *worst_us = &bucket->worst_us[result->class];
        *worst_us = MAX(*worst_us, latency_us);
        RsHistogram_Record(&class->answer_latency_us, (uint64_t)latency_us);
        end_wait(&class->groups[result->key_hash % RsLoadReport_KEY_GROUPS],
                 result->end_us);
    }
    else if (result->reason != NULL && result->reason[0] != '\0') {
        gpointer count = g_hash_table_lookup(class->reasons, result->reason);
        g_hash_table_replace(class->reasons, g_strdup(result->reason),
                             GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
    }
}

/* Ends, at `now_us`, the waits of all groups that still have no answer. To be
 * called at the end of the run. */
void
RsLoadReport_EndWaits(struct rs_load_report *report, int64_t now_us)
{
    for (int i = 0; i < RsLoad_CLASS_COUNT; i++) {
        for (int j = 0; j < RsLoadReport_KEY_GROUPS; j++) {
            end_wait(&report->classes[i].groups[j], now_us);
        }
    }
}

/* Returns the group of keys that was without an answer for longest. */
static const struct key_group *
find_longest_wait(const struct class_report *class)
{
    const struct key_group *longest = &class->groups[0];
    for (int i = 1; i < RsLoadReport_KEY_GROUPS; i++) {
        if (class->groups[i].longest_us > longest->longest_us) {
            longest = &class->groups[i];
        }
    }
    return longest;
}

static json_t *
reasons_json(const struct class_report *class)
{
    GHashTableIter iter;
    gpointer reason;
    gpointer count;
    json_t *json = json_object();
    g_hash_table_iter_init(&iter, class->reasons);
    while (g_hash_table_iter_next(&iter, &reason, &count)) {
        json_object_set_new(json, reason,
                            json_integer(GPOINTER_TO_UINT(count)));
    }
    return json;
}

static json_t *
quantile_json(const struct class_report *class, double share)
{
    return json_integer(
        (json_int_t)RsHistogram_Quantile(&class->answer_latency_us, share));
}

static json_t *
class_json(const struct class_report *class)
{
    const struct key_group *longest = find_longest_wait(class);
    json_t *json = json_object();
    json_object_set_new(json, "sent", json_integer((json_int_t) class->sent));
    for (int i = 0; i < RsLoad_OUTCOME_COUNT; i++) {
        json_object_set_new(json,
                            RsLoadAnswer_OutcomeName((enum rs_load_outcome)i),
                            json_integer((json_int_t) class->counts[i]));
    }
    json_object_set_new(json, "p50_us", quantile_json(class, 0.5));
    json_object_set_new(json, "p99_us", quantile_json(class, 0.99));
    json_object_set_new(json, "p999_us", quantile_json(class, 0.999));
    json_object_set_new(json, "longest_unanswered_ms",
                        json_integer(longest->longest_us / US_PER_MS));
    json_object_set_new(json, "longest_unanswered_from_ms",
                        json_integer(longest->longest_from_us / US_PER_MS));
    json_object_set_new(json, "longest_unanswered_group",
                        json_integer(longest - class->groups));
    json_object_set_new(json, "reasons", reasons_json(class));
    return json;
}

static json_t *
bucket_json(const struct bucket *bucket, int class)
{
    const uint32_t *counts = bucket->counts[class];
    return json_pack("{s:I,s:I,s:I,s:I,s:I}", "answered",
                     (json_int_t)counts[RsLoad_ANSWERED], "not-run",
                     (json_int_t)counts[RsLoad_REFUSED], "unknown",
                     (json_int_t)counts[RsLoad_UNKNOWN], "other",
                     (json_int_t)counts[RsLoad_BROKEN] +
                         counts[RsLoad_SILENT] + counts[RsLoad_WRONG],
                     "worst_us", (json_int_t)bucket->worst_us[class]);
}

/* Returns `{"classes":{...},"timeline":[...]}`, which the caller frees. The
 * time line has an entry for each 100 ms of the requests' intended time. */
json_t *
RsLoadReport_Json(const struct rs_load_report *report)
{
    json_t *classes = json_object();
    json_t *timeline = json_array();
    for (int i = 0; i < RsLoad_CLASS_COUNT; i++) {
        json_object_set_new(classes, class_names[i],
                            class_json(&report->classes[i]));
    }
    for (size_t i = 0; i < report->bucket_count; i++) {
        json_t *entry = json_object();
        json_object_set_new(
            entry, "at_ms",
            json_integer((json_int_t)i * (BUCKET_US / US_PER_MS)));
        for (int class = 0; class < RsLoad_CLASS_COUNT; class ++) {
            json_object_set_new(entry, class_names[class],
                                bucket_json(&report->buckets[i], class));
        }
        json_array_append_new(timeline, entry);
    }
    return json_pack("{s:o,s:o}", "classes", classes, "timeline", timeline);
}

static void
print_class(const char *name, const struct class_report *class)
{
    const struct rs_histogram *latency = &class->answer_latency_us;
    printf("%-5s %9llu", name, (unsigned long long)class->sent);
    for (int i = 0; i < RsLoad_OUTCOME_COUNT; i++) {
        printf(" %9llu", (unsigned long long)class->counts[i]);
    }
    printf(" %8.1f %8.1f %8.1f %13lld\n",
           (double)RsHistogram_Quantile(latency, 0.5) / US_PER_MS,
           (double)RsHistogram_Quantile(latency, 0.99) / US_PER_MS,
           (double)RsHistogram_Quantile(latency, 0.999) / US_PER_MS,
           (long long)(find_longest_wait(class)->longest_us / US_PER_MS));
}

/* Prints a table with a row for each class to the standard output. */
void
RsLoadReport_Print(const struct rs_load_report *report)
{
    printf("%-5s %9s", "class", "sent");
    for (int i = 0; i < RsLoad_OUTCOME_COUNT; i++) {
        printf(" %9s", RsLoadAnswer_OutcomeName((enum rs_load_outcome)i));
    }
    printf(" %8s %8s %8s %13s\n", "p50_ms", "p99_ms", "p99.9_ms",
           "unanswered_ms");
    for (int i = 0; i < RsLoad_CLASS_COUNT; i++) {
        print_class(class_names[i], &report->classes[i]);
    }
}
