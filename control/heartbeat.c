/* Heartbeats: frequent ones to the members and former members of this
 * process's cell (to the entry VMs of its domain while it has none), and less
 * frequent ones (gossip) to a few random entry processes, with at most
 * MAX_OTHER_ENTRIES entries about other processes. */

#include <string.h>

#include "control/state.h"
#include "core/clock.h"

#define GOSSIP_INTERVAL_MS 500
#define GOSSIP_FANOUT 3
#define MAX_OTHER_ENTRIES 16
#define READERS_PER_CELL 2
#define RESET_LINK_AFTER_MS 1500

static void
fill_own_entry(const struct rs_control *control, Rs__Member__Entry *entry)
{
    const struct rs_view_cell *cell = RsLeases_Cell(control->leases);
    entry->name = control->settings->name;
    entry->domain = control->settings->domain;
    entry->incarnation = control->options.incarnation;
    entry->applied_ticket =
        control->config != NULL ? RsConfig_AppliedTicket(control->config) : 0;
    entry->applied_revision = RsMirror_Revision(RsFeed_Mirror(control->feed));
    entry->cell_version = cell != NULL ? cell->row.version : 0;
    entry->leaving = control->leaving;
}

static void
fill_member_entry(const struct rs_member *member, int64_t now_ms,
                  Rs__Member__Entry *entry)
{
    rs__member__entry__init(entry);
    entry->name = (char *)member->name;
    entry->domain = (char *)member->domain;
    entry->incarnation = member->incarnation;
    entry->applied_ticket = member->applied_ticket;
    entry->applied_revision = member->applied_revision;
    entry->cell_version = member->cell_version;
    entry->leaving = member->leaving;
    entry->age_ms =
        (uint32_t)CLAMP(now_ms - member->heard_at_ms, 0, (int64_t)UINT32_MAX);
}

/* Sends a heartbeat. Only gossip carries entries about others (`with_others`),
 * since heartbeats within the cell are frequent. */
static void
send_heartbeat(struct rs_control *control, const char *name, int64_t now_ms,
               bool with_others)
{
    const struct rs_view_vm *vm =
        control->view != NULL ? RsView_Vm(control->view, name) : NULL;
    const struct rs_member *sample[MAX_OTHER_ENTRIES];
    Rs__Member__Entry self = RS__MEMBER__ENTRY__INIT;
    Rs__Member__Entry others[MAX_OTHER_ENTRIES];
    Rs__Member__Entry *pointers[MAX_OTHER_ENTRIES];
    Rs__Member__Heartbeat heartbeat = RS__MEMBER__HEARTBEAT__INIT;
    Rs__Wire__Peer message = RS__WIRE__PEER__INIT;
    if (vm == NULL || strcmp(name, control->settings->name) == 0) {
        return;
    }
    fill_own_entry(control, &self);
    size_t count = 0;
    if (with_others) {
        count = RsMembers_Sample(control->members, now_ms, sample,
                                 MAX_OTHER_ENTRIES);
    }
    for (size_t i = 0; i < count; i++) {
        fill_member_entry(sample[i], now_ms, &others[i]);
        pointers[i] = &others[i];
    }
    heartbeat.self = &self;
    heartbeat.n_others = count;
    heartbeat.others = pointers;
    message.message_case = RS__WIRE__PEER__MESSAGE_HEARTBEAT;
    message.heartbeat = &heartbeat;
    RsCounter_Add(&control->heartbeats_sent, 1);
    RsPeers_Send(control->peers, name, &vm->control, &message);
}

/* Sends heartbeats to members of the cell. Replaces the open link to a member
 * that has been silent for longer than RESET_LINK_AFTER_MS; the heartbeat to
 * that member is then dropped. */
static void
send_to_members(struct rs_control *control,
                const char names[][RsModel_NAME_BYTES], size_t count,
                int64_t now_ms)
{
    for (size_t i = 0; i < count; i++) {
        const struct rs_member *member =
            RsMembers_Find(control->members, names[i]);
        if (member != NULL && member->last_heartbeat_at_ms != 0 &&
            now_ms - member->last_heartbeat_at_ms > RESET_LINK_AFTER_MS) {
            RsPeers_Reset(control->peers, names[i]);
        }
        send_heartbeat(control, names[i], now_ms, false);
    }
}

/* Sends heartbeats to the entry VMs of the domain. Used while this process has
 * no cell. */
static void
send_to_domain(struct rs_control *control, int64_t now_ms)
{
    const struct rs_view_vm *vms;
    size_t count = RsView_Vms(control->view, &vms);
    for (size_t i = 0; i < count; i++) {
        if (vms[i].is_entry &&
            strcmp(vms[i].domain, control->settings->domain) == 0) {
            send_heartbeat(control, vms[i].name, now_ms, false);
        }
    }
}

static void
send_gossip(struct rs_control *control, int64_t now_ms)
{
    const struct rs_view_vm *vms;
    size_t count = RsView_Vms(control->view, &vms);
    for (int i = 0; i < GOSSIP_FANOUT && count > 0; i++) {
        gint32 start = g_rand_int_range(control->random, 0, (gint32)count);
        for (size_t tried = 0; tried < count; tried++) {
            const struct rs_view_vm *vm =
                &vms[((size_t)start + tried) % count];
            if (vm->is_entry) {
                send_heartbeat(control, vm->name, now_ms, true);
                break;
            }
        }
    }
}

/* Sends the heartbeats and the gossip that are due. */
void
RsControlHeartbeat_Tick(struct rs_control *control, int64_t now_ms)
{
    if (control->view == NULL) {
        return;
    }
    const struct rs_view_cell *cell = RsLeases_Cell(control->leases);
    if (now_ms >= control->next_heartbeat_at_ms) {
        control->next_heartbeat_at_ms =
            now_ms + control->settings->tunables.heartbeat_every_ms;
        if (cell != NULL) {
            send_to_members(control, cell->row.members, cell->row.member_count,
                            now_ms);
            send_to_members(control, cell->row.former, cell->row.former_count,
                            now_ms);
        }
        else {
            send_to_domain(control, now_ms);
        }
    }
    if (now_ms >= control->next_gossip_at_ms) {
        control->next_gossip_at_ms = now_ms + GOSSIP_INTERVAL_MS;
        send_gossip(control, now_ms);
    }
}

static void
record_entry(struct rs_control *control, const Rs__Member__Entry *entry,
             int64_t now_ms, bool direct)
{
    struct rs_member member = {
        .incarnation = entry->incarnation,
        .applied_ticket = entry->applied_ticket,
        .applied_revision = entry->applied_revision,
        .cell_version = entry->cell_version,
        .leaving = entry->leaving,
    };
    g_strlcpy(member.name, entry->name, sizeof(member.name));
    g_strlcpy(member.domain, entry->domain, sizeof(member.domain));
    RsMembers_Update(control->members, now_ms, &member, entry->age_ms, direct);
}

static void
request_changes(struct rs_control *control, const char *from,
                uint64_t revision, int64_t now_ms)
{
    const struct rs_view_vm *vm =
        control->view != NULL ? RsView_Vm(control->view, from) : NULL;
    uint64_t after = 0;
    if (vm == NULL ||
        !RsFeed_BeginPeerRequest(control->feed, now_ms, revision, &after)) {
        return;
    }
    Rs__Member__ChangesRequest request = RS__MEMBER__CHANGES_REQUEST__INIT;
    Rs__Wire__Peer message = RS__WIRE__PEER__INIT;
    request.after = after;
    message.message_case = RS__WIRE__PEER__MESSAGE_CHANGES_REQUEST;
    message.changes_request = &request;
    RsPeers_Send(control->peers, from, &vm->control, &message);
}

/* Handles a heartbeat. Ignores one whose own entry does not name the sender.
 * Asks the sender for changes of the table if it has a later revision. */
void
RsControlHeartbeat_Receive(struct rs_control *control, const char *from,
                           const Rs__Member__Heartbeat *heartbeat)
{
    int64_t now_ms = RsClock_NowMs();
    if (heartbeat->self == NULL || strcmp(heartbeat->self->name, from) != 0) {
        return;
    }
    record_entry(control, heartbeat->self, now_ms, true);
    for (size_t i = 0; i < heartbeat->n_others; i++) {
        record_entry(control, heartbeat->others[i], now_ms, false);
    }
    request_changes(control, from, heartbeat->self->applied_revision, now_ms);
}

/* Tells whether this process polls the platform for its cell: the
 * READERS_PER_CELL live members with the lowest names do. A process without a
 * cell is a reader. */
bool
RsControlHeartbeat_IsReader(const struct rs_control *control, int64_t now_ms)
{
    const struct rs_view_cell *cell = RsLeases_Cell(control->leases);
    int lower_names = 0;
    if (cell == NULL) {
        return true;
    }
    for (size_t i = 0; i < cell->row.member_count; i++) {
        const char *name = cell->row.members[i];
        if (strcmp(name, control->settings->name) < 0 &&
            RsMembers_IsReachable(control->members, now_ms, name)) {
            lower_names++;
        }
    }
    return lower_names < READERS_PER_CELL;
}
