/* The configuration that this process has read: immutable, reference-counted,
 * and shared by tasks on different threads. */

#ifndef RATTANSHED_TICKET_CONFIG_H
#define RATTANSHED_TICKET_CONFIG_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "ticket/object.h"

/* One row of the platform's table. A deleted row has a null value. The rows
 * given to RsConfig_Build must include `ticket/head` if it exists: a deleted
 * object's row does not hold the number of the ticket that deleted it, so the
 * object rows alone may not give the last applied ticket. */
struct rs_config_row {
    const char *key;
    uint64_t version;
    json_t *value;
};

struct rs_config_entry {
    struct rs_object object;
    uint64_t version; /* version of the table row */
    uint64_t ticket;  /* number of the ticket that wrote the row */
    json_t *value;    /* the object's JSON value */
};

struct rs_config;

struct rs_config *RsConfig_Build(const struct rs_config_row *rows,
                                 size_t count);
struct rs_config *RsConfig_Ref(struct rs_config *config);
void RsConfig_Unref(struct rs_config *config);

uint64_t RsConfig_AppliedTicket(const struct rs_config *config);
size_t RsConfig_InvalidRowCount(const struct rs_config *config);

/* Entries of a kind, sorted by name. */
size_t RsConfig_Count(const struct rs_config *config,
                      enum rs_object_kind kind);
const struct rs_config_entry *RsConfig_EntryAt(const struct rs_config *config,
                                               enum rs_object_kind kind,
                                               size_t index);
const struct rs_config_entry *
RsConfig_FindEntry(const struct rs_config *config, enum rs_object_kind kind,
                   const char *name);

/* Lookups. They return NULL if nothing is found. */
const struct rs_model_service *RsConfig_Service(const struct rs_config *config,
                                                const char *name);
const struct rs_model_place *RsConfig_Place(const struct rs_config *config,
                                            const char *name);
const struct rs_model_rule *RsConfig_Rule(const struct rs_config *config,
                                          const char *name);
const struct rs_model_domain *RsConfig_Domain(const struct rs_config *config,
                                              const char *name);
const struct rs_model_place *
RsConfig_PlaceOfTarget(const struct rs_config *config, const char *target);
const struct rs_model_rule *RsConfig_RuleOfKey(const struct rs_config *config,
                                               const char *service,
                                               const char *key,
                                               size_t key_bytes);

#endif
