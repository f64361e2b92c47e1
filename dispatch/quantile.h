/* Estimates a quantile of recent samples in constant space. The first
 * sample is the first estimate. Each further sample moves the estimate up or
 * down by a small fraction of its value. The ratio of the two fractions is
 * such that the estimate settles at the quantile. */

#ifndef RATTANSHED_DISPATCH_QUANTILE_H
#define RATTANSHED_DISPATCH_QUANTILE_H

/* A value type; zeroed memory is an estimate without samples. */
struct rs_quantile {
    double value; /* the estimate; 0 without samples */
};

void RsQuantile_Add(struct rs_quantile *quantile, double probability,
                    double sample);

#endif
