/* Measures the recognition of workspaces by API keys: the time of a lookup,
 * the time to take a configuration, and the memory for each workspace. */

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "core/clock.h"
#include "core/log.h"
#include "router/workspaces.h"

#define LOOKUPS 1000000
#define NS_PER_US 1000.0
#define US_PER_MS 1000.0
#define KEY_TEXT_BYTES 64
#define LARGE_KEY_BYTES 8192
#define REVOKE_MS 5000

struct header {
    char text[KEY_TEXT_BYTES];
};

/* Formats credentials with a key of 32 bytes. */
static void
format_header(struct header *header, uint32_t number)
{
    snprintf(header->text, sizeof(header->text), "Bearer %08x%08x%08x%08x",
             number, number * 2654435761U, number ^ 0x5bd1e995U, ~number);
}

/* Returns a configuration with workspaces that have one key each. */
static struct rs_routing *
decode_config(uint32_t count)
{
    const char *fault;
    struct header header;
    GString *text = g_string_new("{\"version\":\"00000001\",\"routes\":{},"
                                 "\"services\":{},\"tenants\":{");
    for (uint32_t i = 0; i < count; i++) {
        format_header(&header, i);
        g_string_append_printf(text,
                               "%s\"workspace-%u\":{\"api_keys\":[\"%s\"],"
                               "\"priority\":1,\"per_s\":5,\"burst\":5}",
                               i > 0 ? "," : "", i,
                               strchr(header.text, ' ') + 1);
    }
    g_string_append(text, "}}");
    struct rs_routing *config = RsRouting_Decode(text->str, &fault);
    g_assert(config != NULL);
    g_string_free(text, TRUE);
    return config;
}

/* Returns the mean time in ns of a lookup of one of `count` keys, from number
 * `first` on. */
static double
measure_lookups(const struct rs_workspaces *workspaces, uint32_t first,
                uint32_t count)
{
    struct header *headers = g_new(struct header, count);
    uint32_t found = 0;
    for (uint32_t i = 0; i < count; i++) {
        format_header(&headers[i], first + i);
    }
    size_t size_bytes = strlen(headers[0].text);
    int64_t began_at_us = RsClock_NowUs();
    for (uint32_t i = 0; i < LOOKUPS; i++) {
        /* A step that is coprime to the count visits the keys out of order. */
        uint32_t number = (uint32_t)((uint64_t)i * 7919 % count);
        const struct rs_workspaces_credentials credentials = {
            headers[number].text, size_bytes, 1};
        found += RsWorkspaces_Identify(workspaces, &credentials) != NULL;
    }
    int64_t elapsed_us = RsClock_NowUs() - began_at_us;
    g_assert(found == (first == 0 ? LOOKUPS : 0));
    g_free(headers);
    return (double)elapsed_us * NS_PER_US / LOOKUPS;
}

/* Returns the mean time in ns to refuse a key of LARGE_KEY_BYTES. */
static double
measure_large_key(const struct rs_workspaces *workspaces)
{
    char *key = g_strnfill(LARGE_KEY_BYTES, 'k');
    char *header = g_strdup_printf("Bearer %s", key);
    const struct rs_workspaces_credentials credentials = {header,
                                                          strlen(header), 1};
    uint32_t found = 0;
    int64_t began_at_us = RsClock_NowUs();
    for (uint32_t i = 0; i < LOOKUPS; i++) {
        found += RsWorkspaces_Identify(workspaces, &credentials) != NULL;
    }
    int64_t elapsed_us = RsClock_NowUs() - began_at_us;
    g_assert(found == 0);
    g_free(header);
    g_free(key);
    return (double)elapsed_us * NS_PER_US / LOOKUPS;
}

static void
measure(uint32_t count)
{
    struct rs_workspaces workspaces;
    RsWorkspaces_Init(&workspaces, false, REVOKE_MS);
    int64_t began_at_us = RsClock_NowUs();
    struct rs_routing *config = decode_config(count);
    int64_t decoded_at_us = RsClock_NowUs();
    size_t former_bytes = mallinfo2().uordblks + mallinfo2().hblkhd;
    int64_t set_began_at_us = RsClock_NowUs();
    RsWorkspaces_SetConfig(&workspaces, config);
    int64_t set_at_us = RsClock_NowUs();
    size_t keys_bytes =
        mallinfo2().uordblks + mallinfo2().hblkhd - former_bytes;
    RsRouting_DropApiKeys(config);
    printf("| %u | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %zu |\n", count,
           measure_lookups(&workspaces, 0, count),
           measure_lookups(&workspaces, count, count),
           measure_large_key(&workspaces),
           (double)(decoded_at_us - began_at_us) / US_PER_MS,
           (double)(set_at_us - set_began_at_us) / US_PER_MS,
           (double)keys_bytes / count, sizeof(struct rs_workspace));
    fflush(stdout);
    RsWorkspaces_Clear(&workspaces);
    RsRouting_Release(config);
}

int
main(void)
{
    RsLog_Open("measure", RsLog_ERROR);
    printf(
        "| workspaces | ns a known key | ns an unknown key | ns a key of 8 "
        "KB | ms to make and decode the row | ms to take the keys | bytes a "
        "workspace for keys | bytes a decoded workspace |\n"
        "|---|---|---|---|---|---|---|---|\n");
    measure(73);
    measure(1000);
    measure(100000);
    return 0;
}
