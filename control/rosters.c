#include "control/rosters.h"

#include <glib.h>
#include <string.h>

#include "place/roster.h"

#define VM_LIST_LAG_MS 5000    /* the list of VMs may be this old */
#define REPLACE_AFTER_MS 30000 /* silence after which a member is replaced */
#define SILENT_AFTER_MS 1000

struct rs_rosters {
    struct rs_rosters_options options;
    char self[RsModel_NAME_BYTES];
    char domain[RsModel_NAME_BYTES];
    /* VM name to the time at which this process noticed that the list of VMs
     * lacks the VM. Only of VMs that are still missing. */
    GHashTable *missing_since_ms;
    uint64_t own_version; /* of the roster of the own cell */
    /* when RsRosters_Plan() first saw this version */
    int64_t own_version_seen_at_ms;
};

/* Creates the state of a process that has not read a list of VMs yet. */
struct rs_rosters *
RsRosters_New(const struct rs_rosters_options *options)
{
    struct rs_rosters *rosters = g_new0(struct rs_rosters, 1);
    rosters->options = *options;
    g_strlcpy(rosters->self, options->self, sizeof(rosters->self));
    g_strlcpy(rosters->domain, options->domain, sizeof(rosters->domain));
    rosters->missing_since_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return rosters;
}

static bool
is_listed(const struct rs_view *view, const char *name)
{
    const struct rs_view_vm *vm = RsView_Vm(view, name);
    return vm != NULL && vm->is_entry;
}

static void
track_listing(struct rs_rosters *rosters, const struct rs_view *view,
              const char *name, int64_t now_ms)
{
    if (is_listed(view, name)) {
        g_hash_table_remove(rosters->missing_since_ms, name);
    }
    else if (!g_hash_table_contains(rosters->missing_since_ms, name)) {
        g_hash_table_insert(rosters->missing_since_ms, g_strdup(name),
                            g_memdup2(&now_ms, sizeof(now_ms)));
    }
}

static void
track_row(struct rs_rosters *rosters, const struct rs_view *view,
          const struct rs_roster_row *row, int64_t now_ms)
{
    for (size_t i = 0; i < row->member_count; i++) {
        track_listing(rosters, view, row->members[i], now_ms);
    }
    for (size_t i = 0; i < row->former_count; i++) {
        track_listing(rosters, view, row->former[i], now_ms);
    }
}

/* Notes which members are missing from a list of VMs that was just read.
 * Ignores an empty list, since it shows a fault of the platform and not the
 * loss of all VMs. */
void
RsRosters_VmsWereRead(struct rs_rosters *rosters, int64_t now_ms,
                      const struct rs_view *view)
{
    const struct rs_view_cell *cells;
    const struct rs_view_vm *vms;
    if (RsView_Vms(view, &vms) == 0) {
        return;
    }
    size_t count = RsView_Cells(view, &cells);
    for (size_t i = 0; i < count; i++) {
        track_row(rosters, view, &cells[i].row, now_ms);
    }
}

/* Returns the version of the roster that a member of a cell has had for more
 * than a full lease period; 0 when none is known. The lease promises that the
 * member made under earlier versions have expired. */
static uint64_t
acknowledged_version(struct rs_rosters *rosters, const char *name,
                     int64_t now_ms)
{
    int64_t full_lease_ms = rosters->options.lease_ms;
    if (strcmp(name, rosters->self) == 0) {
        bool full_lease_passed =
            now_ms - rosters->own_version_seen_at_ms > full_lease_ms;
        return full_lease_passed ? rosters->own_version : 0;
    }
    const struct rs_member *member =
        RsMembers_Find(rosters->options.members, name);
    bool known = member != NULL && member->last_heartbeat_at_ms != 0 &&
                 now_ms - member->cell_version_seen_at_ms > full_lease_ms;
    return known ? member->cell_version : 0;
}

static void
add_vm(struct rs_rosters *rosters, GArray *vms, const char *name,
       enum rs_roster_vm_state state, int64_t now_ms)
{
    const struct rs_member *member =
        RsMembers_Find(rosters->options.members, name);
    const int64_t *gone_at_ms =
        g_hash_table_lookup(rosters->missing_since_ms, name);
    bool self = strcmp(name, rosters->self) == 0;
    struct rs_roster_vm vm = {
        .state = state,
        .gone_at_ms = gone_at_ms != NULL ? *gone_at_ms : now_ms,
        .heard_at_ms = INT64_MIN / 2,
        .acknowledged = acknowledged_version(rosters, name, now_ms),
    };
    if (self || member != NULL) {
        vm.heard_at_ms = self ? now_ms : member->heard_at_ms;
    }
    g_strlcpy(vm.name, name, sizeof(vm.name));
    g_array_append_val(vms, vm);
}

/* Adds to `vms`, as gone, those of the members `names` that the list of VMs
 * lacks. */
static void
add_unlisted(struct rs_rosters *rosters, GArray *vms,
             const struct rs_view *view,
             const char names[][RsModel_NAME_BYTES], size_t count,
             int64_t now_ms)
{
    for (size_t i = 0; i < count; i++) {
        if (!is_listed(view, names[i])) {
            add_vm(rosters, vms, names[i], RsRoster_GONE, now_ms);
        }
    }
}

static GArray *
list_vms(struct rs_rosters *rosters, const struct rs_view *view,
         const struct rs_roster_row *rows, size_t row_count, int64_t now_ms)
{
    GArray *vms = g_array_new(FALSE, TRUE, sizeof(struct rs_roster_vm));
    const struct rs_view_vm *listed;
    size_t count = RsView_Vms(view, &listed);
    for (size_t i = 0; i < count; i++) {
        if (listed[i].is_entry &&
            strcmp(listed[i].domain, rosters->domain) == 0) {
            add_vm(rosters, vms, listed[i].name,
                   listed[i].leaving ? RsRoster_LEAVING : RsRoster_LIVE,
                   now_ms);
        }
    }
    for (size_t i = 0; i < row_count; i++) {
        add_unlisted(rosters, vms, view, rows[i].members, rows[i].member_count,
                     now_ms);
        add_unlisted(rosters, vms, view, rows[i].former, rows[i].former_count,
                     now_ms);
    }
    return vms;
}

static size_t
list_rows(const struct rs_rosters *rosters, const struct rs_view *view,
          struct rs_roster_row *rows, uint64_t *row_versions)
{
    const struct rs_view_cell *cells;
    size_t total = RsView_Cells(view, &cells);
    size_t count = 0;
    for (size_t i = 0; i < total && count < RsRoster_MAX_CELLS; i++) {
        if (strcmp(cells[i].row.domain, rosters->domain) == 0) {
            rows[count] = cells[i].row;
            row_versions[count++] = cells[i].row_version;
        }
    }
    return count;
}

static void
track_own_version(struct rs_rosters *rosters, int64_t now_ms)
{
    const struct rs_view_cell *cell = RsLeases_Cell(rosters->options.leases);
    uint64_t version = cell != NULL ? cell->row.version : 0;
    if (version != rosters->own_version) {
        rosters->own_version = version;
        rosters->own_version_seen_at_ms = now_ms;
    }
}

static void
add_commit(const struct rs_roster_row *next, const struct rs_roster_row *rows,
           const uint64_t *row_versions, size_t row_count, json_t *conditions,
           json_t *puts)
{
    char key[RsRoster_KEY_BYTES];
    bool is_new = true;
    for (size_t i = 0; i < row_count; i++) {
        RsRoster_FormatKey(rows[i].cell, key);
        json_array_append_new(conditions,
                              json_pack("{s:s,s:I}", "key", key, "version",
                                        (json_int_t)row_versions[i]));
        is_new = is_new && strcmp(rows[i].cell, next->cell) != 0;
    }
    RsRoster_FormatKey(next->cell, key);
    if (is_new) {
        json_array_append_new(
            conditions, json_pack("{s:s,s:i}", "key", key, "version", 0));
    }
    json_array_append_new(puts, json_pack("{s:s,s:o}", "key", key, "value",
                                          RsRoster_Encode(next)));
}

/* Plans at most one change of a roster row, on the condition that none of the
 * rows of the domain has changed since it was read. */
void
RsRosters_Plan(struct rs_rosters *rosters, const struct rs_view *view,
               int64_t now_ms, json_t *conditions, json_t *puts)
{
    struct rs_roster_row rows[RsRoster_MAX_CELLS];
    uint64_t row_versions[RsRoster_MAX_CELLS];
    size_t row_count = list_rows(rosters, view, rows, row_versions);
    track_own_version(rosters, now_ms);
    GArray *vms = list_vms(rosters, view, rows, row_count, now_ms);
    struct rs_roster_options options = {
        .domain = rosters->domain,
        .vms = (const struct rs_roster_vm *)(void *)vms->data,
        .vm_count = vms->len,
        .rows = rows,
        .row_count = row_count,
        .now_ms = now_ms,
        .promises_expire_after_ms = rosters->options.lease_ms + VM_LIST_LAG_MS,
        .silent_after_ms = SILENT_AFTER_MS,
        .replace_after_ms = REPLACE_AFTER_MS,
    };
    for (uint32_t number = 0; number <= row_count; number++) {
        struct rs_roster_row next;
        if (RsRoster_DecideNextRow(&options, number, &next)) {
            add_commit(&next, rows, row_versions, row_count, conditions, puts);
            break;
        }
    }
    g_array_free(vms, TRUE);
}
