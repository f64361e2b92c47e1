/* Blocking HTTP/1.1 messages, and the record of a case, for the stand-ins of
 * the third review. */

#ifndef RATTANSHED_REVIEW_WIRE_H
#define RATTANSHED_REVIEW_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RsBed_MAX_HEAD_BYTES 32768
#define RsBed_MAX_BODY_BYTES (1024 * 1024)

/* A connection, with what was read and not used yet. */
struct rs_bed_stream {
    int fd;
    size_t size;
    char *data;
};

/* A request or a response. */
struct rs_bed_message {
    char head[RsBed_MAX_HEAD_BYTES]; /* first line and headers */
    char method[16];                 /* of a request */
    char path[1024];                 /* with the query */
    int status;                      /* of a response */
    char *body;                      /* ends with a zero byte */
    size_t body_bytes;
};

int64_t RsBed_NowMs(void);
int64_t RsBed_WallMs(void);
void RsBed_SleepMs(int64_t span_ms);
void RsBed_Record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));
int RsBed_Listen(const char *host, int port);
int RsBed_Connect(const char *host, int port, int timeout_ms);
void RsBed_Serve(int listener, void (*serve)(int fd));
void RsBed_Open(struct rs_bed_stream *stream, int fd);
void RsBed_Close(struct rs_bed_stream *stream);
bool RsBed_Read(struct rs_bed_stream *stream, struct rs_bed_message *message);
void RsBed_Free(struct rs_bed_message *message);
bool RsBed_Header(const struct rs_bed_message *message, const char *name,
                  char *value, size_t size);
bool RsBed_Query(const struct rs_bed_message *message, const char *name,
                 char *value, size_t size);
bool RsBed_Send(int fd, const char *text, size_t size);
bool RsBed_Answer(int fd, int status, const char *headers, const char *body);
int RsBed_Post(int port, const char *path, const char *body);

#endif
