#include "base/search.h"

size_t
search_lower_bound(size_t count, search_below_t is_below, const void *ctx)
{
    size_t low = 0;
    size_t high = count;
    while (low < high) {
        const size_t mid = low + (high - low) / 2;
        if (is_below(ctx, mid))
            low = mid + 1;
        else
            high = mid;
    }
    return low;
}
