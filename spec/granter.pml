/* Ownership of one range of keys: two nodes that may be the granter, two
 * targets, and the rows of the lease and the map. Grants may be applied any
 * time after they were sent, but hold from when they were sent; releases may
 * be lost, or their answers. Commits are conditional on the lease row, and may
 * land after the authority of their sender has ended. Time passes in ticks.
 *
 * Property: the two targets never hold the range at the same time.
 * Broken variants (-D): RELEASE_UNDER_OLD_FENCE, SETTLE_AT_ONCE,
 * NO_ASSUMED_HOLDS, NO_CONDITION, GRANT_WITHOUT_AUTHORITY.
 */

#define HOLD 2      /* ticks of a grant */
#define AUTHORITY 1 /* ticks after a claim or a renewal */
#define MOST_FENCE 4
#define MOST_LEASE 4
#define NOBODY 2

/* The rows of the store. */
byte lease_version = 1;
byte lease_node = 0;
byte row_owner = 0;
byte row_former = NOBODY;
byte row_fence = 1;

/* The granters: what each took over from the rows, and what it believes. */
byte known_version[2];
byte authority[2];
byte owner[2];
byte former[2];
byte fence[2];
byte owner_left[2];  /* ticks for which the owner may still hold the range */
byte former_left[2]; /* the same of the former owner */
bool released[2];
bool loaded[2];

/* The targets. */
byte holds[2];
byte seen_fence[2];

/* One grant on its way to each target: as many as matter for one range. */
byte late_left[2];
byte late_fence[2];

#define LESS(x) if :: x > 0 -> x-- :: else fi

active proctype clock()
{
    do
    :: atomic {
        LESS(holds[0]); LESS(holds[1]);
        LESS(late_left[0]); LESS(late_left[1]);
        LESS(authority[0]); LESS(authority[1]);
        LESS(owner_left[0]); LESS(owner_left[1]);
        LESS(former_left[0]); LESS(former_left[1])
    }
    od
}

#define TAKES(t, f) (f >= seen_fence[t])

/* A grant reaches its target when it likes. */
active [2] proctype target()
{
    do
    :: atomic { late_left[_pid - 1] > 0 ->
        if
        :: TAKES(_pid - 1, late_fence[_pid - 1]) ->
            if
            :: late_left[_pid - 1] > holds[_pid - 1] ->
                holds[_pid - 1] = late_left[_pid - 1]
            :: else
            fi;
            seen_fence[_pid - 1] = late_fence[_pid - 1]
        :: else
        fi;
        assert(holds[0] == 0 || holds[1] == 0)
    }
    od
}

#define MINE(g) (known_version[g] == lease_version && lease_node == g)
#ifdef NO_CONDITION
#define MAY_COMMIT(g) loaded[g]
#else
#define MAY_COMMIT(g) (loaded[g] && MINE(g))
#endif
#ifdef GRANT_WITHOUT_AUTHORITY
#define MAY_ORDER(g) loaded[g]
#else
#define MAY_ORDER(g) (loaded[g] && authority[g] > 0)
#endif

proctype granter(byte g)
{
    do
    /* The holder's lease has lapsed when its authority has. */
    :: atomic { lease_version < MOST_LEASE && authority[1 - g] == 0 &&
                !MINE(g) ->
        lease_version++;
        lease_node = g;
        known_version[g] = lease_version;
        authority[g] = AUTHORITY;
        owner[g] = row_owner;
        former[g] = row_former;
        fence[g] = row_fence;
        released[g] = false;
        loaded[g] = true;
#ifdef NO_ASSUMED_HOLDS
        owner_left[g] = 0;
        former_left[g] = 0
#else
        owner_left[g] = HOLD;
        former_left[g] = HOLD
#endif
    }
    /* A renewal of the lease. */
    :: atomic { loaded[g] && MINE(g) && authority[g] < AUTHORITY ->
        authority[g] = AUTHORITY
    }
    /* The range moves to the other target. */
    :: atomic { MAY_COMMIT(g) && former[g] == NOBODY &&
                fence[g] < MOST_FENCE ->
        former[g] = owner[g];
        former_left[g] = owner_left[g];
        owner[g] = 1 - owner[g];
        owner_left[g] = 0;
        fence[g]++;
        released[g] = false;
        row_owner = owner[g];
        row_former = former[g];
        row_fence = fence[g]
    }
    /* The former owner gives up; the answer may be lost. */
    :: atomic { MAY_ORDER(g) && former[g] != NOBODY ->
        if
        :: fence[g] >= seen_fence[former[g]] ->
            holds[former[g]] = 0;
#ifdef RELEASE_UNDER_OLD_FENCE
            skip;
#else
            seen_fence[former[g]] = fence[g];
#endif
            if
            :: released[g] = true
            :: skip
            fi
        :: else
        fi
    }
    /* The former owner has stopped, or its grants have lapsed. */
    :: atomic { MAY_COMMIT(g) && former[g] != NOBODY &&
#ifdef SETTLE_AT_ONCE
                true ->
#else
                (released[g] || former_left[g] == 0) ->
#endif
        former[g] = NOBODY;
        released[g] = false;
        row_former = NOBODY
    }
    /* A grant, or a renewal of one. */
    :: atomic { MAY_ORDER(g) && former[g] == NOBODY ->
        late_left[owner[g]] = HOLD;
        late_fence[owner[g]] = fence[g];
        owner_left[g] = HOLD
    }
    od
}

init
{
    atomic {
        run granter(0);
        run granter(1)
    }
}
