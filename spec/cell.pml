/* Leases on one slice within one cell: two processes claim the slice, and
 * three members grant the lease by promises, of which a majority is needed.
 * Time is relative: each timer counts its remaining ticks. All clocks advance
 * at the same rate; clock drift is covered by the fuzz tests. A message has
 * an age, and can be lost, delayed and, with two slots, reordered; renewals
 * (with two slots) and answers can also be duplicated. A process may take no
 * step for any time, so pauses are covered.
 * check.sh searches two reduced instances: two messages at a time, with one
 * claim of each claimant and no restart; and one message at a time, with up to
 * two claims of each claimant and a restart.
 *
 * Properties: the slice has at most one owner at a time, and the fence of each
 * new owner, which is the step of its claim, is higher than the one before.
 * Broken variants (-D):
 * NO_WAIT_FOR_LAPSE: a member promises to another claimant before its promise
 *     has expired.
 * COUNT_FROM_RECEIPT: a claimant counts a promise from the answer's arrival,
 *     not from when the renewal was sent.
 * VOTE_AFTER_RESTART: a restarted member gives promises at once.
 * NO_FIRST_STEP: a restarted member accepts new claims with any step.
 * MINORITY: the promise of one member is enough.
 */

#define MEMBERS 3
#define CLAIMANTS 2
#ifndef SLOTS
#define SLOTS 2 /* messages in the network at a time, at most */
#endif
#define LEASE 2 /* ticks of a promise */
#ifndef MAX_STEP
#define MAX_STEP 2 /* highest step of a claim */
#endif
#ifndef RESTARTS
#define RESTARTS 1 /* restarts of member 0, at most */
#endif

#ifdef MINORITY
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

#define EMPTY 0
#define RENEW 1
#define ANSWER 2
#define RELEASE 3

typedef message {
    byte kind;
    byte claimant;
    byte member;
    byte step;
    bool has_held; /* the claimant's has_held when it sent this */
    byte age /* ticks since the renewal or release was sent, LEASE at most */
};

typedef member_state {
    byte remaining; /* ticks left of the last promise; 0: none valid */
    byte step; /* step of the last promise; 0: none since the start */
    byte owner; /* claimant of the last promise, plus 1; 0: none */
    byte min_claim_step; /* lowest step of new claims; 0: any */
    byte wait_ticks /* ticks left without promises after a restart */
};

typedef claimant_state {
    byte step; /* 0: no claim */
    byte used_step; /* step of the last claim; 0: none */
    byte remaining[MEMBERS]; /* ticks left of each member's promise */
    bool has_held /* has held the lease with the current claim */
};

message network[SLOTS];
member_state members[MEMBERS];
claimant_state claimants[CLAIMANTS];
byte restarts;
byte last_owner_step; /* step of the last owner's claim */
byte last_owner;
byte i, j, n, slot;

#define HOLDS(c) (claimants[c].step > 0 && \
    (claimants[c].remaining[0] > 0) + (claimants[c].remaining[1] > 0) + \
    (claimants[c].remaining[2] > 0) >= MAJORITY)

/* The claimant has held the lease with its current claim, but doesn't any
 * more. It then sends no renewals and ignores answers; it can only end the
 * claim. */
#define HAS_EXPIRED(c) (claimants[c].has_held && !HOLDS(c))

/* Asserts the properties, records the current owner, and marks that it has
 * held the lease with its claim. */
inline check_and_record_owner()
{
    assert(!(HOLDS(0) && HOLDS(1)));
    i = 0;
    do
    :: i < CLAIMANTS ->
        if
        :: HOLDS(i) ->
            assert(claimants[i].step > last_owner_step ||
                (claimants[i].step == last_owner_step && last_owner == i));
            claimants[i].has_held = true;
            last_owner_step = claimants[i].step;
            last_owner = i
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

/* Removes the message in slot s. */
inline clear_slot(s)
{
    network[s].kind = EMPTY;
    network[s].claimant = 0;
    network[s].member = 0;
    network[s].step = 0;
    network[s].has_held = false;
    network[s].age = 0
}

inline advance_time()
{
    i = 0;
    do
    :: i < MEMBERS ->
        if
        :: members[i].remaining > 0 -> members[i].remaining--
        :: else
        fi;
        if
        :: members[i].wait_ticks > 0 -> members[i].wait_ticks--
        :: else
        fi;
        j = 0;
        do
        :: j < CLAIMANTS ->
            if
            :: claimants[j].remaining[i] > 0 -> claimants[j].remaining[i]--
            :: else
            fi;
            j++
        :: else -> break
        od;
        i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < SLOTS ->
        if
        :: network[i].kind != EMPTY && network[i].age < LEASE ->
            network[i].age++
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0;
    j = 0
}

/* Claimant c claims with any step, up to MAX_STEP, above those that it has
 * used before. The model doesn't fix which step it learns from the members. */
inline make_claim(c)
{
    claimants[c].step = claimants[c].used_step + 1;
    do
    :: claimants[c].step < MAX_STEP -> claimants[c].step++
    :: break
    od;
    claimants[c].used_step = claimants[c].step
}

inline end_claim(c)
{
    claimants[c].step = 0;
    claimants[c].has_held = false;
    i = 0;
    do
    :: i < MEMBERS -> claimants[c].remaining[i] = 0; i++
    :: else -> break
    od;
    i = 0
}

/* Claimant c sends a message of kind k to member m, in the free slot s. */
inline send(k, c, m, s)
{
    network[s].kind = k;
    network[s].claimant = c;
    network[s].member = m;
    network[s].step = claimants[c].step;
    network[s].has_held = claimants[c].has_held;
    network[s].age = 0
}

/* Member n's last promise was to the claimant that sent the message in slot
 * s. */
#define IS_OWNER(n, s) (members[n].owner == network[s].claimant + 1)

/* A member receives the renewal in slot s. The message becomes the answer, or
 * is removed when the member refuses. */
inline receive_renewal(s)
{
    n = network[s].member;
    if
    :: members[n].remaining > 0 && IS_OWNER(n, s) &&
       members[n].step == network[s].step ->
        members[n].remaining = LEASE;
        network[s].kind = ANSWER
    :: else -> if
#ifndef NO_WAIT_FOR_LAPSE
        :: members[n].remaining > 0 && !IS_OWNER(n, s) -> clear_slot(s)
#endif
        :: members[n].wait_ticks > 0 -> clear_slot(s)
        :: network[s].step < members[n].step ||
           (network[s].step == members[n].step && !IS_OWNER(n, s)) ->
            clear_slot(s)
        :: !network[s].has_held &&
           network[s].step < members[n].min_claim_step ->
            clear_slot(s)
        :: else ->
            members[n].owner = network[s].claimant + 1;
            members[n].step = network[s].step;
            members[n].remaining = LEASE;
            network[s].kind = ANSWER
        fi
    fi;
    n = 0
}

inline receive_answer(s)
{
    if
    :: claimants[network[s].claimant].step == network[s].step &&
       !HAS_EXPIRED(network[s].claimant) ->
#ifdef COUNT_FROM_RECEIPT
        n = LEASE;
#else
        n = LEASE - network[s].age;
#endif
        /* An answer to an older renewal must not shorten the promise. */
        if
        :: n > claimants[network[s].claimant].remaining[network[s].member] ->
            claimants[network[s].claimant].remaining[network[s].member] = n
        :: else
        fi
    :: else
    fi;
    n = 0
}

inline receive_release(s)
{
    n = network[s].member;
    if
    :: IS_OWNER(n, s) && members[n].step <= network[s].step ->
        members[n].remaining = 0
    :: else
    fi;
    n = 0
}

/* A member drops renewals that are older than a release from the same
 * claimant, by their sequence number. The model removes all renewals from this
 * claimant to this member from the network when the release arrives, also
 * those of a later claim. */
inline remove_renewals(s)
{
    j = network[s].claimant;
    n = network[s].member;
    i = 0;
    do
    :: i < SLOTS ->
        if
        :: network[i].kind == RENEW && network[i].claimant == j &&
           network[i].member == n -> clear_slot(i)
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0;
    j = 0;
    n = 0
}

/* Member m loses its state. It gives no promise until those from before have
 * expired, and then only to renewals of a lease that has been held, or to
 * claims with a step above all that were used before the restart. */
inline restart_member(m)
{
    members[m].remaining = 0;
    members[m].step = 0;
    members[m].owner = 0;
#ifndef NO_FIRST_STEP
    members[m].min_claim_step = 1 +
        (claimants[0].used_step > claimants[1].used_step ->
        claimants[0].used_step : claimants[1].used_step);
#endif
#ifndef VOTE_AFTER_RESTART
    members[m].wait_ticks = LEASE;
#endif
    restarts++
}

/* Sets v to any number below count. */
inline choose(v, count)
{
    v = 0;
    do
    :: v < count - 1 -> v++
    :: break
    od
}

init {
    byte c, m;
    do
    :: d_step { advance_time(); check_and_record_owner() }
    :: atomic {
        choose(c, CLAIMANTS);
        choose(m, MEMBERS);
        choose(slot, SLOTS);
        /* A step that doesn't use c, m or slot requires that they are 0, so
         * that it isn't searched more than once. */
        if
        /* A claimant claims the slice, or sends a renewal. */
        :: m == 0 && slot == 0 && claimants[c].step == 0 &&
           claimants[c].used_step < MAX_STEP ->
            make_claim(c)
        :: claimants[c].step > 0 && network[slot].kind == EMPTY &&
           !HAS_EXPIRED(c) ->
            send(RENEW, c, m, slot)
        /* A claimant ends its claim and sends one member a release. */
        :: claimants[c].step > 0 && network[slot].kind == EMPTY ->
            send(RELEASE, c, m, slot);
            end_claim(c)
        /* The network delivers or loses a message, or duplicates a renewal or
         * an answer. */
        :: c == 0 && m == 0 && network[slot].kind == RENEW ->
            receive_renewal(slot)
#if SLOTS > 1
        :: c == 0 && m == 0 && network[slot].kind == RENEW &&
           network[1 - slot].kind == EMPTY ->
            network[1 - slot].kind = RENEW;
            network[1 - slot].claimant = network[slot].claimant;
            network[1 - slot].member = network[slot].member;
            network[1 - slot].step = network[slot].step;
            network[1 - slot].has_held = network[slot].has_held;
            network[1 - slot].age = network[slot].age
#endif
        :: c == 0 && m == 0 && network[slot].kind == ANSWER ->
            receive_answer(slot);
            if
            :: clear_slot(slot)
            :: skip
            fi
        :: c == 0 && m == 0 && network[slot].kind == RELEASE ->
            remove_renewals(slot);
            receive_release(slot);
            clear_slot(slot)
        :: c == 0 && m == 0 && network[slot].kind != EMPTY -> clear_slot(slot)
        /* The members are symmetric, so only member 0 restarts. */
        :: c == 0 && m == 0 && slot == 0 && restarts < RESTARTS ->
            restart_member(0)
        :: else
        fi;
        check_and_record_owner();
        c = 0;
        m = 0;
        slot = 0
    }
    od
}
