#include "review/bed-3/wire.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define BACKLOG 256
#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define US_PER_MS 1000
#define DECIMAL 10

static int64_t
read_ms(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Returns the monotonic time, which all processes of a case share. */
int64_t
RsBed_NowMs(void)
{
    return read_ms(CLOCK_BOOTTIME);
}

int64_t
RsBed_WallMs(void)
{
    return read_ms(CLOCK_REALTIME);
}

void
RsBed_SleepMs(int64_t span_ms)
{
    struct timespec span = {span_ms / MS_PER_S,
                            span_ms % MS_PER_S * NS_PER_MS};
    nanosleep(&span, NULL);
}

/* Appends a line to the file that RECORD names, after the time in ms since
 * RECORD_FROM_MS. */
void
RsBed_Record(const char *format, ...)
{
    char line[1024];
    const char *path = getenv("RECORD");
    const char *from = getenv("RECORD_FROM_MS");
    int64_t from_ms = from != NULL ? strtoll(from, NULL, DECIMAL) : 0;
    va_list arguments;
    int size = snprintf(line, sizeof(line), "%8lld ",
                        (long long)(RsBed_NowMs() - from_ms));
    va_start(arguments, format);
    size += vsnprintf(line + size, sizeof(line) - (size_t)size - 1, format,
                      arguments);
    va_end(arguments);
    size = size < (int)sizeof(line) - 2 ? size : (int)sizeof(line) - 2;
    line[size] = '\n';
    FILE *file = path != NULL ? fopen(path, "a") : NULL;
    if (file != NULL) {
        setvbuf(file, NULL, _IOFBF, sizeof(line));
        fwrite(line, (size_t)size + 1, 1, file);
        fclose(file);
    }
}

static struct sockaddr_in
make_address(const char *host, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, host, &address.sin_addr);
    return address;
}

/* Returns a listening socket, or -1. */
int
RsBed_Listen(const char *host, int port)
{
    const int on = 1;
    struct sockaddr_in address = make_address(host, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, BACKLOG) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Returns a connected socket whose reads end after the timeout, or -1. */
int
RsBed_Connect(const char *host, int port, int timeout_ms)
{
    const int on = 1;
    const struct timeval timeout = {timeout_ms / MS_PER_S,
                                    timeout_ms % MS_PER_S * US_PER_MS};
    struct sockaddr_in address = make_address(host, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

struct served {
    int fd;
    void (*serve)(int fd);
};

static void *
run_served(void *arg)
{
    struct served served = *(struct served *)arg;
    free(arg);
    served.serve(served.fd);
    close(served.fd);
    return NULL;
}

/* Accepts connections for ever, each served by a thread. */
void
RsBed_Serve(int listener, void (*serve)(int fd))
{
    const int on = 1;
    pthread_attr_t detached;
    pthread_attr_init(&detached);
    pthread_attr_setdetachstate(&detached, PTHREAD_CREATE_DETACHED);
    for (;;) {
        pthread_t thread;
        struct served *served = calloc(1, sizeof(*served));
        served->fd = accept(listener, NULL, NULL);
        served->serve = serve;
        setsockopt(served->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (served->fd < 0 ||
            pthread_create(&thread, &detached, run_served, served) != 0) {
            close(served->fd);
            free(served);
        }
    }
}

void
RsBed_Open(struct rs_bed_stream *stream, int fd)
{
    *stream = (struct rs_bed_stream){
        .fd = fd, .data = malloc(RsBed_MAX_HEAD_BYTES + RsBed_MAX_BODY_BYTES)};
}

void
RsBed_Close(struct rs_bed_stream *stream)
{
    free(stream->data);
    stream->data = NULL;
}

/* Reads until the stream has `size` bytes. */
static bool
fill(struct rs_bed_stream *stream, size_t size)
{
    if (size > RsBed_MAX_HEAD_BYTES + RsBed_MAX_BODY_BYTES) {
        return false;
    }
    while (stream->size < size) {
        ssize_t got = recv(
            stream->fd, stream->data + stream->size,
            RsBed_MAX_HEAD_BYTES + RsBed_MAX_BODY_BYTES - stream->size, 0);
        if (got <= 0) {
            return false;
        }
        stream->size += (size_t)got;
    }
    return true;
}

/* Reads a message whose body has a length. Returns false at the end of the
 * stream, or when the message is too long. */
bool
RsBed_Read(struct rs_bed_stream *stream, struct rs_bed_message *message)
{
    char length[16];
    char *end = NULL;
    memset(message, 0, sizeof(*message));
    for (size_t need = 1; end == NULL; need = stream->size + 1) {
        if (!fill(stream, need)) {
            return false;
        }
        end = memmem(stream->data, stream->size, "\r\n\r\n", 4);
    }
    size_t head_bytes = (size_t)(end - stream->data) + 4;
    if (head_bytes >= sizeof(message->head)) {
        return false;
    }
    memcpy(message->head, stream->data, head_bytes);
    if (sscanf(message->head, "HTTP/1.1 %3d", &message->status) != 1) {
        sscanf(message->head, "%15s %1023s", message->method, message->path);
    }
    if (RsBed_Header(message, "content-length", length, sizeof(length))) {
        message->body_bytes = strtoul(length, NULL, DECIMAL);
    }
    if (!fill(stream, head_bytes + message->body_bytes)) {
        return false;
    }
    message->body = calloc(1, message->body_bytes + 1);
    memcpy(message->body, stream->data + head_bytes, message->body_bytes);
    stream->size -= head_bytes + message->body_bytes;
    memmove(stream->data, stream->data + head_bytes + message->body_bytes,
            stream->size);
    return true;
}

void
RsBed_Free(struct rs_bed_message *message)
{
    free(message->body);
    message->body = NULL;
}

/* Copies the value of a header. Returns false if there is none. */
bool
RsBed_Header(const struct rs_bed_message *message, const char *name,
             char *value, size_t size)
{
    size_t name_bytes = strlen(name);
    value[0] = '\0';
    for (const char *line = strstr(message->head, "\r\n");
         line != NULL && line[2] != '\r' && line[2] != '\0';
         line = strstr(line + 2, "\r\n")) {
        const char *text = line + 2;
        if (strncasecmp(text, name, name_bytes) == 0 &&
            text[name_bytes] == ':') {
            text += name_bytes + 1;
            text += strspn(text, " ");
            snprintf(value, size, "%.*s", (int)strcspn(text, "\r"), text);
            return true;
        }
    }
    return false;
}

/* Copies the value of a parameter of the query, which must not be escaped. */
bool
RsBed_Query(const struct rs_bed_message *message, const char *name,
            char *value, size_t size)
{
    size_t name_bytes = strlen(name);
    value[0] = '\0';
    for (const char *text = strchr(message->path, '?'); text != NULL;
         text = strchr(text + 1, '&')) {
        if (strncmp(text + 1, name, name_bytes) == 0 &&
            text[name_bytes + 1] == '=') {
            text += name_bytes + 2;
            snprintf(value, size, "%.*s", (int)strcspn(text, "&"), text);
            return true;
        }
    }
    return false;
}

bool
RsBed_Send(int fd, const char *text, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, text, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        text += sent;
        size -= (size_t)sent;
    }
    return true;
}

/* Sends a response; `headers` are whole lines. */
bool
RsBed_Answer(int fd, int status, const char *headers, const char *body)
{
    size_t size = strlen(headers) + strlen(body) + 128;
    char *text = malloc(size);
    int written = snprintf(text, size,
                           "HTTP/1.1 %d Answer\r\n%scontent-length: "
                           "%zu\r\n\r\n%s",
                           status, headers, strlen(body), body);
    bool sent = RsBed_Send(fd, text, (size_t)written);
    free(text);
    return sent;
}

/* Sends a call to 127.0.0.1, and returns the status of its answer, or 0. */
int
RsBed_Post(int port, const char *path, const char *body)
{
    struct rs_bed_stream stream;
    struct rs_bed_message *answer = calloc(1, sizeof(*answer));
    size_t size = strlen(body) + 256;
    char *text = malloc(size);
    int written = snprintf(text, size,
                           "POST %s HTTP/1.1\r\nhost: store\r\n"
                           "content-length: %zu\r\n\r\n%s",
                           path, strlen(body), body);
    int status = 0;
    int fd = RsBed_Connect("127.0.0.1", port, MS_PER_S);
    RsBed_Open(&stream, fd);
    if (fd >= 0 && RsBed_Send(fd, text, (size_t)written) &&
        RsBed_Read(&stream, answer)) {
        status = answer->status;
        RsBed_Free(answer);
    }
    RsBed_Close(&stream);
    close(fd);
    free(answer);
    free(text);
    return status;
}
