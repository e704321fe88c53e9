#include "gateway/policy/store_schedule.h"

#include <math.h>

enum {
    /* Instances of a region that watch the store; a second one covers a watch that fails unnoticed
     * until its timeout of 3 s. */
    WATCHERS = 2,
    /* Instances of a region that try at once if there is no watcher; with a third of the instances
     * refused, one of four is served in 79 of 80 cases. */
    PRIORITY_RANKS = 4,
    TAKEOVER_STEP_MS = 250, /* one more instance per step: all of a region of 98 within 24 s */
    SEED_START_MS = 0,      /* seeds read at once; the others request views from them */
    PROBE_MS = 1000,        /* interval of each of the first instances */
    PROBE_OTHERS_MS = 500,  /* between two probes of the others together */
    /* Pause between two watches. Entries change often in a large deployment and each change answers
     * a watch; the two watchers of a region alternate, which halves the delay. */
    WATCH_PAUSE_MS = 400,
    /* Shortest and longest time for which an overdue answer is awaited. The first is above a round
     * trip between regions, the second below the longest duration of a whole call. */
    TIMEOUT_MIN_MS = 800,
    TIMEOUT_MAX_MS = 8000,
    TIMEOUT_PER_DELAY = 2,
    TIMEOUT_GROWTH = 4, /* with each timeout in a row */
};

/* Capacities of other instances have been rounded to floats on the way. */
static bool
is_equal(double a, double b)
{
    return (float)a == (float)b;
}

bool
store_schedule_precedes(const store_candidate_t *a, const store_candidate_t *b)
{
    if (!is_equal(a->link_bytes_per_s, b->link_bytes_per_s))
        return a->link_bytes_per_s > b->link_bytes_per_s;
    if (!is_equal(a->cpu_cores, b->cpu_cores))
        return a->cpu_cores > b->cpu_cores;
    return str_compare(a->name, b->name) < 0;
}

bool
store_schedule_watches(size_t rank)
{
    return rank < WATCHERS;
}

uint64_t
store_schedule_startup_delay_ms(uint64_t key, bool is_seed, uint64_t told_ms)
{
    if (is_seed)
        return SEED_START_MS;
    const double part = (double)(key % 1000) / 1000;
    return (uint64_t)((double)told_ms * cbrt(part));
}

bool
store_schedule_takes_over(size_t rank, uint64_t unwatched_ms)
{
    return rank < PRIORITY_RANKS || unwatched_ms >= (rank - PRIORITY_RANKS + 1) * TAKEOVER_STEP_MS;
}

uint64_t
store_schedule_probe_interval_ms(size_t rank, size_t instances)
{
    if (rank < PRIORITY_RANKS)
        return PROBE_MS;
    const uint64_t turn_ms = (uint64_t)instances * PROBE_OTHERS_MS;
    return turn_ms > PROBE_MS ? turn_ms : PROBE_MS;
}

uint64_t
store_schedule_watch_pause_ms(void)
{
    return WATCH_PAUSE_MS;
}

static uint32_t
bounded_timeout_ms(uint64_t ms)
{
    if (ms < TIMEOUT_MIN_MS)
        return TIMEOUT_MIN_MS;
    return ms < TIMEOUT_MAX_MS ? (uint32_t)ms : TIMEOUT_MAX_MS;
}

uint32_t
store_schedule_answer_timeout_ms(uint64_t delay_ms, unsigned timeouts)
{
    uint32_t timeout_ms = bounded_timeout_ms(TIMEOUT_PER_DELAY * delay_ms);
    for (unsigned i = 0; i < timeouts && timeout_ms < TIMEOUT_MAX_MS; i++)
        timeout_ms = bounded_timeout_ms((uint64_t)timeout_ms * TIMEOUT_GROWTH);
    return timeout_ms;
}
