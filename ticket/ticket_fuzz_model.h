/* Helpers of the ticket fuzzer: a model of the platform's table, and tickets
 * generated from random bytes. */

#ifndef RATTANSHED_TICKET_TICKET_FUZZ_MODEL_H
#define RATTANSHED_TICKET_TICKET_FUZZ_MODEL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include "ticket/ticket.h"

/* Used in place of assert, which optimized builds may compile out. */
#define RsFuzz_CHECK(condition)                                               \
    do {                                                                      \
        if (!(condition)) {                                                   \
            fprintf(stderr, "oracle: %s\n", #condition);                      \
            abort();                                                          \
        }                                                                     \
    } while (0)

struct rs_fuzz_row {
    char *key;
    uint64_t version;
    json_t *value; /* JSON null if the row is deleted */
};

struct rs_fuzz_table {
    uint64_t revision;
    GArray *rows; /* of struct rs_fuzz_row */
};

/* A stream of bytes: first those of the fuzzer's input, then those of a random
 * generator seeded by the input. */
struct rs_fuzz_bytes {
    const uint8_t *input;
    size_t input_bytes_left;
    GRand *random;
};

void RsFuzzTable_Open(struct rs_fuzz_table *table);
void RsFuzzTable_Close(struct rs_fuzz_table *table);
struct rs_fuzz_row *RsFuzzTable_At(struct rs_fuzz_table *table, guint index);
struct rs_fuzz_row *RsFuzzTable_Find(struct rs_fuzz_table *table,
                                     const char *key);
bool RsFuzzTable_Commit(struct rs_fuzz_table *table, const json_t *body);
struct rs_config *RsFuzzTable_Config(struct rs_fuzz_table *table);

void RsFuzz_CheckKeysKeepRules(const struct rs_config *before,
                               const struct rs_config *after);

void RsFuzzBytes_Open(struct rs_fuzz_bytes *bytes, const uint8_t *input,
                      size_t input_bytes);
void RsFuzzBytes_Close(struct rs_fuzz_bytes *bytes);
uint8_t RsFuzzBytes_Next(struct rs_fuzz_bytes *bytes);
struct rs_ticket *RsFuzzBytes_MakeTicket(struct rs_fuzz_bytes *bytes,
                                         uint64_t head);

#endif
