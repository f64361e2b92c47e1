/* Cell messages on the wire: rs.cell messages wrapped in rs.wire.Peer. */

#ifndef RATTANSHED_CELL_CELL_WIRE_H
#define RATTANSHED_CELL_CELL_WIRE_H

#include "cell/cell.h"
#include "wire/peer.pb-c.h"

/* Returns a frame that the caller frees with g_free(). */
uint8_t *RsCellWire_Pack(const struct rs_cell_message *message,
                         size_t *size_bytes);
int RsCellWire_Unpack(const Rs__Wire__Peer *peer, uint64_t to,
                      struct rs_cell_message *message);

#endif
