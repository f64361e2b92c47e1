/* Validates a ticket against the configuration to which it would apply. */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ticket/reader.h"
#include "ticket/ticket.h"

#define WHAT_BYTES 160

/* The ticket, the present configuration to which it would apply, and the
 * faults found. The ticket's objects replace or delete those of
 * `present_config` with the same kind and name. */
struct validation {
    const struct rs_ticket *ticket;
    const struct rs_config *present_config;
    struct rs_faults *faults;
    /* The ticket's objects, one table for each kind: name to
     * rs_ticket_object. */
    GHashTable *in_ticket[RsObject_KIND_COUNT];
    /* Target name to place name, for the places that the ticket writes; if
     * several of these places list the target, the first. */
    GHashTable *place_by_target;
};

static const struct rs_ticket_object *
find_in_ticket(const struct validation *validation, enum rs_object_kind kind,
               const char *name)
{
    return g_hash_table_lookup(validation->in_ticket[kind], name);
}

/* Returns the object as it is after the ticket, or NULL if it does not exist
 * then. */
static const struct rs_object *
find_object(const struct validation *validation, enum rs_object_kind kind,
            const char *name)
{
    const struct rs_ticket_object *in_ticket =
        find_in_ticket(validation, kind, name);
    if (in_ticket != NULL) {
        return in_ticket->value == NULL ? NULL : &in_ticket->object;
    }
    const struct rs_config_entry *entry =
        RsConfig_FindEntry(validation->present_config, kind, name);
    return entry == NULL ? NULL : &entry->object;
}

static void
add_fault(struct validation *validation, const char *path, const char *field,
          const char *what, const char *allowed)
{
    char *full_path = g_strdup_printf("%s.%s", path, field);
    RsFaults_Add(validation->faults, full_path, what, "%s", allowed);
    g_free(full_path);
}

static const struct rs_object *
check_reference(struct validation *validation, const char *path,
                const char *field, enum rs_object_kind kind, const char *name)
{
    const struct rs_object *object = find_object(validation, kind, name);
    if (object == NULL) {
        char what[WHAT_BYTES];
        snprintf(what, sizeof(what), "no %s \"%s\"", RsObject_KindName(kind),
                 name);
        add_fault(validation, path, field, what,
                  "an object that exists once the ticket is in force");
    }
    return object;
}

/* Returns the name of another place that has the target after the ticket, or
 * NULL if none is found. Of two such places in the ticket, only the later one
 * is reported. */
static const char *
find_other_place(const struct validation *validation,
                 const struct rs_model_place *place, const char *target)
{
    const char *place_in_ticket =
        g_hash_table_lookup(validation->place_by_target, target);
    if (place_in_ticket != NULL && strcmp(place_in_ticket, place->name) != 0) {
        return place_in_ticket;
    }
    const struct rs_model_place *present =
        RsConfig_PlaceOfTarget(validation->present_config, target);
    if (present == NULL || strcmp(present->name, place->name) == 0 ||
        find_in_ticket(validation, RsObject_PLACE, present->name) != NULL) {
        return NULL;
    }
    return present->name;
}

static void
check_target(struct validation *validation, const char *path,
             const struct rs_model_place *place, size_t index)
{
    const char *other =
        find_other_place(validation, place, place->targets[index].name);
    if (other != NULL) {
        char field[RsReader_PATH_BYTES];
        char what[WHAT_BYTES];
        snprintf(field, sizeof(field), "targets[%zu].name", index);
        snprintf(what, sizeof(what), "also a target of place \"%s\"", other);
        add_fault(validation, path, field, what, "a target in one place only");
    }
}

static void
check_place(struct validation *validation, const char *path,
            const struct rs_model_place *place)
{
    check_reference(validation, path, "service", RsObject_SERVICE,
                    place->service);
    check_reference(validation, path, "domain", RsObject_DOMAIN,
                    place->domain);
    for (size_t i = 0; i < place->target_count; i++) {
        check_target(validation, path, place, i);
    }
}

static void
check_rule_place(struct validation *validation, const char *path,
                 const struct rs_model_rule *rule, size_t index)
{
    char field[RsReader_PATH_BYTES];
    snprintf(field, sizeof(field), "places[%zu]", index);
    const struct rs_object *place = check_reference(
        validation, path, field, RsObject_PLACE, rule->places[index]);
    if (place != NULL && strcmp(place->as.place.service, rule->service) != 0) {
        add_fault(validation, path, field, "a place of another service",
                  "places of the rule's service");
    }
}

static void
check_rule_service(struct validation *validation, const char *path,
                   const struct rs_model_rule *rule)
{
    const struct rs_object *service = check_reference(
        validation, path, "service", RsObject_SERVICE, rule->service);
    if (service != NULL && !service->as.service.keyed) {
        add_fault(validation, path, "service", "a service without keys",
                  "a keyed service");
    }
}

static void
check_rule(struct validation *validation, const char *path,
           const struct rs_model_rule *rule)
{
    check_rule_service(validation, path, rule);
    for (size_t i = 0; i < rule->place_count; i++) {
        check_rule_place(validation, path, rule, i);
    }
}

/* Returns whether two different rules have the same service and prefix. */
static bool
are_duplicate_rules(const struct rs_model_rule *a,
                    const struct rs_model_rule *b)
{
    return strcmp(a->name, b->name) != 0 &&
           strcmp(a->service, b->service) == 0 &&
           strcmp(a->prefix, b->prefix) == 0;
}

/* Returns whether another rule has the same service and prefix after the
 * ticket. Of two such rules in the ticket, only the later one is reported. */
static bool
has_duplicate_prefix(const struct validation *validation, size_t index)
{
    const struct rs_model_rule *rule =
        &validation->ticket->objects[index].object.as.rule;
    for (size_t i = 0; i < index; i++) {
        const struct rs_ticket_object *other = &validation->ticket->objects[i];
        if (other->kind == RsObject_RULE && other->value != NULL &&
            are_duplicate_rules(rule, &other->object.as.rule)) {
            return true;
        }
    }
    size_t count = RsConfig_Count(validation->present_config, RsObject_RULE);
    for (size_t i = 0; i < count; i++) {
        const struct rs_model_rule *other =
            &RsConfig_EntryAt(validation->present_config, RsObject_RULE, i)
                 ->object.as.rule;
        if (are_duplicate_rules(rule, other) &&
            find_in_ticket(validation, RsObject_RULE, other->name) == NULL) {
            return true;
        }
    }
    return false;
}

/* Returns whether the arguments are different rules of one service that can
 * match the same key, which is the case if one prefix begins with the other.
 */
static bool
can_share_keys(const struct rs_model_rule *a, const struct rs_model_rule *b)
{
    size_t shared_bytes = MIN(strlen(a->prefix), strlen(b->prefix));
    return strcmp(a->name, b->name) != 0 &&
           strcmp(a->service, b->service) == 0 &&
           strncmp(a->prefix, b->prefix, shared_bytes) == 0;
}

static bool
is_deleted(const struct validation *validation,
           const struct rs_model_rule *rule)
{
    const struct rs_ticket_object *in_ticket =
        find_in_ticket(validation, RsObject_RULE, rule->name);
    return in_ticket != NULL && in_ticket->value == NULL;
}

/* Adds a fault for each present rule with which the given new or deleted rule
 * shares keys, unless the ticket deletes both. Keys must not move from one
 * rule's slices to another's, since processes that have not applied the ticket
 * yet would give such a key a second owner. So a new rule must not share keys
 * with a present rule, even if the ticket deletes the present one. A deleted
 * rule must not share keys with a rule that stays. */
static void
check_key_overlap(struct validation *validation, const char *path,
                  const char *field, const struct rs_model_rule *rule)
{
    bool deleted = is_deleted(validation, rule);
    size_t count = RsConfig_Count(validation->present_config, RsObject_RULE);
    for (size_t i = 0; i < count; i++) {
        const struct rs_model_rule *other =
            &RsConfig_EntryAt(validation->present_config, RsObject_RULE, i)
                 ->object.as.rule;
        if (!can_share_keys(rule, other) ||
            (deleted && is_deleted(validation, other))) {
            continue;
        }
        char what[WHAT_BYTES];
        snprintf(what, sizeof(what), "shares keys with rule \"%s\"",
                 other->name);
        add_fault(validation, path, field, what,
                  "rules that share keys come and go in one ticket");
    }
}

/* The slice of a key must not change while the rule exists: processes that
 * have not applied the ticket yet would give the key a second owner. So the
 * fields that determine the slice cannot be changed. For a new rule, checks
 * the overlap with the existing rules instead. */
static void
check_rule_keys_unchanged(struct validation *validation, const char *path,
                          const struct rs_model_rule *rule)
{
    static const char allowed[] = "as it is; or a rule under another name";
    const struct rs_model_rule *present =
        RsConfig_Rule(validation->present_config, rule->name);
    if (present == NULL) {
        check_key_overlap(validation, path, "prefix", rule);
        return;
    }
    if (present->slices != rule->slices) {
        add_fault(validation, path, "slices", "changed", allowed);
    }
    if (strcmp(present->service, rule->service) != 0) {
        add_fault(validation, path, "service", "changed", allowed);
    }
    if (strcmp(present->prefix, rule->prefix) != 0) {
        add_fault(validation, path, "prefix", "changed", allowed);
    }
}

static void
check_deletion(struct validation *validation,
               const struct rs_ticket_object *object, size_t index)
{
    char path[RsReader_PATH_BYTES];
    snprintf(path, sizeof(path), "objects[%zu]", index);
    const struct rs_config_entry *present = RsConfig_FindEntry(
        validation->present_config, object->kind, object->name);
    if (present == NULL) {
        add_fault(validation, path, "name", "deleted, but does not exist",
                  "an object that exists");
    }
    else if (object->kind == RsObject_RULE) {
        check_key_overlap(validation, path, "name", &present->object.as.rule);
    }
}

static void
check_object(struct validation *validation, size_t index)
{
    const struct rs_ticket_object *object =
        &validation->ticket->objects[index];
    if (object->value == NULL) {
        check_deletion(validation, object, index);
        return;
    }
    char path[RsReader_PATH_BYTES];
    snprintf(path, sizeof(path), "objects[%zu].value", index);
    if (object->kind == RsObject_PLACE) {
        check_place(validation, path, &object->object.as.place);
    }
    else if (object->kind == RsObject_RULE) {
        check_rule(validation, path, &object->object.as.rule);
        check_rule_keys_unchanged(validation, path, &object->object.as.rule);
        if (has_duplicate_prefix(validation, index)) {
            add_fault(validation, path, "prefix",
                      "also the prefix of another rule",
                      "one rule for a service and prefix");
        }
    }
}

static bool
place_refers_to_ticket_object(const struct validation *validation,
                              const struct rs_model_place *place)
{
    return find_in_ticket(validation, RsObject_SERVICE, place->service) !=
               NULL ||
           find_in_ticket(validation, RsObject_DOMAIN, place->domain) != NULL;
}

static bool
rule_refers_to_ticket_object(const struct validation *validation,
                             const struct rs_model_rule *rule)
{
    for (size_t i = 0; i < rule->place_count; i++) {
        if (find_in_ticket(validation, RsObject_PLACE, rule->places[i]) !=
            NULL) {
            return true;
        }
    }
    return find_in_ticket(validation, RsObject_SERVICE, rule->service) != NULL;
}

/* Checks the places or rules, selected by `kind`, that refer to an object
 * which the ticket writes or deletes. Those that the ticket itself writes or
 * deletes are left out. */
static void
check_referring_objects(struct validation *validation,
                        enum rs_object_kind kind)
{
    for (size_t i = 0; i < RsConfig_Count(validation->present_config, kind);
         i++) {
        const struct rs_object *object =
            &RsConfig_EntryAt(validation->present_config, kind, i)->object;
        const char *name = RsObject_Name(object);
        if (find_in_ticket(validation, kind, name) != NULL) {
            continue;
        }
        char path[RsReader_PATH_BYTES];
        snprintf(path, sizeof(path), "%s/%s", RsObject_KindName(kind), name);
        if (kind == RsObject_PLACE &&
            place_refers_to_ticket_object(validation, &object->as.place)) {
            check_place(validation, path, &object->as.place);
        }
        else if (kind == RsObject_RULE &&
                 rule_refers_to_ticket_object(validation, &object->as.rule)) {
            check_rule(validation, path, &object->as.rule);
        }
    }
}

static void
index_ticket(struct validation *validation)
{
    for (size_t i = 0; i < validation->ticket->count; i++) {
        struct rs_ticket_object *object = &validation->ticket->objects[i];
        g_hash_table_insert(validation->in_ticket[object->kind], object->name,
                            object);
        if (object->kind != RsObject_PLACE || object->value == NULL) {
            continue;
        }
        struct rs_model_place *place = &object->object.as.place;
        for (size_t j = 0; j < place->target_count; j++) {
            char *target = place->targets[j].name;
            if (!g_hash_table_contains(validation->place_by_target, target)) {
                g_hash_table_insert(validation->place_by_target, target,
                                    place->name);
            }
        }
    }
}

/* Checks that the configuration is consistent after the ticket: all referenced
 * objects exist, each target is in one place, each prefix of a service is in
 * one rule, and no key moves to another slice. Returns 0, or RsTicket_INVALID
 * after adding every fault found. A fault of an object that is not in the
 * ticket has the path KIND/NAME.FIELD. */
int
RsTicket_Validate(const struct rs_ticket *ticket,
                  const struct rs_config *config, struct rs_faults *faults)
{
    size_t before = faults->count;
    struct validation validation = {
        .ticket = ticket, .present_config = config, .faults = faults};
    validation.place_by_target = g_hash_table_new(g_str_hash, g_str_equal);
    for (int kind = 0; kind < RsObject_KIND_COUNT; kind++) {
        validation.in_ticket[kind] = g_hash_table_new(g_str_hash, g_str_equal);
    }
    index_ticket(&validation);
    for (size_t i = 0; i < ticket->count; i++) {
        check_object(&validation, i);
    }
    check_referring_objects(&validation, RsObject_PLACE);
    check_referring_objects(&validation, RsObject_RULE);
    for (int kind = 0; kind < RsObject_KIND_COUNT; kind++) {
        g_hash_table_unref(validation.in_ticket[kind]);
    }
    g_hash_table_unref(validation.place_by_target);
    return faults->count > before ? RsTicket_INVALID : 0;
}
