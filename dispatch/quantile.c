#include "dispatch/quantile.h"

#define STEP 0.1

/* Takes in a sample; `share` is the quantile's, e.g. 0.95. */
void
RsQuantile_Add(struct rs_quantile *quantile, double share, double sample)
{
    if (quantile->value <= 0.0) {
        quantile->value = sample;
        return;
    }
    double factor =
        sample > quantile->value ? STEP * share : -STEP * (1.0 - share);
    quantile->value += quantile->value * factor;
}
