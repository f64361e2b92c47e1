/* A list of what is wrong with an input, such as a ticket, in the order found.
 * It keeps the first RsFaults_MAX faults. */

#ifndef RATTANSHED_TICKET_FAULT_H
#define RATTANSHED_TICKET_FAULT_H

#include <jansson.h>
#include <stddef.h>

#define RsFaults_MAX 100

struct rs_fault {
    char *path;    /* where: a position in the input, as in "line 3" or
                    * "objects[0].value.slots", KIND/NAME.FIELD for an object
                    * of the configuration, or "" for the whole input */
    char *what;    /* what is wrong there */
    char *allowed; /* which values are allowed there */
};

/* The owner initializes the struct with zeros and frees it with RsFaults_Free.
 * At most RsFaults_MAX faults are stored; further ones are only counted. */
struct rs_faults {
    struct rs_fault *items;
    size_t kept;  /* number of faults in `items` */
    size_t count; /* number of all faults that were added */
};

void RsFaults_Add(struct rs_faults *faults, const char *path, const char *what,
                  const char *allowed, ...)
    __attribute__((format(printf, 4, 5)));
json_t *RsFaults_ToJson(const struct rs_faults *faults);
void RsFaults_Free(struct rs_faults *faults);

#endif
