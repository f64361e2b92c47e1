/* Callers: single requests, and a steady stream of them. */

#ifndef RATTANSHED_TESTS_CALLER_H
#define RATTANSHED_TESTS_CALLER_H

#include "standin/load_answer.h"
#include "tests/cluster.h"

#define RsCaller_ID_BYTES 64
#define RsCaller_KEYS 12 /* of a stream */

struct rs_caller_request {
    char id[RsCaller_ID_BYTES];
    char key[RsCaller_ID_BYTES];
    const char *method;
    enum rs_load_outcome outcome;
    int status; /* 0: no answer */
    char reason[RsLoadAnswer_TEXT_BYTES];
    const char *entry;
    int64_t start_us; /* by the wall clock */
    int64_t end_us;
};

struct rs_stream;

struct rs_stream_options {
    const char *keys;                          /* begins each key */
    const struct rs_cluster_entry *only_entry; /* NULL: all that are offered */
    int32_t only_domain;                       /* -1: all */
    uint32_t timeout_ms;                       /* 0: 1000 */
    uint32_t pause_ms; /* of each key between its requests; 0: 10 */
};

/* Single requests */
struct rs_caller_request RsCaller_Ask(struct rs_cluster *cluster,
                                      const struct rs_cluster_entry *entry,
                                      const char *method, const char *key,
                                      uint32_t timeout_ms);
int RsCaller_Call(uint16_t port, const char *method, const char *path,
                  const char *body, int64_t timeout_ms, json_t **answer);
char *RsCaller_Text(uint16_t port, const char *path);

/* A stream, from one thread a key; each fourth request is a POST. */
struct rs_stream *RsStream_Start(struct rs_cluster *cluster,
                                 const struct rs_stream_options *options);
void RsStream_Stop(struct rs_stream *stream);

/* What became of it, by the wall clock */
uint32_t RsStream_Count(struct rs_cluster *cluster,
                        enum rs_load_outcome outcome, int64_t from_us);
int64_t RsStream_FirstAnswerMs(struct rs_cluster *cluster, int64_t from_us);
int64_t RsStream_LongestGapMs(struct rs_cluster *cluster, const char *keys,
                              int64_t from_us, int64_t to_us);
void RsStream_Print(struct rs_cluster *cluster, enum rs_load_outcome outcome,
                    int64_t from_us);

#endif
