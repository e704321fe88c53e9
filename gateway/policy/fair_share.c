#include "gateway/policy/fair_share.h"

#include <math.h>
#include <stdlib.h>

/* Time constant of the averages of admitted work, in milliseconds. */
#define AVERAGE_TAU_MS 4000.0
/* Shares are scaled once more than this part of the share is admitted: the work of a few seconds
 * varies around its mean. */
#define ADMITTED_PART 1.1
/* Change of the scale per second and per difference of 1 in the admitted share. */
#define SCALE_PER_S 2.0
/* Share that each account keeps, as a part of that of its urgency. */
#define ACCOUNT_MIN_PART 0.3
#define MS_PER_S 1000.0

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
    if (count == 0)
        return 0;
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

static double
moved_scale(const fair_share_t *fair, size_t region, unsigned urgency, double share,
            double passed_ms)
{
    const double scale = fair->scale[region][urgency] > 0 ? fair->scale[region][urgency] : 1;
    if (share >= 1 || fair->offered[region][urgency] <= 0)
        return 1;
    const double actual = fair->admitted[region][urgency] / fair->offered[region][urgency];
    const double step = SCALE_PER_S * (ADMITTED_PART * share - actual) * passed_ms / MS_PER_S;
    return fmin(fmax(scale + step, share), 1);
}

static void
update_average(double *average, double *pending, double gain)
{
    *average += gain * (*pending - *average);
    *pending = 0;
}

void
fair_share_update(fair_share_t *fair, const account_work_t *work, const shortage_t *shortage,
                  size_t region_count, uint64_t now_ms)
{
    const double passed_ms = (double)(now_ms - fair->updated_ms);
    const double gain = 1 - exp(-passed_ms / AVERAGE_TAU_MS);
    const bool is_first = fair->updated_ms == 0;
    fair->updated_ms = now_ms;
    for (size_t i = 0; i < region_count; i++) {
        for (unsigned k = 0; k < URGENCY_LEVELS; k++) {
            const double share = shortage_admitted_share(shortage, i, k);
            update_average(&fair->offered[i][k], &fair->pending_offered[i][k], gain);
            update_average(&fair->admitted[i][k], &fair->pending_admitted[i][k], gain);
            fair->scale[i][k] = is_first ? 1 : moved_scale(fair, i, k, share, passed_ms);
            fair->limit[i][k] = share < 1 ? limit_of(work, share, i, k) : 0;
        }
    }
}

void
fair_share_count(fair_share_t *fair, size_t region, unsigned urgency, double work_ms, bool admitted)
{
    fair->pending_offered[region][urgency] += work_ms;
    fair->pending_admitted[region][urgency] += admitted ? work_ms : 0;
}

double
fair_share_of_account(const fair_share_t *fair, const account_work_t *work, uint64_t account,
                      size_t region, unsigned urgency, double share)
{
    const double limit = fair->limit[region][urgency];
    const double slots = limit > 0 ? account_work_slots(work, account, region, urgency) : 0;
    const double part = slots > limit ? limit / slots : 1;
    const double scale = fair->scale[region][urgency] > 0 ? fair->scale[region][urgency] : 1;
    return fmax(part * scale, ACCOUNT_MIN_PART * share);
}
