/* Converts cell messages to and from protobuf messages. */

#include <glib.h>
#include <string.h>

#include "cell/cell_wire.h"
#include "wire/frame.h"

static void
claim_to_wire(const struct rs_cell_claim *claim, Rs__Cell__Claim *wire)
{
    rs__cell__claim__init(wire);
    wire->slice = claim->slice;
    wire->epoch = claim->fence.epoch;
    wire->step = claim->fence.step;
    wire->position = claim->position;
    wire->held = claim->held;
}

static void
claim_from_wire(const Rs__Cell__Claim *wire, struct rs_cell_claim *claim)
{
    claim->slice = wire->slice;
    claim->fence.epoch = wire->epoch;
    claim->fence.step = wire->step;
    claim->position = wire->position;
    claim->held = wire->held;
}

/* Returns pointers to converted claims; free them with free_wire_claims(). */
static Rs__Cell__Claim **
claims_to_wire(const struct rs_cell_claim *claims, size_t count)
{
    Rs__Cell__Claim *wire_claims = g_new(Rs__Cell__Claim, count + 1);
    Rs__Cell__Claim **pointers = g_new(Rs__Cell__Claim *, count + 1);
    pointers[0] = wire_claims;
    for (size_t i = 0; i < count; i++) {
        pointers[i] = &wire_claims[i];
        claim_to_wire(&claims[i], pointers[i]);
    }
    return pointers;
}

static void
free_wire_claims(Rs__Cell__Claim **pointers)
{
    g_free(pointers[0]);
    g_free(pointers);
}

static struct rs_cell_claim *
claims_from_wire(Rs__Cell__Claim **pointers, size_t count)
{
    struct rs_cell_claim *claims = g_new0(struct rs_cell_claim, count);
    for (size_t i = 0; i < count; i++) {
        claim_from_wire(pointers[i], &claims[i]);
    }
    return claims;
}

static uint8_t *
pack_renew(const struct rs_cell_message *message, size_t *size_bytes)
{
    Rs__Wire__Peer peer = RS__WIRE__PEER__INIT;
    Rs__Cell__Renew renew = RS__CELL__RENEW__INIT;
    peer.message_case = RS__WIRE__PEER__MESSAGE_RENEW;
    peer.renew = &renew;
    renew.holder = message->from;
    renew.incarnation = message->incarnation;
    renew.roster = message->roster_version;
    renew.sequence = message->sequence;
    renew.n_claims = message->claim_count;
    renew.claims = claims_to_wire(message->claims, message->claim_count);
    renew.n_releases = message->release_count;
    renew.releases = claims_to_wire(message->releases, message->release_count);
    uint8_t *frame = RsFrame_Pack(&peer.base, size_bytes);
    free_wire_claims(renew.claims);
    free_wire_claims(renew.releases);
    return frame;
}

static void
answer_to_wire(const struct rs_cell_claim_answer *answer,
               Rs__Cell__ClaimAnswer *wire, Rs__Cell__Claim *claim)
{
    rs__cell__claim_answer__init(wire);
    claim_to_wire(&answer->claim, claim);
    wire->claim = claim;
    wire->result = answer->result;
    wire->epoch = answer->highest.fence.epoch;
    wire->step = answer->highest.fence.step;
    wire->position = answer->highest.position;
    wire->holder = answer->holder;
    wire->wait_ms = answer->wait_ms;
}

static uint8_t *
pack_renew_answer(const struct rs_cell_message *message, size_t *size_bytes)
{
    Rs__Wire__Peer peer = RS__WIRE__PEER__INIT;
    Rs__Cell__RenewAnswer answer = RS__CELL__RENEW_ANSWER__INIT;
    size_t count = message->answer_count;
    Rs__Cell__Claim *claims = g_new(Rs__Cell__Claim, count);
    Rs__Cell__ClaimAnswer *wire_answers = g_new(Rs__Cell__ClaimAnswer, count);
    Rs__Cell__ClaimAnswer **pointers = g_new(Rs__Cell__ClaimAnswer *, count);
    for (size_t i = 0; i < count; i++) {
        pointers[i] = &wire_answers[i];
        answer_to_wire(&message->answers[i], pointers[i], &claims[i]);
    }
    peer.message_case = RS__WIRE__PEER__MESSAGE_RENEW_ANSWER;
    peer.renew_answer = &answer;
    answer.member = message->from;
    answer.incarnation = message->incarnation;
    answer.roster = message->roster_version;
    answer.sequence = message->sequence;
    answer.result = message->result;
    answer.n_answers = count;
    answer.answers = pointers;
    answer.n_excluded = message->excluded_count;
    answer.excluded = message->excluded;
    uint8_t *frame = RsFrame_Pack(&peer.base, size_bytes);
    g_free(pointers);
    g_free(wire_answers);
    g_free(claims);
    return frame;
}

static uint8_t *
pack_seal(const struct rs_cell_message *message, size_t *size_bytes)
{
    Rs__Wire__Peer peer = RS__WIRE__PEER__INIT;
    Rs__Cell__Seal seal = RS__CELL__SEAL__INIT;
    peer.message_case = RS__WIRE__PEER__MESSAGE_SEAL;
    peer.seal = &seal;
    seal.sender = message->from;
    seal.slice = message->slice;
    seal.epoch = message->epoch;
    seal.sequence = message->sequence;
    seal.roster = message->roster_version;
    return RsFrame_Pack(&peer.base, size_bytes);
}

static uint8_t *
pack_seal_answer(const struct rs_cell_message *message, size_t *size_bytes)
{
    Rs__Wire__Peer peer = RS__WIRE__PEER__INIT;
    Rs__Cell__SealAnswer answer = RS__CELL__SEAL_ANSWER__INIT;
    peer.message_case = RS__WIRE__PEER__MESSAGE_SEAL_ANSWER;
    peer.seal_answer = &answer;
    answer.member = message->from;
    answer.slice = message->slice;
    answer.epoch = message->epoch;
    answer.sequence = message->sequence;
    answer.result = message->result;
    answer.wait_ms = message->wait_ms;
    answer.released = message->released;
    return RsFrame_Pack(&peer.base, size_bytes);
}

/* Encodes a message as one frame of the control connection. Returns the frame,
 * which the caller frees with g_free(), and stores its size. */
uint8_t *
RsCellWire_Pack(const struct rs_cell_message *message, size_t *size_bytes)
{
    switch (message->kind) {
    case RsCell_RENEW:
        return pack_renew(message, size_bytes);
    case RsCell_RENEW_ANSWER:
        return pack_renew_answer(message, size_bytes);
    case RsCell_SEAL:
        return pack_seal(message, size_bytes);
    case RsCell_SEAL_ANSWER:
        return pack_seal_answer(message, size_bytes);
    }
    g_assert_not_reached();
}

static void
unpack_renew(const Rs__Cell__Renew *renew, struct rs_cell_message *message)
{
    message->kind = RsCell_RENEW;
    message->from = renew->holder;
    message->incarnation = renew->incarnation;
    message->roster_version = renew->roster;
    message->sequence = renew->sequence;
    message->claim_count = renew->n_claims;
    message->claims = claims_from_wire(renew->claims, renew->n_claims);
    message->release_count = renew->n_releases;
    message->releases = claims_from_wire(renew->releases, renew->n_releases);
}

static int
unpack_answers(const Rs__Cell__RenewAnswer *answer,
               struct rs_cell_message *message)
{
    message->answer_count = answer->n_answers;
    message->answers = g_new0(struct rs_cell_claim_answer, answer->n_answers);
    for (size_t i = 0; i < answer->n_answers; i++) {
        const Rs__Cell__ClaimAnswer *wire = answer->answers[i];
        struct rs_cell_claim_answer *out = &message->answers[i];
        if (wire->claim == NULL) {
            return RsCell_BAD_MESSAGE;
        }
        claim_from_wire(wire->claim, &out->claim);
        out->result = wire->result;
        out->highest.slice = out->claim.slice;
        out->highest.fence.epoch = wire->epoch;
        out->highest.fence.step = wire->step;
        out->highest.position = wire->position;
        out->holder = wire->holder;
        out->wait_ms = wire->wait_ms;
    }
    return 0;
}

static int
unpack_renew_answer(const Rs__Cell__RenewAnswer *answer,
                    struct rs_cell_message *message)
{
    message->kind = RsCell_RENEW_ANSWER;
    message->from = answer->member;
    message->incarnation = answer->incarnation;
    message->roster_version = answer->roster;
    message->sequence = answer->sequence;
    message->result = answer->result;
    message->excluded_count = answer->n_excluded;
    message->excluded =
        g_memdup2(answer->excluded, answer->n_excluded * sizeof(uint64_t));
    return unpack_answers(answer, message);
}

static void
unpack_seal(const Rs__Cell__Seal *seal, struct rs_cell_message *message)
{
    message->kind = RsCell_SEAL;
    message->from = seal->sender;
    message->slice = seal->slice;
    message->epoch = seal->epoch;
    message->sequence = seal->sequence;
    message->roster_version = seal->roster;
}

static void
unpack_seal_answer(const Rs__Cell__SealAnswer *answer,
                   struct rs_cell_message *message)
{
    message->kind = RsCell_SEAL_ANSWER;
    message->from = answer->member;
    message->slice = answer->slice;
    message->epoch = answer->epoch;
    message->sequence = answer->sequence;
    message->result = answer->result;
    message->wait_ms = answer->wait_ms;
    message->released = answer->released;
}

/* Converts a message received from a peer into a cell message addressed to
 * member `to`. Returns 0, and the caller frees the message with
 * RsCell_FreeMessage(); or RsCell_BAD_MESSAGE when `peer` has no cell message
 * or one that lacks a part, and then there is nothing to free. */
int
RsCellWire_Unpack(const Rs__Wire__Peer *peer, uint64_t to,
                  struct rs_cell_message *message)
{
    int error = 0;
    memset(message, 0, sizeof(*message));
    message->to = to;
    switch (peer->message_case) {
    case RS__WIRE__PEER__MESSAGE_RENEW:
        unpack_renew(peer->renew, message);
        break;
    case RS__WIRE__PEER__MESSAGE_RENEW_ANSWER:
        error = unpack_renew_answer(peer->renew_answer, message);
        break;
    case RS__WIRE__PEER__MESSAGE_SEAL:
        unpack_seal(peer->seal, message);
        break;
    case RS__WIRE__PEER__MESSAGE_SEAL_ANSWER:
        unpack_seal_answer(peer->seal_answer, message);
        break;
    default:
        error = RsCell_BAD_MESSAGE;
        break;
    }
    if (error != 0) {
        RsCell_FreeMessage(message);
    }
    return error;
}
