#include "gateway/state/position.h"

#define REVISION_MASK ((UINT64_C(1) << POSITION_REVISION_BITS) - 1)
#define NAMED_ERA (UINT64_C(1) << (POSITION_ERA_BITS - 1))

uint64_t
position_named_era(uint64_t named)
{
    return named > 0 ? NAMED_ERA | (named & (NAMED_ERA - 1)) : 0;
}

uint64_t
position_make(uint64_t era, uint64_t revision)
{
    return era << POSITION_REVISION_BITS | (revision & REVISION_MASK);
}

uint64_t
position_era(uint64_t position)
{
    return position >> POSITION_REVISION_BITS;
}

uint64_t
position_revision(uint64_t position)
{
    return position & REVISION_MASK;
}
