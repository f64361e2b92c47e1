#include "review/bed/bed.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 256
#define END_OF_HEAD "\r\n\r\n"

#define MAX_LISTENERS 32
#define HELD_BACKLOG 0
#define FILLERS 4 /* connections that fill the queue of a held listener */

struct listener {
    int fd;
    uint16_t port;
    bool held;
    int fillers[FILLERS];
    rs_bed_handler handler;
    void *arg;
};

struct accepted {
    struct rs_bed_stream stream;
    const struct listener *listener;
};

static struct listener *listeners[MAX_LISTENERS];
static size_t listener_count;

static void *
serve(void *arg)
{
    struct accepted *accepted = arg;
    accepted->listener->handler(accepted->listener->arg, &accepted->stream);
    close(accepted->stream.fd);
    free(accepted);
    return NULL;
}

static void *
accept_all(void *arg)
{
    const struct listener *listener = arg;
    for (;;) {
        while (listener->held) {
            RsBed_SleepMs(1);
        }
        int fd = accept(listener->fd, NULL, NULL);
        if (fd < 0) {
            continue;
        }
        int on = 1;
        pthread_t thread;
        struct accepted *accepted = calloc(1, sizeof(*accepted));
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        accepted->stream.fd = fd;
        accepted->listener = listener;
        if (pthread_create(&thread, NULL, serve, accepted) == 0) {
            pthread_detach(thread);
        }
    }
    return NULL;
}

static struct sockaddr_in
make_address(const char *host, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    inet_pton(AF_INET, host, &address.sin_addr);
    return address;
}

/* Listens on a free port, which is stored in `*port`, and calls the handler in
 * a thread of its own for each connection. Returns 0 or -1. */
int
RsBedHttp_Listen(const char *host, uint16_t *port, rs_bed_handler handler,
                 void *arg)
{
    struct listener *listener = calloc(1, sizeof(*listener));
    struct sockaddr_in address = make_address(host, 0);
    socklen_t size = sizeof(address);
    pthread_t thread;
    listener->fd = socket(AF_INET, SOCK_STREAM, 0);
    listener->handler = handler;
    listener->arg = arg;
    if (bind(listener->fd, (struct sockaddr *)&address, size) != 0 ||
        listen(listener->fd, BACKLOG) != 0 ||
        getsockname(listener->fd, (struct sockaddr *)&address, &size) != 0 ||
        pthread_create(&thread, NULL, accept_all, listener) != 0) {
        close(listener->fd);
        free(listener);
        return -1;
    }
    pthread_detach(thread);
    *port = ntohs(address.sin_port);
    listener->port = *port;
    if (listener_count < MAX_LISTENERS) {
        listeners[listener_count++] = listener;
    }
    return 0;
}

static struct listener *
find_listener(uint16_t port)
{
    for (size_t i = 0; i < listener_count; i++) {
        if (listeners[i]->port == port) {
            return listeners[i];
        }
    }
    return NULL;
}

/* Loses the first packet of each new connection to a port of
 * RsBedHttp_Listen(), until RsBedHttp_LetConnect(): the queue of the listener
 * is full. Open connections go on. */
void
RsBedHttp_LoseConnects(uint16_t port)
{
    struct listener *listener = find_listener(port);
    struct sockaddr_in address = make_address("127.0.0.1", port);
    listen(listener->fd, HELD_BACKLOG);
    listener->held = true;
    for (size_t i = 0; i < FILLERS; i++) {
        listener->fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)connect(listener->fillers[i], (struct sockaddr *)&address,
                      sizeof(address));
        RsBed_SleepMs(1);
    }
}

/* Accepts connections again. */
void
RsBedHttp_LetConnect(uint16_t port)
{
    struct listener *listener = find_listener(port);
    for (size_t i = 0; i < FILLERS; i++) {
        close(listener->fillers[i]);
    }
    listen(listener->fd, BACKLOG);
    listener->held = false;
}

/* Returns a connected socket, or -1. */
int
RsBedHttp_Connect(const char *host, uint16_t port)
{
    struct sockaddr_in address = make_address(host, port);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Receives more bytes. Returns false at the end of the stream, after a reset,
 * and when the buffer is full. */
static bool
receive_more(struct rs_bed_stream *stream)
{
    size_t room = sizeof(stream->buffer) - 1 - stream->size;
    ssize_t got =
        room > 0 ? recv(stream->fd, stream->buffer + stream->size, room, 0)
                 : -1;
    if (got <= 0) {
        return false;
    }
    stream->size += (size_t)got;
    stream->buffer[stream->size] = '\0';
    return true;
}

static void
drop_front(struct rs_bed_stream *stream, size_t size)
{
    memmove(stream->buffer, stream->buffer + size, stream->size - size);
    stream->size -= size;
    stream->buffer[stream->size] = '\0';
}

/* Reads the body of `message`, whose length is known. Returns 0 or -1. */
static int
read_body(struct rs_bed_stream *stream, struct rs_bed_message *message)
{
    size_t done = 0;
    message->body = malloc(message->body_bytes + 1);
    while (done < message->body_bytes) {
        if (stream->size == 0 && !receive_more(stream)) {
            return -1;
        }
        size_t left = message->body_bytes - done;
        size_t part = stream->size < left ? stream->size : left;
        memcpy(message->body + done, stream->buffer, part);
        drop_front(stream, part);
        done += part;
    }
    message->body[done] = '\0';
    return 0;
}

/* Reads a request or a response with a length. Returns 0, or -1 if the stream
 * ends before. RsBedHttp_Clear() frees the body. */
int
RsBedHttp_Read(struct rs_bed_stream *stream, struct rs_bed_message *message)
{
    char length[32];
    memset(message, 0, sizeof(*message));
    const char *end = NULL;
    while (stream->size == 0 ||
           (end = strstr(stream->buffer, END_OF_HEAD)) == NULL) {
        if (!receive_more(stream)) {
            return -1;
        }
    }
    size_t head_bytes = (size_t)(end - stream->buffer) + strlen(END_OF_HEAD);
    if (head_bytes >= sizeof(message->head)) {
        return -1;
    }
    memcpy(message->head, stream->buffer, head_bytes);
    drop_front(stream, head_bytes);
    if (strncmp(message->head, "HTTP/1.1 ", 9) == 0) {
        message->status = (int)strtol(message->head + 9, NULL, 10);
    }
    else if (sscanf(message->head, "%15s %2047s", message->method,
                    message->path) != 2) {
        return -1;
    }
    if (RsBedHttp_Header(message, "content-length", length, sizeof(length))) {
        message->body_bytes = strtoul(length, NULL, 10);
    }
    return message->body_bytes > 0 ? read_body(stream, message) : 0;
}

void
RsBedHttp_Clear(struct rs_bed_message *message)
{
    free(message->body);
    message->body = NULL;
}

/* Copies the value of a header, whose name is given in any case. Returns
 * whether there is one. */
bool
RsBedHttp_Header(const struct rs_bed_message *message, const char *name,
                 char *value, size_t size)
{
    size_t name_size = strlen(name);
    const char *line = strstr(message->head, "\r\n");
    while (line != NULL && line[2] != '\r' && line[2] != '\0') {
        line += 2;
        const char *next = strstr(line, "\r\n");
        if (next != NULL && strncasecmp(line, name, name_size) == 0 &&
            line[name_size] == ':') {
            const char *from = line + name_size + 1;
            while (*from == ' ') {
                from++;
            }
            snprintf(value, size, "%.*s", (int)(next - from), from);
            return true;
        }
        line = next;
    }
    return false;
}

/* Sends all bytes. Returns 0 or -1. */
int
RsBedHttp_SendAll(int fd, const char *data, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return -1;
        }
        data += sent;
        size -= (size_t)sent;
    }
    return 0;
}

/* Returns whether the peer has closed or reset the connection. */
bool
RsBedHttp_HungUp(int fd)
{
    char byte;
    struct pollfd entry = {.fd = fd, .events = POLLIN};
    if (poll(&entry, 1, 0) <= 0) {
        return false;
    }
    return (entry.revents & (POLLERR | POLLHUP)) != 0 ||
           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}
