/* Keeps this process's mirror of the platform's table up to date. A few
 * readers in each cell poll the platform often. All processes also fetch
 * changes from peers that have a later revision. */

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
    /* Is called when the mirror or the list of VMs changed. */
    void (*changed)(void *arg);
    void *arg;
};

/* Lifecycle. Free a feed only when no call to the platform is open: its answer
 * would use the feed. */
struct rs_feed *RsFeed_New(const struct rs_feed_options *options);
void RsFeed_Free(struct rs_feed *feed);

/* Polling. A reader polls the platform often, other processes only rarely, as
 * a fallback. */
void RsFeed_Tick(struct rs_feed *feed, int64_t now_ms, bool reader);
void RsFeed_PollNow(struct rs_feed *feed);

/* Changes from and for peers. RsFeed_ShouldAskPeer() sets `request_after` to
 * the revision after which the next request to a peer must start, and returns
 * false when no request is due. */
bool RsFeed_ShouldAskPeer(struct rs_feed *feed, int64_t now_ms,
                          uint64_t peer_revision, uint64_t *request_after);
void RsFeed_ApplyChanges(struct rs_feed *feed,
                         const Rs__Member__Changes *changes);
void RsFeed_FillChanges(const struct rs_feed *feed, uint64_t after,
                        Rs__Member__Changes *changes);
void RsFeed_FreeChanges(Rs__Member__Changes *changes);

/* Queries */
const struct rs_mirror *RsFeed_Mirror(const struct rs_feed *feed);
const json_t *RsFeed_Vms(const struct rs_feed *feed);
int64_t RsFeed_VmsReadAtMs(const struct rs_feed *feed);
bool RsFeed_TableWasRead(const struct rs_feed *feed);
int64_t RsFeed_LastReadBeganAtMs(const struct rs_feed *feed);
bool RsFeed_PlatformAnswers(const struct rs_feed *feed, int64_t now_ms);

#endif
