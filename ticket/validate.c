/* Checks a ticket against the configuration on which it would build. */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "ticket/reader.h"
#include "ticket/ticket.h"

#define WHAT_BYTES 160

/* The state after the ticket: its objects over those of the configuration. */
struct next {
    const struct rs_ticket *ticket;
    const struct rs_config *config;
    struct rs_faults *faults;
    GHashTable *touched[RsObject_KINDS]; /* name to rs_ticket_object */
    GHashTable *targets; /* of touched places, to their place */
};

static const struct rs_ticket_object *
touched_object(const struct next *next, enum rs_object_kind kind,
               const char *name)
{
    return g_hash_table_lookup(next->touched[kind], name);
}

static const struct rs_object *
find(const struct next *next, enum rs_object_kind kind, const char *name)
{
    const struct rs_ticket_object *touched = touched_object(next, kind, name);
    if (touched != NULL) {
        return touched->value == NULL ? NULL : &touched->object;
    }
    const struct rs_config_entry *entry =
        RsConfig_Find(next->config, kind, name);
    return entry == NULL ? NULL : &entry->object;
}

static void
refuse(struct next *next, const char *path, const char *field,
       const char *what, const char *allowed)
{
    char *full = g_strdup_printf("%s.%s", path, field);
    RsFaults_Add(next->faults, full, what, "%s", allowed);
    g_free(full);
}

static const struct rs_object *
check_exists(struct next *next, const char *path, const char *field,
             enum rs_object_kind kind, const char *name)
{
    const struct rs_object *object = find(next, kind, name);
    if (object == NULL) {
        char what[WHAT_BYTES];
        snprintf(what, sizeof(what), "no %s \"%s\"", RsObject_KindName(kind),
                 name);
        refuse(next, path, field, what,
               "an object that exists once the ticket is in force");
    }
    return object;
}

/* Returns the name of another place that has the target, or NULL. */
static const char *
other_place(const struct next *next, const struct rs_model_place *place,
            const char *target)
{
    const char *touched = g_hash_table_lookup(next->targets, target);
    if (touched != NULL && strcmp(touched, place->name) != 0) {
        return touched;
    }
    const struct rs_model_place *present =
        RsConfig_PlaceOfTarget(next->config, target);
    if (present == NULL || strcmp(present->name, place->name) == 0 ||
        touched_object(next, RsObject_PLACE, present->name) != NULL) {
        return NULL;
    }
    return present->name;
}

static void
check_target(struct next *next, const char *path,
             const struct rs_model_place *place, size_t index)
{
    const char *other = other_place(next, place, place->targets[index].name);
    if (other != NULL) {
        char field[RsReader_PATH_BYTES];
        char what[WHAT_BYTES];
        snprintf(field, sizeof(field), "targets[%zu].name", index);
        snprintf(what, sizeof(what), "also a target of place \"%s\"", other);
        refuse(next, path, field, what, "a target in one place only");
    }
}

static void
check_place(struct next *next, const char *path,
            const struct rs_model_place *place)
{
    check_exists(next, path, "service", RsObject_SERVICE, place->service);
    check_exists(next, path, "domain", RsObject_DOMAIN, place->domain);
    for (size_t i = 0; i < place->target_count; i++) {
        check_target(next, path, place, i);
    }
}

static void
check_rule_place(struct next *next, const char *path,
                 const struct rs_model_rule *rule, size_t index)
{
    char field[RsReader_PATH_BYTES];
    snprintf(field, sizeof(field), "places[%zu]", index);
    const struct rs_object *place =
        check_exists(next, path, field, RsObject_PLACE, rule->places[index]);
    if (place != NULL && strcmp(place->as.place.service, rule->service) != 0) {
        refuse(next, path, field, "a place of another service",
               "places of the rule's service");
    }
}

static void
check_rule_service(struct next *next, const char *path,
                   const struct rs_model_rule *rule)
{
    const struct rs_object *service =
        check_exists(next, path, "service", RsObject_SERVICE, rule->service);
    if (service != NULL && !service->as.service.keyed) {
        refuse(next, path, "service", "a service without keys",
               "a keyed service");
    }
}

static void
check_rule(struct next *next, const char *path,
           const struct rs_model_rule *rule)
{
    check_rule_service(next, path, rule);
    for (size_t i = 0; i < rule->place_count; i++) {
        check_rule_place(next, path, rule, i);
    }
}

static bool
same_keys(const struct rs_model_rule *a, const struct rs_model_rule *b)
{
    return strcmp(a->name, b->name) != 0 &&
           strcmp(a->service, b->service) == 0 &&
           strcmp(a->prefix, b->prefix) == 0;
}

/* Of two touched rules with the same keys, the later is at fault. */
static bool
has_rival(const struct next *next, size_t index)
{
    const struct rs_model_rule *rule =
        &next->ticket->objects[index].object.as.rule;
    for (size_t i = 0; i < index; i++) {
        const struct rs_ticket_object *other = &next->ticket->objects[i];
        if (other->kind == RsObject_RULE && other->value != NULL &&
            same_keys(rule, &other->object.as.rule)) {
            return true;
        }
    }
    size_t count = RsConfig_Count(next->config, RsObject_RULE);
    for (size_t i = 0; i < count; i++) {
        const struct rs_model_rule *other =
            &RsConfig_At(next->config, RsObject_RULE, i)->object.as.rule;
        if (same_keys(rule, other) &&
            touched_object(next, RsObject_RULE, other->name) == NULL) {
            return true;
        }
    }
    return false;
}

static bool
overlap(const struct rs_model_rule *a, const struct rs_model_rule *b)
{
    size_t shared = MIN(strlen(a->prefix), strlen(b->prefix));
    return strcmp(a->name, b->name) != 0 &&
           strcmp(a->service, b->service) == 0 &&
           strncmp(a->prefix, b->prefix, shared) == 0;
}

static bool
is_deleted(const struct next *next, const struct rs_model_rule *rule)
{
    const struct rs_ticket_object *touched =
        touched_object(next, RsObject_RULE, rule->name);
    return touched != NULL && touched->value == NULL;
}

/* Keys must not go from one rule's slices to another's while processes may
 * not have applied the ticket yet: a new rule takes none from a present one,
 * and a deleted one leaves none to one that stays. */
static void
check_shares_no_keys(struct next *next, const char *path, const char *field,
                     const struct rs_model_rule *rule)
{
    bool deleted = is_deleted(next, rule);
    size_t count = RsConfig_Count(next->config, RsObject_RULE);
    for (size_t i = 0; i < count; i++) {
        const struct rs_model_rule *other =
            &RsConfig_At(next->config, RsObject_RULE, i)->object.as.rule;
        if (!overlap(rule, other) || (deleted && is_deleted(next, other))) {
            continue;
        }
        char what[WHAT_BYTES];
        snprintf(what, sizeof(what), "shares keys with rule \"%s\"",
                 other->name);
        refuse(next, path, field, what,
               "rules that share keys come and go in one ticket");
    }
}

/* Which slice a key is in must not change while the rule exists: processes
 * that have not applied the ticket yet would give the key a second owner. */
static void
check_rule_is_kept(struct next *next, const char *path,
                   const struct rs_model_rule *rule)
{
    static const char allowed[] = "as it is; or a rule under another name";
    const struct rs_model_rule *present =
        RsConfig_Rule(next->config, rule->name);
    if (present == NULL) {
        check_shares_no_keys(next, path, "prefix", rule);
        return;
    }
    if (present->slices != rule->slices) {
        refuse(next, path, "slices", "changed", allowed);
    }
    if (strcmp(present->service, rule->service) != 0) {
        refuse(next, path, "service", "changed", allowed);
    }
    if (strcmp(present->prefix, rule->prefix) != 0) {
        refuse(next, path, "prefix", "changed", allowed);
    }
}

static void
check_deletion(struct next *next, const struct rs_ticket_object *object,
               size_t index)
{
    char path[RsReader_PATH_BYTES];
    snprintf(path, sizeof(path), "objects[%zu]", index);
    const struct rs_config_entry *present =
        RsConfig_Find(next->config, object->kind, object->name);
    if (present == NULL) {
        refuse(next, path, "name", "deleted, but does not exist",
               "an object that exists");
    }
    else if (object->kind == RsObject_RULE) {
        check_shares_no_keys(next, path, "name", &present->object.as.rule);
    }
}

static void
check_touched(struct next *next, size_t index)
{
    const struct rs_ticket_object *object = &next->ticket->objects[index];
    if (object->value == NULL) {
        check_deletion(next, object, index);
        return;
    }
    char path[RsReader_PATH_BYTES];
    snprintf(path, sizeof(path), "objects[%zu].value", index);
    if (object->kind == RsObject_PLACE) {
        check_place(next, path, &object->object.as.place);
    }
    else if (object->kind == RsObject_RULE) {
        check_rule(next, path, &object->object.as.rule);
        check_rule_is_kept(next, path, &object->object.as.rule);
        if (has_rival(next, index)) {
            refuse(next, path, "prefix", "also the prefix of another rule",
                   "one rule for a service and prefix");
        }
    }
}

static bool
place_refers(const struct next *next, const struct rs_model_place *place)
{
    return touched_object(next, RsObject_SERVICE, place->service) != NULL ||
           touched_object(next, RsObject_DOMAIN, place->domain) != NULL;
}

static bool
rule_refers(const struct next *next, const struct rs_model_rule *rule)
{
    for (size_t i = 0; i < rule->place_count; i++) {
        if (touched_object(next, RsObject_PLACE, rule->places[i]) != NULL) {
            return true;
        }
    }
    return touched_object(next, RsObject_SERVICE, rule->service) != NULL;
}

/* Objects that the ticket does not touch, but that refer to one it does. */
static void
check_referrers(struct next *next, enum rs_object_kind kind)
{
    for (size_t i = 0; i < RsConfig_Count(next->config, kind); i++) {
        const struct rs_object *object =
            &RsConfig_At(next->config, kind, i)->object;
        const char *name = RsObject_Name(object);
        if (touched_object(next, kind, name) != NULL) {
            continue;
        }
        char path[RsReader_PATH_BYTES];
        snprintf(path, sizeof(path), "%s/%s", RsObject_KindName(kind), name);
        if (kind == RsObject_PLACE && place_refers(next, &object->as.place)) {
            check_place(next, path, &object->as.place);
        }
        else if (kind == RsObject_RULE &&
                 rule_refers(next, &object->as.rule)) {
            check_rule(next, path, &object->as.rule);
        }
    }
}

static void
index_touched(struct next *next)
{
    for (size_t i = 0; i < next->ticket->count; i++) {
        struct rs_ticket_object *object = &next->ticket->objects[i];
        g_hash_table_insert(next->touched[object->kind], object->name, object);
        if (object->kind != RsObject_PLACE || object->value == NULL) {
            continue;
        }
        struct rs_model_place *place = &object->object.as.place;
        for (size_t j = 0; j < place->target_count; j++) {
            char *target = place->targets[j].name;
            if (!g_hash_table_contains(next->targets, target)) {
                g_hash_table_insert(next->targets, target, place->name);
            }
        }
    }
}

/* Checks that the state after the ticket is whole: references lead somewhere,
 * a target is in one place, a prefix in one rule, and a rule keeps what places
 * its keys in slices. Returns 0, or RsTicket_INVALID after adding all faults;
 * those of objects that the ticket does not touch have the path KIND/NAME. */
int
RsTicket_Validate(const struct rs_ticket *ticket,
                  const struct rs_config *config, struct rs_faults *faults)
{
    size_t before = faults->count;
    struct next next = {.ticket = ticket, .config = config, .faults = faults};
    next.targets = g_hash_table_new(g_str_hash, g_str_equal);
    for (int kind = 0; kind < RsObject_KINDS; kind++) {
        next.touched[kind] = g_hash_table_new(g_str_hash, g_str_equal);
    }
    index_touched(&next);
    for (size_t i = 0; i < ticket->count; i++) {
        check_touched(&next, i);
    }
    check_referrers(&next, RsObject_PLACE);
    check_referrers(&next, RsObject_RULE);
    for (int kind = 0; kind < RsObject_KINDS; kind++) {
        g_hash_table_unref(next.touched[kind]);
    }
    g_hash_table_unref(next.targets);
    return faults->count > before ? RsTicket_INVALID : 0;
}
