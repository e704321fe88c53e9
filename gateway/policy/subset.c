#include <stdbool.h>
#include <stdlib.h>

#include "gateway/policy/subset.h"

/* Minimum size of the subset: one instance may fail at any time. */
enum { SUBSET_MIN = 2 };
/* Planned use of link and CPU, which leaves capacity for bursts of twice the traffic. */
#define USE_MAX 0.4
/* Share of the total link capacity that the subset must carry before traffic is known. */
#define IDLE_LINK_SHARE 0.5
/* CPU time of a request in seconds (docs/PERFORMANCE.md: 0.18 ms). */
#define REQUEST_CORE_S 0.0002

static int
compare_double(double a, double b)
{
    return (a > b) - (a < b);
}

/* Orders by capacity, highest first. */
static int
compare(const void *a, const void *b)
{
    const subset_instance_t *left = a;
    const subset_instance_t *right = b;
    const int by_link = compare_double(right->link_bytes_per_s, left->link_bytes_per_s);
    const int by_cpu = compare_double(right->cpu_cores, left->cpu_cores);
    if (by_link != 0)
        return by_link;
    if (by_cpu != 0)
        return by_cpu;
    return (left->key > right->key) - (left->key < right->key);
}

/* Sums over all instances. */
typedef struct {
    double link_bytes_per_s;
    double requests_per_s;
    double bytes_per_s;
    bool all_known; /* the capacity of every instance is known */
} totals_t;

static totals_t
sum_totals(const subset_instance_t *instances, size_t count)
{
    totals_t totals = {.all_known = true};
    for (size_t i = 0; i < count; i++) {
        totals.link_bytes_per_s += instances[i].link_bytes_per_s;
        totals.requests_per_s += instances[i].requests_per_s;
        totals.bytes_per_s += instances[i].bytes_per_s;
        totals.all_known &= instances[i].link_bytes_per_s > 0 && instances[i].cpu_cores > 0;
    }
    return totals;
}

/* True if an equal part of the traffic fits each instance of the subset. `weakest` is the last one.
 */
static bool
can_carry(const totals_t *totals, const subset_instance_t *weakest, size_t size)
{
    const double n = (double)size;
    if (totals->requests_per_s <= 0)
        return n * weakest->link_bytes_per_s >= IDLE_LINK_SHARE * totals->link_bytes_per_s;
    return totals->bytes_per_s / n <= USE_MAX * weakest->link_bytes_per_s &&
           totals->requests_per_s / n * REQUEST_CORE_S <= USE_MAX * weakest->cpu_cores;
}

size_t
subset_select(subset_instance_t *instances, size_t count)
{
    const totals_t totals = sum_totals(instances, count);
    qsort(instances, count, sizeof(instances[0]), compare);
    if (!totals.all_known)
        return count;
    for (size_t size = SUBSET_MIN; size < count; size++) {
        if (can_carry(&totals, &instances[size - 1], size))
            return size;
    }
    return count;
}
