/* A change ticket: a number and the complete new state of each configuration
 * object that it changes. */

#ifndef RATTANSHED_TICKET_TICKET_H
#define RATTANSHED_TICKET_TICKET_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "core/id.h"
#include "ticket/config.h"
#include "ticket/fault.h"
#include "ticket/object.h"

enum rs_ticket_error {
    RsTicket_INVALID = RsError_TICKET - 10 /* the faults list the reasons */
};

#define RsTicket_MAX_BYTES (1024 * 1024)
#define RsTicket_MAX_NUMBER INT64_C(9999999999)
#define RsTicket_MAX_OBJECTS 256
#define RsTicket_MAX_NOTE_BYTES 1024
#define RsTicket_KEY_BYTES 32
#define RsTicket_HEAD_KEY "ticket/head"

/* One object of a ticket. A deletion has a NULL `value`, and `object` is then
 * not set. */
struct rs_ticket_object {
    enum rs_object_kind kind;
    char name[RsModel_NAME_BYTES];
    json_t *value;
    struct rs_object object;
};

struct rs_ticket {
    uint64_t number;
    struct rs_ticket_object *objects;
    size_t count;
    json_t *body; /* the parsed file: author, note, number and objects */
    char digest[RsId_TEXT_BYTES];
};

int RsTicket_Parse(const char *text, size_t size_bytes, struct rs_ticket **out,
                   struct rs_faults *faults);
int RsTicket_Validate(const struct rs_ticket *ticket,
                      const struct rs_config *config,
                      struct rs_faults *faults);
void RsTicket_Free(struct rs_ticket *ticket);

void RsTicket_LogKey(uint64_t number, char key[RsTicket_KEY_BYTES]);
json_t *RsTicket_CommitBody(const struct rs_ticket *ticket,
                            uint64_t head_version);
json_t *RsTicket_Difference(const struct rs_ticket *ticket,
                            const struct rs_config *config);

#endif
