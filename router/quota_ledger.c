#include "router/quota_ledger.h"

#include <math.h>

#define MS_PER_S 1000.0
/* A node is taken for lost this long after the last request of it whose answer
 * it confirmed. */
#define LOST_MS (RsQuota_LOST_MS - RsQuota_MAX_RTT_MS)
/* For how long the own rates of nodes that this ledger never heard from may be
 * higher than an even share. */
#define UNKNOWN_MS (RsQuota_LOST_MS + RsQuota_FULL_RATE_MS)
/* Rates of lost nodes are reserved for this long. Regions may lose each other
 * for an hour. The price is small: the share of one node in all nodes. */
#define MAX_LOST_MS 3600000
/* A node that is heard and has not named a workspace for this long has no own
 * rate for it any more. */
#define FORGET_MS (RsQuota_IDLE_MS + 2000)
/* Shares of the operator's slack. A bucket begins with BEGIN_SHARE of it, so
 * that the requests of small workspaces are not refused when the granter
 * changes. RESERVE_SHARE of it in each window is not reserved, so that a lost
 * node doesn't take a small workspace's tokens. The rest is for the spread of
 * the nodes' own tokens. */
#define BEGIN_SHARE 0.2
#define RESERVE_SHARE 0.4
/* A bucket holds this share more than the burst. Without it, a workspace with
 * 5 requests a second at 1 / 1.6 of its rate would find its bucket empty for
 * one in 100 requests, with ideal knowledge. */
#define EXTRA_SHARE 0.1
/* Refused callers have places for this part of the tokens, because they come
 * back at random around their places. With places for all tokens, up to 11 in
 * 100 found none in the simulation. */
#define LINE_PART 0.85
/* An own rate is this many times what the node was given on average, as far as
 * the workspace's rate allows: requests come at random, and more come back
 * after a gap. */
#define OWN_RATE_HEADROOM 1.5
/* A moving average below this rate counts as 0. */
#define MIN_RATE_PER_S 0.001

/* A node that has asked this ledger for tokens. */
struct member {
    uint64_t incarnation;
    uint64_t sequence; /* of its last request */
    /* The last request of which it has confirmed the answer came then. */
    int64_t heard_at_ms;
    /* A request whose answer it may still confirm. */
    uint64_t pending;
    int64_t pending_at_ms;
};

/* What a node has been given of a bucket. */
struct share {
    struct member *member;
    uint64_t incarnation;
    double given_per_s; /* moving average */
    int64_t given_at_ms;
    double stated_per_s;   /* its own rate by the last answer */
    double reported_per_s; /* its own rate by its last request */
    int64_t named_at_ms;
};

struct bucket {
    const char *name; /* interned */
    double per_s;
    double burst;
    double level;
    int64_t filled_at_ms;
    int64_t line_until_ms; /* end of the line of refused callers */
    GArray *shares;        /* struct share */
};

struct limit {
    double per_s;
    double burst;
};

struct rs_quota_ledger {
    struct rs_quota_bounds bounds;
    double fill;         /* part of a rate by which its bucket fills */
    GHashTable *limits;  /* interned name to struct limit in `limit_list` */
    GArray *limit_list;  /* struct limit */
    GHashTable *buckets; /* interned name to struct bucket */
    GHashTable *members; /* interned name to struct member */
    uint32_t nodes;      /* among which nodes divide rates, see SetNodes */
    uint32_t former;     /* nodes that a former granter knew; 0: none */
    int64_t started_at_ms;
    GArray *items; /* of the answer made last */
};

static void
free_bucket(gpointer data)
{
    struct bucket *bucket = data;
    g_array_unref(bucket->shares);
    g_free(bucket);
}

/* Returns a ledger without workspaces, to be released with
 * RsQuotaLedger_Free(). A bucket fills by less than the workspace's rate if
 * the operator's overage is too small for tokens that are spent after the
 * window in which they were granted. */
struct rs_quota_ledger *
RsQuotaLedger_New(const struct rs_quota_bounds *bounds)
{
    struct rs_quota_ledger *ledger = g_new0(struct rs_quota_ledger, 1);
    double window_ms = bounds->window_s * MS_PER_S;
    ledger->bounds = *bounds;
    ledger->nodes = 1;
    ledger->fill =
        MIN(1, window_ms * (1 + bounds->overage) /
                   (window_ms + RsQuota_TOKEN_MS + RsQuota_ARRIVAL_MS));
    ledger->limits = g_hash_table_new(g_direct_hash, g_direct_equal);
    ledger->limit_list = g_array_new(FALSE, FALSE, sizeof(struct limit));
    ledger->buckets = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                            NULL, free_bucket);
    ledger->members =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    ledger->items = g_array_new(FALSE, FALSE, sizeof(struct rs_quota_item));
    return ledger;
}

void
RsQuotaLedger_Free(struct rs_quota_ledger *ledger)
{
    g_hash_table_unref(ledger->limits);
    g_array_unref(ledger->limit_list);
    g_hash_table_unref(ledger->buckets);
    g_hash_table_unref(ledger->members);
    g_array_unref(ledger->items);
    g_free(ledger);
}

/* Starts anew: the node of this ledger has become the granter. `nodes` is the
 * number of nodes that a former granter may have given own rates; 0 if there
 * was none. */
void
RsQuotaLedger_Start(struct rs_quota_ledger *ledger, uint32_t nodes,
                    int64_t now_ms)
{
    g_hash_table_remove_all(ledger->buckets);
    g_hash_table_remove_all(ledger->members);
    ledger->former = nodes;
    ledger->started_at_ms = now_ms;
}

/* Sets the number of nodes by which a node that is lost for long divides the
 * rates: at most the number that RsQuota_SetNodes() was called with there. */
void
RsQuotaLedger_SetNodes(struct rs_quota_ledger *ledger, uint32_t nodes)
{
    ledger->nodes = MAX(nodes, 1);
}

static bool
is_lost(const struct member *member, int64_t now_ms)
{
    return now_ms - member->heard_at_ms >= LOST_MS;
}

/* Returns the number of nodes that may have own rates from a former granter
 * and have not asked this one yet. */
static uint32_t
count_unknown(const struct rs_quota_ledger *ledger)
{
    guint known = g_hash_table_size(ledger->members);
    return ledger->former > known ? ledger->former - known : 0;
}

/* Returns the own rate that a node may use if it is lost. */
static double
share_rate(const struct share *share)
{
    return share->incarnation == share->member->incarnation
               ? MAX(share->stated_per_s, share->reported_per_s)
               : 0;
}

/* Returns the rate that lost nodes may use. Of nodes that this ledger has not
 * heard from since it started, only this is known: all nodes' own rates
 * together were at most the workspace's rate, and after a time each is at most
 * an even part of it. */
static double
reserved_rate(const struct rs_quota_ledger *ledger,
              const struct bucket *bucket, int64_t now_ms)
{
    uint32_t unknown = count_unknown(ledger);
    double even = bucket->per_s / ledger->nodes;
    double present = 0;
    double lost = 0;
    for (guint i = 0; i < bucket->shares->len; i++) {
        const struct share *share =
            &g_array_index(bucket->shares, struct share, i);
        int64_t age_ms = now_ms - share->member->heard_at_ms;
        double rate = share_rate(share);
        present += rate;
        if (age_ms >= LOST_MS + RsQuota_LOST_MS + RsQuota_FULL_RATE_MS) {
            rate = MIN(rate, even);
        }
        lost += age_ms >= LOST_MS && age_ms < MAX_LOST_MS ? rate : 0;
    }
    if (unknown == 0 || now_ms - ledger->started_at_ms >= MAX_LOST_MS) {
        return lost;
    }
    return now_ms - ledger->started_at_ms < UNKNOWN_MS
               ? lost + MAX(bucket->per_s - present, 0)
               : lost + even * unknown;
}

static double
max_level(const struct rs_quota_ledger *ledger, const struct bucket *bucket)
{
    return MAX(bucket->burst, 1) + ledger->bounds.slack * EXTRA_SHARE;
}

/* Adds the tokens since the last call to a bucket. */
static void
fill_bucket(const struct rs_quota_ledger *ledger, struct bucket *bucket,
            int64_t now_ms)
{
    double window_s = ledger->bounds.window_s + RsQuota_TOKEN_MS / MS_PER_S;
    double full = bucket->per_s * ledger->fill;
    double free_per_s = ledger->bounds.slack * RESERVE_SHARE / window_s;
    double rate = MAX(full - reserved_rate(ledger, bucket, now_ms),
                      MIN(full, free_per_s));
    bucket->level += rate * (double)(now_ms - bucket->filled_at_ms) / MS_PER_S;
    bucket->level = MIN(bucket->level, max_level(ledger, bucket));
    bucket->filled_at_ms = now_ms;
}

/* Returns the bucket of a workspace, or NULL if it has no quota. */
static struct bucket *
get_or_create(struct rs_quota_ledger *ledger, const char *workspace,
              int64_t now_ms)
{
    struct bucket *bucket = g_hash_table_lookup(ledger->buckets, workspace);
    const struct limit *limit = g_hash_table_lookup(ledger->limits, workspace);
    if (bucket == NULL && limit != NULL) {
        bucket = g_new0(struct bucket, 1);
        bucket->name = workspace;
        bucket->per_s = limit->per_s;
        bucket->burst = limit->burst;
        bucket->shares = g_array_new(FALSE, TRUE, sizeof(struct share));
        /* Before this, nobody has asked since the start. */
        bucket->filled_at_ms = ledger->started_at_ms;
        bucket->level =
            MIN(MAX(bucket->burst, 1), ledger->bounds.slack * BEGIN_SHARE);
        g_hash_table_insert(ledger->buckets, (gpointer)workspace, bucket);
    }
    if (bucket != NULL) {
        fill_bucket(ledger, bucket, now_ms);
    }
    return bucket;
}

static gboolean
update_bucket(gpointer name, gpointer value, gpointer arg)
{
    struct bucket *bucket = value;
    const struct limit *limit = g_hash_table_lookup(arg, name);
    if (limit == NULL) {
        return TRUE;
    }
    if (limit->per_s < bucket->per_s) {
        double part = limit->per_s / bucket->per_s;
        for (guint i = 0; i < bucket->shares->len; i++) {
            struct share *share =
                &g_array_index(bucket->shares, struct share, i);
            share->given_per_s *= part;
        }
    }
    bucket->per_s = limit->per_s;
    bucket->burst = limit->burst;
    bucket->level = MIN(bucket->level, MAX(limit->burst, 1));
    return FALSE;
}

/* Applies the workspaces of a new configuration. */
void
RsQuotaLedger_SetWorkspaces(struct rs_quota_ledger *ledger,
                            const struct rs_workspace *workspaces,
                            size_t count, int64_t now_ms)
{
    RsQuotaLedger_Tick(ledger, now_ms);
    g_hash_table_remove_all(ledger->limits);
    g_array_set_size(ledger->limit_list, 0);
    for (size_t i = 0; i < count; i++) {
        if (workspaces[i].per_s > 0) {
            const struct limit limit = {workspaces[i].per_s,
                                        workspaces[i].burst};
            g_array_append_val(ledger->limit_list, limit);
        }
    }
    guint next = 0;
    for (size_t i = 0; i < count; i++) {
        if (workspaces[i].per_s > 0) {
            g_hash_table_insert(
                ledger->limits, (gpointer)workspaces[i].name,
                &g_array_index(ledger->limit_list, struct limit, next++));
        }
    }
    g_hash_table_foreach_remove(ledger->buckets, update_bucket,
                                ledger->limits);
}

static bool
is_given_up(const struct share *share, int64_t now_ms)
{
    const struct member *member = share->member;
    return share->incarnation != member->incarnation ||
           (!is_lost(member, now_ms) &&
            now_ms - share->named_at_ms >= FORGET_MS) ||
           now_ms - member->heard_at_ms >= MAX_LOST_MS;
}

/* Fills the buckets by the present reserves, and forgets the shares of nodes
 * that gave them up, and idle buckets. Call it every 100 ms or so. */
void
RsQuotaLedger_Tick(struct rs_quota_ledger *ledger, int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, ledger->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct bucket *bucket = value;
        fill_bucket(ledger, bucket, now_ms);
        for (guint i = bucket->shares->len; i-- > 0;) {
            if (is_given_up(&g_array_index(bucket->shares, struct share, i),
                            now_ms)) {
                g_array_remove_index_fast(bucket->shares, i);
            }
        }
        /* A new bucket would be full as well. */
        if (bucket->shares->len == 0 && bucket->level >= bucket->burst &&
            bucket->line_until_ms <= now_ms) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static struct member *
find_member(struct rs_quota_ledger *ledger,
            const struct rs_quota_sender *sender, int64_t now_ms)
{
    gpointer name = (gpointer)g_intern_string(sender->node);
    struct member *member = g_hash_table_lookup(ledger->members, name);
    if (member == NULL) {
        member = g_new0(struct member, 1);
        g_hash_table_insert(ledger->members, name, member);
    }
    if (member->incarnation != sender->incarnation) {
        /* Until it confirms an answer it has no own rate from this ledger; one
         * from a former granter is in its request. */
        *member = (struct member){.incarnation = sender->incarnation,
                                  .heard_at_ms = now_ms};
    }
    return member;
}

/* Records which answers a node has received. The time from which it counts
 * itself as lost is the sending of the last such request, which is at most
 * RsQuota_MAX_RTT_MS before its arrival here. */
static void
record_answered(struct member *member, const struct rs_quota_request *request,
                int64_t now_ms)
{
    if (member->pending != 0 && request->answered >= member->pending) {
        member->heard_at_ms = member->pending_at_ms;
        member->pending = 0;
    }
    if (member->pending == 0 ||
        now_ms - member->pending_at_ms > RsQuota_MAX_RTT_MS) {
        member->pending = request->sequence;
        member->pending_at_ms = now_ms;
    }
    member->sequence = request->sequence;
}

static struct share *
find_share(struct bucket *bucket, struct member *member, double own_rate,
           int64_t now_ms)
{
    struct share *found = NULL;
    for (guint i = 0; i < bucket->shares->len && found == NULL; i++) {
        struct share *share = &g_array_index(bucket->shares, struct share, i);
        found = share->member == member ? share : NULL;
    }
    if (found == NULL) {
        g_array_set_size(bucket->shares, bucket->shares->len + 1);
        found = &g_array_index(bucket->shares, struct share,
                               bucket->shares->len - 1);
        found->member = member;
    }
    if (found->incarnation != member->incarnation) {
        /* What a former granter gave it goes on. */
        *found = (struct share){.member = member,
                                .incarnation = member->incarnation,
                                .given_per_s = own_rate,
                                .given_at_ms = now_ms};
    }
    found->named_at_ms = now_ms;
    return found;
}

static double
given_now(const struct share *share, int64_t now_ms)
{
    double rate =
        share->given_per_s *
        exp(-(double)(now_ms - share->given_at_ms) / RsQuota_RATE_WINDOW_MS);
    return rate >= MIN_RATE_PER_S ? rate : 0;
}

/* Records that a node was given tokens, and sets the own rate that it is told:
 * all nodes' own rates together are at most the rate of the bucket. */
static void
update_share(const struct rs_quota_ledger *ledger, struct bucket *bucket,
             struct share *share, uint32_t tokens, int64_t now_ms)
{
    double total = 0;
    double others = 0;
    share->given_per_s =
        given_now(share, now_ms) + tokens * MS_PER_S / RsQuota_RATE_WINDOW_MS;
    share->given_at_ms = now_ms;
    for (guint i = 0; i < bucket->shares->len; i++) {
        const struct share *each =
            &g_array_index(bucket->shares, struct share, i);
        total += given_now(each, now_ms);
        others += each != share ? share_rate(each) : 0;
    }
    double full = bucket->per_s * ledger->fill;
    /* What nodes use that this ledger has not heard from is known only as the
     * rest of the stated rates, so these must not grow then. */
    double headroom = count_unknown(ledger) > 0 ? 1 : OWN_RATE_HEADROOM;
    double factor = total * headroom > full ? full / total : headroom;
    share->stated_per_s =
        MIN(share->given_per_s * factor, MAX(full - others, 0));
}

/* Puts callers that were refused into the line. */
static void
extend_line(const struct rs_quota_ledger *ledger, struct bucket *bucket,
            uint32_t refused, int64_t now_ms)
{
    double full = bucket->per_s * ledger->fill;
    double missing = MAX(1 - bucket->level, 0);
    if (refused == 0) {
        return;
    }
    int64_t first_ms = now_ms + (int64_t)(missing / full * MS_PER_S);
    bucket->line_until_ms =
        MAX(bucket->line_until_ms, first_ms) +
        (int64_t)ceil(refused / (full * LINE_PART) * MS_PER_S);
    bucket->line_until_ms =
        MIN(bucket->line_until_ms, now_ms + RsQuota_MAX_DEBT_MS);
}

/* Returns the time for which the bucket is in debt: until the last refused
 * caller has its place or, if a need was not met, until the next token. */
static uint32_t
debt_ms(const struct rs_quota_ledger *ledger, const struct bucket *bucket,
        bool is_met, int64_t now_ms)
{
    int64_t debt = MAX(bucket->line_until_ms - now_ms, 0);
    if (!is_met) {
        double missing = MAX(1 - bucket->level, 0);
        double wait_ms = missing / (bucket->per_s * ledger->fill) * MS_PER_S;
        debt = MAX(debt, (int64_t)ceil(wait_ms));
    }
    return (uint32_t)MIN(debt, RsQuota_MAX_DEBT_MS);
}

/* Answers a request of a node. Returns false if there is nothing to answer,
 * because the request is older than another of the same process. The items
 * belong to the ledger and are valid until the next call. */
bool
RsQuotaLedger_Answer(struct rs_quota_ledger *ledger,
                     const struct rs_quota_sender *sender,
                     const struct rs_quota_request *request, int64_t now_ms,
                     struct rs_quota_grant *out)
{
    struct member *member = find_member(ledger, sender, now_ms);
    if (request->sequence <= member->sequence) {
        return false;
    }
    record_answered(member, request, now_ms);
    g_array_set_size(ledger->items, 0);
    for (guint i = 0; i < request->needs->len; i++) {
        const struct rs_quota_need *need =
            &g_array_index(request->needs, struct rs_quota_need, i);
        struct bucket *bucket = get_or_create(ledger, need->workspace, now_ms);
        if (bucket == NULL) {
            continue;
        }
        struct share *share =
            find_share(bucket, member, need->own_rate, now_ms);
        share->reported_per_s = need->own_rate;
        uint32_t tokens =
            MIN(need->wanted, (uint32_t)MAX(floor(bucket->level), 0));
        bucket->level -= tokens;
        update_share(ledger, bucket, share, tokens, now_ms);
        extend_line(ledger, bucket, need->refused, now_ms);
        const struct rs_quota_item item = {
            .workspace = bucket->name,
            .tokens = tokens,
            .own_rate = share->stated_per_s,
            .debt_ms = debt_ms(ledger, bucket, tokens == need->wanted, now_ms),
        };
        g_array_append_val(ledger->items, item);
    }
    *out = (struct rs_quota_grant){request->sequence, ledger->items};
    return true;
}

/* Returns the rate of a workspace that is reserved for lost nodes. */
double
RsQuotaLedger_ReservedPerS(const struct rs_quota_ledger *ledger,
                           const char *workspace, int64_t now_ms)
{
    const struct bucket *bucket =
        g_hash_table_lookup(ledger->buckets, workspace);
    return bucket != NULL ? reserved_rate(ledger, bucket, now_ms) : 0;
}

/* Returns the number of workspaces of which nodes have asked for tokens. */
size_t
RsQuotaLedger_BucketCount(const struct rs_quota_ledger *ledger)
{
    return g_hash_table_size(ledger->buckets);
}
