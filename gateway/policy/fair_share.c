#include "gateway/policy/fair_share.h"

#include <stdlib.h>

static int
compare(const void *left, const void *right)
{
    const double a = *(const double *)left;
    const double b = *(const double *)right;
    return (a > b) - (a < b);
}

double
fair_share_limit(double *work, size_t count, double room)
{
    double left = room;
    qsort(work, count, sizeof(*work), compare);
    for (size_t i = 0; i < count; i++) {
        const double even = left / (double)(count - i);
        if (work[i] > even)
            return even;
        left -= work[i];
    }
    return 0;
}

static double
limit_of(const account_work_t *work, double share, size_t region, unsigned urgency)
{
    double slots[ACCOUNT_WORK_MAX];
    const size_t count = account_work_list(work, region, urgency, slots);
    double all = 0;
    for (size_t i = 0; i < count; i++)
        all += slots[i];
    return fair_share_limit(slots, count, share * all);
}

void
fair_share_update(fair_share_t *fair, const account_work_t *work, const shortage_t *shortage,
                  size_t region_count)
{
    for (size_t i = 0; i < region_count; i++) {
        for (unsigned k = 0; k < URGENCY_LEVELS; k++) {
            const double share = shortage_admitted_share(shortage, i, k);
            fair->limit[i][k] = share < 1 ? limit_of(work, share, i, k) : 0;
        }
    }
}

double
fair_share_of_account(const fair_share_t *fair, const account_work_t *work, uint64_t account,
                      size_t region, unsigned urgency)
{
    const double limit = fair->limit[region][urgency];
    const double slots = limit > 0 ? account_work_slots(work, account, region, urgency) : 0;
    return slots > limit ? limit / slots : 1;
}
