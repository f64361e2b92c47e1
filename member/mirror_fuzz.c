/* Fuzzes two mirrors of a table that changes at random. One reads the table,
 * the other reads only the first mirror, in pages of random size. Whenever a
 * mirror is at the table's revision, it must hold exactly the table's rows,
 * which are kept in a plain array for comparison. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member/mirror.h"

#define ROWS 6

struct table {
    uint64_t versions[ROWS];
    unsigned char values[ROWS]; /* 0: deleted */
    uint64_t revision;
};

static void
format_row(int row, unsigned char value, char key[8], char text[8])
{
    snprintf(key, 8, "r%d", row);
    snprintf(text, 8, "%d", value);
}

/* Writes two neighbouring rows in one revision; the last row's neighbour is
 * the first. Value 0 deletes both. */
static void
write_two_rows(struct table *table, int row, unsigned char value)
{
    table->revision++;
    for (int i = row; i < row + 2; i++) {
        table->versions[i % ROWS] = table->revision;
        table->values[i % ROWS] = value;
    }
}

static void
read_table(const struct table *table, struct rs_mirror *mirror)
{
    for (int i = 0; i < ROWS; i++) {
        char key[8];
        char text[8];
        if (table->versions[i] > RsMirror_Revision(mirror)) {
            format_row(i, table->values[i], key, text);
            RsMirror_Put(mirror, key, table->versions[i],
                         table->values[i] != 0 ? text : NULL);
        }
    }
    RsMirror_Advance(mirror, table->revision);
}

static void
put_row(void *arg, const struct rs_mirror_row *row)
{
    RsMirror_Put(arg, row->key, row->version, row->value);
}

/* Copies up to two pages of changes from one mirror to the other. */
static void
copy_changes(const struct rs_mirror *from, struct rs_mirror *to, size_t page)
{
    bool more = true;
    uint64_t revision_read = RsMirror_Revision(to);
    if (RsMirror_Revision(from) <= revision_read) {
        return;
    }
    for (int pages = 0; more && pages < 2; pages++) {
        revision_read = RsMirror_VisitAfter(from, revision_read, page, 1000,
                                            put_row, to, &more);
        RsMirror_Advance(to, revision_read);
    }
}

/* Aborts when a mirror at the table's revision differs from the table. */
static void
expect_same(const struct table *table, const struct rs_mirror *mirror)
{
    if (RsMirror_Revision(mirror) != table->revision) {
        return;
    }
    for (int i = 0; i < ROWS; i++) {
        char key[8];
        char text[8];
        struct rs_mirror_row row;
        format_row(i, table->values[i], key, text);
        bool found = RsMirror_Find(mirror, key, &row);
        bool wanted = table->values[i] != 0;
        if (found != wanted || (found && strcmp(row.value, text) != 0)) {
            abort();
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct table table = {0};
    struct rs_mirror *reader = RsMirror_New();
    struct rs_mirror *follower = RsMirror_New();
    for (size_t i = 0; i + 1 < size; i += 2) {
        switch (data[i] % 4) {
        case 0:
        case 1:
            write_two_rows(&table, data[i] / 4 % ROWS, data[i + 1] % 5);
            break;
        case 2:
            read_table(&table, reader);
            break;
        default:
            copy_changes(reader, follower, data[i + 1] % 4 + 1);
            break;
        }
        expect_same(&table, reader);
        expect_same(&table, follower);
    }
    RsMirror_Free(reader);
    RsMirror_Free(follower);
    return 0;
}
