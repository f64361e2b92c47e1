#include "standin/link_route.h"

#include <glib.h>
#include <string.h>

#define US_PER_MS 1000
#define MIN_FIELDS 4
#define MAX_FIELDS 5

static bool
parse_port(const char *text, uint16_t *port)
{
    guint64 number;
    if (!g_ascii_string_to_unsigned(text, 10, 1, UINT16_MAX, &number, NULL)) {
        return false;
    }
    *port = (uint16_t)number;
    return true;
}

static bool
copy_text(char *copy, const char *text)
{
    return text[0] != '\0' && g_strlcpy(copy, text, RsLinkRoute_TEXT_BYTES) <
                                  RsLinkRoute_TEXT_BYTES;
}

static bool
parse_target(struct rs_link_route *route, char *text)
{
    char *colon = strrchr(text, ':');
    if (colon == NULL) {
        return false;
    }
    *colon = '\0';
    return copy_text(route->target_host, text) &&
           parse_port(colon + 1, &route->target_port);
}

static bool
parse_delay(struct rs_link_route *route, const char *text)
{
    char *end = NULL;
    route->delay_us = RsLinkRoute_DEFAULT_DELAY;
    if (text == NULL) {
        return true;
    }
    double delay_ms = g_ascii_strtod(text, &end);
    if (end == text || *end != '\0' || !(delay_ms >= 0)) {
        return false;
    }
    route->delay_us = (int64_t)(delay_ms * US_PER_MS);
    return true;
}

/* Parses `LISTEN_PORT TARGET_HOST:PORT FROM_DOMAIN TO_DOMAIN [DELAY_MS]` into
 * `route`. Returns false if the line is malformed. */
bool
RsLinkRoute_Parse(struct rs_link_route *route, const char *line)
{
    gchar **fields = g_strsplit_set(line, " \t\r\n", -1);
    char *found[MAX_FIELDS + 1] = {NULL};
    size_t count = 0;
    for (size_t i = 0; fields[i] != NULL; i++) {
        if (fields[i][0] != '\0' && count <= MAX_FIELDS) {
            found[count++] = fields[i];
        }
    }
    bool valid =
        count >= MIN_FIELDS && count <= MAX_FIELDS &&
        parse_port(found[0], &route->listen_port) &&
        parse_target(route, found[1]) && copy_text(route->from, found[2]) &&
        copy_text(route->to, found[3]) && parse_delay(route, found[4]);
    g_strfreev(fields);
    return valid;
}

static bool
pair_has_domain_at(const json_t *pair, size_t index, const char *domain)
{
    const char *text = json_string_value(json_array_get(pair, index));
    return text != NULL && strcmp(text, domain) == 0;
}

/* Returns whether `cut`, an array of pairs of domains, holds the route's pair
 * in either order. Malformed entries are ignored. */
bool
RsLinkRoute_IsCut(const struct rs_link_route *route, const json_t *cut)
{
    size_t i;
    const json_t *pair;
    json_array_foreach(cut, i, pair)
    {
        if ((pair_has_domain_at(pair, 0, route->from) &&
             pair_has_domain_at(pair, 1, route->to)) ||
            (pair_has_domain_at(pair, 1, route->from) &&
             pair_has_domain_at(pair, 0, route->to))) {
            return true;
        }
    }
    return false;
}
