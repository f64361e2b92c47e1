/* A simulation of the platform's metadata store and of its failures. Provides
 * rows, conditional transactions and a feed of changes with long polling, all
 * in memory and on the loop of the soak. */

#ifndef RATTANSHED_SOAK_STORE_H
#define RATTANSHED_SOAK_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

enum rs_soak_store_mode {
    RsSoakStore_UP,
    RsSoakStore_UNAVAILABLE,     /* every new call gets a 503 */
    RsSoakStore_UNRESPONSIVE,    /* new calls don't run and get no response;
                                    waiting feeds get none meanwhile */
    RsSoakStore_LOSES_RESPONSES, /* some transactions get no response, although
                                    they were processed */
    RsSoakStore_DELAYS_WRITES,   /* some writes run later, with no response */
    RsSoakStore_SLOW,            /* responses are delayed, except those of
                                    feeds that wait for a change */
};

struct rs_soak_store;

struct rs_soak_store *RsSoakStore_Open(uv_loop_t *loop, uint16_t port,
                                       GRand *random);
void RsSoakStore_SetMode(struct rs_soak_store *store,
                         enum rs_soak_store_mode mode);
void RsSoakStore_Put(struct rs_soak_store *store, const char *table,
                     const char *key, const char *value);
void RsSoakStore_Delete(struct rs_soak_store *store, const char *table,
                        const char *key);
void RsSoakStore_DelayFeed(struct rs_soak_store *store, const char *table,
                           uint32_t delay_ms);
bool RsSoakStore_IsFeedDelayed(const struct rs_soak_store *store);
void RsSoakStore_TrimHistory(struct rs_soak_store *store);

/* How the store goes back to a copy of its rows, see RsSoakStore_Restore(). */
struct rs_soak_restore {
    uint32_t copy_age_ms; /* at the least, up to RsSoakStore_MAX_COPY_AGE_MS */
    uint32_t away_ms;     /* no call is answered */
    /* From the return until the rows of operator and targets are written
     * again.
     */
    uint32_t rewrite_after_ms;
};

#define RsSoakStore_MAX_COPY_AGE_MS 8000

void RsSoakStore_Restore(struct rs_soak_store *store,
                         const struct rs_soak_restore *restore);

#endif
