#include <CUnit/Basic.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "settings/node.h"

#define FAULT_TEXT_BYTES 1024

static const char valid_file[] = "node:\n"
                                 "  name: \"n1\"\n"
                                 "  zone: \"z1\"\n"
                                 "  address: \"10.1.0.34\"\n"
                                 "  cpu_share: 0.2\n"
                                 "  link_mbps: 1000\n"
                                 "  bootstrap: false\n"
                                 "listen:\n"
                                 "  callers: \"10.1.0.34:8548\"\n"
                                 "  readiness: \"10.1.0.34:8542\"\n"
                                 "  peer_port: 7540\n"
                                 "  admin_port: 7555\n"
                                 "store:\n"
                                 "  address: \"10.200.1.7:8541\"\n"
                                 "bounds:\n"
                                 "  grace_s: 6\n"
                                 "  max_hold_ms: 10000\n"
                                 "  drain_ms: 2000\n"
                                 "  retry_ratio: 0.2\n"
                                 "  retry_window_s: 10\n"
                                 "  retry_slack: 58\n"
                                 "  cold_factor: 1.5\n"
                                 "  cold_slack: 5\n";

/* Loads the valid file with `original` replaced by `replacement`. Returns the
 * formatted fault without the file name, or an empty text if there is none.
 * The caller frees the result with g_free(). */
static char *
load_with_replacement(const char *original, const char *replacement)
{
    char path[] = "/tmp/node-test-XXXXXX";
    char text[FAULT_TEXT_BYTES] = "";
    struct rs_node_settings *settings = NULL;
    struct rs_settings_fault fault;
    char **parts = g_strsplit(valid_file, original, 2);
    CU_ASSERT_EQUAL_FATAL(g_strv_length(parts), 2);
    char *file = g_strconcat(parts[0], replacement, parts[1], NULL);
    close(g_mkstemp(path));
    g_file_set_contents(path, file, -1, NULL);
    if (RsNodeSettings_Load(path, &settings, &fault) != 0) {
        CU_ASSERT_PTR_NULL(settings);
        RsSettings_FormatFault(&fault, text, sizeof(text));
    }
    RsNodeSettings_Free(settings);
    g_unlink(path);
    g_free(file);
    g_strfreev(parts);
    return g_strdup(text + (text[0] != '\0' ? strlen(path) : 0));
}

static void
check_fault(const char *original, const char *replacement,
            const char *expected)
{
    char *text = load_with_replacement(original, replacement);
    if (strcmp(text, expected) != 0) {
        printf("\n  seen:     %s\n  expected: %s\n", text, expected);
    }
    CU_ASSERT_STRING_EQUAL(text, expected);
    g_free(text);
}

static void
test_valid_file_is_loaded(void)
{
    check_fault("  grace_s: 6\n", "  grace_s: 6\n", "");
}

static void
test_faults_name_line_field_and_allowed_values(void)
{
    check_fault("  cpu_share: 0.2", "  cpu_share: 0",
                ":1: node: cpu_share or link_mbps is not positive; "
                "allowed: above 0");
    check_fault("\"10.1.0.34:8548\"", "\"10.1.0.34\"",
                ":9: listen.callers: 10.1.0.34; allowed: IP:PORT");
    check_fault("\"10.1.0.34:8542\"", "\"host:80\"",
                ":10: listen.readiness: host:80; allowed: IP:PORT");
    check_fault("\"10.200.1.7:8541\"", "\"10.200.1.7:0\"",
                ":14: store.address: 10.200.1.7:0; allowed: IP:PORT");
    check_fault("  address: \"10.1.0.34\"", "  address: \"\"",
                ":4: node.address: ; allowed: an IPv4 number");
    check_fault("peer_port: 7540", "peer_port: 75400",
                ":11: listen.peer_port: not a port; allowed: 1 to 65535");
    check_fault("max_hold_ms: 10000", "max_hold_ms: 10",
                ":17: bounds.max_hold_ms: too short; allowed: 1000 or more");
    check_fault("retry_window_s: 10", "retry_window_s: 0",
                ":20: bounds.retry_window_s: 0; allowed: 1 or more");
    check_fault("drain_ms: 2000", "drain_ms: 999",
                ":18: bounds.drain_ms: too short; allowed: 1000 or more");
    check_fault("bootstrap: false", "bootstrap: maybe",
                ":7: node.bootstrap: maybe is not allowed; "
                "allowed: true, false");
    check_fault("grace_s: 6", "grace_s: 0",
                ":16: bounds.grace_s: 0; allowed: 1 or more");
}

static void
test_missing_invalid_and_unknown_fields_are_rejected(void)
{
    char *fault_of_missing = load_with_replacement("  cold_slack: 5\n", "");
    char *fault_of_invalid =
        load_with_replacement("retry_slack: 58", "retry_slack: many");
    char *fault_of_unknown =
        load_with_replacement("retry_slack: 58", "retry_slack: 58\n  x: 1");
    CU_ASSERT_PTR_NOT_NULL(
        strstr(fault_of_missing, "bounds.cold_slack: missing"));
    CU_ASSERT_PTR_NOT_NULL(strstr(fault_of_invalid, "bounds.retry_slack"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(fault_of_unknown, "bounds.x: unknown field"));
    g_free(fault_of_missing);
    g_free(fault_of_invalid);
    g_free(fault_of_unknown);
}

/* Loads the valid file with `original` replaced by `replacement`. The test
 * fails if that can't be loaded. The caller frees the result. */
static struct rs_node_settings *
load_settings(const char *original, const char *replacement)
{
    char path[] = "/tmp/node-test-XXXXXX";
    struct rs_node_settings *settings = NULL;
    struct rs_settings_fault fault;
    char **parts = g_strsplit(valid_file, original, 2);
    char *file = g_strconcat(parts[0], replacement, parts[1], NULL);
    close(g_mkstemp(path));
    g_file_set_contents(path, file, -1, NULL);
    CU_ASSERT_EQUAL_FATAL(RsNodeSettings_Load(path, &settings, &fault), 0);
    g_unlink(path);
    g_free(file);
    g_strfreev(parts);
    return settings;
}

/* Files of former versions, without the optional fields, must give the former
 * behaviour. */
static void
test_optional_fields_have_defaults(void)
{
    struct rs_node_settings *settings = load_settings("zone", "zone");
    CU_ASSERT_EQUAL(settings->bounds.quota_window_s, 5);
    CU_ASSERT_EQUAL(settings->bounds.quota_overage, 0);
    CU_ASSERT_EQUAL(settings->bounds.quota_slack, 0);
    CU_ASSERT_FALSE(settings->bounds.strict_revoke);
    CU_ASSERT_EQUAL(settings->bounds.revoke_ms, 5000);
    CU_ASSERT_FALSE(settings->load.adaptive);
    CU_ASSERT_EQUAL(settings->node.memory_mb, 0);
    RsNodeSettings_Free(settings);
}

static void
test_optional_fields_are_read(void)
{
    struct rs_node_settings *settings =
        load_settings("  cold_slack: 5\n", "  cold_slack: 5\n"
                                           "  quota_window_s: 7\n"
                                           "  quota_overage: 0.25\n"
                                           "  quota_slack: 20\n"
                                           "  strict_revoke: true\n"
                                           "  revoke_ms: 3000\n"
                                           "load:\n"
                                           "  adaptive: true\n");
    CU_ASSERT_EQUAL(settings->bounds.quota_window_s, 7);
    CU_ASSERT_EQUAL(settings->bounds.quota_overage, 0.25F);
    CU_ASSERT_EQUAL(settings->bounds.quota_slack, 20);
    CU_ASSERT_TRUE(settings->bounds.strict_revoke);
    CU_ASSERT_EQUAL(settings->bounds.revoke_ms, 3000);
    CU_ASSERT_TRUE(settings->load.adaptive);
    RsNodeSettings_Free(settings);
    settings = load_settings("  link_mbps: 1000\n",
                             "  link_mbps: 1000\n  memory_mb: 160\n");
    CU_ASSERT_EQUAL(settings->node.memory_mb, 160);
    RsNodeSettings_Free(settings);
    settings = load_settings("  cold_slack: 5\n",
                             "  cold_slack: 5\n  strict_revoke: false\n"
                             "load:\n  adaptive: false\n");
    CU_ASSERT_FALSE(settings->bounds.strict_revoke);
    CU_ASSERT_FALSE(settings->load.adaptive);
    RsNodeSettings_Free(settings);
}

/* A mistyped switch must not be taken for "off". */
static void
test_faults_of_optional_fields(void)
{
    check_fault("cold_slack: 5", "cold_slack: 5\n  strict_revoke: maybe",
                ":24: bounds.strict_revoke: maybe is not allowed; "
                "allowed: true, false");
    check_fault("  cold_slack: 5", "  cold_slack: 5\nload:\n  adaptive: on",
                ":25: load.adaptive: on is not allowed; "
                "allowed: true, false");
    check_fault("cold_slack: 5", "cold_slack: 5\n  quota_overage: -0.1",
                ":15: bounds: negative; allowed: 0 or more");
    char *fault_of_number =
        load_with_replacement("cold_slack: 5", "cold_slack: 5\n"
                                               "  revoke_ms: soon");
    CU_ASSERT_PTR_NOT_NULL(strstr(fault_of_number, "bounds.revoke_ms"));
    g_free(fault_of_number);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("node", NULL, NULL);
    CU_ADD_TEST(suite, test_valid_file_is_loaded);
    CU_ADD_TEST(suite, test_faults_name_line_field_and_allowed_values);
    CU_ADD_TEST(suite, test_missing_invalid_and_unknown_fields_are_rejected);
    CU_ADD_TEST(suite, test_optional_fields_have_defaults);
    CU_ADD_TEST(suite, test_optional_fields_are_read);
    CU_ADD_TEST(suite, test_faults_of_optional_fields);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
