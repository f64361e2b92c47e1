/* A roster change by the rule of docs/LEASES.md. The former roster is member
 * 0 alone, the new one member 1 alone, so that their majorities share nobody.
 * Version 1: {0}. Version 2: {1}, former {0}. Version 3: {1}.
 * Each claimant and member knows some version and learns later ones in its
 * own time; a renewal carries its sender's version and is answered at once or
 * lost. What is late is covered by cell.pml.
 *
 * Property: one owner at a time.
 * Broken variants (-D): CHANGE_WITHOUT_OLD_MAJORITY, CHANGE_WITHOUT_LEASE,
 * CHANGE_WITHOUT_ACK, STALE_ROSTER_SERVED.
 */

#define LEASE 2
#define UNKNOWN 9

typedef member_state {
    byte version;
    byte left;
    byte owner; /* number + 1 */
    byte wait;
    bool read; /* the table, since its start */
};

typedef claimant_state {
    byte version;
    byte left[2];
    byte kept; /* promised in full under the version before */
};

member_state members[2];
claimant_state claimants[2];
byte table = 1;
byte acked = UNKNOWN; /* ticks until version 3 may be written */
bool restarted;
byte c, m, i, j;

#ifdef CHANGE_WITHOUT_OLD_MAJORITY
#define BOTH(c) (claimants[c].left[1] > 0)
#else
#define BOTH(c) (claimants[c].left[0] > 0 && claimants[c].left[1] > 0)
#endif

#define HOLDS(c) (claimants[c].kept > 0 || \
    (claimants[c].version == 1 && claimants[c].left[0] > 0) || \
    (claimants[c].version == 2 && BOTH(c)) || \
    (claimants[c].version == 3 && claimants[c].left[1] > 0))

#define LOWER(a, b) ((a) < (b) -> (a) : (b))

#define DOWN(v) if :: v > 0 -> v-- :: else fi

inline tick()
{
    i = 0;
    do
    :: i < 2 ->
        DOWN(members[i].left);
        DOWN(members[i].wait);
        DOWN(claimants[i].kept);
        DOWN(claimants[i].left[0]);
        DOWN(claimants[i].left[1]);
        i++
    :: else -> break
    od;
    i = 0;
    if
    :: acked != UNKNOWN && acked > 0 -> acked--
    :: else
    fi
}

/* Claimant c takes over the table's version; it keeps what it has been
 * promised in full. */
inline learn(c)
{
    if
    :: claimants[c].version == 1 ->
        claimants[c].kept = claimants[c].left[0]
    :: claimants[c].version == 2 && BOTH(c) ->
#ifdef CHANGE_WITHOUT_OLD_MAJORITY
        claimants[c].kept = claimants[c].left[1]
#else
        claimants[c].kept =
            LOWER(claimants[c].left[0], claimants[c].left[1])
#endif
    :: else
    fi;
    claimants[c].version = table
}

inline renew(c, m)
{
    if
#ifndef STALE_ROSTER_SERVED
    :: claimants[c].version < members[m].version -> skip
#endif
    :: members[m].left > 0 && members[m].owner != c + 1 -> skip
    :: members[m].left == 0 &&
       (members[m].wait > 0 || !members[m].read) -> skip
    :: else ->
        members[m].owner = c + 1;
        members[m].left = LEASE;
        if
        :: claimants[c].left[m] = LEASE
        :: skip /* the answer is lost */
        fi
    fi
}

inline restart(m)
{
    members[m].left = 0;
    members[m].owner = 0;
    members[m].version = 0;
    members[m].wait = LEASE;
    members[m].read = false;
    restarted = true
}

inline pick(v)
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
    members[0].read = true;
    members[1].read = true;
    do
    :: atomic {
        pick(c);
        pick(m);
        if
        :: true -> tick()
        :: true -> renew(c, m)
        :: true -> learn(c)
        :: members[m].version = table;
            members[m].read = true
        :: !restarted -> restart(m)
        /* the table: the change begins */
        :: table == 1 -> table = 2
        /* a process learns that the former majority has version 2 */
#ifdef CHANGE_WITHOUT_ACK
        :: table == 2 && acked == UNKNOWN -> acked = LEASE
#else
        :: table == 2 && acked == UNKNOWN && members[0].version >= 2 ->
            acked = LEASE
#endif
        /* and drops the former members when their promises have lapsed */
#ifdef CHANGE_WITHOUT_LEASE
        :: table == 2 && acked != UNKNOWN -> table = 3
#else
        :: table == 2 && acked == 0 -> table = 3
#endif
        fi;
        c = 0;
        m = 0;
        assert(!(HOLDS(0) && HOLDS(1)))
    }
    od
}
