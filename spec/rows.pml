/* The row of an assignment in the platform's table. Two writers each add their
 * assignment by compare-and-set on the version that they have read. The table
 * may be unavailable, and an answer may be lost after its write has taken
 * effect; the writer then reads the row again to find out. A process that
 * restarts loses its state.
 *
 * Property: an acknowledged assignment is never lost.
 * Broken variants (-D): ROW_WITHOUT_CAS, ACK_WITHOUT_READING_BACK.
 */

#define WRITERS 2
#define MAX_VERSION 6

#define IDLE 0
#define READ 1
#define UNSURE 2 /* the answer to a write was lost */

byte version = 1;
byte row; /* one bit for each writer's assignment */
byte acknowledged; /* one bit for each assignment reported as written */
bool outage;

active [WRITERS] proctype writer()
{
    byte state = IDLE;
    byte seen_version;
    byte seen_row;
    byte own_bit = 1 << _pid;

    do
    /* The writer reads the row, also to learn if its write took effect. */
    :: atomic { !outage ->
        seen_version = version;
        seen_row = row;
        if
        :: row & own_bit -> acknowledged = acknowledged | own_bit
        :: else
        fi;
        state = READ
    }
    /* The writer commits. The answer may be lost. */
    :: atomic { state == READ && !outage && !(seen_row & own_bit) &&
        version < MAX_VERSION ->
        if
#ifndef ROW_WITHOUT_CAS
        :: version != seen_version -> state = IDLE
#endif
        :: else ->
            row = seen_row | own_bit;
            version++;
            if
            :: acknowledged = acknowledged | own_bit;
                state = IDLE
            :: state = UNSURE
            fi
        fi
    }
    /* The commit is lost before it reaches the table. */
    :: atomic { state == READ && !(seen_row & own_bit) -> state = UNSURE }
#ifdef ACK_WITHOUT_READING_BACK
    :: atomic { state == UNSURE -> acknowledged = acknowledged | own_bit;
        state = IDLE }
#endif
    /* The process restarts. */
    :: atomic { state = IDLE; seen_version = 0; seen_row = 0 }
    /* The table becomes unavailable, or available again. */
    :: atomic { (acknowledged & row) == acknowledged ->
        outage = !outage }
    od
}

active proctype monitor()
{
    assert((acknowledged & row) == acknowledged)
}
