#include <math.h>

#include "gateway/policy/spill.h"

/* Share of the requests that may leave their planned region. Chosen below the platform's bound on
 * shifts (0.15 of a region's requests in 2 s); measured with the plan (commit c2341eb), not alone.
 */
#define SPILL_SHARE 0.05
/* Requests that may be saved up. Chosen, not measured. */
#define SPILL_MAX 4.0

void
spill_count_request(spill_t *spill)
{
    spill->allowance = fmin(spill->allowance + SPILL_SHARE, SPILL_MAX);
}

bool
spill_is_allowed(const spill_t *spill)
{
    return spill->allowance >= 1;
}

void
spill_spend(spill_t *spill)
{
    spill->allowance -= 1;
}
