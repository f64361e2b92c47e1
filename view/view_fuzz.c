/* Creates views from rows and a list of VMs that are corrupted at random.
 *
 * Checks that no input crashes the process, that in the view each assignment
 * has an owner and a cell and each VM has a name, and that two views of the
 * same rows have the same number of assignments. An empty input corrupts
 * nothing; then all slices must be assigned and the cell must exist. */

#include <glib.h>
#include <string.h>

#include "member/mirror.h"
#include "place/fuzz_input.h"
#include "place/slice.h"
#include "view/view.h"

#define CORRUPTION_COUNTS 4 /* each JSON value is corrupted 0 to 3 times */
#define MAX_DEPTH 3
#define SLICES 40

/* The key and the JSON value of each row; make_assignments() makes the values
 * that are NULL here. */
static const char *const templates[][2] = {
    {"object/service/s",
     "{\"ticket\":1,\"value\":{\"keyed\":true,\"slots\":2,\"connections\":4,"
     "\"timeout_ms\":500,\"max_run_ms\":200,\"window\":1,\"cold_ms\":0,"
     "\"cut_off\":\"keep-serving\",\"repeatable\":[\"GET\"]}}"},
    {"object/place/p",
     "{\"ticket\":1,\"value\":{\"service\":\"s\",\"domain\":\"d\",\"targets\":"
     "[{\"name\":\"t\",\"checks_fences\":true},"
     "{\"name\":\"u\",\"checks_fences\":false}]}}"},
    {"object/rule/r",
     "{\"ticket\":1,\"value\":{\"service\":\"s\",\"prefix\":\"\","
     "\"slices\":40,\"places\":[\"p\"]}}"},
    {"object/domain/d",
     "{\"ticket\":1,\"value\":{\"region\":\"g\",\"state\":\"in\"}}"},
    {"cell/d/1",
     "{\"version\":1,\"domain\":\"d\",\"members\":[\"a\",\"b\",\"c\"],"
     "\"former\":[\"e\"]}"},
    {"assign/r/0000", NULL},
    {"assign/r/0001", NULL},
};

static const char vms_template[] =
    "[{\"id\":\"t\",\"kind\":\"target\",\"domain\":\"d\",\"state\":\"live\","
    "\"host\":\"127.0.0.1\",\"port\":1},{\"id\":\"a\",\"kind\":\"entry\","
    "\"domain\":\"d\",\"state\":\"leaving\",\"host\":\"127.0.0.1\","
    "\"control_port\":2,\"relay_port\":3}]";

static bool is_intact; /* nothing is corrupted */

static json_t *
random_text(struct fuzz_input *input)
{
    static const char *const texts[] = {
        "",    "t",   "d",   "s",         "in",    "p",      "a",    "/",
        "out", "GET", "::1", "127.0.0.1", "entry", "target", "\x7f", "d/1"};
    uint8_t index = fuzz_next_byte(input);
    if (index < G_N_ELEMENTS(texts)) {
        return json_string(texts[index]);
    }
    char *text = g_strnfill(index * 3, 'x');
    json_t *json = json_string(text);
    g_free(text);
    return json;
}

static json_t *
random_value(struct fuzz_input *input)
{
    static const json_int_t numbers[] = {
        0, 1, 2, -1, 32, 33, 65535, 65536, INT32_MAX, INT64_MAX, INT64_MIN};
    switch (fuzz_next_byte(input) % 6) {
    case 0:
        return json_null();
    case 1:
        return json_integer(
            numbers[fuzz_next_byte(input) % G_N_ELEMENTS(numbers)]);
    case 2:
        return json_array();
    case 3:
        return json_object();
    case 4:
        return json_real(-0.5);
    default:
        return random_text(input);
    }
}

static json_t *
child_at(json_t *parent, size_t index)
{
    if (json_is_array(parent)) {
        return json_array_get(parent, index);
    }
    void *iter = json_object_iter(parent);
    for (; index > 0; index--) {
        iter = json_object_iter_next(parent, iter);
    }
    return json_object_iter_value(iter);
}

static void
replace_child(json_t *parent, size_t index, json_t *value, bool removed)
{
    if (json_is_array(parent)) {
        removed ? json_array_remove(parent, index)
                : json_array_set(parent, index, value);
        return;
    }
    void *iter = json_object_iter(parent);
    for (; index > 0; index--) {
        iter = json_object_iter_next(parent, iter);
    }
    char *key = g_strdup(json_object_iter_key(iter));
    removed ? json_object_del(parent, key)
            : json_object_set(parent, key, value);
    g_free(key);
}

static size_t
size_of(const json_t *json)
{
    return json_is_array(json) ? json_array_size(json)
                               : json_object_size(json);
}

/* Replaces, removes or duplicates at most one value, at a random depth. */
static void
corrupt(struct fuzz_input *input, json_t *root)
{
    json_t *parent = root;
    for (int depth = 0; depth < MAX_DEPTH; depth++) {
        size_t count = size_of(parent);
        if (count == 0) {
            return;
        }
        size_t index = fuzz_next_byte(input) % count;
        json_t *child = child_at(parent, index);
        if (size_of(child) == 0 || fuzz_next_byte(input) % 3 == 0) {
            uint8_t change = fuzz_next_byte(input) % 4;
            json_t *value = random_value(input);
            if (change == 0 && json_is_array(parent)) {
                json_array_append(parent, child);
            }
            else {
                replace_child(parent, index, value, change == 1);
            }
            json_decref(value);
            return;
        }
        parent = child;
    }
}

static json_t *
make_assignments(void)
{
    json_t *list = json_array();
    for (int i = 0; i < 32; i++) {
        json_array_append_new(list, json_pack("{s:i,s:s,s:[s,s],s:[s]}", "e",
                                              i + 1, "c", "d/1", "s", "t", "u",
                                              "f", "d/2"));
    }
    return json_pack("{s:o}", "slices", list);
}

static void
corrupt_some_values(struct fuzz_input *input, json_t *json)
{
    uint8_t corruptions =
        is_intact ? 0 : fuzz_next_byte(input) % CORRUPTION_COUNTS;
    for (uint8_t i = 0; i < corruptions; i++) {
        corrupt(input, json);
    }
}

static struct rs_config *
fill_mirror_and_build_config(struct fuzz_input *input,
                             struct rs_mirror *mirror)
{
    struct rs_config_row rows[G_N_ELEMENTS(templates)];
    size_t count = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(templates); i++) {
        const char *text = templates[i][1];
        json_t *value =
            text != NULL ? json_loads(text, 0, NULL) : make_assignments();
        corrupt_some_values(input, value);
        char *stored = json_dumps(value, JSON_COMPACT);
        if (!is_intact && fuzz_next_byte(input) == 0) {
            stored[strlen(stored) / 2] = '\0';
        }
        RsMirror_Put(mirror, templates[i][0], 1, stored);
        free(stored);
        if (g_str_has_prefix(templates[i][0], "object/")) {
            rows[count++] =
                (struct rs_config_row){templates[i][0], 1, json_incref(value)};
        }
        json_decref(value);
    }
    RsMirror_Advance(mirror, 1);
    struct rs_config *config = RsConfig_Build(rows, count);
    for (size_t i = 0; i < count; i++) {
        json_decref(rows[i].value);
    }
    return config;
}

static uint32_t
check_rule(const struct rs_view *view, const struct rs_view_rule *rule)
{
    uint32_t assigned = 0;
    for (uint32_t i = 0; i < rule->slices; i++) {
        struct rs_model_assignment found;
        if (RsView_Assignment(view, RsSlice_Id(rule->name, i), &found)) {
            CHECK(found.epoch > 0 && found.cell[0] != '\0');
            CHECK(found.succession_count > 0 &&
                  found.succession[0][0] != '\0');
            assigned++;
        }
    }
    CHECK(!RsView_Assignment(view, RsSlice_Id(rule->name, 0) + rule->slices,
                             &(struct rs_model_assignment){0}));
    return assigned;
}

static uint32_t
check_view(const struct rs_view *view)
{
    const struct rs_view_rule *rules;
    const struct rs_view_vm *vms;
    uint32_t assigned = 0;
    size_t rule_count = RsView_Rules(view, &rules);
    for (size_t i = 0; i < rule_count; i++) {
        assigned += check_rule(view, &rules[i]);
    }
    size_t vm_count = RsView_Vms(view, &vms);
    for (size_t i = 0; i < vm_count; i++) {
        CHECK(vms[i].name[0] != '\0');
        CHECK(RsView_Vm(view, vms[i].name) != NULL);
    }
    const struct rs_view_cell *cell = RsView_CellOfTarget(view, "d", "t");
    CHECK(cell == NULL || strcmp(cell->row.domain, "d") == 0);
    CHECK(cell == NULL || cell->row.member_count > 0);
    return assigned;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct fuzz_input input = fuzz_open(data, size);
    is_intact = size == 0;
    struct rs_mirror *mirror = RsMirror_New();
    struct rs_config *config = fill_mirror_and_build_config(&input, mirror);
    json_t *vms = json_loads(vms_template, 0, NULL);
    corrupt_some_values(&input, vms);
    struct rs_assignment_cache *cache = RsAssignmentCache_New();
    struct rs_view_options options = {mirror, config, vms, cache};
    struct rs_view *view = RsView_New(&options);
    struct rs_view *second_view = RsView_New(&options);
    uint32_t assigned = check_view(view);
    CHECK(check_view(second_view) == assigned);
    CHECK(size > 0 || (assigned == SLICES && RsView_Cell(view, "d/1")));
    RsView_Unref(view);
    RsView_Unref(second_view);
    RsAssignmentCache_Free(cache);
    RsConfig_Unref(config);
    RsMirror_Free(mirror);
    json_decref(vms);
    return 0;
}
