/* A quantile of recent samples in constant space: the estimate moves up or
 * down by a small share of itself with each sample, in the proportion that
 * holds it at the quantile. */

#ifndef RATTANSHED_DISPATCH_QUANTILE_H
#define RATTANSHED_DISPATCH_QUANTILE_H

/* A value type; zeroed memory has no sample yet. */
struct rs_quantile {
    double value;
};

void RsQuantile_Add(struct rs_quantile *quantile, double share, double sample);

#endif
