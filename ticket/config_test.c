#include <CUnit/Basic.h>
#include <string.h>

#include "ticket/config.h"

#define MAX_ROWS 10

static const char service_value[] =
    "{'keyed':true,'slots':2,'connections':110,'timeout_ms':2000,"
    "'max_run_ms':500,'window':2,'cold_ms':3000,'cut_off':'hand-over',"
    "'repeatable':['GET','HEAD']}";

/* Parses JSON that is written with ' instead of ". */
static json_t *
parse_json(const char *text)
{
    char copy[2048];
    snprintf(copy, sizeof(copy), "%s", text);
    for (char *c = copy; *c != '\0'; c++) {
        *c = *c == '\'' ? '"' : *c;
    }
    json_t *value = json_loads(copy, JSON_DECODE_ANY, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(value);
    return value;
}

/* Parses an object and returns its faults as "path: what", one per line. */
static const char *
list_faults(enum rs_object_kind kind, const char *text)
{
    static char lines[1024];
    struct rs_faults faults = {0};
    struct rs_object object;
    json_t *value = parse_json(text);
    int status = RsObject_Parse(&object, kind, "x", value, "v", &faults);
    CU_ASSERT_EQUAL(status<0, faults.count> 0);
    if (status == 0) {
        RsObject_Free(&object);
    }
    lines[0] = '\0';
    for (size_t i = 0; i < faults.kept; i++) {
        size_t used = strlen(lines);
        snprintf(lines + used, sizeof(lines) - used, "%s: %s\n",
                 faults.items[i].path, faults.items[i].what);
    }
    RsFaults_Free(&faults);
    json_decref(value);
    return lines;
}

static void
test_good_objects_have_no_faults(void)
{
    CU_ASSERT_STRING_EQUAL(list_faults(RsObject_SERVICE, service_value), "");
    CU_ASSERT_STRING_EQUAL(list_faults(RsObject_PLACE,
                                       "{'service':'s','domain':'d','targets':"
                                       "[{'name':'t','checks_fences':true}]}"),
                           "");
    CU_ASSERT_STRING_EQUAL(
        list_faults(RsObject_RULE, "{'service':'s','prefix':'','slices':64,"
                                   "'places':['p','q']}"),
        "");
    CU_ASSERT_STRING_EQUAL(
        list_faults(RsObject_DOMAIN, "{'region':'r','state':'lost'}"), "");
}

static void
test_all_faults_are_listed_at_once(void)
{
    CU_ASSERT_STRING_EQUAL(
        list_faults(RsObject_SERVICE,
                    "{'slots':0,'connections':'many','timeout_ms':2000,"
                    "'max_run_ms':600001,'window':2,'cold_ms':0,"
                    "'cut_off':'stop','repeatable':['GET','get','GET'],"
                    "'colour':1}"),
        "v.keyed: missing\nv.slots: out of range\nv.connections: no integer\n"
        "v.max_run_ms: out of range\nv.cut_off: unknown\n"
        "v.repeatable[1]: no HTTP method\nv.repeatable[2]: listed twice\n"
        "v.colour: unknown field\n");
    CU_ASSERT_STRING_EQUAL(
        list_faults(RsObject_PLACE,
                    "{'service':'S','domain':7,'targets':[{'name':'a',"
                    "'checks_fences':true},{'name':'a','checks_fences':true,"
                    "'port':1},3]}"),
        "v.service: no name\nv.domain: no name\n"
        "v.targets[1].port: unknown field\nv.targets[2]: no JSON object\n"
        "v.targets[1]: a target twice\n");
    CU_ASSERT_STRING_EQUAL(
        list_faults(RsObject_RULE, "{'service':'s','prefix':'a/b','slices':"
                                   "65537,'places':[]}"),
        "v.prefix: no key's prefix\nv.slices: out of range\n"
        "v.places: no such list\n");
    CU_ASSERT_STRING_EQUAL(list_faults(RsObject_DOMAIN, "[]"),
                           "v: no JSON object\n");
}

static struct rs_config *
build_config(const char *const *pairs)
{
    struct rs_config_row rows[MAX_ROWS] = {{0}};
    size_t count = 0;
    for (; pairs[2 * count] != NULL; count++) {
        rows[count].key = pairs[2 * count];
        rows[count].version = 10 + count;
        rows[count].value = parse_json(pairs[2 * count + 1]);
    }
    struct rs_config *config = RsConfig_Build(rows, count);
    for (size_t i = 0; i < count; i++) {
        json_decref(rows[i].value);
    }
    return config;
}

#define RULE(ticket, service, prefix)                                         \
    "{'ticket':" #ticket ",'value':{'service':'" service                      \
    "','prefix':'" prefix "','slices':4,'places':['p']}}"

static const char *const rule_rows[] = {
    "object/rule/all",     RULE(1, "s", ""),  "object/rule/lists",
    RULE(3, "s", "list-"), "object/rule/hot", RULE(2, "s", "list-77"),
    "object/rule/other",   RULE(2, "t", "x"), NULL};

static const char *
find_rule_name(const struct rs_config *config, const char *service,
               const char *key)
{
    const struct rs_model_rule *rule =
        RsConfig_RuleOfKey(config, service, key, strlen(key));
    return rule == NULL ? "none" : rule->name;
}

static void
test_longest_prefix_is_used(void)
{
    struct rs_config *config = build_config(rule_rows);
    CU_ASSERT_STRING_EQUAL(find_rule_name(config, "s", "list-771"), "hot");
    CU_ASSERT_STRING_EQUAL(find_rule_name(config, "s", "list-77"), "hot");
    CU_ASSERT_STRING_EQUAL(find_rule_name(config, "s", "list-7"), "lists");
    CU_ASSERT_STRING_EQUAL(find_rule_name(config, "s", "list"), "all");
    CU_ASSERT_STRING_EQUAL(find_rule_name(config, "s", ""), "all");
    CU_ASSERT_STRING_EQUAL(find_rule_name(config, "t", "y"), "none");
    CU_ASSERT_STRING_EQUAL(find_rule_name(config, "u", "y"), "none");
    CU_ASSERT_EQUAL(RsConfig_AppliedTicket(config), 3);
    CU_ASSERT_EQUAL(RsConfig_InvalidRowCount(config), 0);
    RsConfig_Unref(config);
}

static void
test_invalid_rows_are_left_out_and_counted(void)
{
    static const char *const pairs[] = {
        "object/domain/a",
        "{'ticket':1,'value':{'region':'r','state':'in'}}",
        "object/domain/b",
        "{'ticket':1,'value':{'region':'r'}}",
        "object/domain/c",
        "{'value':{'region':'r','state':'in'}}",
        "object/zone/d",
        "{'ticket':1,'value':{'region':'r','state':'in'}}",
        "object/domain",
        "7",
        "object/domain/e",
        "null",
        "object/domain/a",
        "{'ticket':2,'value':{'region':'q','state':'in'}}",
        "cell/f",
        "{'version':1}",
        "ticket/head",
        "{'number':9}",
        NULL};
    struct rs_config *config = build_config(pairs);
    CU_ASSERT_EQUAL(RsConfig_Count(config, RsObject_DOMAIN), 1);
    CU_ASSERT_EQUAL(RsConfig_InvalidRowCount(config), 5);
    CU_ASSERT_STRING_EQUAL(RsConfig_Domain(config, "a")->region, "q");
    CU_ASSERT_EQUAL(RsConfig_AppliedTicket(config), 9);
    RsConfig_Unref(config);
}

#define PLACE(targets)                                                        \
    "{'ticket':1,'value':{'service':'s','domain':'d','targets':[" targets "]" \
    "}"                                                                       \
    "}"

static void
test_snapshot_outlives_its_rows_and_other_references(void)
{
    static const char *const pairs[] = {
        "object/place/z", PLACE("{'name':'t1','checks_fences':false}"),
        "object/place/a", PLACE(""), NULL};
    struct rs_config *config = build_config(pairs);
    RsConfig_Ref(config);
    RsConfig_Unref(config);
    const struct rs_config_entry *first =
        RsConfig_EntryAt(config, RsObject_PLACE, 0);
    CU_ASSERT_STRING_EQUAL(RsObject_Name(&first->object), "a");
    CU_ASSERT_EQUAL(first->version, 11);
    const struct rs_model_place *place = RsConfig_PlaceOfTarget(config, "t1");
    CU_ASSERT_PTR_NOT_NULL_FATAL(place);
    CU_ASSERT_STRING_EQUAL(place->name, "z");
    CU_ASSERT_PTR_NULL(RsConfig_PlaceOfTarget(config, "t2"));
    CU_ASSERT_PTR_EQUAL(RsConfig_Place(config, "z"), place);
    RsConfig_Unref(config);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("config", NULL, NULL);
    CU_ADD_TEST(suite, test_good_objects_have_no_faults);
    CU_ADD_TEST(suite, test_all_faults_are_listed_at_once);
    CU_ADD_TEST(suite, test_longest_prefix_is_used);
    CU_ADD_TEST(suite, test_invalid_rows_are_left_out_and_counted);
    CU_ADD_TEST(suite, test_snapshot_outlives_its_rows_and_other_references);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? 0 : 1;
}
