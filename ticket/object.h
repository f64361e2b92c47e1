/* The configuration's objects (services, places, rules and domains), and their
 * parsing from JSON. */

#ifndef RATTANSHED_TICKET_OBJECT_H
#define RATTANSHED_TICKET_OBJECT_H

#include <jansson.h>
#include <stdbool.h>

#include "core/error.h"
#include "place/model.h"
#include "ticket/fault.h"

enum rs_object_error {
    RsObject_INVALID = RsError_TICKET /* invalid object, or unknown kind */
};

enum rs_object_kind {
    RsObject_SERVICE,
    RsObject_PLACE,
    RsObject_RULE,
    RsObject_DOMAIN,
    RsObject_KIND_COUNT /* the number of kinds */
};

#define RsObject_MAX_TARGETS 1024
#define RsObject_MAX_PLACES 64

/* A parsed object. It owns the arrays that `as` points to. */
struct rs_object {
    enum rs_object_kind kind;
    union {
        struct rs_model_service service;
        struct rs_model_place place;
        struct rs_model_rule rule;
        struct rs_model_domain domain;
    } as;
};

const char *RsObject_KindName(enum rs_object_kind kind);
int RsObject_ParseKind(const char *text, enum rs_object_kind *kind);
bool RsObject_IsValidName(const char *text);
const char *RsObject_Name(const struct rs_object *object);

int RsObject_Parse(struct rs_object *object, enum rs_object_kind kind,
                   const char *name, const json_t *value, const char *path,
                   struct rs_faults *faults);
void RsObject_Free(struct rs_object *object);

#endif
