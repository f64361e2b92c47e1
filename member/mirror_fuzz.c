/* Two mirrors follow a table that changes at random: one reads the table, the
 * other only the first, in pages of random size. The oracle is a plain array:
 * once both are at the table's revision, both hold exactly its rows. */

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
row_text(int row, unsigned char value, char key[8], char text[8])
{
    snprintf(key, 8, "r%d", row);
    snprintf(text, 8, "%d", value);
}

static void
write_two(struct table *table, int row, unsigned char value)
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
            row_text(i, table->values[i], key, text);
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

static void
read_peer(const struct rs_mirror *from, struct rs_mirror *to, size_t page)
{
    bool more = true;
    uint64_t at = RsMirror_Revision(to);
    if (RsMirror_Revision(from) <= at) {
        return;
    }
    for (int pages = 0; more && pages < 2; pages++) {
        at = RsMirror_VisitAfter(from, at, page, 1000, put_row, to, &more);
        RsMirror_Advance(to, at);
    }
}

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
        row_text(i, table->values[i], key, text);
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
            write_two(&table, data[i] / 4 % ROWS, data[i + 1] % 5);
            break;
        case 2:
            read_table(&table, reader);
            break;
        default:
            read_peer(reader, follower, data[i + 1] % 4 + 1);
            break;
        }
        expect_same(&table, reader);
        expect_same(&table, follower);
    }
    RsMirror_Free(reader);
    RsMirror_Free(follower);
    return 0;
}
