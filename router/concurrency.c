#include "router/concurrency.h"

#include <math.h>

/* Time constant of the sums of a target. With 1,000 ms and 700 ms the estimate
 * varies more and the limit follows a change hardly earlier
 * (docs/design/concurrency.md). */
#define SUMS_WINDOW_MS 1500.0
/* The sums of a target without traffic are not decayed below this number of
 * samples, so that its speed is remembered. */
#define MIN_KEPT_SAMPLES 4.0
/* Time constant of the mean work of a kind, in which the kind's mean changes
 * slowly against the factors of targets. */
#define WORK_WINDOW_MS 10000.0
/* A request without an answer counts as a sample once it has taken this many
 * times what is expected. Without such samples a change of speed is seen about
 * 2 s later, as the answers of a slow target come late. */
#define OVERDUE_RATIO 1.2
/* With fewer samples the mean work of a kind is not compared with. */
#define MIN_WORK_SAMPLES 5.0
/* Targets with fewer samples are not included in the mean factor. */
#define MIN_FACTOR_SAMPLES 1.0
/* A sample counts as at most this many times the target's present factor. A
 * noisy neighbour slows work down three times for 400 ms, and most answers
 * that it delays come when the load header is normal again. */
#define MAX_SAMPLE_RATIO 2.5
/* No more requests than this many times the slots are sent into a target's
 * queue: it refuses those that wait there when their keys move, and its queue
 * is bounded (4 times its slots in the present deployments), while the sums of
 * the nodes are out of date. */
#define MAX_QUEUED_PER_SLOT 1.5
#define NORMAL_PERCENT 100.0
/* A change of a factor by this share is logged, at most once in a while. */
#define NEWS_SHARE 0.5
#define NEWS_EVERY_MS 10000

/* Initializes a service of which nothing is known. */
void
RsConcurrency_InitService(struct rs_concurrency_service *service)
{
    *service = (struct rs_concurrency_service){
        .kinds = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
                                       g_free)};
}

void
RsConcurrency_ClearService(struct rs_concurrency_service *service)
{
    g_hash_table_unref(service->kinds);
}

/* Returns the mean work of the requests of a route, which must be interned, at
 * a target of factor 1, in ms; 0 if it is unknown. */
double
RsConcurrency_MeanWorkMs(const struct rs_concurrency_service *service,
                         const char *route)
{
    const struct rs_concurrency_work *kind =
        g_hash_table_lookup(service->kinds, route);
    return kind != NULL && kind->samples >= MIN_WORK_SAMPLES ? kind->mean_ms
                                                             : 0;
}

static struct rs_concurrency_work *
get_or_create_kind(struct rs_concurrency_service *service, const char *route)
{
    struct rs_concurrency_work *kind =
        g_hash_table_lookup(service->kinds, route);
    if (kind == NULL) {
        kind = g_new0(struct rs_concurrency_work, 1);
        g_hash_table_insert(service->kinds, (gpointer)route, kind);
    }
    return kind;
}

static void
add_work(struct rs_concurrency_work *work, double work_ms, int64_t now_ms)
{
    double elapsed_ms = (double)(now_ms - work->updated_at_ms);
    work->samples = work->samples * exp(-elapsed_ms / WORK_WINDOW_MS) + 1;
    work->mean_ms += (work_ms - work->mean_ms) / work->samples;
    work->updated_at_ms = now_ms;
}

static void
decay_sums(struct rs_concurrency_sums *sums, double decay, double min_samples)
{
    if (sums->samples <= min_samples) {
        return;
    }
    double share = MAX(decay, min_samples / sums->samples);
    sums->samples *= share;
    sums->relative_work *= share;
}

/* Lets the samples of a target age up to `now_ms`. */
void
RsConcurrency_Decay(struct rs_concurrency *target, int64_t now_ms)
{
    double elapsed_ms = (double)(now_ms - target->decayed_at_ms);
    double decay = exp(-elapsed_ms / SUMS_WINDOW_MS);
    decay_sums(&target->own, decay, 0);
    decay_sums(&target->all, decay, MIN_KEPT_SAMPLES);
    target->decayed_at_ms = now_ms;
}

/* Starts to compute the mean factor of the service's targets anew. */
void
RsConcurrency_ResetFactors(struct rs_concurrency_service *service)
{
    service->factor_sum = 0;
    service->factor_count = 0;
    service->shared_ms_sum = 0;
    service->shared_count = 0;
}

/* Includes a target of the service in the mean factor. `shared_service_ms` is
 * the mean service time that all nodes have seen there, 0 if unknown. */
void
RsConcurrency_CountFactor(struct rs_concurrency_service *service,
                          const struct rs_concurrency *target,
                          double shared_service_ms)
{
    if (shared_service_ms > 0) {
        service->shared_ms_sum += shared_service_ms;
        service->shared_count++;
    }
    if (target->all.samples >= MIN_FACTOR_SAMPLES) {
        service->factor_sum += target->all.relative_work / target->all.samples;
        service->factor_count++;
    }
}

/* Returns the mean factor of the service's targets, 1 if none is known. */
static double
mean_factor(const struct rs_concurrency_service *service)
{
    return service->factor_count > 0
               ? service->factor_sum / service->factor_count
               : 1;
}

/* Returns the mean work of the service at a target of factor 1, 0 if unknown.
 * A node without requests of its own, for example a granter that plans the
 * keys of a service, takes the mean service time that the nodes report. */
static double
mean_work_ms(const struct rs_concurrency_service *service)
{
    if (service->work.samples >= MIN_WORK_SAMPLES) {
        return service->work.mean_ms;
    }
    return service->shared_count > 0
               ? service->shared_ms_sum / service->shared_count /
                     mean_factor(service)
               : 0;
}

/* Derives the factor and the service time of a target from the known sums.
 * Samples that are missing up to MIN_KEPT_SAMPLES are assumed to be as the
 * mean of the service's targets. */
void
RsConcurrency_Refresh(struct rs_concurrency *target,
                      const struct rs_concurrency_service *service)
{
    double assumed = MAX(MIN_KEPT_SAMPLES - target->all.samples, 0);
    target->factor =
        (assumed * mean_factor(service) + target->all.relative_work) /
        (assumed + target->all.samples);
    target->service_ms = mean_work_ms(service) * target->factor;
}

/* Records the answer of a target to a request of a route. The mean work of the
 * kind is updated with the work at a target of mean speed, so that a node that
 * mostly sees slow targets does not take them for the usual ones. */
void
RsConcurrency_Record(struct rs_concurrency *target,
                     struct rs_concurrency_service *service, const char *route,
                     const struct rs_concurrency_sample *sample,
                     int64_t now_ms)
{
    struct rs_concurrency_work *kind = get_or_create_kind(service, route);
    double duration =
        MAX(sample->duration_percent, NORMAL_PERCENT) / NORMAL_PERCENT;
    double work_ms = sample->elapsed_ms / sample->queueing_factor / duration;
    RsConcurrency_Decay(target, now_ms);
    RsConcurrency_Refresh(target, service);
    if (kind->samples >= MIN_WORK_SAMPLES) {
        double relative =
            MIN(work_ms / kind->mean_ms, MAX_SAMPLE_RATIO * target->factor);
        target->own.samples++;
        target->own.relative_work += relative;
        target->all.samples++;
        target->all.relative_work += relative;
    }
    double mean_work_ms = work_ms * mean_factor(service) / target->factor;
    add_work(kind, mean_work_ms, now_ms);
    add_work(&service->work, mean_work_ms, now_ms);
    RsConcurrency_Refresh(target, service);
}

/* Counts a request that has not been answered yet as a sample, if it is
 * overdue: a target that turned slow shows by that long before its answers
 * come. `sample->elapsed_ms` is the time since the request was sent. The
 * caller sets `overdue` of the target to zero before. */
void
RsConcurrency_RecordOverdue(struct rs_concurrency *target,
                            const struct rs_concurrency_service *service,
                            const char *route,
                            const struct rs_concurrency_sample *sample)
{
    double mean_ms = RsConcurrency_MeanWorkMs(service, route);
    double factor = target->factor > 0 ? target->factor : 1;
    if (mean_ms <= 0) {
        return;
    }
    double relative = sample->elapsed_ms / sample->queueing_factor / mean_ms;
    if (relative >= OVERDUE_RATIO * factor) {
        target->overdue.samples++;
        target->overdue.relative_work +=
            MIN(relative, MAX_SAMPLE_RATIO * factor);
    }
}

/* Returns the sums that this node reports of a target. */
struct rs_concurrency_sums
RsConcurrency_Reported(const struct rs_concurrency *target)
{
    return (struct rs_concurrency_sums){
        target->own.samples + target->overdue.samples,
        target->own.relative_work + target->overdue.relative_work,
    };
}

/* Replaces what is known of a target by the sums of all nodes. While those
 * hold few samples, earlier ones are kept in addition. */
void
RsConcurrency_SetSums(struct rs_concurrency *target,
                      const struct rs_concurrency_sums *sums, int64_t now_ms)
{
    RsConcurrency_Decay(target, now_ms);
    double kept =
        CLAMP(MIN_KEPT_SAMPLES - sums->samples, 0, target->all.samples);
    double kept_work =
        kept > 0 ? kept * target->all.relative_work / target->all.samples : 0;
    target->all = (struct rs_concurrency_sums){
        sums->samples + kept, sums->relative_work + kept_work};
}

/* Returns up to how many requests may run or wait at the target, such that
 * most of those that wait are still answered within the latency target. */
double
RsConcurrency_Limit(const struct rs_concurrency_input *input)
{
    double wait_ms = input->latency_target_ms - input->work_ms;
    double queued = floor(wait_ms * input->slots / input->service_ms);
    return input->slots +
           CLAMP(queued, 0, floor(MAX_QUEUED_PER_SLOT * input->slots));
}

/* Returns whether the factor has changed so much since it was last logged that
 * it is to be logged now. */
bool
RsConcurrency_IsNews(struct rs_concurrency *target, int64_t now_ms)
{
    double logged = target->logged_factor > 0 ? target->logged_factor : 1;
    double change = MAX(target->factor, logged) / MIN(target->factor, logged);
    if (target->factor <= 0 || change < 1 + NEWS_SHARE ||
        (target->logged_at_ms > 0 &&
         now_ms - target->logged_at_ms < NEWS_EVERY_MS)) {
        return false;
    }
    target->logged_factor = target->factor;
    target->logged_at_ms = now_ms;
    return true;
}
