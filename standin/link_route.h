/* A route between two failure domains, or between a domain and the platform:
 * the port to listen on and the address to forward to. */

#ifndef RATTANSHED_STANDIN_LINK_ROUTE_H
#define RATTANSHED_STANDIN_LINK_ROUTE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define RsLinkRoute_TEXT_BYTES 64
#define RsLinkRoute_DEFAULT_DELAY (-1)

struct rs_link_route {
    uint16_t listen_port;
    char target_host[RsLinkRoute_TEXT_BYTES];
    uint16_t target_port;
    char from[RsLinkRoute_TEXT_BYTES]; /* failure domain, or "platform" */
    char to[RsLinkRoute_TEXT_BYTES];   /* failure domain, or "platform" */
    int64_t delay_us; /* one way; RsLinkRoute_DEFAULT_DELAY: the delay
                         that RsLinkProxy_SetDelay() sets */
};

bool RsLinkRoute_Parse(struct rs_link_route *route, const char *line);
bool RsLinkRoute_IsCut(const struct rs_link_route *route, const json_t *cut);

#endif
