#include "place/roster.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/id.h"
#include "place/cell_name.h"
#include "place/names.h"

/* One cell while spare VMs are dealt out. */
struct share {
    const struct rs_roster_row *row;
    uint64_t cell;
    const struct rs_roster_vm *kept[RsRoster_MAX_MEMBERS];
    size_t kept_count;
    const struct rs_roster_vm *stale[RsRoster_MAX_MEMBERS]; /* replaceable */
    size_t stale_count;
    const struct rs_roster_vm *given[RsRoster_MAX_MEMBERS];
    size_t given_count;
};

struct deal {
    const struct rs_roster_options *options;
    struct share *shares; /* a row each */
    const struct rs_roster_vm **spares;
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

static bool
silent_for(const struct rs_roster_options *options,
           const struct rs_roster_vm *vm, uint32_t wait_ms)
{
    return vm->heard_at_ms + (int64_t)wait_ms <= options->now_ms;
}

static bool
long_gone(const struct rs_roster_options *options, const char *name)
{
    const struct rs_roster_vm *vm = find_vm(options, name);
    return vm != NULL && vm->state == RsRoster_GONE &&
           vm->gone_at_ms + (int64_t)options->gone_after_ms <= options->now_ms;
}

/* Whether too few of a row's former members are left that might promise by
 * the row before: the others know of this one, once it is `written`, or are
 * gone for good. */
static bool
former_is_over(const struct rs_roster_options *options,
               const struct rs_roster_row *row, bool written)
{
    size_t over = 0;
    for (size_t i = 0; i < row->former_count; i++) {
        const struct rs_roster_vm *vm = find_vm(options, row->former[i]);
        bool knows = written && vm != NULL &&
                     strcmp(vm->cell, row->cell) == 0 &&
                     vm->acknowledged >= row->version;
        over += knows || long_gone(options, row->former[i]) ? 1 : 0;
    }
    return 2 * over > row->former_count;
}

/* Whether nobody of a cell is left, for longer than any promise lives. */
bool
RsRoster_IsGone(const struct rs_roster_options *options,
                const struct rs_roster_row *row)
{
    for (size_t i = 0; i < row->member_count; i++) {
        if (!long_gone(options, row->members[i])) {
            return false;
        }
    }
    for (size_t i = 0; i < row->former_count; i++) {
        if (!long_gone(options, row->former[i])) {
            return false;
        }
    }
    return true;
}

static bool
in_some_row(const struct rs_roster_options *options, const char *name)
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

/* Collects the VMs that may become members. Those of the very first row need
 * not have been heard: heartbeats go to members. */
static void
find_spares(struct deal *deal)
{
    const struct rs_roster_options *options = deal->options;
    for (size_t i = 0; i < options->vm_count; i++) {
        const struct rs_roster_vm *vm = &options->vms[i];
        bool ready = options->row_count == 0 ||
                     !silent_for(options, vm, options->silent_after_ms);
        if (vm->state == RsRoster_LIVE && ready &&
            !in_some_row(options, vm->name)) {
            deal->spares[deal->spare_count++] = vm;
        }
    }
}

static void
open_share(const struct rs_roster_options *options,
           const struct rs_roster_row *row, struct share *share)
{
    memset(share, 0, sizeof(*share));
    share->row = row;
    share->cell = RsId_FromName(row->cell);
    for (size_t i = 0; i < row->member_count; i++) {
        const struct rs_roster_vm *vm = find_vm(options, row->members[i]);
        if (vm == NULL || vm->state != RsRoster_LIVE) {
            continue;
        }
        if (silent_for(options, vm, options->replace_after_ms)) {
            share->stale[share->stale_count++] = vm;
        }
        else {
            share->kept[share->kept_count++] = vm;
        }
    }
}

/* Returns the index of the spare that a cell ranks first. */
static size_t
best_spare(const struct deal *deal, uint64_t cell)
{
    size_t best = 0;
    uint64_t best_rank = 0;
    for (size_t i = 0; i < deal->spare_count; i++) {
        uint64_t rank =
            RsId_Combine(cell, RsId_FromName(deal->spares[i]->name));
        if (i == 0 || rank > best_rank) {
            best = i;
            best_rank = rank;
        }
    }
    return best;
}

static const struct rs_roster_vm *
take_spare(struct deal *deal, uint64_t cell)
{
    size_t index = best_spare(deal, cell);
    const struct rs_roster_vm *vm = deal->spares[index];
    deal->spares[index] = deal->spares[--deal->spare_count];
    return vm;
}

static size_t
share_size(const struct share *share)
{
    return share->kept_count + share->given_count;
}

/* Returns the smallest cell with room and no change under way, or NULL. */
static struct share *
neediest(const struct deal *deal)
{
    struct share *best = NULL;
    for (size_t i = 0; i < deal->options->row_count; i++) {
        struct share *share = &deal->shares[i];
        if (share->row->former_count == 0 &&
            share_size(share) < RsRoster_MAX_MEMBERS &&
            (best == NULL || share_size(share) < share_size(best))) {
            best = share;
        }
    }
    return best;
}

static void
open_deal(struct deal *deal, const struct rs_roster_options *options)
{
    memset(deal, 0, sizeof(*deal));
    deal->options = options;
    deal->shares = calloc(options->row_count + 1, sizeof(deal->shares[0]));
    deal->spares = calloc(options->vm_count + 1, sizeof(void *));
    find_spares(deal);
    for (size_t i = 0; i < options->row_count; i++) {
        open_share(options, &options->rows[i], &deal->shares[i]);
    }
    struct share *share = neediest(deal);
    while (share != NULL && deal->spare_count > 0) {
        share->given[share->given_count++] = take_spare(deal, share->cell);
        share = neediest(deal);
    }
}

static void
close_deal(struct deal *deal)
{
    free(deal->shares);
    free(deal->spares);
}

/* Returns whether a cell has members to spare for a much smaller one. Only
 * the largest gives one, and only when no spare VM was dealt out. */
static bool
gives_one(const struct deal *deal, const struct share *own)
{
    bool needed = false;
    for (size_t i = 0; i < deal->options->row_count; i++) {
        const struct share *other = &deal->shares[i];
        if (other->given_count > 0 || share_size(other) > share_size(own) ||
            (share_size(other) == share_size(own) && other < own)) {
            return false;
        }
        needed = needed || (other->row->former_count == 0 &&
                            share_size(other) < RsRoster_MIN_MEMBERS);
    }
    return needed && share_size(own) > RsRoster_MIN_MEMBERS;
}

static void
drop_last_ranked(struct share *share)
{
    size_t worst = 0;
    uint64_t worst_rank = UINT64_MAX;
    for (size_t i = 0; i < share->kept_count; i++) {
        uint64_t rank =
            RsId_Combine(share->cell, RsId_FromName(share->kept[i]->name));
        if (rank < worst_rank) {
            worst = i;
            worst_rank = rank;
        }
    }
    share->kept[worst] = share->kept[--share->kept_count];
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

/* Lists a share's members: each VM given to it replaces a silent one. */
static void
write_members(const struct share *share, struct rs_roster_row *next)
{
    size_t replaced = share->given_count < share->stale_count
                          ? share->given_count
                          : share->stale_count;
    size_t stale = share->stale_count - replaced;
    next->member_count = 0;
    memset(next->members, 0, sizeof(next->members));
    add_members(next, share->kept, share->kept_count);
    add_members(next, share->given, share->given_count);
    add_members(next, share->stale, stale);
    qsort(next->members, next->member_count, sizeof(next->members[0]),
          compare_members);
}

static void
end_change(const struct rs_roster_row *row, struct rs_roster_row *next)
{
    *next = *row;
    next->version = row->version + 1;
    next->former_count = 0;
    memset(next->former, 0, sizeof(next->former));
}

/* Decides whether a cell without a change under way gets other members. */
static bool
begin_change(struct deal *deal, struct share *share,
             struct rs_roster_row *next)
{
    const struct rs_roster_row *row = share->row;
    if (gives_one(deal, share)) {
        drop_last_ranked(share);
    }
    *next = *row;
    write_members(share, next);
    if (next->member_count == 0 ||
        RsNames_Equal(next->members, next->member_count, row->members,
                      row->member_count)) {
        return false;
    }
    next->version = row->version + 1;
    next->former_count = row->member_count;
    memcpy(next->former, row->members, sizeof(next->former));
    if (former_is_over(deal->options, next, false)) {
        next->former_count = 0;
        memset(next->former, 0, sizeof(next->former));
    }
    return true;
}

/* Decides whether to found a cell: the first one of its domain, or one of
 * VMs for which the others have no room. */
static bool
found_cell(struct deal *deal, uint32_t number, struct rs_roster_row *next)
{
    const struct rs_roster_options *options = deal->options;
    size_t least = options->row_count == 0 ? 1 : RsRoster_MIN_MEMBERS;
    memset(next, 0, sizeof(*next));
    if (deal->spare_count < least || number != options->row_count ||
        number >= RsRoster_MAX_CELLS ||
        RsCellName_Format(options->domain, number, next->cell) != 0) {
        return false;
    }
    struct share share = {.row = next, .cell = RsId_FromName(next->cell)};
    while (deal->spare_count > 0 && share.given_count < RsRoster_MAX_MEMBERS) {
        share.given[share.given_count++] = take_spare(deal, share.cell);
    }
    memcpy(next->domain, options->domain, strlen(options->domain) + 1);
    next->version = 1;
    write_members(&share, next);
    return true;
}

/* Decides the next row of the domain's cell `number`. Returns false when its
 * row stays as it is, or is not to be made. */
bool
RsRoster_Next(const struct rs_roster_options *options, uint32_t number,
              struct rs_roster_row *next)
{
    struct deal deal;
    if (number < options->row_count &&
        options->rows[number].former_count > 0) {
        end_change(&options->rows[number], next);
        return former_is_over(options, &options->rows[number], true);
    }
    open_deal(&deal, options);
    bool changes = number < options->row_count
                       ? begin_change(&deal, &deal.shares[number], next)
                       : found_cell(&deal, number, next);
    close_deal(&deal);
    return changes;
}

/* Returns the index of the cell that a target belongs to, by rendezvous
 * hashing over the given rows; `row_count` is above 0. */
size_t
RsRoster_CellOfTarget(const char *target, const struct rs_roster_row *rows,
                      size_t row_count)
{
    size_t best = 0;
    uint64_t best_rank = 0;
    assert(row_count > 0);
    for (size_t i = 0; i < row_count; i++) {
        uint64_t rank =
            RsId_Combine(RsId_FromName(rows[i].cell), RsId_FromName(target));
        if (i == 0 || rank > best_rank) {
            best = i;
            best_rank = rank;
        }
    }
    return best;
}
