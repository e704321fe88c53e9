#include "gateway/policy/store_schedule.h"

#include <math.h>

enum {
    /* Instances of a region that watch the store: one may be refused in silence, which is noticed
     * only when its watch runs out after 3 s (commit cdee74c). */
    WATCHERS = 2,
    /* Instances of a region that try at once where nobody seems to watch. Chosen: with a third of
     * the instances turned away, one in 80 times all of them are. */
    PRIORITY_RANKS = 4,
    TAKEOVER_STEP_MS = 250, /* one more each; a region of 98 has tried after 24 s. Chosen */
    /* After this time all have read the store who have not had the views from peers; one in 27 of
     * them after a third of it, a third after 0.4 s, in which the views have gone from the first
     * readers to most. With 0.25 to 1.25 s half of 80 instances that start together served after
     * 1.0 s instead of 0.4 s, and 827 of 3,842 requests of the two seconds after the restart were
     * refused for good instead of 107. */
    START_SPREAD_MS = 600,
    SEED_START_MS = 0,     /* the others ask them first */
    PROBE_MS = 1000,       /* of each of the first ones. Chosen: a quarter of a second in all */
    PROBE_OTHERS_MS = 500, /* between two looks of the others, all together. Chosen */
    /* Entries of backend servers change hundreds of times a second in a deployment, and each watch
     * is answered at once; the two watchers of a region take turns, so that a change waits for half
     * of this. A tenth of the time in which the strictest of the users' sites has a change in
     * force. Chosen. */
    WATCH_PAUSE_MS = 400,
};

bool
store_schedule_watches(size_t rank)
{
    return rank < WATCHERS;
}

uint64_t
store_schedule_startup_delay_ms(uint64_t key, bool is_seed)
{
    if (is_seed)
        return SEED_START_MS;
    const double part = (double)(key % 1000) / 1000;
    return (uint64_t)(START_SPREAD_MS * cbrt(part));
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
