/*
 * Store schedule: which instances call the platform's store, and when.
 *
 *  - Two instances of each region that the store serves watch it: those with the widest links. A
 *    watcher reads each change unpacked, and its region gets the change from it; a large
 *    configuration takes a second on the smallest links. If no watcher is known, the first four
 *    instances of the region try at once, and one more every 250 ms, until one is served.
 *  - While the store fails an instance, the first four probe it once a second, and the others in
 *    turn, two per second and region.
 *  - A call times out if its answer is overdue by twice the delay of the last one, so that a slow
 *    store is still read. While calls time out, the timeout for one kind of object grows, which
 *    finds out the delay of a slow store; the others stay short, which detects its recovery soon.
 *  - Starting instances wait for different times, most of them long: the first few read the store,
 *    and the others get the views from them.
 *
 * The store bounds the rate of calls of the whole fleet and answers those beyond it with 429.
 * Without a schedule most calls come from instances that all read the store at start, or all act as
 * watchers of their region.
 *
 * Stateless. Ranks are positions in an order of a region's instances that is the same on all of
 * them.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/* An instance that may watch the store. */
typedef struct {
    double link_bytes_per_s; /* as configured; 0 if unknown */
    double cpu_cores;        /* as configured; 0 if unknown */
    str_t name;
} store_candidate_t;

/* True if `a` comes before `b` in the order of ranks: by link, then by processor, then by name. */
bool store_schedule_precedes(const store_candidate_t *a, const store_candidate_t *b);
/* True if the instance watches the store; `rank` among the instances that the store serves. */
bool store_schedule_watches(size_t rank);
/* Returns the time in milliseconds that a starting instance waits for its peers. `key`: hash of its
 * name; `is_seed`: others ask it first; `told_ms`: time within which the others have what an early
 * one has read. No instance waits for longer; few wait much less: one in 27 up to a third of it. */
uint64_t store_schedule_startup_delay_ms(uint64_t key, bool is_seed, uint64_t told_ms);
/* True if the instance calls the store after no watcher was known for `unwatched_ms`; `rank` among
 * all instances of the region. */
bool store_schedule_takes_over(size_t rank, uint64_t unwatched_ms);
/* Returns the interval in milliseconds between probes of a store that fails the instance, in a
 * region of `instances`. */
uint64_t store_schedule_probe_interval_ms(size_t rank, size_t instances);
/* Returns by how many milliseconds an answer may be overdue before its call times out. `delay_ms`:
 * by how much the last answer was; `timeouts`: timeouts in a row of calls for the kind whose
 * timeout grows, 0 for the others. */
uint32_t store_schedule_answer_timeout_ms(uint64_t delay_ms, unsigned timeouts);
/* Returns the pause in milliseconds after a watch that returned changes. */
uint64_t store_schedule_watch_pause_ms(void);
