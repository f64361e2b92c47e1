#include "rattanctl/client.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 2000L
#define REQUEST_TIMEOUT_MS 15000L
#define MAX_REPLY_BYTES (64 * 1024 * 1024)
#define STATUS_UNAVAILABLE 503

/* Initializes the client. The addresses, HOST:PORT each, are borrowed. Returns
 * 0, or RsClient_BAD_ADDRESS if one is malformed or there are more than
 * RsClient_MAX_ADDRESSES. The caller closes the client with RsClient_Close. */
int
RsClient_Open(struct rs_client *client, const char *const *addresses,
              size_t count)
{
    *client = (struct rs_client){0};
    if (count > RsClient_MAX_ADDRESSES) {
        return RsClient_BAD_ADDRESS;
    }
    for (size_t i = 0; i < count; i++) {
        if (strchr(addresses[i], ':') == NULL ||
            strpbrk(addresses[i], "/@ ") != NULL) {
            return RsClient_BAD_ADDRESS;
        }
        client->addresses[client->address_count++] = addresses[i];
    }
    client->curl = curl_easy_init();
    return 0;
}

/* Closes the connections and frees what the client owns, but not the struct
 * itself. */
void
RsClient_Close(struct rs_client *client)
{
    curl_easy_cleanup(client->curl);
    client->curl = NULL;
}

/* Frees the contents of the reply and leaves it empty. */
void
RsReply_Free(struct rs_reply *reply)
{
    g_free(reply->body);
    json_decref(reply->json);
    *reply = (struct rs_reply){0};
}

static size_t
append_response(char *data, size_t size, size_t count, void *arg)
{
    struct rs_reply *reply = arg;
    size_t bytes = size * count;
    if (reply->size_bytes + bytes > MAX_REPLY_BYTES) {
        return 0;
    }
    reply->body = g_realloc(reply->body, reply->size_bytes + bytes + 1);
    memcpy(reply->body + reply->size_bytes, data, bytes);
    reply->size_bytes += bytes;
    reply->body[reply->size_bytes] = '\0';
    return bytes;
}

static void
set_options(CURL *curl, const char *url, const struct rs_request *request,
            struct rs_reply *reply)
{
    curl_easy_reset(curl);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_response);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, reply);
    if (request->body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                         (long)strlen(request->body));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body);
    }
}

/* Sends the request to one address. Returns false if no complete response was
 * received. */
static bool
send_request(struct rs_client *client, size_t address_index,
             const struct rs_request *request, struct rs_reply *reply)
{
    char *url = g_strdup_printf(
        "http://%s%s", client->addresses[address_index], request->path);
    g_clear_pointer(&reply->body, g_free);
    reply->size_bytes = 0;
    reply->status = 0;
    set_options(client->curl, url, request, reply);
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: application/json");
    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(client->curl, CURLOPT_HTTPHEADER, headers);
    CURLcode code = curl_easy_perform(client->curl);
    curl_slist_free_all(headers);
    g_free(url);
    if (code == CURLE_OK) {
        curl_easy_getinfo(client->curl, CURLINFO_RESPONSE_CODE,
                          &reply->status);
        return true;
    }
    long sent_bytes = 0;
    curl_easy_getinfo(client->curl, CURLINFO_REQUEST_SIZE, &sent_bytes);
    reply->response_lost = reply->response_lost || sent_bytes > 0;
    return false;
}

static void
read_json(struct rs_reply *reply)
{
    json_decref(reply->json);
    reply->json = json_loadb(reply->body != NULL ? reply->body : "",
                             reply->size_bytes, JSON_DECODE_ANY, NULL);
    const char *outcome =
        json_string_value(json_object_get(reply->json, "outcome"));
    if (outcome != NULL && strcmp(outcome, "unknown") == 0) {
        reply->unknown_outcome = true;
    }
}

/* Sends the request to the addresses in order, from `first_address_index` on,
 * until one responds with a status other than 503. A request whose response
 * was lost is repeated at the next address, since all calls except /drain are
 * idempotent. Returns 0 and the last response, or RsClient_NO_RESPONSE if
 * there was none. The caller frees the reply in both cases. */
int
RsClient_Call(struct rs_client *client, const struct rs_request *request,
              struct rs_reply *reply)
{
    *reply = (struct rs_reply){0};
    struct rs_reply last = {0};
    size_t end = request->no_other_address ? request->first_address_index + 1
                                           : client->address_count;
    for (size_t i = request->first_address_index; i < end; i++) {
        struct rs_reply response = {0};
        bool responded = send_request(client, i, request, &response);
        reply->response_lost = reply->response_lost || response.response_lost;
        if (!responded) {
            RsReply_Free(&response);
            continue;
        }
        read_json(&response);
        reply->unknown_outcome =
            reply->unknown_outcome || response.unknown_outcome;
        RsReply_Free(&last);
        last = response;
        if (response.status != STATUS_UNAVAILABLE) {
            break;
        }
    }
    reply->status = last.status;
    reply->body = last.body;
    reply->size_bytes = last.size_bytes;
    reply->json = last.json;
    return last.status != 0 ? 0 : RsClient_NO_RESPONSE;
}
