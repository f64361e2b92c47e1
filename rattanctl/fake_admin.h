/* A fake administration server for tests. It sends prepared responses, one per
 * request; the last one is repeated. It records the first
 * RsFakeAdmin_MAX_REQUESTS requests; later ones get no response. */

#ifndef RATTANSHED_RATTANCTL_FAKE_ADMIN_H
#define RATTANSHED_RATTANCTL_FAKE_ADMIN_H

#include <pthread.h>
#include <stddef.h>

#define RsFakeAdmin_MAX_REQUESTS 8
#define RsFakeAdmin_TEXT_BYTES 512

/* A prepared response. With a status of 0, the server closes the connection
 * without a response. */
struct rs_fake_answer {
    int status;
    const char *body;
};

struct rs_fake_admin {
    char address[32];
    int listener;
    pthread_t thread;
    struct rs_fake_answer answers[RsFakeAdmin_MAX_REQUESTS];
    size_t answer_count;
    char requests[RsFakeAdmin_MAX_REQUESTS]
                 [RsFakeAdmin_TEXT_BYTES]; /* request line of each request,
                                              cut off after 500 bytes */
    char bodies[RsFakeAdmin_MAX_REQUESTS]
               [RsFakeAdmin_TEXT_BYTES]; /* body of each request, cut off after
                                            500 bytes */
    size_t request_count;
};

void RsFakeAdmin_Start(struct rs_fake_admin *admin,
                       const struct rs_fake_answer *answers, size_t count);
void RsFakeAdmin_Stop(struct rs_fake_admin *admin);

#endif
