/* Ownership of one range of keys: two nodes, each of which can become the
 * granter, two targets, and the rows of the granter's lease and of the key map
 * in the platform's table.
 * A grant's duration counts from when it was sent; until the grant expires,
 * the target may apply it at any time. Releases and their answers may be lost.
 * A commit requires that the node still has the lease row, but may take effect
 * after the node's authority has ended. Time passes in ticks.
 *
 * Property: the two targets never hold the range at the same time.
 * Broken variants (-D):
 * RELEASE_UNDER_OLD_FENCE: a release doesn't raise the fence that the target
 *     has seen, so that the target still applies earlier grants.
 * SETTLE_AT_ONCE: the former owner is removed from the row without waiting for
 *     its release or for its grants to expire.
 * NO_ASSUMED_HOLDS: a new granter doesn't assume that the owners in the row
 *     still hold the range by earlier grants.
 * NO_CONDITION: a node commits also after it has lost the lease row.
 * GRANT_WITHOUT_AUTHORITY: a node sends grants and releases also after its
 *     authority has ended.
 */

#define GRANT_TICKS 2 /* duration of a grant */
#define AUTHORITY_TICKS 1 /* authority from a claim or renewal of the lease */
#define MAX_FENCE 4
#define MAX_LEASE_VERSION 4
#define NONE 2 /* no former owner */

/* The rows in the platform's table. */
byte lease_version = 1;
byte lease_node = 0;
byte row_owner = 0;
byte row_former = NONE;
byte row_fence = 1;

/* The nodes as granters: the rows as each knows them, and its own state. */
byte known_version[2]; /* lease_version at the node's last claim; 0: none */
byte authority[2]; /* ticks left of the authority to grant */
byte owner[2];
byte former[2];
byte fence[2];
byte owner_ticks[2]; /* ticks for which the owner may still hold the range */
byte former_ticks[2]; /* ticks for which the former owner may hold it */
bool released[2]; /* the former owner has confirmed its release */
bool loaded[2]; /* has claimed the lease and loaded the rows */

/* The targets. */
byte held_ticks[2]; /* ticks for which the target holds the range */
byte seen_fence[2]; /* highest fence of the grants and releases accepted */

/* The grant in flight to each target: its remaining ticks, 0 for none, and its
 * fence. A new grant replaces it: except in broken variants, its fence and its
 * remaining ticks are never lower. */
byte in_flight_ticks[2];
byte in_flight_fence[2];

#define DECREMENT(x) if :: x > 0 -> x-- :: else fi

active proctype clock()
{
    do
    :: atomic {
        DECREMENT(held_ticks[0]); DECREMENT(held_ticks[1]);
        DECREMENT(in_flight_ticks[0]); DECREMENT(in_flight_ticks[1]);
        DECREMENT(authority[0]); DECREMENT(authority[1]);
        DECREMENT(owner_ticks[0]); DECREMENT(owner_ticks[1]);
        DECREMENT(former_ticks[0]); DECREMENT(former_ticks[1])
    }
    od
}

#define ACCEPTS(t, f) (f >= seen_fence[t])

/* A target may receive the grant in flight to it at any time until the grant
 * expires, once, repeatedly or never. */
active [2] proctype target()
{
    do
    :: atomic { in_flight_ticks[_pid - 1] > 0 ->
        if
        :: ACCEPTS(_pid - 1, in_flight_fence[_pid - 1]) ->
            if
            :: in_flight_ticks[_pid - 1] > held_ticks[_pid - 1] ->
                held_ticks[_pid - 1] = in_flight_ticks[_pid - 1]
            :: else
            fi;
            seen_fence[_pid - 1] = in_flight_fence[_pid - 1]
        :: else
        fi;
        assert(held_ticks[0] == 0 || held_ticks[1] == 0)
    }
    od
}

#define HAS_LEASE(g) (known_version[g] == lease_version && lease_node == g)
#ifdef NO_CONDITION
#define MAY_COMMIT(g) loaded[g]
#else
#define MAY_COMMIT(g) (loaded[g] && HAS_LEASE(g))
#endif
#ifdef GRANT_WITHOUT_AUTHORITY
#define HAS_AUTHORITY(g) loaded[g]
#else
#define HAS_AUTHORITY(g) (loaded[g] && authority[g] > 0)
#endif

proctype granter(byte g)
{
    do
    /* A node claims the lease and loads the rows. In the model, the lease of
     * the other node expires together with its authority. */
    :: atomic { lease_version < MAX_LEASE_VERSION && authority[1 - g] == 0 &&
                !HAS_LEASE(g) ->
        lease_version++;
        lease_node = g;
        known_version[g] = lease_version;
        authority[g] = AUTHORITY_TICKS;
        owner[g] = row_owner;
        former[g] = row_former;
        fence[g] = row_fence;
        released[g] = false;
        loaded[g] = true;
#ifdef NO_ASSUMED_HOLDS
        owner_ticks[g] = 0;
        former_ticks[g] = 0
#else
        owner_ticks[g] = GRANT_TICKS;
        former_ticks[g] = GRANT_TICKS
#endif
    }
    /* The granter renews its lease. */
    :: atomic { loaded[g] && HAS_LEASE(g) && authority[g] < AUTHORITY_TICKS ->
        authority[g] = AUTHORITY_TICKS
    }
    /* The granter moves the range to the other target. */
    :: atomic { MAY_COMMIT(g) && former[g] == NONE &&
                fence[g] < MAX_FENCE ->
        former[g] = owner[g];
        former_ticks[g] = owner_ticks[g];
        owner[g] = 1 - owner[g];
        owner_ticks[g] = 0;
        fence[g]++;
        released[g] = false;
        row_owner = owner[g];
        row_former = former[g];
        row_fence = fence[g]
    }
    /* The former owner receives a release, and accepts it unless it has seen a
     * higher fence. The answer may be lost. */
    :: atomic { HAS_AUTHORITY(g) && former[g] != NONE ->
        if
        :: fence[g] >= seen_fence[former[g]] ->
            held_ticks[former[g]] = 0;
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
    /* The granter removes the former owner from the row, once it has confirmed
     * its release or its grants have expired. */
    :: atomic { MAY_COMMIT(g) && former[g] != NONE &&
#ifdef SETTLE_AT_ONCE
                true ->
#else
                (released[g] || former_ticks[g] == 0) ->
#endif
        former[g] = NONE;
        released[g] = false;
        row_former = NONE
    }
    /* The granter sends the owner a grant, also to renew the one before. */
    :: atomic { HAS_AUTHORITY(g) && former[g] == NONE ->
        in_flight_ticks[owner[g]] = GRANT_TICKS;
        in_flight_fence[owner[g]] = fence[g];
        owner_ticks[g] = GRANT_TICKS
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
