#include "ticket/ticket.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ticket/reader.h"

static void
read_number(struct rs_reader *reader, struct rs_ticket *ticket)
{
    const json_t *value = RsReader_Field(reader, "number");
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < 1 ||
        number > RsTicket_MAX_NUMBER) {
        RsReader_AddFault(reader, "number", RsReader_NO_INDEX,
                          value == NULL ? "missing" : "no ticket number",
                          "1 to %" PRId64, RsTicket_MAX_NUMBER);
        return;
    }
    ticket->number = (uint64_t)number;
}

static void
check_author(struct rs_reader *reader)
{
    char author[RsModel_NAME_BYTES];
    RsReader_Name(reader, "author", author);
}

static void
check_note(struct rs_reader *reader)
{
    const char *note = RsReader_String(reader, "note");
    if (note != NULL && strlen(note) > RsTicket_MAX_NOTE_BYTES) {
        RsReader_AddFault(reader, "note", RsReader_NO_INDEX, "too long",
                          "at most %d bytes", RsTicket_MAX_NOTE_BYTES);
    }
}

static int
read_kind(struct rs_reader *reader, enum rs_object_kind *kind)
{
    const char *text = RsReader_String(reader, "kind");
    if (text == NULL) {
        return -1;
    }
    if (RsObject_ParseKind(text, kind) < 0) {
        RsReader_AddFault(reader, "kind", RsReader_NO_INDEX, "unknown",
                          "service, place, rule, domain");
        return -1;
    }
    return 0;
}

static void
read_value(struct rs_reader *reader, struct rs_ticket_object *object)
{
    const json_t *value = RsReader_Field(reader, "value");
    if (value == NULL) {
        RsReader_AddFault(reader, "value", RsReader_NO_INDEX, "missing",
                          "the object's whole state, or null to delete it");
        return;
    }
    if (json_is_null(value) || object->name[0] == '\0') {
        return;
    }
    char path[RsReader_PATH_BYTES];
    RsReader_ItemPath(reader, "value", RsReader_NO_INDEX, path);
    if (RsObject_Parse(&object->object, object->kind, object->name, value,
                       path, reader->faults) == 0) {
        object->value = json_incref((json_t *)value);
    }
}

static void
read_object(struct rs_reader *parent, size_t index, const json_t *value,
            struct rs_ticket_object *object)
{
    char path[RsReader_PATH_BYTES];
    RsReader_ItemPath(parent, "objects", index, path);
    struct rs_reader reader;
    if (RsReader_Open(&reader, value, path, parent->faults) < 0) {
        return;
    }
    object->kind = RsObject_KIND_COUNT;
    int status = read_kind(&reader, &object->kind);
    RsReader_Name(&reader, "name", object->name);
    if (status == 0) {
        read_value(&reader, object);
    }
    else {
        RsReader_Field(&reader, "value");
    }
    RsReader_Close(&reader);
}

static void
reject_duplicate_objects(struct rs_reader *reader,
                         const struct rs_ticket *ticket)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (size_t i = 0; i < ticket->count; i++) {
        const struct rs_ticket_object *object = &ticket->objects[i];
        char *id = g_strdup_printf("%d/%s", object->kind, object->name);
        if (object->name[0] != '\0' && !g_hash_table_add(seen, id)) {
            RsReader_AddFault(reader, "objects", i, "an object twice",
                              "each object once");
        }
        else if (object->name[0] == '\0') {
            g_free(id);
        }
    }
    g_hash_table_unref(seen);
}

static void
read_objects(struct rs_reader *reader, struct rs_ticket *ticket)
{
    size_t count = 0;
    const json_t *list =
        RsReader_Array(reader, "objects", 1, RsTicket_MAX_OBJECTS, &count);
    ticket->objects = g_new0(struct rs_ticket_object, count);
    ticket->count = count;
    for (size_t i = 0; i < count; i++) {
        read_object(reader, i, json_array_get(list, i), &ticket->objects[i]);
    }
    reject_duplicate_objects(reader, ticket);
}

/* Computes the digest over the whole ticket: number, author, note and the
 * objects in the order of the file, as JSON with sorted keys and without white
 * space. */
static void
set_digest(struct rs_ticket *ticket)
{
    char *text = json_dumps(ticket->body, JSON_COMPACT | JSON_SORT_KEYS);
    RsId_Format(RsId_FromBytes(text, strlen(text)), ticket->digest);
    free(text);
}

static struct rs_ticket *
read_ticket(json_t *body, struct rs_faults *faults)
{
    struct rs_ticket *ticket = g_new0(struct rs_ticket, 1);
    struct rs_reader reader;
    ticket->body = json_incref(body);
    if (RsReader_Open(&reader, body, "", faults) < 0) {
        return ticket;
    }
    read_number(&reader, ticket);
    check_author(&reader);
    check_note(&reader);
    read_objects(&reader, ticket);
    RsReader_Close(&reader);
    set_digest(ticket);
    return ticket;
}

/* Parses the text of a ticket file. Returns 0 and stores a ticket in `out`,
 * which the caller frees with RsTicket_Free. Returns RsTicket_INVALID after
 * adding every fault found, and leaves `out` unchanged. */
int
RsTicket_Parse(const char *text, size_t size_bytes, struct rs_ticket **out,
               struct rs_faults *faults)
{
    if (size_bytes > RsTicket_MAX_BYTES) {
        RsFaults_Add(faults, "", "too large", "at most %d bytes",
                     RsTicket_MAX_BYTES);
        return RsTicket_INVALID;
    }
    json_error_t error;
    json_t *body =
        json_loadb(text, size_bytes, JSON_REJECT_DUPLICATES, &error);
    if (body == NULL) {
        char line[32];
        snprintf(line, sizeof(line), "line %d", error.line);
        RsFaults_Add(faults, line, error.text, "JSON");
        return RsTicket_INVALID;
    }
    size_t before = faults->count;
    struct rs_ticket *ticket = read_ticket(body, faults);
    json_decref(body);
    if (faults->count > before) {
        RsTicket_Free(ticket);
        return RsTicket_INVALID;
    }
    *out = ticket;
    return 0;
}

/* Frees the ticket. NULL is allowed. */
void
RsTicket_Free(struct rs_ticket *ticket)
{
    if (ticket == NULL) {
        return;
    }
    for (size_t i = 0; i < ticket->count; i++) {
        if (ticket->objects[i].value != NULL) {
            RsObject_Free(&ticket->objects[i].object);
            json_decref(ticket->objects[i].value);
        }
    }
    g_free(ticket->objects);
    json_decref(ticket->body);
    g_free(ticket);
}

/* Writes the key of the log row that stores ticket `number`. */
void
RsTicket_LogKey(uint64_t number, char key[RsTicket_KEY_BYTES])
{
    snprintf(key, RsTicket_KEY_BYTES, "ticket/log/%010" PRIu64, number);
}

static void
add_put(json_t *puts, const char *key, json_t *value)
{
    json_array_append_new(puts,
                          json_pack("{s:s, s:o}", "key", key, "value", value));
}

static void
add_object_puts(json_t *puts, const struct rs_ticket *ticket)
{
    for (size_t i = 0; i < ticket->count; i++) {
        const struct rs_ticket_object *object = &ticket->objects[i];
        char key[RsModel_NAME_BYTES + RsTicket_KEY_BYTES];
        snprintf(key, sizeof(key), "object/%s/%s",
                 RsObject_KindName(object->kind), object->name);
        json_t *value =
            object->value == NULL
                ? json_null()
                : json_pack("{s:I, s:O}", "ticket", (json_int_t)ticket->number,
                            "value", object->value);
        add_put(puts, key, value);
    }
}

/* Returns a new request body for the table's commit call, owned by the caller.
 * The commit is conditional: it applies only if the head row still has
 * `head_version` (0 if the row must not exist). Every ticket writes the head
 * row, so the condition also ensures that no object has changed since the head
 * was read. */
json_t *
RsTicket_CommitBody(const struct rs_ticket *ticket, uint64_t head_version)
{
    char log_key[RsTicket_KEY_BYTES];
    RsTicket_LogKey(ticket->number, log_key);
    json_t *entry = json_copy(ticket->body);
    json_object_set_new(entry, "digest", json_string(ticket->digest));
    json_t *puts = json_array();
    add_put(puts, RsTicket_HEAD_KEY,
            json_pack("{s:I}", "number", (json_int_t)ticket->number));
    add_put(puts, log_key, entry);
    add_object_puts(puts, ticket);
    return json_pack("{s:[{s:s, s:I}], s:o}", "if", "key", RsTicket_HEAD_KEY,
                     "version", (json_int_t)head_version, "put", puts);
}

/* Returns a new JSON array with one {"kind","name","present","wanted"} item
 * for each object of the ticket whose state in `config` differs from the
 * ticket's. "present" is null if the object does not exist, and "wanted" is
 * null if the ticket deletes it. The caller owns the array. */
json_t *
RsTicket_Difference(const struct rs_ticket *ticket,
                    const struct rs_config *config)
{
    json_t *list = json_array();
    for (size_t i = 0; i < ticket->count; i++) {
        const struct rs_ticket_object *object = &ticket->objects[i];
        const struct rs_config_entry *entry =
            RsConfig_FindEntry(config, object->kind, object->name);
        json_t *present = entry == NULL ? NULL : entry->value;
        if (present == object->value ||
            (present != NULL && json_equal(present, object->value))) {
            continue;
        }
        json_array_append_new(list,
                              json_pack("{s:s, s:s, s:O?, s:O?}", "kind",
                                        RsObject_KindName(object->kind),
                                        "name", object->name, "present",
                                        present, "wanted", object->value));
    }
    return list;
}
