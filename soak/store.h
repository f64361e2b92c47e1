/* A stand-in of the platform's metadata store, with its faults: rows,
 * conditional transactions, a feed with long waits. In memory, on the loop of
 * the soak. */

#ifndef RATTANSHED_SOAK_STORE_H
#define RATTANSHED_SOAK_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

enum rs_soak_store_mode {
    RsSoakStore_UP,
    RsSoakStore_BUSY,   /* 503 */
    RsSoakStore_SILENT, /* calls are not answered, and not done */
    RsSoakStore_LOSING, /* some writes are done and not answered */
    RsSoakStore_LATE,   /* some writes are done later, and not answered */
    RsSoakStore_SLOW,   /* answers come late */
};

struct rs_soak_store;

struct rs_soak_store *RsSoakStore_Open(uv_loop_t *loop, uint16_t port,
                                       GRand *random);
void RsSoakStore_SetMode(struct rs_soak_store *store,
                         enum rs_soak_store_mode mode);
void RsSoakStore_Put(struct rs_soak_store *store, const char *table,
                     const char *key, const char *value);
void RsSoakStore_Drop(struct rs_soak_store *store, const char *table,
                      const char *key);
void RsSoakStore_ForgetHistory(struct rs_soak_store *store);

#endif
