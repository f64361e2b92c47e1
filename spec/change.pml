/* A change of a cell's roster by the rule of docs/LEASES.md. The former roster
 * is member 0 alone and the new one member 1 alone, so that their majorities
 * have no member in common. The versions of the roster in the table:
 * 1: {0}; 2: {1} with former members {0}; 3: {1}.
 * Each claimant and member knows one of the versions, or none after a restart,
 * and learns the table's version at any time. A renewal carries its sender's
 * version. It arrives at once, and its answer arrives at once or is lost;
 * cell.pml covers delayed messages.
 *
 * Property: the slice has at most one owner at a time.
 * Broken variants (-D):
 * CHANGE_WITHOUT_OLD_MAJORITY: under version 2 the promise of the new member
 *     is enough.
 * CHANGE_WITHOUT_LEASE: version 3 is written without waiting for the promises
 *     under version 1 to expire.
 * CHANGE_WITHOUT_ACK: the wait for version 3 may begin before the former
 *     majority has version 2.
 * STALE_ROSTER_SERVED: a member also accepts renewals whose version is lower
 *     than its own.
 */

#define LEASE 2 /* ticks of a promise */
#define NOT_ACKED 9

typedef member_state {
    byte version;
    byte remaining; /* ticks left of the last promise; 0: none valid */
    byte owner; /* claimant of the last promise, plus 1; 0: none */
    byte wait_ticks; /* ticks left without promises after a restart */
    bool has_read_table; /* has read the table since its start */
};

typedef claimant_state {
    byte version;
    byte remaining[2]; /* ticks left of each member's promise */
    byte old_lease; /* ticks left of the lease held when it learned a roster */
};

member_state members[2];
claimant_state claimants[2];
byte table_version = 1; /* version of the roster in the table */
/* Ticks until version 3 may be written. NOT_ACKED: no process knows yet
 * that the former majority has version 2. */
byte ticks_until_version_3 = NOT_ACKED;
bool restarted; /* only one restart, of either member */
byte c, m, i, j;

/* Claimant c has the promises that version 2 requires, of both majorities. */
#ifdef CHANGE_WITHOUT_OLD_MAJORITY
#define HAS_BOTH(c) (claimants[c].remaining[1] > 0)
#else
#define HAS_BOTH(c) \
    (claimants[c].remaining[0] > 0 && claimants[c].remaining[1] > 0)
#endif

#define HOLDS(c) (claimants[c].old_lease > 0 || \
    (claimants[c].version == 1 && claimants[c].remaining[0] > 0) || \
    (claimants[c].version == 2 && HAS_BOTH(c)) || \
    (claimants[c].version == 3 && claimants[c].remaining[1] > 0))

#define MINIMUM(a, b) ((a) < (b) -> (a) : (b))

#define DECREMENT(v) if :: v > 0 -> v-- :: else fi

inline advance_time()
{
    i = 0;
    do
    :: i < 2 ->
        DECREMENT(members[i].remaining);
        DECREMENT(members[i].wait_ticks);
        DECREMENT(claimants[i].old_lease);
        DECREMENT(claimants[i].remaining[0]);
        DECREMENT(claimants[i].remaining[1]);
        i++
    :: else -> break
    od;
    i = 0;
    if
    :: ticks_until_version_3 != NOT_ACKED && ticks_until_version_3 > 0 ->
        ticks_until_version_3--
    :: else
    fi
}

/* Claimant c learns the table's version. A lease that it holds under the
 * version known so far stays valid until it expires. */
inline learn_roster(c)
{
    if
    :: claimants[c].version == 1 ->
        claimants[c].old_lease = claimants[c].remaining[0]
    :: claimants[c].version == 2 && HAS_BOTH(c) ->
#ifdef CHANGE_WITHOUT_OLD_MAJORITY
        claimants[c].old_lease = claimants[c].remaining[1]
#else
        claimants[c].old_lease =
            MINIMUM(claimants[c].remaining[0], claimants[c].remaining[1])
#endif
    :: else
    fi;
    claimants[c].version = table_version
}

/* Claimant c sends a renewal to member m, which promises or refuses. */
inline renew(c, m)
{
    if
#ifndef STALE_ROSTER_SERVED
    :: claimants[c].version < members[m].version -> skip
#endif
    :: members[m].remaining > 0 && members[m].owner != c + 1 -> skip
    :: members[m].remaining == 0 &&
       (members[m].wait_ticks > 0 || !members[m].has_read_table) -> skip
    :: else ->
        members[m].owner = c + 1;
        members[m].remaining = LEASE;
        if
        :: claimants[c].remaining[m] = LEASE
        :: skip /* The answer is lost. */
        fi
    fi
}

/* Member m loses its state. It gives no promise until those from before have
 * expired and it has read the table. */
inline restart_member(m)
{
    members[m].remaining = 0;
    members[m].owner = 0;
    members[m].version = 0;
    members[m].wait_ticks = LEASE;
    members[m].has_read_table = false;
    restarted = true
}

inline choose_index(v)
{
    if
    :: v = 0
    :: v = 1
    fi
}

init {
    claimants[0].version = 1;
    claimants[1].version = 1;
    members[0].version = 1;
    members[1].version = 1;
    members[0].has_read_table = true;
    members[1].has_read_table = true;
    do
    :: atomic {
        choose_index(c);
        choose_index(m);
        if
        :: true -> advance_time()
        :: true -> renew(c, m)
        :: true -> learn_roster(c)
        :: members[m].version = table_version;
            members[m].has_read_table = true
        :: !restarted -> restart_member(m)
        /* The change begins: version 2 is written to the table. */
        :: table_version == 1 -> table_version = 2
        /* A process learns that the former majority has version 2, and the
         * wait for version 3 begins. */
#ifdef CHANGE_WITHOUT_ACK
        :: table_version == 2 && ticks_until_version_3 == NOT_ACKED ->
            ticks_until_version_3 = LEASE
#else
        :: table_version == 2 && ticks_until_version_3 == NOT_ACKED &&
           members[0].version >= 2 ->
            ticks_until_version_3 = LEASE
#endif
        /* Version 3, without the former members, is written once their
         * promises under version 1 have expired. */
#ifdef CHANGE_WITHOUT_LEASE
        :: table_version == 2 && ticks_until_version_3 != NOT_ACKED ->
            table_version = 3
#else
        :: table_version == 2 && ticks_until_version_3 == 0 ->
            table_version = 3
#endif
        fi;
        c = 0;
        m = 0;
        assert(!(HOLDS(0) && HOLDS(1)))
    }
    od
}
