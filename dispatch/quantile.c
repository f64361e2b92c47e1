#include "dispatch/quantile.h"

#define STEP 0.1 /* of the estimate; the sum of both fractions */

/* Adds a sample. `probability` selects the quantile, e.g. 0.95; it must be the
 * same for all samples. */
void
RsQuantile_Add(struct rs_quantile *quantile, double probability, double sample)
{
    if (quantile->value <= 0.0) {
        quantile->value = sample;
        return;
    }
    double factor = sample > quantile->value ? STEP * probability
                                             : -STEP * (1.0 - probability);
    quantile->value += quantile->value * factor;
}
