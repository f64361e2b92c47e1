#include "router/notices.h"

#include <string.h>

#include "core/log.h"
#include "platform/wire.h"

#define STATUS_REFUSED 503
#define IS_LEAVING "1"

/* Reads the time for which a target that has refused a request wants no
 * others. Returns false if there is none, or after logging it, if it can't be
 * used. */
static bool
read_closed_ms(struct rs_notice_counters *counters,
               const struct rs_fleet_target *target,
               const struct rs_http_head *head, uint32_t *closed_ms)
{
    size_t count = RsHttp_CountHeaders(head, RsWire_RETRY_AFTER);
    if (head->status != STATUS_REFUSED || count == 0) {
        return false;
    }
    const char *text = RsHttp_FindHeader(head, RsWire_RETRY_AFTER);
    if (count == 1 && RsReport_DecodeRetryAfter(text, closed_ms) == 0) {
        return true;
    }
    RsCounter_Add(&counters->malformed, 1);
    RsLog_EVENT(RsLog_WARNING, "retry_after_malformed",
                RsLog_TEXT("target", target->id), RsLog_TEXT("value", text),
                RsLog_NUMBER("headers", count));
    return false;
}

/* Reads the limit that a target states. A response that a target gave without
 * running the request may lack it, so only a signed one states that there is
 * none. Returns whether that is news. */
static bool
read_limit(struct rs_notice_counters *counters, struct rs_fleet_target *target,
           int64_t started_wall_ms, const struct rs_http_head *head,
           int64_t now_ms)
{
    size_t count = RsHttp_CountHeaders(head, RsWire_LIMIT);
    const char *text = RsHttp_FindHeader(head, RsWire_LIMIT);
    double per_s = RsLimit_NONE;
    if (count == 0 && RsHttp_FindHeader(head, RsWire_SIGNATURE) == NULL) {
        return false;
    }
    if (count > 1 || (count == 1 && RsReport_DecodeLimit(text, &per_s) != 0)) {
        RsCounter_Add(&counters->malformed_limits, 1);
        RsLog_EVENT(RsLog_WARNING, "limit_malformed",
                    RsLog_TEXT("target", target->id),
                    RsLog_TEXT("value", text), RsLog_NUMBER("headers", count));
        return false;
    }
    RsCounter_Add(&counters->limited, count);
    const struct rs_fleet_limit_notice notice = {per_s, now_ms, "response"};
    return RsFleet_RecordLimit(target, started_wall_ms, &notice, now_ms);
}

/* Reads the notices in the head of a response, which came from the process
 * that was started at `started_wall_ms`. Returns whether the granter should be
 * told at once. */
bool
RsNotices_Read(struct rs_notice_counters *counters,
               struct rs_fleet_target *target, int64_t started_wall_ms,
               const struct rs_http_head *head, int64_t now_ms)
{
    bool is_news = false;
    const char *leaving = RsHttp_FindHeader(head, RsWire_LEAVING);
    uint32_t closed_ms = 0;
    if (leaving != NULL && strcmp(leaving, IS_LEAVING) == 0 &&
        RsFleet_RecordLeaving(target, started_wall_ms, now_ms)) {
        RsCounter_Add(&counters->leaving, 1);
        is_news = true;
    }
    if (read_closed_ms(counters, target, head, &closed_ms)) {
        RsCounter_Add(&counters->closed, 1);
        RsFleet_RecordClosed(target, started_wall_ms, now_ms + closed_ms);
        is_news = true;
    }
    is_news |= read_limit(counters, target, started_wall_ms, head, now_ms);
    return is_news;
}
