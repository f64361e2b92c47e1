/* Ownership of one range of keys: two nodes, each of which can become the
 * granter, two targets, and the rows of the granter's lease and of the key map
 * in the platform's table.
 * A grant's duration counts from its arrival. The granter either has the answer
 * at once, or gives the grant up; then it may arrive up to DELAY_TICKS later,
 * once, repeatedly or never, also after the next grant. There is no state for
 * a grant whose answer is awaited: meanwhile the granter neither moves nor
 * settles the range, so it does less than after giving the grant up. Releases
 * and their answers may be lost. A commit requires that the node still has the
 * lease row, but may take effect after the node's authority has ended. Time
 * passes in ticks.
 *
 * With -DRESTORE the store once goes back to an earlier copy of its rows and
 * begins a new era. A node learns the era with its next call. Rows of an era
 * are not touched by commits that were made for an earlier one. A node that has
 * authority when it learns the era goes on with what it knows; one whose
 * authority has lapsed, but not long ago, only renews the owner's grant until
 * the owner has accepted it after the end of all authority of the former era,
 * and takes it to hold the range as long as a grant of that era can last;
 * any other waits until nobody can hold the range by a grant of that era.
 * Fences of the new era are higher than all before.
 *
 * Properties: the two targets never hold the range at the same time; a target
 * gets the range only under a fence above all under which the other had it.
 * Broken variants (-D), the last six with RESTORE:
 * RELEASE_UNDER_OLD_FENCE: a release doesn't raise the fence that the target
 *     has seen, so that the target still applies earlier grants.
 * SETTLE_AT_ONCE: the former owner is removed from the row without waiting for
 *     its release or for its grants to expire.
 * NO_ASSUMED_HOLDS: a new granter doesn't assume that the owners in the row
 *     still hold the range by earlier grants.
 * GIVEN_UP_IS_ARRIVED: a grant without an answer is taken to have arrived
 *     before it was given up.
 * NO_DELAY_ASSUMED: a new granter assumes that the grants of the former one
 *     have arrived.
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
 * NO_DELAY_IN_ERA: when a node learns of the new era, it takes the grants of
 *     the former one to arrive while there is authority from it.
 * PROOF_IS_LAST_HOLD: once the owner has accepted a grant, a granter whose
 *     authority has lapsed disregards grants of the former era that may still
 *     arrive.
 */

#define GRANT_TICKS 2 /* duration of a grant */
#define DELAY_TICKS 1 /* for so long a grant may be on its way */
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
/* For so long a target may hold the range by a grant that was sent by now. */
#define UNKNOWN_HOLD_TICKS (DELAY_TICKS + GRANT_TICKS)
#ifdef NO_DELAY_IN_ERA
#define ASSUMED_TICKS (AUTHORITY_TICKS + GRANT_TICKS)
#else
#define ASSUMED_TICKS (AUTHORITY_TICKS + UNKNOWN_HOLD_TICKS)
#endif
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

/* The last grant to each target that was given up and may still arrive: the
 * ticks left, plus 1, 0 for none, and its fence. It stands also for earlier
 * ones under the same fence. */
byte late_ticks[2];
byte late_fence[2];
/* The same for the last one under another fence; no search found a third. */
byte older_ticks[2];
byte older_fence[2];

#define DECREMENT(x) if :: x > 0 -> x-- :: else fi
/* What is of no more use is set to 0, so that there are fewer states. */
#define CLEAR(x, condition) if :: condition -> x = 0 :: else fi
#define COUNT_COMMIT_AGE(g) \
    if \
    :: !in_new_era[g] && since_commit[g] <= RESUME_TICKS -> since_commit[g]++ \
    :: else \
    fi

/* Authority ends last in a tick: orders are sent until its very end. */
active proctype clock()
{
    do
    :: atomic {
        DECREMENT(held_ticks[0]); DECREMENT(held_ticks[1]);
        DECREMENT(late_ticks[0]); DECREMENT(late_ticks[1]);
        DECREMENT(owner_ticks[0]); DECREMENT(owner_ticks[1]);
        DECREMENT(former_ticks[0]); DECREMENT(former_ticks[1]);
        CLEAR(late_fence[0], late_ticks[0] == 0);
        CLEAR(late_fence[1], late_ticks[1] == 0);
        DECREMENT(older_ticks[0]); DECREMENT(older_ticks[1]);
        CLEAR(older_fence[0], older_ticks[0] == 0);
        CLEAR(older_fence[1], older_ticks[1] == 0)
#ifdef RESTORE
        ;
        DECREMENT(assumed_ticks[0]); DECREMENT(assumed_ticks[1]);
        DECREMENT(proof_ticks[0]); DECREMENT(proof_ticks[1]);
        COUNT_COMMIT_AGE(0); COUNT_COMMIT_AGE(1)
#endif
    }
    atomic { DECREMENT(authority[0]); DECREMENT(authority[1]) }
    od
}

#define ACCEPTS(t, f) (f >= seen_fence[t])

/* Checks the properties when target t has accepted a grant under fence f. */
#define CHECK(t, f) \
    assert(held_ticks[0] == 0 || held_ticks[1] == 0); \
    assert(f > granted_fence[1 - (t)]); \
    granted_fence[t] = f

/* Target t receives a grant under fence f. */
#define RECEIVE(t, f) \
    held_ticks[t] = GRANT_TICKS; \
    seen_fence[t] = f; \
    CHECK(t, f)

/* A grant that was given up arrives, also repeatedly. */
active [2] proctype target()
{
    do
    :: atomic { late_ticks[_pid - 1] > 0 &&
                ACCEPTS(_pid - 1, late_fence[_pid - 1]) ->
        RECEIVE(_pid - 1, late_fence[_pid - 1])
    }
    :: atomic { older_ticks[_pid - 1] > 0 &&
                ACCEPTS(_pid - 1, older_fence[_pid - 1]) ->
        RECEIVE(_pid - 1, older_fence[_pid - 1])
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
        row_fence = copy_fence;
        copy_version = 0; copy_node = 0;
        copy_owner = 0; copy_former = 0;
        copy_fence = 0
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

#define EXTEND(x, ticks) if :: x < ticks -> x = ticks :: else fi

/* A grant of node g to the owner is given up. */
inline give_up(g)
{
    if
    :: late_fence[owner[g]] != fence[g] &&
       late_fence[owner[g]] >= seen_fence[owner[g]] ->
        older_ticks[owner[g]] = late_ticks[owner[g]];
        older_fence[owner[g]] = late_fence[owner[g]]
    :: else
    fi;
    late_ticks[owner[g]] = DELAY_TICKS + 1;
    late_fence[owner[g]] = fence[g]
}

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
#elif defined(NO_DELAY_ASSUMED)
    owner_ticks[g] = GRANT_TICKS;
    former_ticks[g] = GRANT_TICKS
#else
    owner_ticks[g] = UNKNOWN_HOLD_TICKS;
    former_ticks[g] = UNKNOWN_HOLD_TICKS
#endif
    ;
    CLEAR(former_ticks[g], former[g] == NONE)
}

#ifdef RESTORE
inline forget_rows(g)
{
    loaded[g] = false;
    owner[g] = 0; former[g] = 0; fence[g] = 0;
    owner_ticks[g] = 0; former_ticks[g] = 0;
    released[g] = false; unproven[g] = false; blocked[g] = false
}
#endif

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
        :: else -> forget_rows(g)
        fi;
        since_commit[g] = 0
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
        forget_rows(g)
    }
    /* A node that was not the granter claims the lease of the new era. */
    :: atomic { in_new_era[g] && !continues[g] && !claimed ->
        take_lease(g);
        load_rows(g);
        unproven[g] = false;
        blocked[g] = !ROWS_ARE_TRUTH
    }
    /* The owner accepts a grant that was sent when no other node could have
     * authority from the former era. Grants of that era may still arrive. */
    :: atomic { MAY_ORDER(g) && unproven[g] && former[g] == NONE &&
                proof_ticks[g] == 0 && MAY_COMMIT(g) ->
        if
        :: ACCEPTS(owner[g], fence[g]) ->
            RECEIVE(owner[g], fence[g]);
            EXTEND(owner_ticks[g], GRANT_TICKS);
#ifndef PROOF_IS_LAST_HOLD
            EXTEND(owner_ticks[g], assumed_ticks[g]);
#endif
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
        former_ticks[g] = 0;
        released[g] = false;
        write_rows(g)
    }
    /* The granter sends the owner a grant, also to renew the one before, and
     * has the answer or gives the grant up. */
    :: atomic { MAY_ORDER(g) && former[g] == NONE ->
        if
        :: ACCEPTS(owner[g], fence[g]) ->
            RECEIVE(owner[g], fence[g]);
            EXTEND(owner_ticks[g], GRANT_TICKS)
        :: skip ->
            give_up(g);
#ifdef GIVEN_UP_IS_ARRIVED
            EXTEND(owner_ticks[g], GRANT_TICKS)
#else
            EXTEND(owner_ticks[g], UNKNOWN_HOLD_TICKS)
#endif
        fi
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
