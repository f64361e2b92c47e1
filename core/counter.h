/* Counters and histograms with a single writer thread, which any thread may
 * read without locks, and their output in the Prometheus text format. */

#ifndef RATTANSHED_CORE_COUNTER_H
#define RATTANSHED_CORE_COUNTER_H

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/* Log-linear buckets: 16 per power of two, so that a reported quantile exceeds
 * the true one by at most 1/16. Values of 2^43 or more are all counted in the
 * last bucket. */
#define RsHistogram_SUB_BITS 4
#define RsHistogram_BUCKETS (40 << RsHistogram_SUB_BITS)

struct rs_counter {
    _Atomic uint64_t value;
};

struct rs_histogram {
    struct rs_counter buckets[RsHistogram_BUCKETS];
    struct rs_counter count;
    struct rs_counter sum;
};

void RsCounter_Add(struct rs_counter *counter, uint64_t amount);
void RsCounter_Set(struct rs_counter *counter, uint64_t value);
uint64_t RsCounter_Read(const struct rs_counter *counter);

void RsHistogram_Record(struct rs_histogram *histogram, uint64_t value);
uint64_t RsHistogram_Quantile(const struct rs_histogram *histogram,
                              double quantile);
void RsHistogram_Merge(struct rs_histogram *into,
                       const struct rs_histogram *from);

/* A growable text buffer. Zeroed memory is an empty buffer, whose `data` is
 * NULL. */
struct rs_text_buffer {
    char *data;
    size_t size_bytes; /* without the null byte at the end */
    size_t capacity_bytes;
};

void RsText_Append(struct rs_text_buffer *text, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void RsText_AppendQuoted(struct rs_text_buffer *text, const char *value);
void RsText_Free(struct rs_text_buffer *text);

void RsCounter_AppendText(struct rs_text_buffer *text, const char *name,
                          const char *labels, const char *help,
                          const char *type, const struct rs_counter *counter);
void RsHistogram_AppendText(struct rs_text_buffer *text, const char *name,
                            const char *labels, const char *help,
                            const struct rs_histogram *histogram);

#endif
