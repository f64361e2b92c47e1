/* Makes snapshots from rows and a list of VMs that were damaged at random.
 * The oracle: no such row ends the process, and what the snapshot shows is
 * whole: each assignment has an owner and a cell, each VM a name, and two
 * snapshots of the same rows agree. An empty input damages nothing. */

#include <glib.h>
#include <string.h>

#include "member/mirror.h"
#include "place/fuzz_input.h"
#include "place/slice.h"
#include "view/view.h"

#define MAX_DAMAGES 4
#define MAX_DEPTH 3
#define SLICES 40

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

static bool is_whole; /* nothing is damaged */

static json_t *
random_text(struct fuzz_input *input)
{
    static const char *const texts[] = {
        "",    "t",   "d",   "s",         "in",    "p",      "a",    "/",
        "out", "GET", "::1", "127.0.0.1", "entry", "target", "\x7f", "d/1"};
    uint8_t at = fuzz_next_byte(input);
    if (at < G_N_ELEMENTS(texts)) {
        return json_string(texts[at]);
    }
    char *text = g_strnfill(at * 3, 'x');
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
child_at(json_t *parent, size_t at)
{
    if (json_is_array(parent)) {
        return json_array_get(parent, at);
    }
    void *iter = json_object_iter(parent);
    for (; at > 0; at--) {
        iter = json_object_iter_next(parent, iter);
    }
    return json_object_iter_value(iter);
}

static void
replace_child(json_t *parent, size_t at, json_t *value, bool removes)
{
    if (json_is_array(parent)) {
        removes ? json_array_remove(parent, at)
                : json_array_set(parent, at, value);
        return;
    }
    void *iter = json_object_iter(parent);
    for (; at > 0; at--) {
        iter = json_object_iter_next(parent, iter);
    }
    char *key = g_strdup(json_object_iter_key(iter));
    removes ? json_object_del(parent, key)
            : json_object_set(parent, key, value);
    g_free(key);
}

static size_t
size_of(const json_t *json)
{
    return json_is_array(json) ? json_array_size(json)
                               : json_object_size(json);
}

/* Replaces, removes or doubles one part, at random depth. */
static void
damage(struct fuzz_input *input, json_t *root)
{
    json_t *parent = root;
    for (int depth = 0; depth < MAX_DEPTH; depth++) {
        size_t count = size_of(parent);
        if (count == 0) {
            return;
        }
        size_t at = fuzz_next_byte(input) % count;
        json_t *child = child_at(parent, at);
        if (size_of(child) == 0 || fuzz_next_byte(input) % 3 == 0) {
            uint8_t way = fuzz_next_byte(input) % 4;
            json_t *value = random_value(input);
            if (way == 0 && json_is_array(parent)) {
                json_array_append(parent, child);
            }
            else {
                replace_child(parent, at, value, way == 1);
            }
            json_decref(value);
            return;
        }
        parent = child;
    }
}

static json_t *
assignments(void)
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
damage_often(struct fuzz_input *input, json_t *json)
{
    uint8_t damages = is_whole ? 0 : fuzz_next_byte(input) % MAX_DAMAGES;
    for (uint8_t i = 0; i < damages; i++) {
        damage(input, json);
    }
}

static struct rs_config *
fill_rows(struct fuzz_input *input, struct rs_mirror *mirror)
{
    struct rs_config_row rows[G_N_ELEMENTS(templates)];
    size_t count = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(templates); i++) {
        const char *text = templates[i][1];
        json_t *value =
            text != NULL ? json_loads(text, 0, NULL) : assignments();
        damage_often(input, value);
        char *stored = json_dumps(value, JSON_COMPACT);
        if (!is_whole && fuzz_next_byte(input) == 0) {
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
    uint32_t seen = 0;
    size_t rule_count = RsView_Rules(view, &rules);
    for (size_t i = 0; i < rule_count; i++) {
        seen += check_rule(view, &rules[i]);
    }
    size_t vm_count = RsView_Vms(view, &vms);
    for (size_t i = 0; i < vm_count; i++) {
        CHECK(vms[i].name[0] != '\0');
        CHECK(RsView_Vm(view, vms[i].name) != NULL);
    }
    const struct rs_view_cell *cell = RsView_CellOfTarget(view, "d", "t");
    CHECK(cell == NULL || strcmp(cell->row.domain, "d") == 0);
    CHECK(cell == NULL || cell->row.member_count > 0);
    return seen;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct fuzz_input input = fuzz_open(data, size);
    is_whole = size == 0;
    struct rs_mirror *mirror = RsMirror_New();
    struct rs_config *config = fill_rows(&input, mirror);
    json_t *vms = json_loads(vms_template, 0, NULL);
    damage_often(&input, vms);
    struct rs_chunks *chunks = RsChunks_New();
    struct rs_view_options options = {mirror, config, vms, chunks};
    struct rs_view *view = RsView_New(&options);
    struct rs_view *again = RsView_New(&options);
    uint32_t assigned = check_view(view);
    CHECK(check_view(again) == assigned);
    CHECK(size > 0 || (assigned == SLICES && RsView_Cell(view, "d/1")));
    RsView_Unref(view);
    RsView_Unref(again);
    RsChunks_Free(chunks);
    RsConfig_Unref(config);
    RsMirror_Free(mirror);
    json_decref(vms);
    return 0;
}
