/* Fuzzes the roster. Several processes of a domain change the rows of its
 * cells by compare-and-set, on views that may be stale, while VMs start, fall
 * silent, leave and disappear. The oracle tracks which rows each VM has
 * applied, and checks that any quorum that may still act on an earlier row of
 * a cell shares a VM with every quorum of the row just written. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place/fuzz_input.h"
#include "place/names.h"
#include "place/roster.h"

#define VMS 12
#define CELLS 4
#define WRITERS 3
#define EVENTS 150
#define MAX_HISTORY 400
#define PROMISES_EXPIRE_AFTER_MS 100
#define SILENT_AFTER_MS 20
#define REPLACE_AFTER_MS 60

/* The VMs and rows as they are, or as a writer last read them. */
struct view {
    struct rs_roster_vm vms[VMS];
    struct rs_roster_row rows[CELLS];
    size_t row_count;
};

struct state {
    struct view truth;
    uint64_t applied[VMS][CELLS]; /* version of each cell's row that a VM has
                                   * applied or read; 0: none */
    bool up[VMS]; /* whether the VM runs and sends heartbeats */
    struct view views[WRITERS];
    struct rs_roster_row history[MAX_HISTORY];
    size_t history_count;
    int64_t now_ms;
};

/* Returns whether a list contains the name of a VM. */
static bool
contains_vm(const char (*names)[RsModel_NAME_BYTES], size_t count, size_t vm)
{
    char name[RsModel_NAME_BYTES];
    snprintf(name, sizeof(name), "vm%02zu", vm);
    return RsNames_Contain(names, count, name);
}

/* Returns whether a VM may still make promises under a row. It may not once it
 * has been gone long enough for its promises to expire, or has applied a later
 * row. */
static bool
may_promise_under(const struct state *state, size_t vm,
                  const struct rs_roster_row *row)
{
    const struct rs_roster_vm *known = &state->truth.vms[vm];
    bool expired =
        known->state == RsRoster_GONE &&
        known->gone_at_ms + PROMISES_EXPIRE_AFTER_MS <= state->now_ms;
    return !expired && state->applied[vm][row->cell[2] - '0'] <= row->version;
}

/* Returns whether a majority of the listed VMs may still make promises under a
 * row. */
static bool
may_have_quorum(const struct state *state, const struct rs_roster_row *row,
                const char (*names)[RsModel_NAME_BYTES], size_t count)
{
    size_t able_count = 0;
    for (size_t i = 0; i < VMS; i++) {
        able_count +=
            contains_vm(names, count, i) && may_promise_under(state, i, row)
                ? 1
                : 0;
    }
    return 2 * able_count > count;
}

/* Returns whether every majority of one list shares a VM with every majority
 * of the other. */
static bool
majorities_overlap(const char (*a)[RsModel_NAME_BYTES], size_t a_count,
                   const char (*b)[RsModel_NAME_BYTES], size_t b_count)
{
    size_t in_either_count = 0;
    for (size_t i = 0; i < VMS; i++) {
        in_either_count +=
            contains_vm(a, a_count, i) || contains_vm(b, b_count, i) ? 1 : 0;
    }
    return a_count / 2 + 1 + b_count / 2 + 1 > in_either_count;
}

/* Returns whether every quorum of one row shares a VM with every quorum of the
 * other. During a change a quorum needs majorities of members and of former
 * members, so it suffices that the majorities of one pair of lists overlap. */
static bool
quorums_overlap(const struct rs_roster_row *a, const struct rs_roster_row *b)
{
    bool overlap = majorities_overlap(a->members, a->member_count, b->members,
                                      b->member_count);
    if (a->former_count > 0) {
        overlap = overlap || majorities_overlap(a->former, a->former_count,
                                                b->members, b->member_count);
    }
    if (b->former_count > 0) {
        overlap = overlap || majorities_overlap(a->members, a->member_count,
                                                b->former, b->former_count);
    }
    if (a->former_count > 0 && b->former_count > 0) {
        overlap = overlap || majorities_overlap(a->former, a->former_count,
                                                b->former, b->former_count);
    }
    return overlap;
}

/* Checks that no earlier row whose quorums may be disjoint from those of `row`
 * can still have a quorum. */
static void
check_history(const struct state *state, const struct rs_roster_row *row)
{
    for (size_t i = 0; i < state->history_count; i++) {
        const struct rs_roster_row *old = &state->history[i];
        if (strcmp(old->cell, row->cell) != 0 || quorums_overlap(old, row)) {
            continue;
        }
        bool has_quorum =
            may_have_quorum(state, old, old->members, old->member_count);
        has_quorum = has_quorum && (old->former_count == 0 ||
                                    may_have_quorum(state, old, old->former,
                                                    old->former_count));
        CHECK(!has_quorum);
    }
}

/* Checks that no VM is listed in two rows. */
static void
check_no_vm_in_two_rows(const struct view *truth)
{
    for (size_t vm = 0; vm < VMS; vm++) {
        size_t cells = 0;
        for (size_t i = 0; i < truth->row_count; i++) {
            const struct rs_roster_row *row = &truth->rows[i];
            cells += contains_vm(row->members, row->member_count, vm) ||
                             contains_vm(row->former, row->former_count, vm)
                         ? 1
                         : 0;
        }
        CHECK(cells <= 1);
    }
}

/* Checks that a row is a valid successor of the one that the writer saw. */
static void
check_row(const struct view *view, uint32_t number,
          const struct rs_roster_row *next)
{
    const struct rs_roster_row *old = &view->rows[number];
    CHECK(next->version == old->version + 1);
    CHECK(next->member_count > 0);
    CHECK(number == view->row_count || old->former_count == 0 ||
          (next->former_count == 0 &&
           RsNames_Equal(next->members, next->member_count, old->members,
                         old->member_count)));
    CHECK(number < view->row_count || number == 0 ||
          next->member_count >= RsRoster_MIN_MEMBERS);
    for (size_t i = 1; i < next->member_count; i++) {
        CHECK(strcmp(next->members[i - 1], next->members[i]) < 0);
    }
    for (size_t i = 0; i < VMS; i++) {
        bool joins = contains_vm(next->members, next->member_count, i) &&
                     !contains_vm(old->members, old->member_count, i);
        CHECK(!joins || view->vms[i].state == RsRoster_LIVE);
    }
}

static bool
same_versions(const struct view *a, const struct view *b)
{
    for (size_t i = 0; i < CELLS; i++) {
        if (a->rows[i].version != b->rows[i].version) {
            return false;
        }
    }
    return a->row_count == b->row_count;
}

/* Lets a writer decide and write the next row of a cell. The writer's list of
 * VMs is current; the rows, heartbeats and acknowledgements that it knows may
 * be stale. Returns whether the writer wrote a row. */
static bool
write_next_row(struct state *state, size_t writer, uint32_t number)
{
    struct view *view = &state->views[writer];
    for (size_t i = 0; i < VMS; i++) {
        view->vms[i].state = state->truth.vms[i].state;
        view->vms[i].gone_at_ms = state->truth.vms[i].gone_at_ms;
    }
    struct rs_roster_row next;
    struct rs_roster_options options = {
        .domain = "d",
        .vms = view->vms,
        .vm_count = VMS,
        .rows = view->rows,
        .row_count = view->row_count,
        .now_ms = state->now_ms,
        .promises_expire_after_ms = PROMISES_EXPIRE_AFTER_MS,
        .silent_after_ms = SILENT_AFTER_MS,
        .replace_after_ms = REPLACE_AFTER_MS,
    };
    if (number > view->row_count || number >= CELLS ||
        !RsRoster_DecideNextRow(&options, number, &next)) {
        return false;
    }
    check_row(view, number, &next);
    if (!same_versions(view, &state->truth) ||
        state->history_count == MAX_HISTORY) {
        return false;
    }
    state->truth.rows[number] = next;
    state->truth.row_count += number == state->truth.row_count ? 1 : 0;
    check_history(state, &next);
    check_no_vm_in_two_rows(&state->truth);
    state->history[state->history_count++] = next;
    return true;
}

/* Lets a VM that is up apply its cell's row and send a heartbeat. */
static void
apply_row(struct state *state, size_t vm)
{
    struct view *truth = &state->truth;
    if (!state->up[vm]) {
        return;
    }
    truth->vms[vm].heard_at_ms = state->now_ms;
    for (size_t i = 0; i < truth->row_count; i++) {
        const struct rs_roster_row *row = &truth->rows[i];
        if (contains_vm(row->members, row->member_count, vm) ||
            contains_vm(row->former, row->former_count, vm)) {
            memcpy(truth->vms[vm].cell, row->cell, RsModel_NAME_BYTES);
            truth->vms[vm].acknowledged = row->version;
            state->applied[vm][i] = row->version;
        }
    }
}

static void
change_vm(struct state *state, uint8_t kind, size_t index)
{
    struct rs_roster_vm *vm = &state->truth.vms[index];
    switch (kind) {
    case 0: /* starts without state and first reads all rows */
        state->up[index] = true;
        vm->state = RsRoster_LIVE;
        for (size_t i = 0; i < CELLS; i++) {
            state->applied[index][i] = state->truth.rows[i].version;
        }
        apply_row(state, index);
        break;
    case 1:
        vm->state = vm->state == RsRoster_LIVE ? RsRoster_LEAVING : vm->state;
        break;
    case 2: /* stops and disappears from the list */
        state->up[index] = false;
        vm->gone_at_ms =
            vm->state == RsRoster_GONE ? vm->gone_at_ms : state->now_ms;
        vm->state = RsRoster_GONE;
        break;
    default:
        state->up[index] = vm->state != RsRoster_GONE && !state->up[index];
        break;
    }
}

static void
run_events(struct state *state, struct fuzz_input *input)
{
    for (size_t i = 0; i < EVENTS; i++) {
        uint8_t kind = fuzz_next_byte(input) % 16;
        uint8_t which = fuzz_next_byte(input);
        if (kind < 4) {
            change_vm(state, kind, which % VMS);
        }
        else if (kind < 7) {
            apply_row(state, which % VMS);
        }
        else if (kind < 10) {
            state->views[which % WRITERS] = state->truth;
        }
        else if (kind < 14) {
            write_next_row(state, which % WRITERS, which / WRITERS % CELLS);
        }
        else {
            state->now_ms += which;
        }
    }
}

/* Checks that with all listed VMs up, the rows become stable with no change
 * under way, and that each cell's members are all live, or none is live. A VM
 * that is leaving does not count as live. */
static void
check_final_state(struct state *state)
{
    size_t live = 0;
    state->now_ms += PROMISES_EXPIRE_AFTER_MS + REPLACE_AFTER_MS;
    for (size_t i = 0; i < VMS; i++) {
        state->up[i] = state->truth.vms[i].state != RsRoster_GONE;
        live += state->truth.vms[i].state == RsRoster_LIVE ? 1 : 0;
    }
    bool changed = true;
    for (size_t round = 0; changed; round++) {
        changed = false;
        CHECK(round < 100);
        for (uint32_t number = 0; number < CELLS; number++) {
            for (size_t i = 0; i < VMS; i++) {
                apply_row(state, i);
            }
            state->views[0] = state->truth;
            changed = write_next_row(state, 0, number) || changed;
        }
    }
    CHECK(live == 0 || state->truth.row_count > 0);
    for (size_t i = 0; i < state->truth.row_count; i++) {
        const struct rs_roster_row *row = &state->truth.rows[i];
        size_t not_live = 0;
        CHECK(row->former_count == 0);
        for (size_t j = 0; j < VMS; j++) {
            bool member = contains_vm(row->members, row->member_count, j);
            bool is_live = state->truth.vms[j].state == RsRoster_LIVE;
            not_live += member && !is_live ? 1 : 0;
        }
        CHECK(not_live == 0 || not_live == row->member_count);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static struct state state;
    struct fuzz_input input = fuzz_open(data, size);
    memset(&state, 0, sizeof(state));
    state.now_ms = 1000;
    for (size_t i = 0; i < VMS; i++) {
        struct rs_roster_vm *vm = &state.truth.vms[i];
        snprintf(vm->name, sizeof(vm->name), "vm%02zu", i);
        vm->state = i < 4 ? RsRoster_LIVE : RsRoster_GONE;
        state.up[i] = i < 4;
    }
    for (size_t i = 0; i < WRITERS; i++) {
        state.views[i] = state.truth;
    }
    run_events(&state, &input);
    check_final_state(&state);
    return 0;
}
