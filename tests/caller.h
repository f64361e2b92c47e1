/* Callers of the system: single requests, and a steady stream of requests.
 * Requests for keys and files are stored in the cluster with their outcomes,
 * except requests of a stream for which no entry process accepted a
 * connection. */

#ifndef RATTANSHED_TESTS_CALLER_H
#define RATTANSHED_TESTS_CALLER_H

#include "standin/load_answer.h"
#include "tests/cluster.h"

#define RsCaller_ID_BYTES 64
#define RsCaller_STREAM_KEYS 12 /* number of keys of a stream */

struct rs_caller_request {
    char id[RsCaller_ID_BYTES];
    char key[RsCaller_ID_BYTES];
    const char *method;
    enum rs_load_outcome outcome;
    int status; /* HTTP; 0: no answer */
    char reason[RsLoadAnswer_TEXT_BYTES];
    const char *entry; /* name of the entry process */
    int64_t start_us;  /* wall clock */
    int64_t end_us;    /* wall clock */
};

struct rs_stream;

struct rs_stream_options {
    const char *key_prefix; /* of each key, before its index */
    /* The only entry process that gets requests, while it is in rotation;
     * NULL: all in rotation. */
    const struct rs_cluster_entry *entry_filter;
    /* Index of the only domain whose entry processes get requests; -1: all
     * domains. */
    int32_t domain_filter;
    uint32_t timeout_ms; /* 0: 1000 */
    uint32_t pause_ms;   /* between two requests for a key; 0: 10 */
};

/* Single requests */
struct rs_caller_request
RsCaller_SendRequest(struct rs_cluster *cluster,
                     const struct rs_cluster_entry *entry, const char *method,
                     const char *key, uint32_t timeout_ms);
int RsCaller_CallApi(uint16_t port, const char *method, const char *path,
                     const char *body, int64_t timeout_ms, json_t **answer);
char *RsCaller_GetText(uint16_t port, const char *path);

/* A stream has one thread for each key, which sends one request at a time;
 * each fourth request for a key is a POST, the others are GETs. */
struct rs_stream *RsStream_Start(struct rs_cluster *cluster,
                                 const struct rs_stream_options *options);
void RsStream_Stop(struct rs_stream *stream);

/* Results over all stored requests, also those of struct rs_steady_load. The
 * longest gap is that of the keys with the given prefix only. `from_us` and
 * `to_us` are times of the wall clock. */
uint32_t RsCaller_CountOutcomes(struct rs_cluster *cluster,
                                enum rs_load_outcome outcome, int64_t from_us);
int64_t RsCaller_FirstAnswerMs(struct rs_cluster *cluster, int64_t from_us);
int64_t RsStream_LongestGapMs(struct rs_cluster *cluster,
                              const char *key_prefix, int64_t from_us,
                              int64_t to_us);
void RsCaller_PrintOutcomes(struct rs_cluster *cluster,
                            enum rs_load_outcome outcome, int64_t from_us);

#endif
