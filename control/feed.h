/* Keeps this process's mirror of the platform's table up to date: a few
 * readers of each cell ask the platform, the others learn from peers by
 * revision. */

#ifndef RATTANSHED_CONTROL_FEED_H
#define RATTANSHED_CONTROL_FEED_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "control/peers.h"
#include "member/member.pb-c.h"
#include "member/mirror.h"
#include "platform/platform.h"

struct rs_feed;

struct rs_feed_options {
    struct rs_platform *platform;
    const char *domain;
    uint32_t poll_every_ms;
    /* The mirror or the list of VMs changed. */
    void (*changed)(void *arg);
    void *arg;
};

/* Life. Free a feed only when the platform owes it no answer. */
struct rs_feed *RsFeed_New(const struct rs_feed_options *options);
void RsFeed_Free(struct rs_feed *feed);

/* Time. A reader asks the platform often, the others now and then. */
void RsFeed_Tick(struct rs_feed *feed, int64_t now_ms, bool reader);
void RsFeed_PollNow(struct rs_feed *feed);

/* Peers. `wanted_after` is where the next request to a peer is to begin;
 * false when none is due. */
bool RsFeed_WantsFrom(struct rs_feed *feed, int64_t now_ms,
                      uint64_t peer_revision, uint64_t *wanted_after);
void RsFeed_TakeChanges(struct rs_feed *feed,
                        const Rs__Member__Changes *changes);
void RsFeed_FillChanges(const struct rs_feed *feed, uint64_t after,
                        Rs__Member__Changes *changes);
void RsFeed_FreeChanges(Rs__Member__Changes *changes);

/* Look */
const struct rs_mirror *RsFeed_Mirror(const struct rs_feed *feed);
const json_t *RsFeed_Vms(const struct rs_feed *feed);
int64_t RsFeed_VmsReadAtMs(const struct rs_feed *feed);
bool RsFeed_TableWasRead(const struct rs_feed *feed);
int64_t RsFeed_ReadBeganAtMs(const struct rs_feed *feed);
bool RsFeed_PlatformAnswers(const struct rs_feed *feed, int64_t now_ms);

#endif
