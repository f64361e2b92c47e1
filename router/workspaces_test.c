#include "router/workspaces.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "core/log.h"

#define REVOKE_MS 5000

/* Decodes a configuration with this JSON as its workspaces. Returns NULL if it
 * is malformed. */
static struct rs_routing *
decode(const char *workspaces)
{
    const char *fault;
    char *text = g_strdup_printf("{\"version\":\"00000001\",\"routes\":{},"
                                 "\"services\":{},\"tenants\":%s}",
                                 workspaces);
    struct rs_routing *config = RsRouting_Decode(text, &fault);
    g_free(text);
    return config;
}

/* Returns the name of the workspace that a header belongs to; "": none. */
static const char *
identify(const struct rs_workspaces *workspaces, const char *header)
{
    const struct rs_workspaces_credentials credentials = {header,
                                                          strlen(header), 1};
    const struct rs_workspace *workspace =
        RsWorkspaces_Identify(workspaces, &credentials);
    return workspace != NULL ? workspace->name : "";
}

static void
test_keys_identify_their_workspaces(void)
{
    struct rs_workspaces workspaces;
    RsWorkspaces_Init(&workspaces, false, REVOKE_MS);
    struct rs_routing *config =
        decode("{\"a\":{\"api_keys\":[\"k1\",\"k2\"]},"
               "\"b\":{\"api_keys\":[\"K1\",\"longer key\"],\"priority\":2},"
               "\"c\":{}}");
    RsWorkspaces_SetConfig(&workspaces, config);
    RsRouting_DropApiKeys(config);
    CU_ASSERT_STRING_EQUAL(identify(&workspaces, "Bearer k1"), "a");
    CU_ASSERT_STRING_EQUAL(identify(&workspaces, "Bearer k2"), "a");
    CU_ASSERT_STRING_EQUAL(identify(&workspaces, "Bearer K1"), "b");
    CU_ASSERT_STRING_EQUAL(identify(&workspaces, "bearer  k1"), "a");
    CU_ASSERT_STRING_EQUAL(identify(&workspaces, "Bearer longer key"), "b");
    RsWorkspaces_Clear(&workspaces);
    RsRouting_Release(config);
}

static void
test_priority_of_the_workspace_comes_first(void)
{
    const struct rs_route route = {.priority = 3};
    struct rs_routing *config =
        decode("{\"a\":{\"priority\":0},\"b\":{\"priority\":5},\"c\":{}}");
    for (size_t i = 0; i < config->workspace_count; i++) {
        const struct rs_workspace *workspace = &config->workspaces[i];
        uint32_t expected = workspace->name[0] == 'a'   ? 0
                            : workspace->name[0] == 'b' ? 5
                                                        : 3;
        CU_ASSERT_EQUAL(RsWorkspaces_Rank(workspace, &route), expected);
    }
    CU_ASSERT_EQUAL(RsWorkspaces_Rank(NULL, &route), 3);
    RsRouting_Release(config);
}

/* Anything but exactly one valid key must not be taken for one. */
static void
test_other_credentials_identify_none(void)
{
    static const char *const headers[] = {"",
                                          "Bearer",
                                          "Bearer ",
                                          "Bearer   ",
                                          "Bearerkey",
                                          "Basic key",
                                          "key",
                                          "Bearer KEY",
                                          "Bearer ke",
                                          "Bearer keyy",
                                          "Bearer key ",
                                          "Bearer\tkey",
                                          "Bearer key,key",
                                          "Token key"};
    struct rs_workspaces workspaces;
    RsWorkspaces_Init(&workspaces, false, REVOKE_MS);
    struct rs_routing *config = decode("{\"a\":{\"api_keys\":[\"key\"]}}");
    RsWorkspaces_SetConfig(&workspaces, config);
    for (size_t i = 0; i < G_N_ELEMENTS(headers); i++) {
        CU_ASSERT_STRING_EQUAL(identify(&workspaces, headers[i]), "");
    }
    for (uint32_t count = 0; count < 4; count++) {
        const struct rs_workspaces_credentials credentials = {
            count > 0 ? "Bearer key" : NULL, count > 0 ? 10 : 0, count};
        CU_ASSERT_EQUAL(RsWorkspaces_Identify(&workspaces, &credentials) !=
                            NULL,
                        count == 1);
    }
    char *large = g_strnfill(8192, 'k');
    char *header = g_strdup_printf("Bearer %s", large);
    CU_ASSERT_STRING_EQUAL(identify(&workspaces, header), "");
    g_free(header);
    g_free(large);
    RsWorkspaces_Clear(&workspaces);
    RsRouting_Release(config);
}

/* A key must not outlive the configuration that names it. */
static void
test_next_configuration_replaces_the_keys(void)
{
    struct rs_workspaces workspaces;
    RsWorkspaces_Init(&workspaces, false, REVOKE_MS);
    struct rs_routing *former =
        decode("{\"a\":{\"api_keys\":[\"old\",\"moved\",\"kept\"]}}");
    struct rs_routing *next =
        decode("{\"b\":{\"api_keys\":[\"moved\"]},"
               "\"a\":{\"api_keys\":[\"new\",\"kept\"]}}");
    RsWorkspaces_SetConfig(&workspaces, former);
    RsWorkspaces_SetConfig(&workspaces, next);
    RsRouting_Release(former);
    CU_ASSERT_STRING_EQUAL(identify(&workspaces, "Bearer old"), "");
    CU_ASSERT_STRING_EQUAL(identify(&workspaces, "Bearer moved"), "b");
    CU_ASSERT_STRING_EQUAL(identify(&workspaces, "Bearer kept"), "a");
    CU_ASSERT_STRING_EQUAL(identify(&workspaces, "Bearer new"), "a");
    RsWorkspaces_Clear(&workspaces);
    RsRouting_Release(next);
}

/* A key that is listed twice must give the same workspace at all nodes. */
static void
test_key_of_two_workspaces_belongs_to_the_first(void)
{
    struct rs_workspaces workspaces;
    RsWorkspaces_Init(&workspaces, false, REVOKE_MS);
    struct rs_routing *config =
        decode("{\"z\":{\"api_keys\":[\"key\",\"key\"]},"
               "\"a\":{\"api_keys\":[\"key\"]}}");
    RsWorkspaces_SetConfig(&workspaces, config);
    CU_ASSERT_STRING_EQUAL(identify(&workspaces, "Bearer key"), "z");
    RsWorkspaces_Clear(&workspaces);
    RsRouting_Release(config);
}

static void
test_many_keys_are_told_apart(void)
{
    struct rs_workspaces workspaces;
    GString *text = g_string_new("{");
    for (int i = 0; i < 3000; i++) {
        g_string_append_printf(text, "%s\"w%d\":{\"api_keys\":[\"key-%d\"]}",
                               i > 0 ? "," : "", i, i);
    }
    g_string_append_c(text, '}');
    RsWorkspaces_Init(&workspaces, false, REVOKE_MS);
    struct rs_routing *config = decode(text->str);
    RsWorkspaces_SetConfig(&workspaces, config);
    for (int i = 0; i < 4000; i++) {
        char header[32];
        char name[16];
        snprintf(header, sizeof(header), "Bearer key-%d", i);
        snprintf(name, sizeof(name), "w%d", i);
        CU_ASSERT_STRING_EQUAL(identify(&workspaces, header),
                               i < 3000 ? name : "");
    }
    g_string_free(text, TRUE);
    RsWorkspaces_Clear(&workspaces);
    RsRouting_Release(config);
}

/* A node that may have missed a revocation must not trust keys if `strict`. */
static void
test_strict_trust_ends(void)
{
    struct rs_workspaces workspaces;
    RsWorkspaces_Init(&workspaces, true, REVOKE_MS);
    CU_ASSERT_FALSE(RsWorkspaces_IsConfirmed(&workspaces, 1000));
    RsWorkspaces_Tick(&workspaces, 100000, 100020);
    CU_ASSERT_TRUE(RsWorkspaces_IsConfirmed(&workspaces, 104999));
    CU_ASSERT_FALSE(RsWorkspaces_IsConfirmed(&workspaces, 105000));
    RsWorkspaces_Tick(&workspaces, 106000, 106005);
    CU_ASSERT_TRUE(RsWorkspaces_IsConfirmed(&workspaces, 106010));
    RsWorkspaces_Clear(&workspaces);
    RsWorkspaces_Init(&workspaces, false, REVOKE_MS);
    CU_ASSERT_TRUE(RsWorkspaces_IsConfirmed(&workspaces, 1000000));
    RsWorkspaces_Clear(&workspaces);
}

/* Malformed workspaces must not come into force, nor may a name break the
 * header in which targets get it. */
static void
test_malformed_workspaces_are_refused(void)
{
    static const char *const malformed[] = {
        "[]",
        "\"a\"",
        "null",
        "{\"a\":[]}",
        "{\"a\":{\"api_keys\":\"key\"}}",
        "{\"a\":{\"api_keys\":[1]}}",
        "{\"a\":{\"api_keys\":[\"\"]}}",
        "{\"\":{}}",
        "{\" a\":{}}",
        "{\"a \":{}}",
        "{\"a\\r\\nx-evil: 1\":{}}",
        "{\"a\\u007f\":{}}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
        CU_ASSERT_PTR_NULL(decode(malformed[i]));
    }
    struct rs_routing *config = decode("{}");
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    CU_ASSERT_TRUE(config->has_workspaces);
    RsRouting_Release(config);
}

/* Any number of workspaces must give a bounded number of series, which
 * together still count all requests. */
static void
test_metrics_name_the_busiest_workspaces(void)
{
    struct rs_workspaces workspaces;
    char name[16];
    RsWorkspaces_Init(&workspaces, false, REVOKE_MS);
    RsWorkspaces_Tick(&workspaces, 0, 1000);
    for (int i = 0; i < 100; i++) {
        snprintf(name, sizeof(name), "w%d", i);
        const struct rs_workspace workspace = {.name = g_intern_string(name)};
        for (int k = 0; k <= i; k++) {
            RsWorkspaces_RecordEnd(&workspaces, &workspace, k == 0);
        }
    }
    RsWorkspaces_RecordEnd(&workspaces, NULL, true);
    CU_ASSERT_EQUAL(workspaces.busiest_count, 0);
    RsWorkspaces_Tick(&workspaces, 0, 61000);
    CU_ASSERT_EQUAL_FATAL(workspaces.busiest_count, RsWorkspaces_MAX_BUSIEST);
    for (uint32_t i = 0; i < workspaces.busiest_count; i++) {
        snprintf(name, sizeof(name), "w%u", 99 - i);
        CU_ASSERT_STRING_EQUAL(workspaces.busiest[i].name, name);
        CU_ASSERT_EQUAL(workspaces.busiest[i].requests, 100 - i);
        CU_ASSERT_EQUAL(workspaces.busiest[i].not_run, 1);
    }
    CU_ASSERT_EQUAL(workspaces.rest.requests, 80 * 81 / 2);
    CU_ASSERT_EQUAL(workspaces.rest.not_run, 80);
    RsWorkspaces_Tick(&workspaces, 0, 121000);
    CU_ASSERT_EQUAL(workspaces.busiest_count, 0);
    CU_ASSERT_EQUAL(workspaces.rest.requests, 0);
    RsWorkspaces_Clear(&workspaces);
}

/* A flood of bad keys must not fill the log, nor may the last ones go
 * unmentioned. */
static void
test_unauthorized_requests_are_logged_together(void)
{
    static const struct rs_workspaces_credentials bad[] = {
        {NULL, 0, 0}, {"Basic x", 7, 1}, {"Bearer x", 8, 1}};
    struct rs_workspaces workspaces;
    const struct rs_workspaces_unauthorized *pending =
        &workspaces.unauthorized;
    RsWorkspaces_Init(&workspaces, false, REVOKE_MS);
    for (int i = 0; i < 9; i++) {
        RsWorkspaces_RecordUnauthorized(&workspaces, &bad[i % 3], "r", "route",
                                        5000 + i);
    }
    CU_ASSERT_EQUAL(pending->count, 8);
    CU_ASSERT_EQUAL(pending->missing, 2);
    CU_ASSERT_EQUAL(pending->malformed, 3);
    CU_ASSERT_EQUAL(pending->next_log_at_ms, 6000);
    RsWorkspaces_Tick(&workspaces, 0, 5999);
    CU_ASSERT_EQUAL(pending->count, 8);
    RsWorkspaces_Tick(&workspaces, 0, 6000);
    CU_ASSERT_EQUAL(pending->count, 0);
    CU_ASSERT_EQUAL(pending->next_log_at_ms, 7000);
    CU_ASSERT_EQUAL(RsCounter_Read(&workspaces.unauthorized_total), 9);
    RsWorkspaces_Clear(&workspaces);
}

int
main(void)
{
    RsLog_Open("test", RsLog_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("workspaces", NULL, NULL);
    CU_ADD_TEST(suite, test_keys_identify_their_workspaces);
    CU_ADD_TEST(suite, test_priority_of_the_workspace_comes_first);
    CU_ADD_TEST(suite, test_other_credentials_identify_none);
    CU_ADD_TEST(suite, test_next_configuration_replaces_the_keys);
    CU_ADD_TEST(suite, test_key_of_two_workspaces_belongs_to_the_first);
    CU_ADD_TEST(suite, test_many_keys_are_told_apart);
    CU_ADD_TEST(suite, test_strict_trust_ends);
    CU_ADD_TEST(suite, test_metrics_name_the_busiest_workspaces);
    CU_ADD_TEST(suite, test_unauthorized_requests_are_logged_together);
    CU_ADD_TEST(suite, test_malformed_workspaces_are_refused);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
