#include "view/view.h"

#include <glib.h>
#include <string.h>

#include "core/id.h"
#include "http/connection.h"
#include "place/assignment.h"
#include "place/slice.h"

struct rs_view {
    _Atomic uint32_t references;
    uint64_t revision;
    struct rs_config *config;
    struct rs_view_vm *vms;
    size_t vm_count;
    struct rs_view_cell *cells;
    size_t cell_count;
    struct rs_view_rule *rules;
    size_t rule_count;
    GHashTable *vm_by_name;
    GHashTable *cell_by_name;
    GHashTable *rule_by_name;
    /* Key: upper 48 bits of the rule's slice ids, see slice_id_prefix_of().
     * Value: the rule. */
    GHashTable *rule_by_slice_id_prefix;
    const char **names; /* of cells and targets, by number */
};

static uint64_t
slice_id_prefix_of(uint64_t slice)
{
    return slice >> 16;
}

static const char *
get_text(const json_t *object, const char *field)
{
    const char *text = json_string_value(json_object_get(object, field));
    return text != NULL ? text : "";
}

static void
read_address(const json_t *vm, const char *field, struct sockaddr_in *address)
{
    json_int_t port = json_integer_value(json_object_get(vm, field));
    if (port > 0 && port <= UINT16_MAX) {
        RsHttp_ParseAddress(get_text(vm, "host"), (uint16_t)port, address);
    }
}

static void
read_vm(struct rs_view_vm *vm, const json_t *value)
{
    g_strlcpy(vm->name, get_text(value, "id"), sizeof(vm->name));
    g_strlcpy(vm->domain, get_text(value, "domain"), sizeof(vm->domain));
    vm->is_entry = strcmp(get_text(value, "kind"), "entry") == 0;
    vm->leaving = strcmp(get_text(value, "state"), "leaving") == 0;
    read_address(value, "port", &vm->address);
    read_address(value, "control_port", &vm->control);
    read_address(value, "relay_port", &vm->relay);
}

static void
read_vms(struct rs_view *view, const json_t *list)
{
    size_t count = json_array_size(list);
    view->vms = g_new0(struct rs_view_vm, count + 1);
    for (size_t i = 0; i < count; i++) {
        struct rs_view_vm *vm = &view->vms[view->vm_count];
        *vm = (struct rs_view_vm){0};
        read_vm(vm, json_array_get(list, i));
        if (vm->name[0] != '\0') {
            g_hash_table_insert(view->vm_by_name, vm->name, vm);
            view->vm_count++;
        }
    }
}

static void
add_cell(void *arg, const struct rs_mirror_row *row)
{
    GArray *cells = arg;
    struct rs_view_cell cell = {.row_version = row->version};
    char name[RsModel_NAME_BYTES];
    json_t *value = json_loads(row->value, 0, NULL);
    if (RsRoster_ParseKey(row->key, name) == 0 &&
        RsRoster_Decode(value, name, &cell.row) == 0) {
        g_array_append_val(cells, cell);
    }
    json_decref(value);
}

static void
read_cells(struct rs_view *view, const struct rs_mirror *mirror)
{
    GArray *cells = g_array_new(FALSE, TRUE, sizeof(struct rs_view_cell));
    RsMirror_VisitPrefix(mirror, RsRoster_PREFIX, add_cell, cells);
    view->cell_count = cells->len;
    view->cells = (struct rs_view_cell *)(void *)g_array_free(cells, FALSE);
    for (size_t i = 0; i < view->cell_count; i++) {
        g_hash_table_insert(view->cell_by_name, view->cells[i].row.cell,
                            &view->cells[i]);
    }
}

static void
read_rule(struct rs_view *view, const struct rs_view_options *options,
          const struct rs_model_rule *model)
{
    struct rs_view_rule *rule = &view->rules[view->rule_count++];
    const struct rs_cached_rule *cached = RsAssignmentCache_UpdateRule(
        options->assignment_cache, options->mirror, model);
    g_strlcpy(rule->name, model->name, sizeof(rule->name));
    rule->slices = cached->slices;
    rule->row_count = cached->row_count;
    rule->packed =
        g_memdup2(cached->packed, cached->slices * sizeof(cached->packed[0]));
    rule->row_versions =
        g_memdup2(cached->row_versions,
                  cached->row_count * sizeof(cached->row_versions[0]));
    uint64_t *slice_id_prefix = g_new(uint64_t, 1);
    *slice_id_prefix = slice_id_prefix_of(RsSlice_Id(model->name, 0));
    g_hash_table_insert(view->rule_by_name, rule->name, rule);
    g_hash_table_insert(view->rule_by_slice_id_prefix, slice_id_prefix, rule);
}

static void
read_rules(struct rs_view *view, const struct rs_view_options *options)
{
    size_t count = RsConfig_Count(view->config, RsObject_RULE);
    RsAssignmentCache_BeginSnapshot(options->assignment_cache);
    view->rules = g_new0(struct rs_view_rule, count + 1);
    for (size_t i = 0; i < count; i++) {
        const struct rs_config_entry *entry =
            RsConfig_EntryAt(view->config, RsObject_RULE, i);
        read_rule(view, options, &entry->object.as.rule);
    }
}

/* Creates a snapshot of what the options contain. Invalid rows and VMs without
 * an id are left out. The caller owns one reference. */
struct rs_view *
RsView_New(const struct rs_view_options *options)
{
    struct rs_view *view = g_new0(struct rs_view, 1);
    view->references = 1;
    view->revision = RsMirror_Revision(options->mirror);
    view->config = RsConfig_Ref(options->config);
    view->vm_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    view->cell_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    view->rule_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    view->rule_by_slice_id_prefix =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    read_vms(view, options->vms);
    read_cells(view, options->mirror);
    read_rules(view, options);
    view->names =
        g_memdup2(RsAssignmentCache_Names(options->assignment_cache),
                  RsAssignmentCache_NameCount(options->assignment_cache) *
                      sizeof(view->names[0]));
    return view;
}

/* Adds a reference and returns the view. */
struct rs_view *
RsView_Ref(struct rs_view *view)
{
    atomic_fetch_add(&view->references, 1);
    return view;
}

static void
free_view(struct rs_view *view)
{
    for (size_t i = 0; i < view->rule_count; i++) {
        g_free(view->rules[i].packed);
        g_free(view->rules[i].row_versions);
    }
    g_hash_table_destroy(view->vm_by_name);
    g_hash_table_destroy(view->cell_by_name);
    g_hash_table_destroy(view->rule_by_name);
    g_hash_table_destroy(view->rule_by_slice_id_prefix);
    g_free(view->names);
    g_free(view->vms);
    g_free(view->cells);
    g_free(view->rules);
    RsConfig_Unref(view->config);
    g_free(view);
}

/* Releases a reference. Releasing the last one frees the view. NULL is
 * allowed. */
void
RsView_Unref(struct rs_view *view)
{
    if (view != NULL && atomic_fetch_sub(&view->references, 1) == 1) {
        free_view(view);
    }
}

/* Returns the table revision of the snapshot. */
uint64_t
RsView_Revision(const struct rs_view *view)
{
    return view->revision;
}

/* Returns the configuration, which is borrowed from the view. */
const struct rs_config *
RsView_Config(const struct rs_view *view)
{
    return view->config;
}

/* Returns the VM with the given name, or NULL if there is none. */
const struct rs_view_vm *
RsView_Vm(const struct rs_view *view, const char *name)
{
    return g_hash_table_lookup(view->vm_by_name, name);
}

/* Stores a borrowed array of all VMs in `vms` and returns its length. */
size_t
RsView_Vms(const struct rs_view *view, const struct rs_view_vm **vms)
{
    *vms = view->vms;
    return view->vm_count;
}

/* Returns the cell with the given name, or NULL if there is none. */
const struct rs_view_cell *
RsView_Cell(const struct rs_view *view, const char *name)
{
    return g_hash_table_lookup(view->cell_by_name, name);
}

/* Stores a borrowed array of all cells in `cells` and returns its length. */
size_t
RsView_Cells(const struct rs_view *view, const struct rs_view_cell **cells)
{
    *cells = view->cells;
    return view->cell_count;
}

/* Returns the assignments of the rule with the given name, or NULL if there is
 * no such rule. */
const struct rs_view_rule *
RsView_Rule(const struct rs_view *view, const char *name)
{
    return g_hash_table_lookup(view->rule_by_name, name);
}

/* Stores a borrowed array of the assignments of all rules in `rules` and
 * returns its length. */
size_t
RsView_Rules(const struct rs_view *view, const struct rs_view_rule **rules)
{
    *rules = view->rules;
    return view->rule_count;
}

/* Fills in the assignment of slice `index` of a rule. The epoch is 0 if the
 * slice has no assignment. */
void
RsView_UnpackAssignment(const struct rs_view *view,
                        const struct rs_view_rule *rule, uint32_t index,
                        struct rs_model_assignment *assignment)
{
    RsAssignmentCache_Unpack(&rule->packed[index], view->names,
                             RsSlice_Id(rule->name, index), assignment);
}

/* Fills in the assignment of a slice by its id. Returns false if the slice has
 * no assignment. */
bool
RsView_Assignment(const struct rs_view *view, uint64_t slice,
                  struct rs_model_assignment *assignment)
{
    uint64_t slice_id_prefix = slice_id_prefix_of(slice);
    const struct rs_view_rule *rule =
        g_hash_table_lookup(view->rule_by_slice_id_prefix, &slice_id_prefix);
    uint32_t index = RsSlice_Index(slice);
    if (rule == NULL || index >= rule->slices ||
        rule->packed[index].epoch == 0) {
        return false;
    }
    RsView_UnpackAssignment(view, rule, index, assignment);
    return true;
}

/* Chooses the target's cell by rendezvous hashing over the cells of the
 * domain. */
const struct rs_view_cell *
RsView_CellOfTarget(const struct rs_view *view, const char *domain,
                    const char *target)
{
    struct rs_roster_row rows[RsRoster_MAX_CELLS];
    const struct rs_view_cell *cells[RsRoster_MAX_CELLS];
    size_t count = 0;
    for (size_t i = 0; i < view->cell_count && count < RsRoster_MAX_CELLS;
         i++) {
        if (strcmp(view->cells[i].row.domain, domain) == 0) {
            cells[count] = &view->cells[i];
            rows[count++] = view->cells[i].row;
        }
    }
    return count > 0 ? cells[RsRoster_CellOfTarget(target, rows, count)]
                     : NULL;
}
