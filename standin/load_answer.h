/* One HTTP answer as a caller of the system judges it. */

#ifndef RATTANSHED_STANDIN_LOAD_ANSWER_H
#define RATTANSHED_STANDIN_LOAD_ANSWER_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RsLoadAnswer_TEXT_BYTES 128
#define RsLoadAnswer_BODY_BYTES 1024

enum rs_load_outcome {
    RsLoad_ANSWERED, /* the whole and right answer */
    RsLoad_REFUSED,  /* refused as not run */
    RsLoad_UNKNOWN,  /* "outcome unknown", and said so */
    RsLoad_BROKEN,   /* cut off, or an error that explains nothing */
    RsLoad_SILENT,   /* no answer within the caller's time */
    RsLoad_WRONG,    /* someone else's answer, or a false body */
    RsLoad_OUTCOMES
};

enum rs_load_feed {
    RsLoadAnswer_MORE,     /* the answer is not whole yet */
    RsLoadAnswer_WHOLE,    /* and no bytes are left over */
    RsLoadAnswer_LEFTOVER, /* whole, but bytes followed that nobody asked for
                            */
    RsLoadAnswer_BAD       /* no HTTP */
};

/* What the caller asked. The texts must last. */
struct rs_load_question {
    const char *request_id;
    const char *key;
    bool is_file;
};

struct rs_load_answer {
    http_parser parser;
    struct rs_load_question question;
    uint64_t pattern_key;
    bool is_whole;
    bool keeps_alive;
    bool pattern_matches;
    int status;
    char field[RsLoadAnswer_TEXT_BYTES]; /* header that is being read */
    char value[RsLoadAnswer_TEXT_BYTES];
    bool reading_value;
    char request_id[RsLoadAnswer_TEXT_BYTES];
    char outcome[RsLoadAnswer_TEXT_BYTES];
    char reason[RsLoadAnswer_TEXT_BYTES];
    uint64_t body_bytes;
    char body[RsLoadAnswer_BODY_BYTES];
};

void RsLoadAnswer_Init(struct rs_load_answer *answer,
                       const struct rs_load_question *question);
enum rs_load_feed RsLoadAnswer_Feed(struct rs_load_answer *answer,
                                    const char *data, size_t size_bytes);
enum rs_load_outcome
RsLoadAnswer_Classify(const struct rs_load_answer *answer);
const char *RsLoadAnswer_OutcomeName(enum rs_load_outcome outcome);

#endif
