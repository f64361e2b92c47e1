/* standin_link: emulates the network links between failure domains. Forwards
 * each TCP connection to a configured port to the address of its route, with a
 * delay. A control request cuts all routes between given pairs of domains. */

#include <argtable2.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "standin/link_proxy.h"
#include "standin/server.h"

#define US_PER_MS 1000

struct links {
    struct rs_standin_server server;
    GPtrArray *proxies;
    json_t *cut;     /* array of the pairs of domains that are cut */
    double delay_ms; /* one way, of routes without a delay of their own */
};

/* Applies the current cuts and delay to all routes. */
static void
apply_settings(struct links *links)
{
    for (guint i = 0; i < links->proxies->len; i++) {
        struct rs_link_proxy *proxy = g_ptr_array_index(links->proxies, i);
        RsLinkProxy_SetDelay(proxy, (int64_t)(links->delay_ms * US_PER_MS));
        RsLinkProxy_SetCut(
            proxy, RsLinkRoute_IsCut(RsLinkProxy_Route(proxy), links->cut));
    }
}

static void
send_state(struct links *links, h2o_req_t *req)
{
    size_t count = 0;
    for (guint i = 0; i < links->proxies->len; i++) {
        count +=
            RsLinkProxy_CountConnections(g_ptr_array_index(links->proxies, i));
    }
    RsStandinServer_SendJson(req, 200,
                             json_pack("{s:O,s:f,s:I,s:I}", "cut", links->cut,
                                       "delay_ms", links->delay_ms, "pairs",
                                       (json_int_t)links->proxies->len,
                                       "connections", (json_int_t)count));
}

/* Sets the cuts and the delay to those in the request's body. An absent or
 * invalid value leaves the current one. */
static void
update_settings(struct links *links, const h2o_req_t *req)
{
    json_t *body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
    json_t *cut = json_object_get(body, "cut");
    const json_t *delay_ms = json_object_get(body, "delay_ms");
    if (json_is_array(cut)) {
        json_decref(links->cut);
        links->cut = json_incref(cut);
    }
    if (json_is_number(delay_ms) && json_number_value(delay_ms) >= 0) {
        links->delay_ms = json_number_value(delay_ms);
    }
    json_decref(body);
    apply_settings(links);
}

static void
handle_request(void *arg, h2o_req_t *req)
{
    struct links *links = arg;
    if (RsStandinServer_Matches(req, "POST", "/standin")) {
        update_settings(links, req);
        send_state(links, req);
    }
    else if (RsStandinServer_Matches(req, "GET", "/standin")) {
        send_state(links, req);
    }
    else {
        RsStandinServer_SendText(req, 404, "{}", 2);
    }
}

/* Adds a proxy for one line of the file of pairs. Returns 0, or a negative
 * number after an error, which it has printed. */
static int
add_proxy(struct links *links, const char *line)
{
    struct rs_link_route route;
    if (!RsLinkRoute_Parse(&route, line)) {
        fprintf(stderr, "malformed pair: %s\n", line);
        return -1;
    }
    struct rs_link_proxy *proxy = RsLinkProxy_New(&route, links->server.loop);
    int result = RsLinkProxy_Listen(proxy);
    if (result != 0) {
        fprintf(stderr, "can't listen on port %u: %s\n",
                (unsigned)route.listen_port, uv_strerror(result));
        return result;
    }
    g_ptr_array_add(links->proxies, proxy);
    return 0;
}

/* Adds a proxy for each line of the file at `path`; empty lines and lines that
 * begin with # are ignored. Returns 0, or a negative number after an error,
 * which it has printed. */
static int
add_file(struct links *links, const char *path)
{
    char *text = NULL;
    int result = 0;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        fprintf(stderr, "can't read %s\n", path);
        return -1;
    }
    char **lines = g_strsplit(text, "\n", -1);
    for (size_t i = 0; lines[i] != NULL && result == 0; i++) {
        g_strstrip(lines[i]);
        if (lines[i][0] != '\0' && lines[i][0] != '#') {
            result = add_proxy(links, lines[i]);
        }
    }
    g_strfreev(lines);
    g_free(text);
    return result;
}

static int
run(int port, const char *path, double delay_ms)
{
    static struct links links;
    links.proxies = g_ptr_array_new();
    links.cut = json_array();
    links.delay_ms = delay_ms;
    RsStandinServer_Init(&links.server, uv_default_loop());
    RsStandinServer_AddPort(&links.server, (uint16_t)port, handle_request,
                            &links);
    if (RsStandinServer_Start(&links.server) != 0 ||
        add_file(&links, path) != 0) {
        return 1;
    }
    apply_settings(&links);
    return uv_run(links.server.loop, UV_RUN_DEFAULT);
}

int
main(int argc, char **argv)
{
    struct arg_int *port =
        arg_int1(NULL, "port", "N", "port of 127.0.0.1 for control requests");
    struct arg_file *pairs = arg_file1(
        NULL, "pairs", "FILE",
        "lines LISTEN_PORT TARGET_HOST:PORT FROM_DOMAIN TO_DOMAIN [DELAY_MS]");
    struct arg_dbl *delay = arg_dbl0(
        NULL, "delay-ms", "N", "one-way delay of pairs without DELAY_MS");
    struct arg_end *end = arg_end(8);
    void *table[] = {port, pairs, delay, end};
    delay->dval[0] = 0;
    if (arg_parse(argc, argv, table) != 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_glossary(stderr, table, NULL);
        return 2;
    }
    return run(port->ival[0], pairs->filename[0], delay->dval[0]);
}
