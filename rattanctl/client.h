/* An HTTP client for the administration addresses, which it tries in order. */

#ifndef RATTANSHED_RATTANCTL_CLIENT_H
#define RATTANSHED_RATTANCTL_CLIENT_H

#include <curl/curl.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/error.h"

enum rs_client_error {
    RsClient_NO_RESPONSE = RsError_ADMIN - 50,
    RsClient_BAD_ADDRESS = RsError_ADMIN - 51
};

#define RsClient_MAX_ADDRESSES 32

struct rs_client {
    CURL *curl;
    const char *addresses[RsClient_MAX_ADDRESSES];
    size_t address_count;
};

struct rs_request {
    const char *path;
    const char *body;           /* of a POST; NULL for a GET */
    size_t first_address_index; /* index of the first address to try */
    bool no_other_address;      /* do not try any other address */
};

/* The result of a call: the last response received, and whether any request of
 * the call lost its response or had an unknown outcome. The caller frees it
 * with RsReply_Free. */
struct rs_reply {
    long status;
    char *body;
    size_t size_bytes;
    json_t *json;         /* NULL when the body is not JSON */
    bool response_lost;   /* a request was sent but had no complete response */
    bool unknown_outcome; /* a process reported an unknown outcome */
};

int RsClient_Open(struct rs_client *client, const char *const *addresses,
                  size_t count);
void RsClient_Close(struct rs_client *client);
int RsClient_Call(struct rs_client *client, const struct rs_request *request,
                  struct rs_reply *reply);
void RsReply_Free(struct rs_reply *reply);

#endif
