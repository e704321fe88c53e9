#include <math.h>

#include "gateway/policy/replicas.h"

/* Share of a backend's slots that one object may keep busy; close to the target use of
 * region_plan.h. */
#define OBJECT_USE_MAX 0.5

size_t
replicas_decide(double demand_slots, double backend_slots)
{
    const double needed = ceil(demand_slots / (OBJECT_USE_MAX * backend_slots));
    if (!(needed > 1))
        return 1;
    return needed < REPLICAS_MAX ? (size_t)needed : REPLICAS_MAX;
}
