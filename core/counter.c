#include "core/counter.h"

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define SUB_COUNT (1u << RsHistogram_SUB_BITS)
#define TEXT_FIRST_BYTES 4096

/* Adds to a counter. Only its own thread may call this. */
void
RsCounter_Add(struct rs_counter *counter, uint64_t amount)
{
    uint64_t value =
        atomic_load_explicit(&counter->value, memory_order_relaxed);
    atomic_store_explicit(&counter->value, value + amount,
                          memory_order_relaxed);
}

/* Sets a gauge. Only its own thread may call this. */
void
RsCounter_Set(struct rs_counter *counter, uint64_t value)
{
    atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

/* Reads a counter from any thread. */
uint64_t
RsCounter_Read(const struct rs_counter *counter)
{
    return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

static size_t
bucket_of(uint64_t value)
{
    if (value < SUB_COUNT) {
        return value;
    }
    unsigned exponent = 63 - (unsigned)__builtin_clzll(value);
    unsigned shift = exponent - RsHistogram_SUB_BITS;
    size_t index = ((size_t)(shift + 1) << RsHistogram_SUB_BITS) +
                   ((value >> shift) & (SUB_COUNT - 1));
    return MIN(index, (size_t)RsHistogram_BUCKETS - 1);
}

static uint64_t
bucket_top(size_t index)
{
    if (index < SUB_COUNT) {
        return index;
    }
    unsigned shift = (unsigned)(index >> RsHistogram_SUB_BITS) - 1;
    uint64_t sub = index & (SUB_COUNT - 1);
    return ((SUB_COUNT + sub + 1) << shift) - 1;
}

/* Records one value. Only the histogram's own thread may call this. */
void
RsHistogram_Record(struct rs_histogram *histogram, uint64_t value)
{
    RsCounter_Add(&histogram->buckets[bucket_of(value)], 1);
    RsCounter_Add(&histogram->count, 1);
    RsCounter_Add(&histogram->sum, value);
}

/* Returns the value below or at which `share` (0 to 1) of the recorded values
 * lie, rounded up to its bucket's top; 0 when nothing was recorded. */
uint64_t
RsHistogram_Quantile(const struct rs_histogram *histogram, double share)
{
    uint64_t count = RsCounter_Read(&histogram->count);
    uint64_t wanted = (uint64_t)(share * (double)count);
    uint64_t seen = 0;
    size_t last = 0;
    for (size_t i = 0; i < RsHistogram_BUCKETS; i++) {
        uint64_t here = RsCounter_Read(&histogram->buckets[i]);
        if (here > 0) {
            last = i;
        }
        seen += here;
        if (seen > wanted) {
            return bucket_top(i);
        }
    }
    return count > 0 ? bucket_top(last) : 0;
}

/* Adds all that `from` recorded to `into`. */
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
reserve(struct rs_text *text, size_t more_bytes)
{
    size_t needed = text->size_bytes + more_bytes + 1;
    if (needed <= text->capacity_bytes) {
        return;
    }
    size_t capacity = MAX(text->capacity_bytes * 2, TEXT_FIRST_BYTES);
    capacity = MAX(capacity, needed);
    text->data = g_realloc(text->data, capacity);
    text->capacity_bytes = capacity;
}

/* Appends formatted text; the data always ends with a zero byte. */
void
RsText_Append(struct rs_text *text, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *piece = g_strdup_vprintf(format, args);
    va_end(args);
    size_t size = strlen(piece);
    reserve(text, size);
    memcpy(text->data + text->size_bytes, piece, size + 1);
    text->size_bytes += size;
    g_free(piece);
}

/* Frees the data; the text is empty again. */
void
RsText_Free(struct rs_text *text)
{
    g_free(text->data);
    *text = (struct rs_text){0};
}

static void
print_head(struct rs_text *text, const char *name, const char *help,
           const char *type)
{
    if (help != NULL) {
        RsText_Append(text, "# HELP %s %s\n# TYPE %s %s\n", name, help, name,
                      type);
    }
}

/* Prints one counter or gauge. `labels` is empty or like `a="b"`. A NULL
 * `help` leaves out the heading, for the further rows of one name. */
void
RsCounter_Print(struct rs_text *text, const char *name, const char *labels,
                const char *help, const char *type,
                const struct rs_counter *counter)
{
    print_head(text, name, help, type);
    RsText_Append(text, "%s{%s} %" PRIu64 "\n", name, labels,
                  RsCounter_Read(counter));
}

/* Prints a histogram as a Prometheus summary with four quantiles. */
void
RsHistogram_Print(struct rs_text *text, const char *name, const char *labels,
                  const char *help, const struct rs_histogram *histogram)
{
    static const double shares[] = {0.5, 0.9, 0.99, 0.999};
    const char *comma = labels[0] != '\0' ? "," : "";
    print_head(text, name, help, "summary");
    for (size_t i = 0; i < G_N_ELEMENTS(shares); i++) {
        RsText_Append(text, "%s{%s%squantile=\"%g\"} %" PRIu64 "\n", name,
                      labels, comma, shares[i],
                      RsHistogram_Quantile(histogram, shares[i]));
    }
    RsText_Append(text, "%s_sum{%s} %" PRIu64 "\n", name, labels,
                  RsCounter_Read(&histogram->sum));
    RsText_Append(text, "%s_count{%s} %" PRIu64 "\n", name, labels,
                  RsCounter_Read(&histogram->count));
}
