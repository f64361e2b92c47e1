#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "ticket/ticket.h"

#define MAX_ROWS 32

static struct rs_config *
load_base_config(void)
{
    struct rs_config_row rows[MAX_ROWS] = {{0}};
    char *keys[MAX_ROWS] = {0};
    size_t count = 0;
    json_t *base = json_load_file("cases/base.config", 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(base);
    const char *name = NULL;
    json_t *value = NULL;
    json_object_foreach(base, name, value)
    {
        keys[count] = g_strdup_printf("object/%s", name);
        rows[count] = (struct rs_config_row){keys[count], 5, value};
        count++;
    }
    struct rs_config *config = RsConfig_Build(rows, count);
    CU_ASSERT_EQUAL(RsConfig_InvalidRowCount(config), 0);
    for (size_t i = 0; i < count; i++) {
        g_free(keys[i]);
    }
    json_decref(base);
    return config;
}

static char *
read_text(const char *name, const char *suffix)
{
    char *path = g_strdup_printf("cases/%s%s", name, suffix);
    char *text = NULL;
    CU_ASSERT_FATAL(g_file_get_contents(path, &text, NULL, NULL));
    g_free(path);
    return text;
}

static char *
list_faults(const char *text, const struct rs_config *config)
{
    struct rs_faults faults = {0};
    struct rs_ticket *ticket = NULL;
    int status = RsTicket_Parse(text, strlen(text), &ticket, &faults);
    if (status == 0) {
        status = RsTicket_Validate(ticket, config, &faults);
    }
    CU_ASSERT_EQUAL(status, faults.count > 0 ? RsTicket_INVALID : 0);
    GString *lines = g_string_new(NULL);
    for (size_t i = 0; i < faults.kept; i++) {
        g_string_append_printf(lines, "%s: %s\n", faults.items[i].path,
                               faults.items[i].what);
        CU_ASSERT(strlen(faults.items[i].allowed) > 0);
    }
    RsFaults_Free(&faults);
    RsTicket_Free(ticket);
    return g_string_free(lines, FALSE);
}

static void
check_case(const char *name, const struct rs_config *config)
{
    char *text = read_text(name, ".json");
    char *expected = read_text(name, ".expected");
    char *seen = list_faults(text, config);
    if (strcmp(seen, expected) != 0) {
        printf("\n%s:\n%s", name, seen);
    }
    CU_ASSERT_STRING_EQUAL(seen, expected);
    g_free(seen);
    g_free(expected);
    g_free(text);
}

/* Parses and validates each ticket cases/NAME.json against cases/base.config.
 * Its faults, as lines "path: what", must be those in cases/NAME.expected. */
static void
test_cases_have_the_expected_faults(void)
{
    struct rs_config *config = load_base_config();
    GDir *dir = g_dir_open("cases", 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(dir);
    const char *file = NULL;
    int count = 0;
    while ((file = g_dir_read_name(dir)) != NULL) {
        if (g_str_has_suffix(file, ".json")) {
            char *name = g_strndup(file, strlen(file) - strlen(".json"));
            check_case(name, config);
            g_free(name);
            count++;
        }
    }
    CU_ASSERT(count >= 12);
    g_dir_close(dir);
    RsConfig_Unref(config);
}

static void
get_digest(const char *text, char digest[RsId_TEXT_BYTES])
{
    struct rs_faults faults = {0};
    struct rs_ticket *ticket = NULL;
    CU_ASSERT_EQUAL_FATAL(RsTicket_Parse(text, strlen(text), &ticket, &faults),
                          0);
    memcpy(digest, ticket->digest, RsId_TEXT_BYTES);
    RsTicket_Free(ticket);
}

static void
test_digest_ignores_layout_but_covers_every_field(void)
{
    static const char compact[] =
        "{\"number\":1,\"author\":\"ana\",\"note\":\"n\",\"objects\":[{"
        "\"kind\":\"domain\",\"name\":\"d\",\"value\":null}]}";
    static const char reordered[] =
        "{ \"objects\" : [ {\"name\":\"d\", \"value\":null,\n"
        "\"kind\":\"domain\"}], \"note\":\"n\",\"author\":\"ana\","
        "\"number\":1}";
    static const char *const fields[][2] = {{"\"number\":1", "\"number\":2"},
                                            {"ana", "ben"},
                                            {"\"n\"", "\"m\""},
                                            {"\"d\"", "\"e\""},
                                            {"domain", "place"}};
    char first[RsId_TEXT_BYTES];
    char second[RsId_TEXT_BYTES];
    get_digest(compact, first);
    get_digest(reordered, second);
    CU_ASSERT_STRING_EQUAL(first, second);
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        char **parts = g_strsplit(compact, fields[i][0], 2);
        char *other = g_strjoinv(fields[i][1], parts);
        get_digest(other, second);
        CU_ASSERT_STRING_NOT_EQUAL(first, second);
        g_free(other);
        g_strfreev(parts);
    }
}

static void
test_difference_lists_only_what_differs(void)
{
    struct rs_config *config = load_base_config();
    char *text = read_text("good_target_moves", ".json");
    struct rs_faults faults = {0};
    struct rs_ticket *ticket = NULL;
    CU_ASSERT_EQUAL_FATAL(RsTicket_Parse(text, strlen(text), &ticket, &faults),
                          0);
    json_t *difference = RsTicket_Difference(ticket, config);
    CU_ASSERT_EQUAL(json_array_size(difference), 2);
    const json_t *first = json_array_get(difference, 0);
    CU_ASSERT(json_is_object(json_object_get(first, "present")));
    CU_ASSERT(json_equal(json_object_get(first, "wanted"),
                         ticket->objects[0].value));
    struct rs_config_row row = {
        "object/place/p1", 6,
        json_pack("{s:i, s:o}", "ticket", 2, "value",
                  json_deep_copy(ticket->objects[0].value))};
    struct rs_config *config_after_move = RsConfig_Build(&row, 1);
    json_t *difference_when_moved =
        RsTicket_Difference(ticket, config_after_move);
    CU_ASSERT_EQUAL(json_array_size(difference_when_moved), 1);
    CU_ASSERT(json_is_null(
        json_object_get(json_array_get(difference_when_moved, 0), "present")));
    json_decref(difference_when_moved);
    json_decref(difference);
    json_decref(row.value);
    RsConfig_Unref(config_after_move);
    RsTicket_Free(ticket);
    g_free(text);
    RsConfig_Unref(config);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("ticket", NULL, NULL);
    CU_ADD_TEST(suite, test_cases_have_the_expected_faults);
    CU_ADD_TEST(suite, test_digest_ignores_layout_but_covers_every_field);
    CU_ADD_TEST(suite, test_difference_lists_only_what_differs);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
