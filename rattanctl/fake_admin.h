/* An administration address for tests: it gives prepared answers, one a
 * request, and keeps what was asked. */

#ifndef RATTANSHED_RATTANCTL_FAKE_ADMIN_H
#define RATTANSHED_RATTANCTL_FAKE_ADMIN_H

#include <pthread.h>
#include <stddef.h>

#define RsFakeAdmin_MAX 8
#define RsFakeAdmin_TEXT_BYTES 512

/* A status of 0 closes the connection without an answer. */
struct rs_fake_answer {
    int status;
    const char *body;
};

struct rs_fake_admin {
    char address[32];
    int listener;
    pthread_t thread;
    struct rs_fake_answer answers[RsFakeAdmin_MAX];
    size_t answer_count;
    char requests[RsFakeAdmin_MAX][RsFakeAdmin_TEXT_BYTES]; /* first lines */
    char bodies[RsFakeAdmin_MAX][RsFakeAdmin_TEXT_BYTES];
    size_t request_count;
};

void RsFakeAdmin_Start(struct rs_fake_admin *admin,
                       const struct rs_fake_answer *answers, size_t count);
void RsFakeAdmin_Stop(struct rs_fake_admin *admin);

#endif
