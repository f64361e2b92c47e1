#include "place/roster.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/id.h"
#include "place/cell_name.h"
#include "place/names.h"

/* The planned members of one cell. */
struct cell_plan {
    const struct rs_roster_row *row;
    uint64_t cell; /* id */
    const struct rs_roster_vm *kept[RsRoster_MAX_MEMBERS];
    size_t kept_count;
    /* Live members that sent no heartbeat for too long */
    const struct rs_roster_vm *replaceable[RsRoster_MAX_MEMBERS];
    size_t replaceable_count;
    const struct rs_roster_vm *added[RsRoster_MAX_MEMBERS]; /* new members */
    size_t added_count;
};

/* The distribution of a domain's spare VMs over its cells. */
struct domain_plan {
    const struct rs_roster_options *options;
    struct cell_plan *cells;            /* by row */
    const struct rs_roster_vm **spares; /* VMs that may become members */
    size_t spare_count;
};

static const struct rs_roster_vm *
find_vm(const struct rs_roster_options *options, const char *name)
{
    for (size_t i = 0; i < options->vm_count; i++) {
        if (strcmp(options->vms[i].name, name) == 0) {
            return &options->vms[i];
        }
    }
    return NULL;
}

/* Returns whether a VM has sent no heartbeat for at least `wait_ms`. */
static bool
is_silent_for(const struct rs_roster_options *options,
              const struct rs_roster_vm *vm, uint32_t wait_ms)
{
    return vm->heard_at_ms + (int64_t)wait_ms <= options->now_ms;
}

/* Returns whether a VM has been gone for so long that its lease promises have
 * expired. */
static bool
is_long_gone(const struct rs_roster_options *options, const char *name)
{
    const struct rs_roster_vm *vm = find_vm(options, name);
    return vm != NULL && vm->state == RsRoster_GONE &&
           vm->gone_at_ms + (int64_t)options->promises_expire_after_ms <=
               options->now_ms;
}

/* Returns whether a majority of a row's former members can no longer make
 * promises under the earlier row. These are the members that have been gone
 * so long that their promises have expired and, if the row is `written`, those
 * that have acknowledged the row's version or a later one. */
static bool
former_lost_majority(const struct rs_roster_options *options,
                     const struct rs_roster_row *row, bool written)
{
    size_t without_promises_count = 0;
    for (size_t i = 0; i < row->former_count; i++) {
        const struct rs_roster_vm *vm = find_vm(options, row->former[i]);
        bool acknowledged_row = written && vm != NULL &&
                                strcmp(vm->cell, row->cell) == 0 &&
                                vm->acknowledged >= row->version;
        without_promises_count +=
            acknowledged_row || is_long_gone(options, row->former[i]) ? 1 : 0;
    }
    return 2 * without_promises_count > row->former_count;
}

/* Returns whether all members and former members of a cell have been gone for
 * so long that their lease promises have expired. */
bool
RsRoster_IsCellGone(const struct rs_roster_options *options,
                    const struct rs_roster_row *row)
{
    for (size_t i = 0; i < row->member_count; i++) {
        if (!is_long_gone(options, row->members[i])) {
            return false;
        }
    }
    for (size_t i = 0; i < row->former_count; i++) {
        if (!is_long_gone(options, row->former[i])) {
            return false;
        }
    }
    return true;
}

/* Returns whether a VM is a member or former member of any cell. */
static bool
in_any_row(const struct rs_roster_options *options, const char *name)
{
    for (size_t i = 0; i < options->row_count; i++) {
        const struct rs_roster_row *row = &options->rows[i];
        if (RsNames_Contain(row->members, row->member_count, name) ||
            RsNames_Contain(row->former, row->former_count, name)) {
            return true;
        }
    }
    return false;
}

/* Collects the live VMs that are in no row, so that they may become members.
 * They must have sent a heartbeat within the last `silent_after_ms`, except
 * for the first row of a domain. */
static void
collect_spares(struct domain_plan *plan)
{
    const struct rs_roster_options *options = plan->options;
    for (size_t i = 0; i < options->vm_count; i++) {
        const struct rs_roster_vm *vm = &options->vms[i];
        bool ready = options->row_count == 0 ||
                     !is_silent_for(options, vm, options->silent_after_ms);
        if (vm->state == RsRoster_LIVE && ready &&
            !in_any_row(options, vm->name)) {
            plan->spares[plan->spare_count++] = vm;
        }
    }
}

/* Sorts a row's live members into those to keep and those that may be
 * replaced. Leaving and gone members are dropped. */
static void
init_cell_plan(const struct rs_roster_options *options,
               const struct rs_roster_row *row, struct cell_plan *cell_plan)
{
    memset(cell_plan, 0, sizeof(*cell_plan));
    cell_plan->row = row;
    cell_plan->cell = RsId_FromName(row->cell);
    for (size_t i = 0; i < row->member_count; i++) {
        const struct rs_roster_vm *vm = find_vm(options, row->members[i]);
        if (vm == NULL || vm->state != RsRoster_LIVE) {
            continue;
        }
        if (is_silent_for(options, vm, options->replace_after_ms)) {
            cell_plan->replaceable[cell_plan->replaceable_count++] = vm;
        }
        else {
            cell_plan->kept[cell_plan->kept_count++] = vm;
        }
    }
}

/* Returns the index of the spare VM that rendezvous hashing ranks highest for
 * a cell. There must be a spare VM. */
static size_t
find_best_spare(const struct domain_plan *plan, uint64_t cell)
{
    size_t best = 0;
    uint64_t best_hash = 0;
    for (size_t i = 0; i < plan->spare_count; i++) {
        uint64_t hash =
            RsId_Combine(cell, RsId_FromName(plan->spares[i]->name));
        if (i == 0 || hash > best_hash) {
            best = i;
            best_hash = hash;
        }
    }
    return best;
}

static const struct rs_roster_vm *
take_spare(struct domain_plan *plan, uint64_t cell)
{
    size_t index = find_best_spare(plan, cell);
    const struct rs_roster_vm *vm = plan->spares[index];
    plan->spares[index] = plan->spares[--plan->spare_count];
    return vm;
}

static size_t
planned_size(const struct cell_plan *cell_plan)
{
    return cell_plan->kept_count + cell_plan->added_count;
}

/* Returns the cell with the fewest members among those that are not full and
 * have no change under way, or NULL. */
static struct cell_plan *
find_smallest_cell_with_room(const struct domain_plan *plan)
{
    struct cell_plan *best = NULL;
    for (size_t i = 0; i < plan->options->row_count; i++) {
        struct cell_plan *cell_plan = &plan->cells[i];
        if (cell_plan->row->former_count == 0 &&
            planned_size(cell_plan) < RsRoster_MAX_MEMBERS &&
            (best == NULL || planned_size(cell_plan) < planned_size(best))) {
            best = cell_plan;
        }
    }
    return best;
}

/* Plans the members of a domain's cells: sorts the present members of each and
 * gives each spare VM to the cell that is smallest at that point. Spare VMs
 * for which no cell has room remain in `spares`. Free it with
 * free_domain_plan().
 */
static void
make_domain_plan(struct domain_plan *plan,
                 const struct rs_roster_options *options)
{
    memset(plan, 0, sizeof(*plan));
    plan->options = options;
    plan->cells = calloc(options->row_count + 1, sizeof(plan->cells[0]));
    plan->spares = calloc(options->vm_count + 1, sizeof(void *));
    collect_spares(plan);
    for (size_t i = 0; i < options->row_count; i++) {
        init_cell_plan(options, &options->rows[i], &plan->cells[i]);
    }
    struct cell_plan *cell_plan = find_smallest_cell_with_room(plan);
    while (cell_plan != NULL && plan->spare_count > 0) {
        cell_plan->added[cell_plan->added_count++] =
            take_spare(plan, cell_plan->cell);
        cell_plan = find_smallest_cell_with_room(plan);
    }
}

static void
free_domain_plan(struct domain_plan *plan)
{
    free(plan->cells);
    free(plan->spares);
}

/* Returns whether a cell should release a member, so that a cell with fewer
 * than RsRoster_MIN_MEMBERS and no change under way can get one. Only the
 * largest cell releases members (of equally large ones, the one with the
 * lowest number). It does so only if it has more than RsRoster_MIN_MEMBERS and
 * no cell was given a spare VM. Replaceable members are not counted. */
static bool
should_release_member(const struct domain_plan *plan,
                      const struct cell_plan *cell_plan)
{
    bool needed = false;
    for (size_t i = 0; i < plan->options->row_count; i++) {
        const struct cell_plan *other = &plan->cells[i];
        if (other->added_count > 0 ||
            planned_size(other) > planned_size(cell_plan) ||
            (planned_size(other) == planned_size(cell_plan) &&
             other < cell_plan)) {
            return false;
        }
        needed = needed || (other->row->former_count == 0 &&
                            planned_size(other) < RsRoster_MIN_MEMBERS);
    }
    return needed && planned_size(cell_plan) > RsRoster_MIN_MEMBERS;
}

/* Removes the kept member that rendezvous hashing ranks lowest for a cell. */
static void
drop_member_with_lowest_hash(struct cell_plan *cell_plan)
{
    size_t lowest = 0;
    uint64_t lowest_hash = UINT64_MAX;
    for (size_t i = 0; i < cell_plan->kept_count; i++) {
        uint64_t hash = RsId_Combine(cell_plan->cell,
                                     RsId_FromName(cell_plan->kept[i]->name));
        if (hash < lowest_hash) {
            lowest = i;
            lowest_hash = hash;
        }
    }
    cell_plan->kept[lowest] = cell_plan->kept[--cell_plan->kept_count];
}

static int
compare_members(const void *left, const void *right)
{
    return strcmp(left, right);
}

static void
add_members(struct rs_roster_row *row, const struct rs_roster_vm *const *vms,
            size_t count)
{
    for (size_t i = 0; i < count; i++) {
        assert(row->member_count < RsRoster_MAX_MEMBERS);
        memcpy(row->members[row->member_count++], vms[i]->name,
               RsModel_NAME_BYTES);
    }
}

/* Writes the planned members to `next`. New members replace replaceable ones
 * as long as there are any; further new members are added. */
static void
write_members(const struct cell_plan *cell_plan, struct rs_roster_row *next)
{
    size_t replaced = cell_plan->added_count < cell_plan->replaceable_count
                          ? cell_plan->added_count
                          : cell_plan->replaceable_count;
    size_t remaining = cell_plan->replaceable_count - replaced;
    next->member_count = 0;
    memset(next->members, 0, sizeof(next->members));
    add_members(next, cell_plan->kept, cell_plan->kept_count);
    add_members(next, cell_plan->added, cell_plan->added_count);
    add_members(next, cell_plan->replaceable, remaining);
    qsort(next->members, next->member_count, sizeof(next->members[0]),
          compare_members);
}

/* Writes the row that ends a change of members. */
static void
end_change(const struct rs_roster_row *row, struct rs_roster_row *next)
{
    *next = *row;
    next->version = row->version + 1;
    next->former_count = 0;
    memset(next->former, 0, sizeof(next->former));
}

/* Writes the row that changes the members of a cell without a change under
 * way. The row lists the earlier members as former ones, unless a majority of
 * them has been gone so long that their promises have expired. Returns false
 * when the members stay the same or none would be left. */
static bool
begin_change(struct domain_plan *plan, struct cell_plan *cell_plan,
             struct rs_roster_row *next)
{
    const struct rs_roster_row *row = cell_plan->row;
    if (should_release_member(plan, cell_plan)) {
        drop_member_with_lowest_hash(cell_plan);
    }
    *next = *row;
    write_members(cell_plan, next);
    if (next->member_count == 0 ||
        RsNames_Equal(next->members, next->member_count, row->members,
                      row->member_count)) {
        return false;
    }
    next->version = row->version + 1;
    next->former_count = row->member_count;
    memcpy(next->former, row->members, sizeof(next->former));
    if (former_lost_majority(plan->options, next, false)) {
        next->former_count = 0;
        memset(next->former, 0, sizeof(next->former));
    }
    return true;
}

/* Writes the row of a new cell: the first one of its domain, or one made of at
 * least RsRoster_MIN_MEMBERS VMs for which the other cells have no room.
 * Returns false when the cell is not to be created. */
static bool
create_cell(struct domain_plan *plan, uint32_t number,
            struct rs_roster_row *next)
{
    const struct rs_roster_options *options = plan->options;
    size_t min_members = options->row_count == 0 ? 1 : RsRoster_MIN_MEMBERS;
    memset(next, 0, sizeof(*next));
    if (plan->spare_count < min_members || number != options->row_count ||
        number >= RsRoster_MAX_CELLS ||
        RsCellName_Format(options->domain, number, next->cell) != 0) {
        return false;
    }
    struct cell_plan cell_plan = {.row = next,
                                  .cell = RsId_FromName(next->cell)};
    while (plan->spare_count > 0 &&
           cell_plan.added_count < RsRoster_MAX_MEMBERS) {
        cell_plan.added[cell_plan.added_count++] =
            take_spare(plan, cell_plan.cell);
    }
    memcpy(next->domain, options->domain, strlen(options->domain) + 1);
    next->version = 1;
    write_members(&cell_plan, next);
    return true;
}

/* Decides the next row of the domain's cell `number`, which may be one past
 * the existing cells. Returns false when the row stays as it is, or the cell
 * is not to be created; `*next` is undefined then. */
bool
RsRoster_DecideNextRow(const struct rs_roster_options *options,
                       uint32_t number, struct rs_roster_row *next)
{
    struct domain_plan plan;
    if (number < options->row_count &&
        options->rows[number].former_count > 0) {
        end_change(&options->rows[number], next);
        return former_lost_majority(options, &options->rows[number], true);
    }
    make_domain_plan(&plan, options);
    bool changes = number < options->row_count
                       ? begin_change(&plan, &plan.cells[number], next)
                       : create_cell(&plan, number, next);
    free_domain_plan(&plan);
    return changes;
}

/* Returns the index of the row of the cell that a target belongs to, by
 * rendezvous hashing over the rows. `row_count` must be above 0. */
size_t
RsRoster_CellOfTarget(const char *target, const struct rs_roster_row *rows,
                      size_t row_count)
{
    size_t best = 0;
    uint64_t best_hash = 0;
    assert(row_count > 0);
    for (size_t i = 0; i < row_count; i++) {
        uint64_t hash =
            RsId_Combine(RsId_FromName(rows[i].cell), RsId_FromName(target));
        if (i == 0 || hash > best_hash) {
            best = i;
            best_hash = hash;
        }
    }
    return best;
}
