/* Ownership of one range of keys: two nodes, each of which can become the
 * granter, two targets, and the rows of the granter's lease and of the key map
 * in the platform's table.
 * A grant's duration counts from when it was sent; until the grant expires,
 * the target may apply it at any time. Releases and their answers may be lost.
 * A commit requires that the node still has the lease row, but may take effect
 * after the node's authority has ended. Time passes in ticks.
 *
 * With -DRESTORE the store once goes back to an earlier copy of its rows and
 * begins a new era. A node learns the era with its next call. Rows of an era
 * are not touched by commits that were made for an earlier one. A node that has
 * authority when it learns the era goes on with what it knows; one whose
 * authority has lapsed, but not long ago, only renews the owner's grant until
 * the owner has accepted it after the end of all authority of the former era;
 * any other waits until nobody can hold the range by a grant of that era.
 * Fences of the new era are higher than all before.
 *
 * Properties: the two targets never hold the range at the same time; a target
 * gets the range only under a fence above all under which the other had it.
 * Broken variants (-D), the last four with RESTORE:
 * RELEASE_UNDER_OLD_FENCE: a release doesn't raise the fence that the target
 *     has seen, so that the target still applies earlier grants.
 * SETTLE_AT_ONCE: the former owner is removed from the row without waiting for
 *     its release or for its grants to expire.
 * NO_ASSUMED_HOLDS: a new granter doesn't assume that the owners in the row
 *     still hold the range by earlier grants.
 * NO_CONDITION: a node commits also after it has lost the lease row.
 * GRANT_WITHOUT_AUTHORITY: a node sends grants and releases also after its
 *     authority has ended.
 * VERSION_WITHOUT_ERA: a commit made for the former era is applied if the
 *     version of the lease row is the same.
 * LEASE_ROW_TRUSTED: a node that claims the lease in the new era takes the
 *     restored rows for current.
 * FENCE_REUSED: fences go on from the restored row.
 * UNPROVEN_MOVED: a granter whose authority has lapsed moves the range before
 *     its owner has accepted a grant.
 */

#define GRANT_TICKS 2 /* duration of a grant */
#define AUTHORITY_TICKS 1 /* authority from a claim or renewal of the lease */
#ifdef RESTORE
#define MAX_FENCE 2
#define MAX_LEASE_VERSION 3
#else
#define MAX_FENCE 4
#define MAX_LEASE_VERSION 4
#endif
#define NONE 2 /* no former owner */
#define ERA_FENCE 8 /* fences of the new era are higher than this */
#define ASSUMED_TICKS (AUTHORITY_TICKS + GRANT_TICKS)
/* A granter without authority goes on if its last commit is not older. */
#define RESUME_TICKS GRANT_TICKS

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

#ifdef RESTORE
bool copied = false; /* the copy was taken */
bool restored = false; /* the store has gone back; its era is the new one */
byte copy_version;
byte copy_node;
byte copy_owner;
byte copy_former;
byte copy_fence;
bool claimed = false; /* the lease of the new era was claimed */
bool in_new_era[2]; /* the node has learned of the new era */
bool continues[2]; /* the node goes on as granter, but has no lease yet */
bool unproven[2]; /* the range may have another owner than the node knows */
byte assumed_ticks[2]; /* until an unproven range can be held by nobody */
byte proof_ticks[2]; /* until an accepted grant proves the owner */
byte since_commit[2]; /* ticks since the last commit, at most RESUME_TICKS + 1 */
bool blocked[2]; /* no orders are sent until assumed_ticks is 0 */
bool rows_written = false; /* the rows of the new era were written */
bool row_unproven = false; /* as `unproven`, in the rows of the new era */
#endif

/* The targets. */
byte held_ticks[2]; /* ticks for which the target holds the range */
byte seen_fence[2]; /* highest fence of the grants and releases accepted */
byte granted_fence[2]; /* highest fence of the grants accepted */

/* The grant in flight to each target: its remaining ticks, 0 for none, and its
 * fence. A new grant replaces it: except in broken variants, its fence and its
 * remaining ticks are never lower. */
byte in_flight_ticks[2];
byte in_flight_fence[2];

#define DECREMENT(x) if :: x > 0 -> x-- :: else fi
#define INCREMENT(x) if :: x <= RESUME_TICKS -> x++ :: else fi

active proctype clock()
{
    do
    :: atomic {
        DECREMENT(held_ticks[0]); DECREMENT(held_ticks[1]);
        DECREMENT(in_flight_ticks[0]); DECREMENT(in_flight_ticks[1]);
        DECREMENT(authority[0]); DECREMENT(authority[1]);
        DECREMENT(owner_ticks[0]); DECREMENT(owner_ticks[1]);
        DECREMENT(former_ticks[0]); DECREMENT(former_ticks[1])
#ifdef RESTORE
        ;
        DECREMENT(assumed_ticks[0]); DECREMENT(assumed_ticks[1]);
        DECREMENT(proof_ticks[0]); DECREMENT(proof_ticks[1]);
        INCREMENT(since_commit[0]); INCREMENT(since_commit[1])
#endif
    }
    od
}

#define ACCEPTS(t, f) (f >= seen_fence[t])

/* Checks the properties when target t has accepted a grant under fence f. */
#define CHECK(t, f) \
    assert(held_ticks[0] == 0 || held_ticks[1] == 0); \
    assert(f > granted_fence[1 - (t)]); \
    granted_fence[t] = f

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
            seen_fence[_pid - 1] = in_flight_fence[_pid - 1];
            CHECK(_pid - 1, in_flight_fence[_pid - 1])
        :: else
        fi
    }
    od
}

#ifdef RESTORE
active proctype store()
{
    atomic {
        copied = true;
        copy_version = lease_version; copy_node = lease_node;
        copy_owner = row_owner; copy_former = row_former;
        copy_fence = row_fence
    }
    atomic {
        restored = true;
        lease_version = copy_version; lease_node = copy_node;
        row_owner = copy_owner; row_former = copy_former;
        row_fence = copy_fence
    }
}
#endif

#ifndef RESTORE
#define HAS_LEASE(g) (known_version[g] == lease_version && lease_node == g)
#define ROWS_ARE_TRUTH true
#define IN_ERA(g) true
#define ERA_IS_CLAIMED true
#define SETTLED(g) true
#define NEXT_FENCE(g) (fence[g] + 1)
#define FENCES_LEFT(g) (fence[g] < MAX_FENCE)
#else
#ifdef VERSION_WITHOUT_ERA
#define IN_ERA(g) true
#define HAS_CLAIMED(g) true
#else
#define IN_ERA(g) (in_new_era[g] == restored)
#define HAS_CLAIMED(g) (!restored || (claimed && !continues[g]))
#endif
#define ERA_IS_CLAIMED (!restored || claimed)
#define HAS_LEASE(g) (IN_ERA(g) && HAS_CLAIMED(g) && \
                      known_version[g] == lease_version && lease_node == g)
#define SETTLED(g) (!unproven[g] && !blocked[g])
#ifdef FENCE_REUSED
#define NEXT_FENCE(g) (fence[g] + 1)
#define FENCES_LEFT(g) (fence[g] < MAX_FENCE + 2)
#else
#define NEXT_FENCE(g) (in_new_era[g] && fence[g] <= ERA_FENCE -> \
                       ERA_FENCE + 1 : fence[g] + 1)
#define FENCES_LEFT(g) (fence[g] < MAX_FENCE || \
                        (in_new_era[g] && fence[g] < ERA_FENCE + 2))
#endif
#ifdef LEASE_ROW_TRUSTED
#define ROWS_ARE_TRUTH true
#else
#define ROWS_ARE_TRUTH (!restored || rows_written)
#endif
#endif

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
#ifdef RESTORE
#define MAY_ORDER(g) (HAS_AUTHORITY(g) && !blocked[g])
#else
#define MAY_ORDER(g) HAS_AUTHORITY(g)
#endif
#ifdef UNPROVEN_MOVED
#define MAY_MOVE(g) MAY_COMMIT(g)
#else
#define MAY_MOVE(g) (MAY_COMMIT(g) && SETTLED(g))
#endif

inline take_lease(g)
{
    lease_version++;
    lease_node = g;
    known_version[g] = lease_version;
    authority[g] = AUTHORITY_TICKS;
#ifdef RESTORE
    claimed = restored;
    since_commit[g] = 0
#endif
}

inline load_rows(g)
{
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

inline write_rows(g)
{
    row_owner = owner[g];
    row_former = former[g];
    row_fence = fence[g];
#ifdef RESTORE
    row_unproven = unproven[g];
    rows_written = restored
#endif
}

proctype granter(byte g)
{
    do
    /* A node claims the lease and loads the rows. In the model, the lease of
     * the other node expires together with its authority. */
    :: atomic { lease_version < MAX_LEASE_VERSION && authority[1 - g] == 0 &&
                IN_ERA(g) && ERA_IS_CLAIMED && !HAS_LEASE(g) ->
        take_lease(g);
        load_rows(g);
#ifdef RESTORE
        unproven[g] = restored && row_unproven;
        blocked[g] = !ROWS_ARE_TRUTH
#endif
    }
    /* The granter renews its lease. */
    :: atomic { loaded[g] && HAS_LEASE(g) && authority[g] < AUTHORITY_TICKS ->
        authority[g] = AUTHORITY_TICKS;
#ifdef RESTORE
        since_commit[g] = 0
#endif
    }
#ifdef RESTORE
    /* A node learns that the store has gone back. */
    :: atomic { restored && !in_new_era[g] ->
        in_new_era[g] = true;
        proof_ticks[g] = AUTHORITY_TICKS;
        assumed_ticks[g] = ASSUMED_TICKS;
        if
        :: loaded[g] && authority[g] > 0 -> continues[g] = true
        :: loaded[g] && authority[g] == 0 && since_commit[g] <= RESUME_TICKS ->
            continues[g] = true;
            unproven[g] = true
        :: else -> loaded[g] = false
        fi
    }
    /* It goes on as granter, with what it knows. */
    :: atomic { in_new_era[g] && continues[g] && !claimed ->
        continues[g] = false;
        take_lease(g);
        write_rows(g)
    }
    /* Another node has the lease of the new era. */
    :: atomic { in_new_era[g] && continues[g] && claimed ->
        continues[g] = false;
        loaded[g] = false
    }
    /* A node that was not the granter claims the lease of the new era. */
    :: atomic { in_new_era[g] && !continues[g] && !claimed ->
        take_lease(g);
        load_rows(g);
        unproven[g] = false;
        blocked[g] = !ROWS_ARE_TRUTH
    }
    /* The owner accepts a grant that was sent when no other node could have
     * authority from the former era. */
    :: atomic { MAY_ORDER(g) && unproven[g] && former[g] == NONE &&
                proof_ticks[g] == 0 && MAY_COMMIT(g) ->
        if
        :: ACCEPTS(owner[g], fence[g]) ->
            held_ticks[owner[g]] = GRANT_TICKS;
            owner_ticks[g] = GRANT_TICKS;
            seen_fence[owner[g]] = fence[g];
            CHECK(owner[g], fence[g]);
            unproven[g] = false;
            write_rows(g)
        :: else -> blocked[g] = true
        fi
    }
    /* Nobody can hold the range by a grant of the former era any more. */
    :: atomic { MAY_COMMIT(g) && !SETTLED(g) && assumed_ticks[g] == 0 &&
                in_new_era[g] ->
        unproven[g] = false;
        blocked[g] = false;
        fence[g] = NEXT_FENCE(g);
        write_rows(g)
    }
#endif
    /* The granter moves the range to the other target. */
    :: atomic { MAY_MOVE(g) && former[g] == NONE && FENCES_LEFT(g) ->
        former[g] = owner[g];
        former_ticks[g] = owner_ticks[g];
        owner[g] = 1 - owner[g];
        owner_ticks[g] = 0;
        fence[g] = NEXT_FENCE(g);
        released[g] = false;
        write_rows(g)
    }
    /* The former owner receives a release, and accepts it unless it has seen a
     * higher fence. The answer may be lost. */
    :: atomic { MAY_ORDER(g) && former[g] != NONE ->
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
#ifdef RESTORE
                !blocked[g] &&
#endif
#ifdef SETTLE_AT_ONCE
                true ->
#else
                (released[g] || former_ticks[g] == 0) ->
#endif
        former[g] = NONE;
        released[g] = false;
        write_rows(g)
    }
    /* The granter sends the owner a grant, also to renew the one before. */
    :: atomic { MAY_ORDER(g) && former[g] == NONE ->
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
