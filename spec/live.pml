/* Service after a loss: three members, of which member 0 holds a slice and is
 * lost at some time. With fair delivery another one claims it, is refused
 * while the promises to the lost one live, and tries again.
 *
 * Property: the slice is held again.
 * Broken variants (-D): NO_RETRY, PROMISE_NEVER_LAPSES.
 */

#define LEASE 2

byte left[3] = LEASE; /* of the members' promises to the one that is lost */
bool lost;
bool claiming[3];
byte promised[3]; /* to whom a member promised anew; number + 1 */
byte refusals[3];
bool held;

#define LIVE(m) (left[m] > 0)

active proctype clock()
{
    do
    :: atomic { lost ->
#ifndef PROMISE_NEVER_LAPSES
        if :: left[1] > 0 -> left[1]-- :: else fi;
        if :: left[2] > 0 -> left[2]-- :: else fi
#else
        skip
#endif
    }
    od
}

active proctype loss()
{
    lost = true
}

/* Claimant 1 or 2 asks members 1 and 2, the majority that is left. The one
 * that is refused gives back what it got. */
inline ask(me, other)
{
    atomic {
        if
        :: LIVE(1) || LIVE(2) -> refused = true
        :: promised[other] == other + 1 -> refused = true
        :: else ->
            promised[me] = me + 1;
            refused = false
        fi
    }
    if
    :: refused -> promised[me] = 0
    :: else -> atomic {
        if
        :: promised[other] == 0 || promised[other] == me + 1 ->
            promised[other] = me + 1;
            held = true
        :: else -> promised[me] = 0;
            refused = true
        fi
    }
    fi
}

active proctype claimant()
{
    bool refused;

    lost;
    do
    :: held -> break
    :: else ->
        ask(1, 2);
#ifdef NO_RETRY
        if
        :: refused -> break
        :: else
        fi
#endif
    od
}

ltl served { [] (lost -> <> held) }
