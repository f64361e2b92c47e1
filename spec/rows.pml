/* A row of the platform's table that holds the assignments of two writers.
 * Each adds its own by compare-and-set on the version that it has read. The
 * table may be unavailable, and a write or its answer may be lost; the writer
 * then reads the row again to find out if the write took effect. A writer that
 * restarts loses its state.
 *
 * Property: an acknowledged assignment is never lost.
 * Broken variants (-D):
 * ROW_WITHOUT_CAS: a write doesn't compare the version.
 * ACK_WITHOUT_READING_BACK: a writer without an answer reports its assignment
 *     as written without reading the row.
 */

#define WRITERS 2
#define MAX_VERSION 6

#define IDLE 0
#define READ 1
#define UNSURE 2 /* no answer to a write came; it may have taken effect */

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
    /* The writer restarts. */
    :: atomic { state = IDLE; seen_version = 0; seen_row = 0 }
    /* The table becomes unavailable, or available again, unless the property
     * is already violated. */
    :: atomic { (acknowledged & row) == acknowledged ->
        outage = !outage }
    od
}

active proctype monitor()
{
    assert((acknowledged & row) == acknowledged)
}
