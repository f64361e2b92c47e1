#include "core/counter.h"

#include <glib.h>
#include <jansson.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define SUB_BUCKETS (1u << RsHistogram_SUB_BITS)
#define MIN_TEXT_CAPACITY_BYTES 4096

/* Adds `amount` to a counter. Only the writer thread may call this. */
void
RsCounter_Add(struct rs_counter *counter, uint64_t amount)
{
    uint64_t value =
        atomic_load_explicit(&counter->value, memory_order_relaxed);
    atomic_store_explicit(&counter->value, value + amount,
                          memory_order_relaxed);
}

/* Sets a gauge. Only the writer thread may call this. */
void
RsCounter_Set(struct rs_counter *counter, uint64_t value)
{
    atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

/* Returns the value of a counter or gauge. Any thread may call this. */
uint64_t
RsCounter_Read(const struct rs_counter *counter)
{
    return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

static size_t
bucket_index(uint64_t value)
{
    if (value < SUB_BUCKETS) {
        return value;
    }
    unsigned exponent = 63 - (unsigned)__builtin_clzll(value);
    unsigned shift = exponent - RsHistogram_SUB_BITS;
    size_t index = ((size_t)(shift + 1) << RsHistogram_SUB_BITS) +
                   ((value >> shift) & (SUB_BUCKETS - 1));
    return MIN(index, (size_t)RsHistogram_BUCKETS - 1);
}

/* Returns the largest value that belongs to a bucket. The last bucket also
 * counts all larger values. */
static uint64_t
bucket_upper_bound(size_t index)
{
    if (index < SUB_BUCKETS) {
        return index;
    }
    unsigned shift = (unsigned)(index >> RsHistogram_SUB_BITS) - 1;
    uint64_t sub = index & (SUB_BUCKETS - 1);
    return ((SUB_BUCKETS + sub + 1) << shift) - 1;
}

/* Records one value. Only the writer thread may call this. */
void
RsHistogram_Record(struct rs_histogram *histogram, uint64_t value)
{
    RsCounter_Add(&histogram->buckets[bucket_index(value)], 1);
    RsCounter_Add(&histogram->count, 1);
    RsCounter_Add(&histogram->sum, value);
}

/* Returns the given quantile (0 to 1) of the recorded values, rounded up to
 * the upper bound of its bucket, or 0 if nothing was recorded. Values beyond
 * the last bucket are counted in it, so the result can be too low for them. */
uint64_t
RsHistogram_Quantile(const struct rs_histogram *histogram, double quantile)
{
    uint64_t count = RsCounter_Read(&histogram->count);
    uint64_t rank = (uint64_t)(quantile * (double)count);
    uint64_t cumulative = 0;
    size_t last_used = 0;
    for (size_t i = 0; i < RsHistogram_BUCKETS; i++) {
        uint64_t bucket_count = RsCounter_Read(&histogram->buckets[i]);
        if (bucket_count > 0) {
            last_used = i;
        }
        cumulative += bucket_count;
        if (cumulative > rank) {
            return bucket_upper_bound(i);
        }
    }
    return count > 0 ? bucket_upper_bound(last_used) : 0;
}

/* Adds the values recorded in `from` to `into`. Only the writer thread of
 * `into` may call this. */
void
RsHistogram_Merge(struct rs_histogram *into, const struct rs_histogram *from)
{
    for (size_t i = 0; i < RsHistogram_BUCKETS; i++) {
        RsCounter_Add(&into->buckets[i], RsCounter_Read(&from->buckets[i]));
    }
    RsCounter_Add(&into->count, RsCounter_Read(&from->count));
    RsCounter_Add(&into->sum, RsCounter_Read(&from->sum));
}

static void
ensure_capacity(struct rs_text_buffer *text, size_t more_bytes)
{
    size_t needed = text->size_bytes + more_bytes + 1;
    if (needed <= text->capacity_bytes) {
        return;
    }
    size_t capacity = MAX(text->capacity_bytes * 2, MIN_TEXT_CAPACITY_BYTES);
    capacity = MAX(capacity, needed);
    text->data = g_realloc(text->data, capacity);
    text->capacity_bytes = capacity;
}

/* Appends formatted text. The data is null-terminated afterwards. */
void
RsText_Append(struct rs_text_buffer *text, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *formatted = g_strdup_vprintf(format, args);
    va_end(args);
    size_t size = strlen(formatted);
    ensure_capacity(text, size);
    memcpy(text->data + text->size_bytes, formatted, size + 1);
    text->size_bytes += size;
    g_free(formatted);
}

/* Appends a text as a JSON string. One that isn't valid UTF-8 is null. */
void
RsText_AppendQuoted(struct rs_text_buffer *text, const char *value)
{
    json_t *string = json_string(value);
    char *quoted = string != NULL ? json_dumps(string, JSON_ENCODE_ANY) : NULL;
    RsText_Append(text, "%s", quoted != NULL ? quoted : "null");
    free(quoted);
    json_decref(string);
}

/* Frees the data and leaves the buffer empty. */
void
RsText_Free(struct rs_text_buffer *text)
{
    g_free(text->data);
    *text = (struct rs_text_buffer){0};
}

static void
print_header(struct rs_text_buffer *text, const char *name, const char *help,
             const char *type)
{
    if (help != NULL) {
        RsText_Append(text, "# HELP %s %s\n# TYPE %s %s\n", name, help, name,
                      type);
    }
}

/* Appends a counter or gauge; `type` is "counter" or "gauge". `labels` is
 * empty or has the form `a="b"`, with commas between several. If `help` is
 * NULL, the HELP and TYPE lines are omitted; pass NULL for every series of a
 * metric after the first. */
void
RsCounter_AppendText(struct rs_text_buffer *text, const char *name,
                     const char *labels, const char *help, const char *type,
                     const struct rs_counter *counter)
{
    print_header(text, name, help, type);
    RsText_Append(text, "%s{%s} %" PRIu64 "\n", name, labels,
                  RsCounter_Read(counter));
}

/* Appends a histogram as a Prometheus summary with the quantiles 0.5, 0.9,
 * 0.99 and 0.999. `labels` and `help` are as for RsCounter_AppendText(). */
void
RsHistogram_AppendText(struct rs_text_buffer *text, const char *name,
                       const char *labels, const char *help,
                       const struct rs_histogram *histogram)
{
    static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};
    const char *comma = labels[0] != '\0' ? "," : "";
    print_header(text, name, help, "summary");
    for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
        RsText_Append(text, "%s{%s%squantile=\"%g\"} %" PRIu64 "\n", name,
                      labels, comma, quantiles[i],
                      RsHistogram_Quantile(histogram, quantiles[i]));
    }
    RsText_Append(text, "%s_sum{%s} %" PRIu64 "\n", name, labels,
                  RsCounter_Read(&histogram->sum));
    RsText_Append(text, "%s_count{%s} %" PRIu64 "\n", name, labels,
                  RsCounter_Read(&histogram->count));
}
