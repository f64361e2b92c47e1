#include "dispatch/quantile.h"

/* A sample above the estimate raises the estimate by this fraction times
 * `probability`; any other lowers it by this fraction times 1 -
 * `probability`. */
#define ADJUSTMENT_FRACTION 0.1

/* Adds a sample. `probability` selects the quantile, e.g. 0.95; it must be the
 * same for all samples. */
void
RsQuantile_Add(struct rs_quantile *quantile, double probability, double sample)
{
    if (quantile->value <= 0.0) {
        quantile->value = sample;
        return;
    }
    double factor = sample > quantile->value
                        ? ADJUSTMENT_FRACTION * probability
                        : -ADJUSTMENT_FRACTION * (1.0 - probability);
    quantile->value += quantile->value * factor;
}
