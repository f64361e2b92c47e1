#include "router/quota.h"

#include <math.h>

#define MS_PER_S 1000.0
/* Minimum interval between two requests to the ledger. */
#define REQUEST_EVERY_MS 20
/* A request is repeated when it has had no answer for this long, or when it
 * was answered with fewer tokens than wanted and the ledger doesn't state an
 * earlier time for the next token. */
#define ASK_AGAIN_MS 60
/* A node with own rates sends a request at least this often, so that the
 * ledger knows that the node doesn't use them. */
#define KEEPALIVE_MS 180
/* The bucket of a lost node holds its own rate for OWN_BURST_S, and its part
 * of OWN_SHARE of the operator's slack. It has not been served for longer than
 * OWN_BURST_S when it begins with a full one, as its last tokens have expired
 * before RsQuota_LOST_MS. */
#define OWN_BURST_S 0.3
#define OWN_SHARE 0.25
/* A node holds the tokens for this long ahead. For fewer than MIN_AHEAD tokens
 * nothing is held: most of them would expire unspent. */
#define AHEAD_S 0.3
#define MIN_AHEAD 2
/* So many requests of a workspace may always wait for tokens. */
#define MIN_WAITING 2
#define DEMAND_WINDOW_MS 1000.0
/* Batches of tokens with different ends. Requests are answered at least
 * REQUEST_EVERY_MS apart, so that more than 8 are rare; then two are merged,
 * with the earlier end. */
#define MAX_BATCHES 8
/* Maximum number of workspaces in a request, so that it fits a datagram. */
#define MAX_NEEDS 1000
/* Requests whose answers are waited for. */
#define SENT_COUNT 64
/* Without a ledger, callers come back from this part of the time between two
 * tokens by the own rate on. */
#define FIRST_PLACE 0.4

struct batch {
    uint32_t tokens;
    int64_t until_ms;
};

/* What the node holds of one workspace. */
struct purse {
    const char *name; /* interned */
    double per_s;
    struct batch batches[MAX_BATCHES]; /* those without tokens are unused */
    double demand;                     /* requests in DEMAND_WINDOW_MS */
    int64_t demand_at_ms;
    uint32_t waiting;
    uint32_t refused; /* since the last request to the ledger */
    int64_t ask_again_at_ms;
    int64_t line_until_ms; /* end of the line of refused callers */
    int64_t line_growth_ms;
    double own_rate;
    double own_level;         /* tokens by the own rate */
    int64_t own_filled_at_ms; /* 0: the own rate is not used */
    bool listed;              /* in quota->active */
};

struct sent {
    uint64_t sequence; /* 0: answered */
    uint64_t ledger;
    int64_t at_ms;
};

struct rs_quota {
    GHashTable *purses; /* interned name to struct purse */
    GPtrArray *active;  /* purses with demand or an own rate */
    GRand *random;
    GArray *needs;     /* of the request made last */
    guint next_active; /* the first in `active` for the next request */
    uint32_t nodes;
    uint32_t slack;    /* of the operator's bound */
    uint64_t ledger;   /* incarnation of its node; 0: none is known */
    bool is_announced; /* that ledger has answered this node */
    uint64_t sequence;
    uint64_t answered;
    int64_t answered_at_ms; /* when that request was sent */
    int64_t sent_at_ms;
    int64_t named_at_ms; /* when a request last named all active workspaces */
    struct sent sent[SENT_COUNT];
};

/* Returns an account without workspaces, to be released with RsQuota_Free().
 */
struct rs_quota *
RsQuota_New(const struct rs_quota_bounds *bounds, uint32_t seed)
{
    struct rs_quota *quota = g_new0(struct rs_quota, 1);
    quota->purses =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    quota->active = g_ptr_array_new();
    quota->needs = g_array_new(FALSE, FALSE, sizeof(struct rs_quota_need));
    quota->random = g_rand_new_with_seed(seed);
    quota->slack = bounds->slack;
    quota->nodes = 1;
    return quota;
}

void
RsQuota_Free(struct rs_quota *quota)
{
    g_hash_table_unref(quota->purses);
    g_ptr_array_unref(quota->active);
    g_array_unref(quota->needs);
    g_rand_free(quota->random);
    g_free(quota);
}

/* Sets the number of nodes among which rates are divided when the granter is
 * lost for long. */
void
RsQuota_SetNodes(struct rs_quota *quota, uint32_t nodes)
{
    quota->nodes = MAX(nodes, 1);
}

/* Sets which node keeps the ledger. A ledger that is new to this node is told
 * the own rates at once, or that there are none: until all nodes have told it,
 * it must reserve what they may use. */
void
RsQuota_SetLedger(struct rs_quota *quota, uint64_t incarnation)
{
    if (quota->ledger != incarnation) {
        quota->ledger = incarnation;
        quota->is_announced = false;
    }
}

/* Drops expired tokens, and returns how many are left. */
static uint32_t
count_tokens(struct purse *purse, int64_t now_ms)
{
    uint32_t tokens = 0;
    for (size_t i = 0; i < MAX_BATCHES; i++) {
        if (purse->batches[i].until_ms <= now_ms) {
            purse->batches[i].tokens = 0;
        }
        tokens += purse->batches[i].tokens;
    }
    return tokens;
}

static void
drop_tokens(struct purse *purse)
{
    for (size_t i = 0; i < MAX_BATCHES; i++) {
        purse->batches[i].tokens = 0;
    }
}

static void
add_tokens(struct purse *purse, uint32_t tokens, int64_t until_ms)
{
    struct batch *chosen = &purse->batches[0];
    for (size_t i = 0; i < MAX_BATCHES && chosen->tokens > 0; i++) {
        struct batch *batch = &purse->batches[i];
        if (batch->tokens == 0 || batch->until_ms < chosen->until_ms) {
            chosen = batch;
        }
    }
    chosen->until_ms =
        chosen->tokens > 0 ? MIN(chosen->until_ms, until_ms) : until_ms;
    chosen->tokens += tokens;
}

/* Takes the token that expires first. Returns its end, or 0 if there is none.
 */
static int64_t
take_token(struct purse *purse, int64_t now_ms)
{
    struct batch *first = NULL;
    for (size_t i = 0; i < MAX_BATCHES; i++) {
        struct batch *batch = &purse->batches[i];
        if (batch->tokens > 0 && batch->until_ms > now_ms &&
            (first == NULL || batch->until_ms < first->until_ms)) {
            first = batch;
        }
    }
    if (first == NULL) {
        return 0;
    }
    first->tokens--;
    return first->until_ms;
}

/* Returns whether the granter has not answered for RsQuota_LOST_MS. */
bool
RsQuota_IsLost(const struct rs_quota *quota, int64_t now_ms)
{
    return now_ms - quota->answered_at_ms >= RsQuota_LOST_MS;
}

/* Returns whether the node may send requests without the granter. */
bool
RsQuota_HasOwnRates(const struct rs_quota *quota)
{
    for (guint i = 0; i < quota->active->len; i++) {
        const struct purse *purse = g_ptr_array_index(quota->active, i);
        if (purse->own_rate > 0) {
            return true;
        }
    }
    return false;
}

/* Applies the workspaces of a new configuration. Tokens of a workspace whose
 * rate was lowered are dropped, because the ledger may have granted them by
 * the former rate. */
void
RsQuota_SetWorkspaces(struct rs_quota *quota,
                      const struct rs_workspace *workspaces, size_t count,
                      int64_t now_ms)
{
    GHashTable *former = quota->purses;
    quota->purses =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    g_ptr_array_set_size(quota->active, 0);
    for (size_t i = 0; i < count; i++) {
        if (workspaces[i].per_s <= 0) {
            continue;
        }
        struct purse *purse = g_hash_table_lookup(former, workspaces[i].name);
        if (purse == NULL) {
            continue;
        }
        g_hash_table_steal(former, workspaces[i].name);
        if (workspaces[i].per_s < purse->per_s) {
            drop_tokens(purse);
            purse->own_rate *= workspaces[i].per_s / purse->per_s;
        }
        purse->per_s = workspaces[i].per_s;
        g_hash_table_replace(quota->purses, (gpointer)purse->name, purse);
        if (purse->listed) {
            g_ptr_array_add(quota->active, purse);
        }
    }
    g_hash_table_unref(former);
}

/* Returns the purse of a workspace, creating it at the first request. Few of
 * the workspaces have requests at any one node. */
static struct purse *
get_or_create(struct rs_quota *quota, const struct rs_workspace *workspace,
              int64_t now_ms)
{
    struct purse *purse = g_hash_table_lookup(quota->purses, workspace->name);
    if (purse == NULL) {
        purse = g_new0(struct purse, 1);
        purse->name = workspace->name;
        purse->per_s = workspace->per_s;
        purse->demand_at_ms = now_ms;
        g_hash_table_insert(quota->purses, (gpointer)purse->name, purse);
    }
    if (!purse->listed) {
        purse->listed = true;
        g_ptr_array_add(quota->active, purse);
    }
    return purse;
}

static double
demand_now(const struct purse *purse, int64_t now_ms)
{
    return purse->demand *
           exp(-(double)(now_ms - purse->demand_at_ms) / DEMAND_WINDOW_MS);
}

/* Adds tokens by the own rate while the granter is lost. */
static void
fill_own_bucket(const struct rs_quota *quota, struct purse *purse,
                int64_t now_ms)
{
    int64_t lost_ms = now_ms - quota->answered_at_ms;
    double per_s = purse->own_rate;
    if (lost_ms < RsQuota_LOST_MS) {
        purse->own_filled_at_ms = 0;
        purse->own_level = 0;
        return;
    }
    if (lost_ms >= RsQuota_FULL_RATE_MS) {
        per_s = MIN(per_s, purse->per_s / quota->nodes);
    }
    double depth =
        per_s * (OWN_BURST_S + quota->slack * OWN_SHARE / purse->per_s);
    if (purse->own_filled_at_ms == 0) {
        purse->own_level = depth;
    }
    else {
        purse->own_level +=
            per_s * (double)(now_ms - purse->own_filled_at_ms) / MS_PER_S;
        purse->own_level = MIN(purse->own_level, MAX(depth, 1));
    }
    purse->own_filled_at_ms = now_ms;
}

/* Takes a token of the node's batches or of its own bucket. Returns its end,
 * or 0 if there is none. */
static int64_t
take_any_token(const struct rs_quota *quota, struct purse *purse,
               int64_t now_ms)
{
    int64_t until_ms = take_token(purse, now_ms);
    fill_own_bucket(quota, purse, now_ms);
    if (until_ms == 0 && purse->own_level >= 1) {
        purse->own_level--;
        until_ms = now_ms + RsQuota_TOKEN_MS;
    }
    return until_ms;
}

/* Returns whether the ledger is late with its answer. */
static bool
is_silent(const struct rs_quota *quota, int64_t now_ms)
{
    const struct sent *last = &quota->sent[quota->sequence % SENT_COUNT];
    return now_ms - quota->answered_at_ms >
               KEEPALIVE_MS + RsQuota_MAX_RTT_MS ||
           (last->sequence != 0 && now_ms - last->at_ms > ASK_AGAIN_MS);
}

/* Returns whether more requests wait already than there will be tokens for. */
static bool
is_line_full(const struct rs_quota *quota, const struct purse *purse,
             int64_t now_ms)
{
    if (is_silent(quota, now_ms)) {
        return purse->waiting >= MIN_WAITING + purse->own_rate *
                                                   RsQuota_SILENT_WAIT_MS /
                                                   MS_PER_S;
    }
    return purse->line_until_ms > now_ms &&
           purse->waiting >=
               MIN_WAITING + purse->per_s * RsQuota_WAIT_MS / MS_PER_S;
}

/* Takes a token for a request, or lets the request wait for one. Call it again
 * with the same claim when tokens arrive and when the wait is over. Does
 * nothing for a request that has a valid token, or whose workspace has no
 * quota. */
enum rs_quota_verdict
RsQuota_Take(struct rs_quota *quota, const struct rs_workspace *workspace,
             struct rs_quota_claim *claim, int64_t now_ms)
{
    if (workspace == NULL || workspace->per_s <= 0 ||
        claim->token_until_ms > now_ms) {
        return RsQuota_TAKEN;
    }
    if (claim->token_until_ms > 0) {
        claim->token_until_ms = 0;
        claim->wait_until_ms = 0;
    }
    struct purse *purse = get_or_create(quota, workspace, now_ms);
    if (claim->workspace != purse->name) {
        /* The caller's key may have been given to another workspace. */
        RsQuota_StopWaiting(quota, claim);
        claim->workspace = purse->name;
        claim->wait_until_ms = 0;
    }
    if (claim->wait_until_ms == 0) {
        purse->demand = demand_now(purse, now_ms) + 1;
        purse->demand_at_ms = now_ms;
        claim->wait_until_ms =
            now_ms + (is_silent(quota, now_ms) ? RsQuota_SILENT_WAIT_MS
                                               : RsQuota_WAIT_MS);
    }
    claim->token_until_ms = take_any_token(quota, purse, now_ms);
    if (claim->token_until_ms > 0) {
        RsQuota_StopWaiting(quota, claim);
        return RsQuota_TAKEN;
    }
    bool is_full = !claim->waiting && is_line_full(quota, purse, now_ms);
    if (now_ms >= claim->wait_until_ms || is_full) {
        RsQuota_StopWaiting(quota, claim);
        return RsQuota_IsLost(quota, now_ms) ? RsQuota_UNKNOWN : RsQuota_OVER;
    }
    purse->waiting += !claim->waiting;
    claim->waiting = true;
    return RsQuota_WAITING;
}

/* Call it when a request that waits for a token ends. */
void
RsQuota_StopWaiting(struct rs_quota *quota, struct rs_quota_claim *claim)
{
    if (claim->waiting) {
        struct purse *purse =
            g_hash_table_lookup(quota->purses, claim->workspace);
        claim->waiting = false;
        if (purse != NULL && purse->waiting > 0) {
            purse->waiting--;
        }
    }
}

/* Gives back the token of a request that did not run, unless it has expired.
 */
void
RsQuota_Return(struct rs_quota *quota, struct rs_quota_claim *claim,
               int64_t now_ms)
{
    int64_t until_ms = claim->token_until_ms;
    claim->token_until_ms = 0;
    if (until_ms > now_ms) {
        struct purse *purse =
            g_hash_table_lookup(quota->purses, claim->workspace);
        if (purse != NULL) {
            add_tokens(purse, 1, until_ms);
        }
    }
}

/* Returns which part of the workspace's rate this node gets, as far as it
 * knows. */
static double
own_part(const struct rs_quota *quota, const struct purse *purse)
{
    return MAX(purse->own_rate, purse->per_s / quota->nodes);
}

/* Returns when a caller that is refused should come back: when the ledger will
 * have a token for it. Callers that are refused at all nodes before the
 * ledger's next answer are spread over the time that the tokens for them take,
 * or by which the line grew before the last answer. `deadline_ms` is when the
 * caller gives up. */
int64_t
RsQuota_ComeBackAtMs(struct rs_quota *quota,
                     const struct rs_workspace *workspace, int64_t deadline_ms,
                     int64_t now_ms)
{
    struct purse *purse = get_or_create(quota, workspace, now_ms);
    double draw = g_rand_double(quota->random);
    double part_per_s = MIN(own_part(quota, purse), purse->per_s);
    if (RsQuota_IsLost(quota, now_ms)) {
        return now_ms +
               (int64_t)((FIRST_PLACE + draw) *
                         MIN(MS_PER_S / part_per_s, RsQuota_MAX_DEBT_MS));
    }
    int64_t line_ms = MAX(purse->line_until_ms - now_ms, 0);
    double span_ms = MAX((double)purse->line_growth_ms,
                         (purse->refused + 1) * MS_PER_S / part_per_s);
    int64_t place_ms = line_ms + (int64_t)ceil(draw * span_ms);
    purse->refused +=
        place_ms <= (deadline_ms - now_ms) / RsQuota_PATIENCE_DIVISOR;
    return now_ms + place_ms;
}

/* Returns how many tokens the node should ask for. */
static uint32_t
count_wanted(struct purse *purse, int64_t now_ms)
{
    double ahead = floor(demand_now(purse, now_ms) * AHEAD_S);
    uint32_t wanted = purse->waiting;
    if (ahead >= MIN_AHEAD && purse->line_until_ms <= now_ms) {
        wanted += (uint32_t)ahead;
    }
    uint32_t held = count_tokens(purse, now_ms);
    return wanted > held ? wanted - held : 0;
}

static bool
is_idle(const struct purse *purse, int64_t now_ms)
{
    return purse->waiting == 0 &&
           now_ms - purse->demand_at_ms >= RsQuota_IDLE_MS;
}

/* Gives up the own rates of workspaces without requests. */
static void
drop_idle(struct rs_quota *quota, int64_t now_ms)
{
    for (guint i = quota->active->len; i-- > 0;) {
        struct purse *purse = g_ptr_array_index(quota->active, i);
        if (is_idle(purse, now_ms)) {
            purse->own_rate = 0;
            purse->listed = false;
            g_ptr_array_remove_index_fast(quota->active, i);
        }
    }
}

static void
add_need(struct rs_quota *quota, struct purse *purse, bool keepalive,
         int64_t now_ms)
{
    uint32_t wanted =
        now_ms >= purse->ask_again_at_ms ? count_wanted(purse, now_ms) : 0;
    if (wanted == 0 && !keepalive) {
        return;
    }
    if (wanted > 0) {
        purse->ask_again_at_ms = now_ms + ASK_AGAIN_MS;
    }
    const struct rs_quota_need need = {purse->name, wanted, purse->refused,
                                       purse->own_rate};
    purse->refused = 0;
    g_array_append_val(quota->needs, need);
}

/* Makes the next request to the ledger, if one is due. The needs belong to the
 * account and are valid until the next call. Call it after RsQuota_Take() has
 * returned RsQuota_WAITING, and every few tens of milliseconds. */
bool
RsQuota_MakeRequest(struct rs_quota *quota, int64_t now_ms,
                    struct rs_quota_request *out)
{
    int64_t since_ms = now_ms - quota->sent_at_ms;
    bool announcing =
        !quota->is_announced && quota->ledger != 0 && since_ms >= ASK_AGAIN_MS;
    bool keepalive = announcing || now_ms - quota->named_at_ms >= KEEPALIVE_MS;
    if (since_ms < REQUEST_EVERY_MS) {
        return false;
    }
    if (keepalive && !RsQuota_IsLost(quota, now_ms)) {
        drop_idle(quota, now_ms);
    }
    g_array_set_size(quota->needs, 0);
    guint count = quota->active->len;
    for (guint i = 0; i < count && quota->needs->len < MAX_NEEDS; i++) {
        quota->next_active = (quota->next_active + 1) % count;
        add_need(quota, g_ptr_array_index(quota->active, quota->next_active),
                 keepalive, now_ms);
    }
    if (quota->needs->len == 0 && !announcing) {
        return false;
    }
    quota->sequence++;
    quota->sent_at_ms = now_ms;
    quota->named_at_ms = keepalive ? now_ms : quota->named_at_ms;
    quota->sent[quota->sequence % SENT_COUNT] =
        (struct sent){quota->sequence, quota->ledger, now_ms};
    *out = (struct rs_quota_request){quota->sequence, quota->answered,
                                     quota->needs};
    return true;
}

static void
apply_item(struct rs_quota *quota, const struct rs_quota_item *item,
           int64_t sent_at_ms, int64_t now_ms)
{
    struct purse *purse = g_hash_table_lookup(quota->purses, item->workspace);
    if (purse == NULL) {
        return;
    }
    int64_t line_until_ms = now_ms + item->debt_ms;
    purse->line_growth_ms = MAX(line_until_ms - purse->line_until_ms, 0);
    purse->line_until_ms = item->debt_ms > 0 ? line_until_ms : 0;
    if (purse->listed) {
        purse->own_rate = MIN(item->own_rate, purse->per_s);
    }
    if (item->tokens > 0) {
        add_tokens(purse, item->tokens, sent_at_ms + RsQuota_TOKEN_MS);
        /* There may be more. */
        purse->ask_again_at_ms = 0;
    }
    else if (item->debt_ms > 0 && item->debt_ms < ASK_AGAIN_MS) {
        purse->ask_again_at_ms = now_ms + item->debt_ms;
    }
}

/* Applies the ledger's answer to a request of this account. Returns whether
 * tokens came, so that waiting requests should be tried again. */
bool
RsQuota_ApplyGrant(struct rs_quota *quota, const struct rs_quota_grant *grant,
                   int64_t now_ms)
{
    struct sent *sent = &quota->sent[grant->sequence % SENT_COUNT];
    if (grant->sequence == 0 || sent->sequence != grant->sequence) {
        return false;
    }
    int64_t sent_at_ms = sent->at_ms;
    bool has_tokens = false;
    sent->sequence = 0; /* a repeated datagram must not add tokens */
    if (now_ms - sent_at_ms <= RsQuota_MAX_RTT_MS &&
        grant->sequence > quota->answered) {
        if (RsQuota_IsLost(quota, now_ms)) {
            /* The rate of these tokens is soon no longer reserved. */
            for (guint i = 0; i < quota->active->len; i++) {
                drop_tokens(g_ptr_array_index(quota->active, i));
            }
        }
        quota->answered = grant->sequence;
        quota->answered_at_ms = sent_at_ms;
        quota->is_announced |= sent->ledger == quota->ledger;
    }
    for (guint i = 0; i < grant->items->len; i++) {
        const struct rs_quota_item *item =
            &g_array_index(grant->items, struct rs_quota_item, i);
        has_tokens |= item->tokens > 0;
        apply_item(quota, item, sent_at_ms, now_ms);
    }
    return has_tokens;
}
