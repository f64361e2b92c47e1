/* Leases on one slice within one cell: three members promise, two processes
 * claim. Time is relative: every timer counts ticks that are left, on
 * clocks that agree (their drift is the fuzzer's matter). A message
 * has the age since the renewal was sent; it can be lost, doubled, late and
 * out of order. A pause is a process that does not act while time passes:
 * nothing here has to act by any time.
 *
 * Properties: one owner at a time, and fences only rise.
 * Broken variants (-D): NO_WAIT_FOR_LAPSE, COUNT_FROM_RECEIPT,
 * VOTE_AFTER_RESTART, NO_FIRST_STEP, MINORITY.
 */

#define MEMBERS 3
#define CLAIMANTS 2
#ifndef SLOTS
#define SLOTS 2
#endif
#define LEASE 2
#ifndef TOP_STEP
#define TOP_STEP 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#ifdef MINORITY
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

#define NOTHING 0
#define RENEW 1
#define ANSWER 2
#define RELEASE 3

typedef message {
    byte kind;
    byte claimant;
    byte member;
    byte step;
    bool held;
    byte age
};

typedef member_state {
    byte left; /* of the promise to the owner; 0: none */
    byte step; /* highest known */
    byte owner; /* who asked for it; number + 1 */
    byte first_step;
    byte wait
};

typedef claimant_state {
    byte step; /* 0: no claim */
    byte used;
    byte left[MEMBERS];
    bool held
};

message net[SLOTS];
member_state members[MEMBERS];
claimant_state claimants[CLAIMANTS];
byte restarts;
byte last_step;
byte last_claimant;
byte i, j, n, slot;

#define HOLDS(c) (claimants[c].step > 0 && \
    (claimants[c].left[0] > 0) + (claimants[c].left[1] > 0) + \
    (claimants[c].left[2] > 0) >= MAJORITY)

/* A claimant that finds its lease lapsed ends the claim before all else. */
#define LAPSED(c) (claimants[c].held && !HOLDS(c))

inline check()
{
    assert(!(HOLDS(0) && HOLDS(1)));
    i = 0;
    do
    :: i < CLAIMANTS ->
        if
        :: HOLDS(i) ->
            assert(claimants[i].step > last_step ||
                (claimants[i].step == last_step && last_claimant == i));
            claimants[i].held = true;
            last_step = claimants[i].step;
            last_claimant = i
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0
}

inline clear_slot(s)
{
    net[s].kind = NOTHING;
    net[s].claimant = 0;
    net[s].member = 0;
    net[s].step = 0;
    net[s].held = false;
    net[s].age = 0
}

inline tick()
{
    i = 0;
    do
    :: i < MEMBERS ->
        if
        :: members[i].left > 0 -> members[i].left--
        :: else
        fi;
        if
        :: members[i].wait > 0 -> members[i].wait--
        :: else
        fi;
        j = 0;
        do
        :: j < CLAIMANTS ->
            if
            :: claimants[j].left[i] > 0 -> claimants[j].left[i]--
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
        :: net[i].kind != NOTHING && net[i].age < LEASE -> net[i].age++
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0;
    j = 0
}

/* Claimant c asks for a step that it has not asked for before. Which one it
 * learns of from the members is left open. */
inline make_claim(c)
{
    claimants[c].step = claimants[c].used + 1;
    do
    :: claimants[c].step < TOP_STEP -> claimants[c].step++
    :: break
    od;
    claimants[c].used = claimants[c].step
}

inline end_claim(c)
{
    claimants[c].step = 0;
    claimants[c].held = false;
    i = 0;
    do
    :: i < MEMBERS -> claimants[c].left[i] = 0; i++
    :: else -> break
    od;
    i = 0
}

inline put(k, c, m, s)
{
    net[s].kind = k;
    net[s].claimant = c;
    net[s].member = m;
    net[s].step = claimants[c].step;
    net[s].held = claimants[c].held;
    net[s].age = 0
}

#define SAME(n, s) (members[n].owner == net[s].claimant + 1)

/* A member takes the renewal in slot s, which becomes the answer. */
inline take_renewal(s)
{
    n = net[s].member;
    if
    :: members[n].left > 0 && SAME(n, s) &&
       members[n].step == net[s].step ->
        members[n].left = LEASE;
        net[s].kind = ANSWER
    :: else -> if
#ifndef NO_WAIT_FOR_LAPSE
        :: members[n].left > 0 && !SAME(n, s) -> clear_slot(s)
#endif
        :: members[n].wait > 0 -> clear_slot(s)
        :: net[s].step < members[n].step ||
           (net[s].step == members[n].step && !SAME(n, s)) -> clear_slot(s)
        :: !net[s].held && net[s].step < members[n].first_step ->
            clear_slot(s)
        :: else ->
            members[n].owner = net[s].claimant + 1;
            members[n].step = net[s].step;
            members[n].left = LEASE;
            net[s].kind = ANSWER
        fi
    fi;
    n = 0
}

inline take_answer(s)
{
    if
    :: claimants[net[s].claimant].step == net[s].step &&
       !LAPSED(net[s].claimant) ->
#ifdef COUNT_FROM_RECEIPT
        n = LEASE;
#else
        n = LEASE - net[s].age;
#endif
        /* an answer to an older renewal changes nothing */
        if
        :: n > claimants[net[s].claimant].left[net[s].member] ->
            claimants[net[s].claimant].left[net[s].member] = n
        :: else
        fi
    :: else
    fi;
    n = 0
}

inline take_release(s)
{
    n = net[s].member;
    if
    :: SAME(n, s) && members[n].step <= net[s].step ->
        members[n].left = 0
    :: else
    fi;
    n = 0
}

/* A renewal that is older than a release of the same claimant is dropped by
 * its sequence: it cannot be in the network any more for that member. */
inline drop_older(s)
{
    j = net[s].claimant;
    n = net[s].member;
    i = 0;
    do
    :: i < SLOTS ->
        if
        :: net[i].kind == RENEW && net[i].claimant == j &&
           net[i].member == n -> clear_slot(i)
        :: else
        fi;
        i++
    :: else -> break
    od;
    i = 0;
    j = 0;
    n = 0
}

inline restart(m)
{
    members[m].left = 0;
    members[m].step = 0;
    members[m].owner = 0;
#ifndef NO_FIRST_STEP
    members[m].first_step = 1 + (claimants[0].used > claimants[1].used ->
        claimants[0].used : claimants[1].used);
#endif
#ifndef VOTE_AFTER_RESTART
    members[m].wait = LEASE;
#endif
    restarts++
}

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
    :: d_step { tick(); check() }
    :: atomic {
        choose(c, CLAIMANTS);
        choose(m, MEMBERS);
        choose(slot, SLOTS);
        if
        /* claim, renew */
        :: m == 0 && slot == 0 && claimants[c].step == 0 &&
           claimants[c].used < TOP_STEP ->
            make_claim(c)
        :: claimants[c].step > 0 && net[slot].kind == NOTHING &&
           !LAPSED(c) ->
            put(RENEW, c, m, slot)
        /* give up; the release may be lost */
        :: claimants[c].step > 0 && net[slot].kind == NOTHING ->
            put(RELEASE, c, m, slot);
            end_claim(c)
        /* the network */
        :: c == 0 && m == 0 && net[slot].kind == RENEW ->
            take_renewal(slot)
#if SLOTS > 1
        :: c == 0 && m == 0 && net[slot].kind == RENEW &&
           net[1 - slot].kind == NOTHING ->
            net[1 - slot].kind = RENEW;
            net[1 - slot].claimant = net[slot].claimant;
            net[1 - slot].member = net[slot].member;
            net[1 - slot].step = net[slot].step;
            net[1 - slot].held = net[slot].held;
            net[1 - slot].age = net[slot].age
#endif
        :: c == 0 && m == 0 && net[slot].kind == ANSWER ->
            take_answer(slot);
            if
            :: clear_slot(slot)
            :: skip
            fi
        :: c == 0 && m == 0 && net[slot].kind == RELEASE ->
            drop_older(slot);
            take_release(slot);
            clear_slot(slot)
        :: c == 0 && m == 0 && net[slot].kind != NOTHING -> clear_slot(slot)
        /* the members are alike: one that restarts stands for any */
        :: c == 0 && m == 0 && slot == 0 && restarts < RESTARTS ->
            restart(0)
        :: else
        fi;
        check();
        c = 0;
        m = 0;
        slot = 0
    }
    od
}
