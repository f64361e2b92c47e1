/* What is wrong with some input: all faults of it, in the order found. */

#ifndef RATTANSHED_TICKET_FAULT_H
#define RATTANSHED_TICKET_FAULT_H

#include <jansson.h>
#include <stddef.h>

#define RsFaults_MAX 100

struct rs_fault {
    char *path; /* such as objects[0].value.slots */
    char *what;
    char *allowed;
};

/* Zero-initialised by its owner, who frees it with RsFaults_Free. Further
 * faults than RsFaults_MAX are counted only. */
struct rs_faults {
    struct rs_fault *items;
    size_t kept;
    size_t count;
};

void RsFaults_Add(struct rs_faults *faults, const char *path, const char *what,
                  const char *allowed, ...)
    __attribute__((format(printf, 4, 5)));
json_t *RsFaults_ToJson(const struct rs_faults *faults);
void RsFaults_Free(struct rs_faults *faults);

#endif
