/* A queue of messages to a task that runs on a libuv loop. Any thread may post
 * a message; the handler runs on the thread of the loop. */

#ifndef RATTANSHED_CORE_MAILBOX_H
#define RATTANSHED_CORE_MAILBOX_H

#include <pthread.h>
#include <uv.h>

#include "core/error.h"

enum rs_mailbox_error {
    RsMailbox_OPEN_FAILED = RsError_CORE
};

/* Must be the first member of each message. `kind` is defined by the tasks
 * that exchange the message. `dispose` frees the whole message; the mailbox
 * calls it for messages that are still queued when it is closed. */
struct rs_message {
    struct rs_message *next;
    int kind;
    void (*dispose)(struct rs_message *message);
};

/* Handles a message and takes ownership of it. */
typedef void (*rs_mailbox_handler)(void *arg, struct rs_message *message);

struct rs_mailbox {
    uv_async_t wakeup;
    pthread_mutex_t lock;
    struct rs_message *first;
    struct rs_message *last;
    rs_mailbox_handler handler;
    void *arg;
};

int RsMailbox_Open(struct rs_mailbox *mailbox, uv_loop_t *loop,
                   rs_mailbox_handler handler, void *arg);
void RsMailbox_Post(struct rs_mailbox *mailbox, struct rs_message *message);
void RsMailbox_Close(struct rs_mailbox *mailbox);

#endif
