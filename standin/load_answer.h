/* Parses the HTTP answer to one request and classifies it as a caller of the
 * system would: which outcome the answer states, and whether the answer
 * belongs to the request. */

#ifndef RATTANSHED_STANDIN_LOAD_ANSWER_H
#define RATTANSHED_STANDIN_LOAD_ANSWER_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RsLoadAnswer_TEXT_BYTES 128
#define RsLoadAnswer_BODY_BYTES 1024

enum rs_load_outcome {
    RsLoad_ANSWERED, /* the complete and correct answer */
    RsLoad_REFUSED,  /* an error that states that the request was not run or
                        was aborted */
    RsLoad_UNKNOWN,  /* an error that states that the outcome is unknown */
    RsLoad_BROKEN,   /* no complete answer (connection refused or closed,
                        invalid HTTP), or an error that states no outcome */
    RsLoad_SILENT,   /* no answer within the caller's timeout */
    RsLoad_WRONG,    /* the answer to another request, or status 200 with a
                        wrong body or outcome */
    RsLoad_OUTCOME_COUNT
};

enum rs_load_feed_result {
    RsLoadAnswer_INCOMPLETE,  /* the answer is not complete yet */
    RsLoadAnswer_COMPLETE,    /* complete, and no bytes follow it */
    RsLoadAnswer_EXTRA_BYTES, /* complete, but more bytes follow it */
    RsLoadAnswer_INVALID      /* not valid HTTP */
};

/* What the answer must match. The caller owns the texts, which must outlive
 * the answer. */
struct rs_load_expected {
    const char *request_id;
    const char *key;
    bool is_file; /* the body is the key's file instead of JSON */
};

/* The answer as parsed so far. */
struct rs_load_answer {
    http_parser parser;
    struct rs_load_expected expected;
    uint64_t pattern_key; /* key of the expected file's content */
    bool is_complete;
    bool keeps_alive;     /* the connection may be reused */
    bool pattern_matches; /* so far, of the expected file */
    int status;           /* 0 until the headers are complete */
    /* The header that is being parsed. */
    char field[RsLoadAnswer_TEXT_BYTES];
    char value[RsLoadAnswer_TEXT_BYTES];
    bool reading_value;
    char request_id[RsLoadAnswer_TEXT_BYTES];
    char outcome[RsLoadAnswer_TEXT_BYTES];
    char reason[RsLoadAnswer_TEXT_BYTES];
    uint64_t body_bytes;                /* received so far */
    char body[RsLoadAnswer_BODY_BYTES]; /* its first bytes */
};

void RsLoadAnswer_Init(struct rs_load_answer *answer,
                       const struct rs_load_expected *expected);
enum rs_load_feed_result RsLoadAnswer_Feed(struct rs_load_answer *answer,
                                           const char *data,
                                           size_t size_bytes);
enum rs_load_outcome
RsLoadAnswer_Classify(const struct rs_load_answer *answer);
const char *RsLoadAnswer_OutcomeName(enum rs_load_outcome outcome);

#endif
