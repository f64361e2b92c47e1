#include "tests/link_cut.h"

#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <sys/socket.h>

/* More than fit into the queue of a listener. */
#define SILENT_CONNECTIONS 4

/* Prepares the cut of a node; the links stay whole. Ends with
 * RsLinkCut_Clear(). */
void
RsLinkCut_Init(struct rs_link_cut *cut,
               const struct rs_link_cut_options *options)
{
    cut->path = g_strdup_printf("%s/n%u.cut", options->folder, options->node);
    cut->variables[0] = g_strdup_printf("LD_PRELOAD=%s", options->library);
    cut->variables[1] = g_strdup_printf("RS_CUT_FILE=%s", cut->path);
    cut->variables[2] =
        g_strdup_printf("RS_CUT_FIRST_PORT=%u", options->first_port);
    cut->variables[3] =
        g_strdup_printf("RS_CUT_LAST_PORT=%u", options->last_port);
}

void
RsLinkCut_Clear(struct rs_link_cut *cut)
{
    for (size_t i = 0; i < RsLinkCut_VARIABLES; i++) {
        g_free(cut->variables[i]);
    }
    g_free(cut->path);
}

/* Returns the port of a listener on the loopback whose queue of connections is
 * full, so that connecting to it takes forever. It lives as long as the
 * process. Returns 0 if it can't be opened. */
static uint16_t
open_silent_listener(void)
{
    static uint16_t port;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct sockaddr *generic = (struct sockaddr *)&address;
    socklen_t size = sizeof(address);
    if (port != 0) {
        return port;
    }
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(listener, generic, size) != 0 || listen(listener, 0) != 0 ||
        getsockname(listener, generic, &size) != 0) {
        return 0;
    }
    for (int i = 0; i < SILENT_CONNECTIONS; i++) {
        int client =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (connect(client, generic, size) != 0 && errno != EINPROGRESS) {
            return 0;
        }
    }
    port = ntohs(address.sin_port);
    return port;
}

/* Makes new connections of the node to targets fail: they are refused or, with
 * `hang`, get no answer. Those that are open stay. */
void
RsLinkCut_Cut(const struct rs_link_cut *cut, bool hang)
{
    char *text = hang ? g_strdup_printf("%u", open_silent_listener())
                      : g_strdup("refuse");
    g_file_set_contents(cut->path, text, -1, NULL);
    g_free(text);
}

/* Lets the node connect to targets again. */
void
RsLinkCut_Heal(const struct rs_link_cut *cut)
{
    g_unlink(cut->path);
}
