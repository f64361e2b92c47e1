/* Encodes and decodes cell messages: rs.cell messages in an rs.wire.Peer. */

#ifndef RATTANSHED_CELL_CELL_WIRE_H
#define RATTANSHED_CELL_CELL_WIRE_H

#include "cell/cell.h"
#include "wire/peer.pb-c.h"

uint8_t *RsCellWire_Pack(const struct rs_cell_message *message,
                         size_t *size_bytes);
int RsCellWire_Unpack(const Rs__Wire__Peer *peer, uint64_t to,
                      struct rs_cell_message *message);

#endif
