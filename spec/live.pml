/* Recovery after a loss: a cell of three members, of which member 0 holds a
 * slice and is lost at some time. With weakly fair scheduling of the
 * processes, member 1 claims the slice, is refused until the promises to the
 * lost member have expired, and retries.
 *
 * Property: after the loss the slice is eventually held again.
 * Broken variants (-D):
 * NO_RETRY: member 1 stops after its first refusal.
 * PROMISE_NEVER_LAPSES: the promises to the lost member never expire.
 */

#define LEASE 2 /* ticks of a promise */

/* Ticks left of each member's promise to member 0, which renews it until it is
 * lost. */
byte promise_ticks[3] = LEASE;
bool lost;
bool claiming[3];
byte promised[3]; /* claimant with the new promise, plus 1; 0: none */
byte refusals[3];
bool held;

#define PROMISED_TO_LOST(m) (promise_ticks[m] > 0)

active proctype clock()
{
    do
    :: atomic { lost ->
#ifndef PROMISE_NEVER_LAPSES
        if :: promise_ticks[1] > 0 -> promise_ticks[1]-- :: else fi;
        if :: promise_ticks[2] > 0 -> promise_ticks[2]-- :: else fi
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

/* Member `self` requests its own promise and that of `other`, the majority
 * that remains. When one is refused, it gives up the other. */
inline request_promises(self, other)
{
    atomic {
        if
        :: PROMISED_TO_LOST(1) || PROMISED_TO_LOST(2) -> refused = true
        :: promised[other] == other + 1 -> refused = true
        :: else ->
            promised[self] = self + 1;
            refused = false
        fi
    }
    if
    :: refused -> promised[self] = 0
    :: else -> atomic {
        if
        :: promised[other] == 0 || promised[other] == self + 1 ->
            promised[other] = self + 1;
            held = true
        :: else -> promised[self] = 0;
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
        request_promises(1, 2);
#ifdef NO_RETRY
        if
        :: refused -> break
        :: else
        fi
#endif
    od
}

ltl served { [] (lost -> <> held) }
