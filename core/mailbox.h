/* A queue of messages into a task that runs on a libuv loop. Any thread may
 * post; the task's handler runs on its own loop. */

#ifndef RATTANSHED_CORE_MAILBOX_H
#define RATTANSHED_CORE_MAILBOX_H

#include <pthread.h>
#include <uv.h>

/* First member of each message. `dispose` frees the whole message; the
 * mailbox calls it on messages that were never handled. */
struct rs_message {
    struct rs_message *next;
    int kind;
    void (*dispose)(struct rs_message *message);
};

/* Owns `message` from the call on. */
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
