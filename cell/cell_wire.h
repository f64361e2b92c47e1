/* Converts between struct rs_cell_message and its encoding: a protobuf message
 * of package rs.cell inside an rs.wire.Peer message. */

#ifndef RATTANSHED_CELL_CELL_WIRE_H
#define RATTANSHED_CELL_CELL_WIRE_H

#include "cell/cell.h"
#include "wire/peer.pb-c.h"

uint8_t *RsCellWire_Pack(const struct rs_cell_message *message,
                         size_t *size_bytes);
int RsCellWire_Unpack(const Rs__Wire__Peer *peer, uint64_t to,
                      struct rs_cell_message *message);

#endif
