#include "gateway/state/account_work.h"

#include <math.h>

/* Time constant of the averages, in milliseconds. An instance sees few requests of most accounts.
 */
#define AVERAGE_TAU_MS 4000.0

/* Slots below which an account is removed. */
#define SLOTS_MIN 0.001

/* Returns the index of an item, the number of items if there is none. */
static size_t
find(const account_work_t *work, uint64_t account, size_t region, unsigned urgency)
{
    for (size_t i = 0; i < work->count; i++) {
        const account_work_item_t *item = &work->items[i];
        if (item->account == account && item->region == region && item->urgency == urgency)
            return i;
    }
    return work->count;
}

/* Slots as of the next update, about. */
static double
expected_slots(const account_work_item_t *item)
{
    return item->slots + item->pending / AVERAGE_TAU_MS;
}

/* Returns a free item, or the one with the least work. */
static account_work_item_t *
take_item(account_work_t *work)
{
    if (work->count < ACCOUNT_WORK_MAX)
        return &work->items[work->count++];
    account_work_item_t *least = &work->items[0];
    for (size_t i = 1; i < work->count; i++) {
        if (expected_slots(&work->items[i]) < expected_slots(least))
            least = &work->items[i];
    }
    return least;
}

void
account_work_count(account_work_t *work, uint64_t account, size_t region, unsigned urgency,
                   double work_ms)
{
    const size_t index = find(work, account, region, urgency);
    if (index < work->count) {
        work->items[index].pending += work_ms;
        return;
    }
    *take_item(work) = (account_work_item_t){
        .account = account, .region = region, .urgency = urgency, .pending = work_ms};
}

void
account_work_update(account_work_t *work, uint64_t now_ms)
{
    const double passed_ms = (double)(now_ms - work->updated_ms);
    if (passed_ms <= 0)
        return;
    const double gain = 1 - exp(-passed_ms / AVERAGE_TAU_MS);
    size_t kept = 0;
    work->updated_ms = now_ms;
    for (size_t i = 0; i < work->count; i++) {
        account_work_item_t item = work->items[i];
        item.slots += gain * (item.pending / passed_ms - item.slots);
        item.pending = 0;
        if (item.slots >= SLOTS_MIN)
            work->items[kept++] = item;
    }
    work->count = kept;
}

double
account_work_slots(const account_work_t *work, uint64_t account, size_t region, unsigned urgency)
{
    const size_t index = find(work, account, region, urgency);
    return index < work->count ? work->items[index].slots : 0;
}

size_t
account_work_list(const account_work_t *work, size_t region, unsigned urgency, double *out)
{
    size_t count = 0;
    for (size_t i = 0; i < work->count; i++) {
        if (work->items[i].region == region && work->items[i].urgency == urgency)
            out[count++] = work->items[i].slots;
    }
    return count;
}
