#include "ticket/ticket_fuzz_model.h"

#include <string.h>

/* Initializes an empty table. RsFuzzTable_Close frees its memory. */
void
RsFuzzTable_Open(struct rs_fuzz_table *table)
{
    table->revision = 0;
    table->rows = g_array_new(FALSE, TRUE, sizeof(struct rs_fuzz_row));
}

/* Frees the rows of the table. */
void
RsFuzzTable_Close(struct rs_fuzz_table *table)
{
    for (guint i = 0; i < table->rows->len; i++) {
        g_free(RsFuzzTable_At(table, i)->key);
        json_decref(RsFuzzTable_At(table, i)->value);
    }
    g_array_unref(table->rows);
}

/* Returns the row at an index. Deleted rows are included and have a null
 * value. */
struct rs_fuzz_row *
RsFuzzTable_At(struct rs_fuzz_table *table, guint index)
{
    return &g_array_index(table->rows, struct rs_fuzz_row, index);
}

/* Returns the row with the given key, or NULL if it was never written. */
struct rs_fuzz_row *
RsFuzzTable_Find(struct rs_fuzz_table *table, const char *key)
{
    for (guint i = 0; i < table->rows->len; i++) {
        if (strcmp(RsFuzzTable_At(table, i)->key, key) == 0) {
            return RsFuzzTable_At(table, i);
        }
    }
    return NULL;
}

static void
put_row(struct rs_fuzz_table *table, const char *key, json_t *value)
{
    struct rs_fuzz_row *row = RsFuzzTable_Find(table, key);
    if (row == NULL) {
        struct rs_fuzz_row new_row = {.key = g_strdup(key)};
        g_array_append_val(table->rows, new_row);
        row = RsFuzzTable_At(table, table->rows->len - 1);
    }
    json_decref(row->value);
    row->value = json_incref(value);
    row->version = table->revision;
}

static bool
conditions_hold(struct rs_fuzz_table *table, const json_t *body)
{
    const json_t *list = json_object_get(body, "if");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *item = json_array_get(list, i);
        struct rs_fuzz_row *row = RsFuzzTable_Find(
            table, json_string_value(json_object_get(item, "key")));
        uint64_t present = row == NULL ? 0 : row->version;
        uint64_t expected =
            (uint64_t)json_integer_value(json_object_get(item, "version"));
        if (present != expected) {
            return false;
        }
    }
    return true;
}

/* Executes the body of a commit call. Returns false, and changes nothing, if
 * one of its conditions does not hold. */
bool
RsFuzzTable_Commit(struct rs_fuzz_table *table, const json_t *body)
{
    if (!conditions_hold(table, body)) {
        return false;
    }
    table->revision++;
    const json_t *puts = json_object_get(body, "put");
    for (size_t i = 0; i < json_array_size(puts); i++) {
        const json_t *item = json_array_get(puts, i);
        put_row(table, json_string_value(json_object_get(item, "key")),
                json_object_get(item, "value"));
    }
    return true;
}

/* Returns a new configuration built from the current rows, and checks that all
 * of them are valid. The caller owns a reference. */
struct rs_config *
RsFuzzTable_Config(struct rs_fuzz_table *table)
{
    guint count = table->rows->len;
    struct rs_config_row *rows = g_new0(struct rs_config_row, count);
    for (guint i = 0; i < count; i++) {
        struct rs_fuzz_row *row = RsFuzzTable_At(table, i);
        rows[i] = (struct rs_config_row){row->key, row->version, row->value};
    }
    struct rs_config *config = RsConfig_Build(rows, count);
    RsFuzz_CHECK(RsConfig_InvalidRowCount(config) == 0);
    g_free(rows);
    return config;
}

/* Checks a few sample keys: a key that has a rule in both configurations must
 * have the same rule in both, with the same number of slices. */
void
RsFuzz_CheckKeysKeepRules(const struct rs_config *before,
                          const struct rs_config *after)
{
    static const char *const services[] = {"a", "b", "c"};
    static const char *const keys[] = {"", "x", "xy", "y"};
    for (size_t i = 0; i < G_N_ELEMENTS(services); i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(keys); j++) {
            const struct rs_model_rule *old = RsConfig_RuleOfKey(
                before, services[i], keys[j], strlen(keys[j]));
            const struct rs_model_rule *new = RsConfig_RuleOfKey(
                after, services[i], keys[j], strlen(keys[j]));
            RsFuzz_CHECK(old == NULL || new == NULL ||
                         (strcmp(old->name, new->name) == 0 &&
                          old->slices == new->slices));
        }
    }
}

/* Initializes the stream, which borrows the input until RsFuzzBytes_Close. */
void
RsFuzzBytes_Open(struct rs_fuzz_bytes *bytes, const uint8_t *input,
                 size_t input_bytes)
{
    bytes->input = input;
    bytes->input_bytes_left = input_bytes;
    bytes->random =
        g_rand_new_with_seed((guint32)RsId_FromBytes(input, input_bytes));
}

/* Frees the random generator. */
void
RsFuzzBytes_Close(struct rs_fuzz_bytes *bytes)
{
    g_rand_free(bytes->random);
}

/* Returns the next byte. The stream has no end. */
uint8_t
RsFuzzBytes_Next(struct rs_fuzz_bytes *bytes)
{
    if (bytes->input_bytes_left == 0) {
        return (uint8_t)g_rand_int(bytes->random);
    }
    bytes->input_bytes_left--;
    return *bytes->input++;
}

static json_t *
make_value(enum rs_object_kind kind, uint8_t choice)
{
    static const char *const names[] = {"a", "b", "c"};
    static const char *const states[] = {"in", "out", "lost"};
    static const char *const prefixes[] = {"x", "", "xy", ""};
    const char *first = names[choice % 3];
    const char *second = names[choice / 3 % 3];
    switch (kind) {
    case RsObject_SERVICE:
        return json_pack("{s:b, s:i, s:i, s:i, s:i, s:i, s:i, s:s, s:[s]}",
                         "keyed", choice % 4 != 0, "slots", 2, "connections",
                         110, "timeout_ms", 2000, "max_run_ms", 500, "window",
                         choice % 3, "cold_ms", 0, "cut_off", "hand-over",
                         "repeatable", "GET");
    case RsObject_PLACE:
        return json_pack("{s:s, s:s, s:[{s:s, s:b}]}", "service", first,
                         "domain", second, "targets", "name",
                         names[choice / 9 % 3], "checks_fences", 1);
    case RsObject_RULE:
        return json_pack("{s:s, s:s, s:i, s:[s]}", "service", first, "prefix",
                         prefixes[choice % 4], "slices", 1 + choice / 64,
                         "places", second);
    default:
        return json_pack("{s:s, s:s}", "region", "r", "state",
                         states[choice % 3]);
    }
}

static void
add_object(json_t *objects, enum rs_object_kind kind, const char *name,
           json_t *value)
{
    json_array_append_new(objects, json_pack("{s:s, s:s, s:o}", "kind",
                                             RsObject_KindName(kind), "name",
                                             name, "value", value));
}

/* Returns objects of every kind, so that later tickets have objects to refer
 * to. */
static json_t *
make_first_objects(void)
{
    json_t *objects = json_array();
    add_object(objects, RsObject_SERVICE, "a",
               make_value(RsObject_SERVICE, 1));
    add_object(objects, RsObject_SERVICE, "b",
               make_value(RsObject_SERVICE, 2));
    add_object(objects, RsObject_DOMAIN, "a", make_value(RsObject_DOMAIN, 0));
    add_object(objects, RsObject_DOMAIN, "b", make_value(RsObject_DOMAIN, 0));
    add_object(objects, RsObject_PLACE, "a", make_value(RsObject_PLACE, 0));
    add_object(objects, RsObject_RULE, "a", make_value(RsObject_RULE, 0));
    add_object(objects, RsObject_RULE, "b", make_value(RsObject_RULE, 9));
    return objects;
}

static json_t *
make_objects(struct rs_fuzz_bytes *bytes)
{
    static const char *const names[] = {"a", "b", "c"};
    json_t *objects = json_array();
    for (size_t count = 1 + RsFuzzBytes_Next(bytes) % 3; count > 0; count--) {
        uint8_t choice = RsFuzzBytes_Next(bytes);
        enum rs_object_kind kind = (enum rs_object_kind)(choice % 4);
        json_t *value = choice >= 192
                            ? json_null()
                            : make_value(kind, RsFuzzBytes_Next(bytes));
        add_object(objects, kind, names[choice / 4 % 3], value);
    }
    return objects;
}

/* Returns a ticket generated from the stream, with the number of the head or
 * one of the next two. Returns NULL if RsTicket_Parse rejects the generated
 * text. The caller frees the ticket. */
struct rs_ticket *
RsFuzzBytes_MakeTicket(struct rs_fuzz_bytes *bytes, uint64_t head)
{
    static const uint8_t ahead[] = {0, 1, 1, 1, 1, 1, 1, 2};
    uint64_t number = head + ahead[RsFuzzBytes_Next(bytes) % 8];
    json_t *objects = head == 0 ? make_first_objects() : make_objects(bytes);
    const char *author = RsFuzzBytes_Next(bytes) % 2 != 0 ? "a" : "b";
    json_t *body =
        json_pack("{s:I, s:s, s:s, s:o}", "number", (json_int_t)number,
                  "author", author, "note", "", "objects", objects);
    char *text = json_dumps(body, 0);
    struct rs_faults faults = {0};
    struct rs_ticket *ticket = NULL;
    RsTicket_Parse(text, strlen(text), &ticket, &faults);
    RsFaults_Free(&faults);
    free(text);
    json_decref(body);
    return ticket;
}
