/* The row of an assignment in the platform's table. Two writers each add
 * their assignment by compare-and-set on the version they read. The table may
 * be down, and an answer may be lost after the write took effect; the writer
 * then reads back. A process that restarts forgets what it knew.
 *
 * Property: an acknowledged assignment is never lost.
 * Broken variants (-D): ROW_WITHOUT_CAS, ACK_WITHOUT_READING_BACK.
 */

#define WRITERS 2
#define MAX_VERSION 6

#define IDLE 0
#define READ 1
#define UNSURE 2 /* the answer was lost */

byte version = 1;
byte row; /* one bit for each writer's assignment */
byte acknowledged;
bool outage;

active [WRITERS] proctype writer()
{
    byte state = IDLE;
    byte seen_version;
    byte seen_row;
    byte mine = 1 << _pid;

    do
    /* read; also to find out what became of a write */
    :: atomic { !outage ->
        seen_version = version;
        seen_row = row;
        if
        :: row & mine -> acknowledged = acknowledged | mine
        :: else
        fi;
        state = READ
    }
    /* commit */
    :: atomic { state == READ && !outage && !(seen_row & mine) &&
        version < MAX_VERSION ->
        if
#ifndef ROW_WITHOUT_CAS
        :: version != seen_version -> state = IDLE
#endif
        :: else ->
            row = seen_row | mine;
            version++;
            if
            :: acknowledged = acknowledged | mine;
                state = IDLE
            :: state = UNSURE
            fi
        fi
    }
    /* the commit is lost on its way */
    :: atomic { state == READ && !(seen_row & mine) -> state = UNSURE }
#ifdef ACK_WITHOUT_READING_BACK
    :: atomic { state == UNSURE -> acknowledged = acknowledged | mine;
        state = IDLE }
#endif
    :: atomic { state = IDLE; seen_version = 0; seen_row = 0 }
    :: atomic { (acknowledged & row) == acknowledged ->
        outage = !outage }
    od
}

active proctype monitor()
{
    assert((acknowledged & row) == acknowledged)
}
