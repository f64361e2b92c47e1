#include "rattanctl/fake_admin.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_BYTES 8192

/* Reads one request into the buffer. Returns the start of its body there, or
 * NULL if the connection ended before the request was complete. */
static char *
read_request(int connection, char buffer[BUFFER_BYTES])
{
    size_t used = 0;
    for (;;) {
        ssize_t count =
            read(connection, buffer + used, BUFFER_BYTES - 1 - used);
        if (count <= 0) {
            return NULL;
        }
        used += (size_t)count;
        buffer[used] = '\0';
        char *end = strstr(buffer, "\r\n\r\n");
        if (end == NULL) {
            continue;
        }
        char *content_length = strcasestr(buffer, "content-length:");
        size_t length =
            content_length == NULL
                ? 0
                : strtoul(content_length + strlen("content-length:"), NULL,
                          10);
        if (used >= (size_t)(end + 4 - buffer) + length) {
            return end + 4;
        }
    }
}

static void
serve(struct rs_fake_admin *admin, int connection)
{
    char buffer[BUFFER_BYTES];
    char *body = read_request(connection, buffer);
    if (body == NULL || admin->request_count == RsFakeAdmin_MAX_REQUESTS) {
        return;
    }
    size_t index = admin->request_count++;
    snprintf(admin->bodies[index], RsFakeAdmin_TEXT_BYTES, "%.500s", body);
    buffer[strcspn(buffer, "\r")] = '\0';
    snprintf(admin->requests[index], RsFakeAdmin_TEXT_BYTES, "%.500s", buffer);
    size_t last = admin->answer_count - 1;
    const struct rs_fake_answer *answer = &admin->answers[MIN(index, last)];
    if (answer->status != 0) {
        dprintf(connection,
                "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n"
                "Connection: close\r\n\r\n%s",
                answer->status, strlen(answer->body), answer->body);
    }
}

static void *
run_server(void *arg)
{
    struct rs_fake_admin *admin = arg;
    for (;;) {
        int connection = accept(admin->listener, NULL, NULL);
        if (connection < 0) {
            return NULL;
        }
        serve(admin, connection);
        close(connection);
    }
}

/* Starts a thread that listens on a free loopback port, and stores the address
 * in `admin`. The first `count` requests get the prepared responses in order;
 * later requests get the last prepared response again. After
 * RsFakeAdmin_MAX_REQUESTS requests, the server closes each connection without
 * a response. `answers` is copied, but not the texts of the bodies. */
void
RsFakeAdmin_Start(struct rs_fake_admin *admin,
                  const struct rs_fake_answer *answers, size_t count)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(address);
    *admin = (struct rs_fake_admin){.answer_count = count};
    memcpy(admin->answers, answers, count * sizeof(*answers));
    admin->listener = socket(AF_INET, SOCK_STREAM, 0);
    int status = bind(admin->listener, (struct sockaddr *)&address, size);
    g_assert(status == 0);
    listen(admin->listener, RsFakeAdmin_MAX_REQUESTS);
    getsockname(admin->listener, (struct sockaddr *)&address, &size);
    snprintf(admin->address, sizeof(admin->address), "127.0.0.1:%d",
             ntohs(address.sin_port));
    pthread_create(&admin->thread, NULL, run_server, admin);
}

/* Stops the server and joins its thread. The recorded requests remain
 * readable. */
void
RsFakeAdmin_Stop(struct rs_fake_admin *admin)
{
    shutdown(admin->listener, SHUT_RDWR);
    pthread_join(admin->thread, NULL);
    close(admin->listener);
}
