#include "core/mailbox.h"

#include "core/error.h"

/* Empties the queue and returns its messages as a list. */
static struct rs_message *
take_all(struct rs_mailbox *mailbox)
{
    pthread_mutex_lock(&mailbox->lock);
    struct rs_message *first = mailbox->first;
    mailbox->first = NULL;
    mailbox->last = NULL;
    pthread_mutex_unlock(&mailbox->lock);
    return first;
}

static void
on_wakeup(uv_async_t *wakeup)
{
    struct rs_mailbox *mailbox = wakeup->data;
    struct rs_message *message = take_all(mailbox);
    while (message != NULL) {
        struct rs_message *next = message->next;
        message->next = NULL;
        mailbox->handler(mailbox->arg, message);
        message = next;
    }
}

/* Opens a mailbox whose handler runs on `loop`. Returns 0 or
 * RsMailbox_OPEN_FAILED. */
int
RsMailbox_Open(struct rs_mailbox *mailbox, uv_loop_t *loop,
               rs_mailbox_handler handler, void *arg)
{
    mailbox->first = NULL;
    mailbox->last = NULL;
    mailbox->handler = handler;
    mailbox->arg = arg;
    pthread_mutex_init(&mailbox->lock, NULL);
    mailbox->wakeup.data = mailbox;
    int status = uv_async_init(loop, &mailbox->wakeup, on_wakeup);
    mailbox->wakeup.data = mailbox;
    return status == 0 ? 0 : RsMailbox_OPEN_FAILED;
}

/* Posts a message and takes ownership of it. Messages from one thread are
 * handled in the order in which they were posted. */
void
RsMailbox_Post(struct rs_mailbox *mailbox, struct rs_message *message)
{
    message->next = NULL;
    pthread_mutex_lock(&mailbox->lock);
    if (mailbox->last != NULL) {
        mailbox->last->next = message;
    }
    else {
        mailbox->first = message;
    }
    mailbox->last = message;
    pthread_mutex_unlock(&mailbox->lock);
    uv_async_send(&mailbox->wakeup);
}

/* Closes the mailbox and disposes of the messages that are still queued. No
 * message may be posted during or after this call. If the handler makes
 * this call, the messages that were taken from the queue with the current one
 * are still handled. */
void
RsMailbox_Close(struct rs_mailbox *mailbox)
{
    uv_close((uv_handle_t *)&mailbox->wakeup, NULL);
    struct rs_message *message = take_all(mailbox);
    while (message != NULL) {
        struct rs_message *next = message->next;
        message->dispose(message);
        message = next;
    }
}
