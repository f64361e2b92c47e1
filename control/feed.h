/* Keeps this process's mirror of the platform's table and its copy of the list
 * of VMs up to date. A few processes in each cell, the readers, poll the table
 * often, the others rarely. The feed also decides when to request changes of
 * the table from a peer that has a later revision, and applies those that
 * arrive. */

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
    /* Called when the mirror or the list of VMs has changed, and after the
     * first complete read of the table. */
    void (*changed)(void *arg);
    void *arg;
};

/* Lifecycle. Free a feed only when no call to the platform is open: its answer
 * would use the feed. */
struct rs_feed *RsFeed_New(const struct rs_feed_options *options);
void RsFeed_Free(struct rs_feed *feed);

/* Polling. A reader polls the table often. Other processes do so until their
 * first complete read, and then only rarely, as a fallback. */
void RsFeed_Tick(struct rs_feed *feed, int64_t now_ms, bool reader);
void RsFeed_PollNow(struct rs_feed *feed);

/* Changes from and for peers */
bool RsFeed_BeginPeerRequest(struct rs_feed *feed, int64_t now_ms,
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
