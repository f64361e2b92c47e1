/* Loads valid files cases/good*.yaml, and each other file cases/NAME.yaml,
 * whose formatted fault must be the one in cases/NAME.expected. */

#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "core/log.h"
#include "settings/settings.h"

#define FAULT_TEXT_BYTES 1024

static void
check_faulty_file(const char *name)
{
    char *path = g_strdup_printf("cases/%s", name);
    char *path_without_suffix =
        g_strndup(path, strlen(path) - strlen(".yaml"));
    char *path_of_expected =
        g_strdup_printf("%s.expected", path_without_suffix);
    char *expected = NULL;
    CU_ASSERT_FATAL(
        g_file_get_contents(path_of_expected, &expected, NULL, NULL));
    struct rs_settings *settings = NULL;
    struct rs_settings_fault fault;
    char text[FAULT_TEXT_BYTES];
    int status = RsSettings_Load(path, &settings, &fault);
    RsSettings_FormatFault(&fault, text, sizeof(text));
    g_strchomp(expected);
    if (strcmp(text, expected) != 0) {
        printf("\n  seen:     %s\n  expected: %s\n", text, expected);
    }
    CU_ASSERT_EQUAL(status, RsSettings_INVALID);
    CU_ASSERT_PTR_NULL(settings);
    CU_ASSERT_STRING_EQUAL(text, expected);
    RsSettings_Free(settings);
    g_free(expected);
    g_free(path_of_expected);
    g_free(path_without_suffix);
    g_free(path);
}

static void
test_faults_name_file_line_field_and_allowed_values(void)
{
    GDir *dir = g_dir_open("cases", 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(dir);
    int count = 0;
    const char *name = NULL;
    while ((name = g_dir_read_name(dir)) != NULL) {
        if (g_str_has_suffix(name, ".yaml") &&
            !g_str_has_prefix(name, "good")) {
            check_faulty_file(name);
            count++;
        }
    }
    g_dir_close(dir);
    CU_ASSERT(count >= 10);
}

static void
test_absent_fields_have_defaults(void)
{
    struct rs_settings *settings = NULL;
    struct rs_settings_fault fault;
    int status = RsSettings_Load("cases/good_least.yaml", &settings, &fault);
    CU_ASSERT_EQUAL_FATAL(status, 0);
    CU_ASSERT_STRING_EQUAL(settings->name, "sul-poa-1");
    CU_ASSERT_EQUAL(settings->peers.relay_port, 21003);
    CU_ASSERT_EQUAL(settings->log_level, RsLog_INFO);
    CU_ASSERT_EQUAL(settings->tunables.lease_ms, 900);
    CU_ASSERT_EQUAL(settings->tunables.retry_budget_percent, 10);
    CU_ASSERT_STRING_EQUAL(settings->policies.choice, "two-choices");
    RsSettings_Free(settings);
}

static void
test_given_fields_override_defaults_also_with_zero(void)
{
    struct rs_settings *settings = NULL;
    struct rs_settings_fault fault;
    int status = RsSettings_Load("cases/good_full.yaml", &settings, &fault);
    CU_ASSERT_EQUAL_FATAL(status, 0);
    CU_ASSERT_EQUAL(settings->log_level, RsLog_ERROR);
    CU_ASSERT_EQUAL(settings->tunables.lease_ms, 1200);
    CU_ASSERT_EQUAL(settings->tunables.retry_budget_percent, 0);
    CU_ASSERT_EQUAL(settings->tunables.margin_ms, 50);
    CU_ASSERT_STRING_EQUAL(settings->policies.admission, "fixed");
    RsSettings_Free(settings);
}

static void
test_missing_file_is_unreadable(void)
{
    struct rs_settings *settings = NULL;
    struct rs_settings_fault fault;
    int status = RsSettings_Load("cases/absent.yaml", &settings, &fault);
    CU_ASSERT_EQUAL(status, RsSettings_UNREADABLE);
    CU_ASSERT_STRING_EQUAL(fault.file, "cases/absent.yaml");
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("settings", NULL, NULL);
    CU_ADD_TEST(suite, test_faults_name_file_line_field_and_allowed_values);
    CU_ADD_TEST(suite, test_absent_fields_have_defaults);
    CU_ADD_TEST(suite, test_given_fields_override_defaults_also_with_zero);
    CU_ADD_TEST(suite, test_missing_file_is_unreadable);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
