#include "ticket/object.h"

#include <ctype.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ticket/reader.h"

#define MAX_SLOTS 1024
#define MAX_CONNECTIONS 10000
#define MAX_TIMEOUT_MS 600000

static const char *const kind_names[RsObject_KIND_COUNT] = {"service", "place",
                                                            "rule", "domain"};
static const char *const cut_off_names[] = {"keep-serving", "hand-over", NULL};
static const char *const state_names[] = {"in", "out", "lost", NULL};

/* Returns the kind's name as used in tickets and in row keys. */
const char *
RsObject_KindName(enum rs_object_kind kind)
{
    return kind_names[kind];
}

/* Parses the name of a kind into `kind`. Returns 0, or RsObject_INVALID if the
 * name is unknown. */
int
RsObject_ParseKind(const char *text, enum rs_object_kind *kind)
{
    for (int i = 0; i < RsObject_KIND_COUNT; i++) {
        if (strcmp(text, kind_names[i]) == 0) {
            *kind = (enum rs_object_kind)i;
            return 0;
        }
    }
    return RsObject_INVALID;
}

/* Returns whether the text is a valid name of an object. */
bool
RsObject_IsValidName(const char *text)
{
    return RsReader_IsValidName(text);
}

/* Returns the object's name. The string is valid as long as the object. */
const char *
RsObject_Name(const struct rs_object *object)
{
    switch (object->kind) {
    case RsObject_SERVICE:
        return object->as.service.name;
    case RsObject_PLACE:
        return object->as.place.name;
    case RsObject_RULE:
        return object->as.rule.name;
    default:
        return object->as.domain.name;
    }
}

static bool
is_valid_method(const char *text)
{
    size_t size = strlen(text);
    if (size == 0 ||
        size >= sizeof(((struct rs_model_service *)0)->repeatable[0])) {
        return false;
    }
    for (size_t i = 0; i < size; i++) {
        if (!isupper((unsigned char)text[i])) {
            return false;
        }
    }
    return true;
}

static void
read_methods(struct rs_reader *reader, struct rs_model_service *service)
{
    size_t count = 0;
    const json_t *list =
        RsReader_Array(reader, "repeatable", 0, RsModel_MAX_METHODS, &count);
    for (size_t i = 0; i < count; i++) {
        const char *method = json_string_value(json_array_get(list, i));
        if (method == NULL || !is_valid_method(method)) {
            RsReader_AddFault(reader, "repeatable", i, "no HTTP method",
                              "1 to 15 upper-case letters");
            continue;
        }
        char *copy = service->repeatable[service->repeatable_count++];
        snprintf(copy, sizeof(service->repeatable[0]), "%s", method);
    }
    RsReader_AddDuplicateFaults(reader, "repeatable", list);
}

static void
read_service(struct rs_reader *reader, struct rs_model_service *service)
{
    service->keyed = RsReader_Bool(reader, "keyed");
    service->slots = RsReader_Number(reader, "slots", 1, MAX_SLOTS);
    service->connections =
        RsReader_Number(reader, "connections", 1, MAX_CONNECTIONS);
    service->timeout_ms =
        RsReader_Number(reader, "timeout_ms", 1, MAX_TIMEOUT_MS);
    service->max_run_ms =
        RsReader_Number(reader, "max_run_ms", 1, MAX_TIMEOUT_MS);
    service->window = RsReader_Number(reader, "window", 0, MAX_SLOTS);
    service->cold_ms = RsReader_Number(reader, "cold_ms", 0, MAX_TIMEOUT_MS);
    service->cut_off = (enum rs_model_cut_off)RsReader_Choice(
        reader, "cut_off", cut_off_names);
    read_methods(reader, service);
}

static void
read_target(struct rs_reader *parent, size_t index, const json_t *value,
            struct rs_model_target *target)
{
    char path[RsReader_PATH_BYTES];
    RsReader_ItemPath(parent, "targets", index, path);
    struct rs_reader reader;
    if (RsReader_Open(&reader, value, path, parent->faults) < 0) {
        return;
    }
    RsReader_Name(&reader, "name", target->name);
    target->checks_fences = RsReader_Bool(&reader, "checks_fences");
    RsReader_Close(&reader);
}

static void
reject_duplicate_targets(struct rs_reader *reader,
                         const struct rs_model_place *place)
{
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < place->target_count; i++) {
        char *name = place->targets[i].name;
        if (name[0] != '\0' && !g_hash_table_add(seen, name)) {
            RsReader_AddFault(reader, "targets", i, "a target twice",
                              "each target once");
        }
    }
    g_hash_table_unref(seen);
}

static void
read_place(struct rs_reader *reader, struct rs_model_place *place)
{
    RsReader_Name(reader, "service", place->service);
    RsReader_Name(reader, "domain", place->domain);
    size_t count = 0;
    const json_t *list =
        RsReader_Array(reader, "targets", 0, RsObject_MAX_TARGETS, &count);
    place->targets = g_new0(struct rs_model_target, count);
    place->target_count = count;
    for (size_t i = 0; i < count; i++) {
        read_target(reader, i, json_array_get(list, i), &place->targets[i]);
    }
    reject_duplicate_targets(reader, place);
}

static bool
is_valid_prefix(const char *text)
{
    size_t size = strlen(text);
    if (size >= RsModel_NAME_BYTES) {
        return false;
    }
    for (size_t i = 0; i < size; i++) {
        if (!isgraph((unsigned char)text[i]) || text[i] == '/') {
            return false;
        }
    }
    return true;
}

static void
read_prefix(struct rs_reader *reader, char prefix[RsModel_NAME_BYTES])
{
    const char *text = RsReader_String(reader, "prefix");
    if (text == NULL) {
        return;
    }
    if (!is_valid_prefix(text)) {
        RsReader_AddFault(reader, "prefix", RsReader_NO_INDEX,
                          "no key's prefix",
                          "0 to 63 visible ASCII characters other than /");
        return;
    }
    snprintf(prefix, RsModel_NAME_BYTES, "%s", text);
}

static void
read_rule(struct rs_reader *reader, struct rs_model_rule *rule)
{
    RsReader_Name(reader, "service", rule->service);
    read_prefix(reader, rule->prefix);
    rule->slices = RsReader_Number(reader, "slices", 1, RsModel_MAX_SLICES);
    size_t count = 0;
    const json_t *list =
        RsReader_Array(reader, "places", 1, RsObject_MAX_PLACES, &count);
    rule->places = g_malloc0_n(count, sizeof(*rule->places));
    rule->place_count = count;
    for (size_t i = 0; i < count; i++) {
        const char *name = json_string_value(json_array_get(list, i));
        if (name == NULL || !RsReader_IsValidName(name)) {
            RsReader_AddFault(reader, "places", i, "no name", "%s",
                              RsReader_NAME_ALLOWED);
            continue;
        }
        snprintf(rule->places[i], RsModel_NAME_BYTES, "%s", name);
    }
    RsReader_AddDuplicateFaults(reader, "places", list);
}

static void
read_domain(struct rs_reader *reader, struct rs_model_domain *domain)
{
    RsReader_Name(reader, "region", domain->region);
    domain->state = (enum rs_model_domain_state)RsReader_Choice(
        reader, "state", state_names);
}

static char *
name_buffer(struct rs_object *object)
{
    switch (object->kind) {
    case RsObject_SERVICE:
        return object->as.service.name;
    case RsObject_PLACE:
        return object->as.place.name;
    case RsObject_RULE:
        return object->as.rule.name;
    default:
        return object->as.domain.name;
    }
}

static void
read_fields(struct rs_reader *reader, struct rs_object *object)
{
    switch (object->kind) {
    case RsObject_SERVICE:
        read_service(reader, &object->as.service);
        break;
    case RsObject_PLACE:
        read_place(reader, &object->as.place);
        break;
    case RsObject_RULE:
        read_rule(reader, &object->as.rule);
        break;
    default:
        read_domain(reader, &object->as.domain);
        break;
    }
}

/* Parses the JSON value of an object. `name` must be a valid name; `path` is
 * the position of the value in the input, for the faults. All fields of the
 * kind are required and no others are allowed. Returns 0, and the caller frees
 * the object with RsObject_Free. Otherwise adds every fault found and returns
 * RsObject_INVALID; the caller then has nothing to free. */
int
RsObject_Parse(struct rs_object *object, enum rs_object_kind kind,
               const char *name, const json_t *value, const char *path,
               struct rs_faults *faults)
{
    size_t before = faults->count;
    *object = (struct rs_object){.kind = kind};
    snprintf(name_buffer(object), RsModel_NAME_BYTES, "%s", name);
    struct rs_reader reader;
    if (RsReader_Open(&reader, value, path, faults) < 0) {
        return RsObject_INVALID;
    }
    read_fields(&reader, object);
    RsReader_Close(&reader);
    if (faults->count > before) {
        RsObject_Free(object);
        return RsObject_INVALID;
    }
    return 0;
}

/* Frees the arrays that the object owns, but not the object itself. */
void
RsObject_Free(struct rs_object *object)
{
    if (object->kind == RsObject_PLACE) {
        g_free(object->as.place.targets);
        object->as.place.targets = NULL;
    }
    else if (object->kind == RsObject_RULE) {
        g_free(object->as.rule.places);
        object->as.rule.places = NULL;
    }
}
