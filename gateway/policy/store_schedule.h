/*
 * Store turns: which instances call the platform's store, and when.
 *
 * Decides: whether an instance watches the store for its region; how long a started one waits for
 * its peers before it reads the store itself; when an instance takes over where nobody seems to
 * watch; how often one looks whether a store that fails it is back; how soon a watch that brought
 * changes is asked again.
 * Inputs: ranks of the instance in an order of its region that is the same on all of its instances;
 * a hash of its name; times in milliseconds.
 * Rule: two of those of a region that the store serves watch it. Where no watcher is heard of, the
 * first four of the region try at once, and one more each quarter of a second, until one is served.
 * While the store fails an instance, the first four look once a second and the others in turn, two
 * a second of the region. Started instances wait for different times, most of them long: the first
 * few read the store and the others have the views from them.
 * Reason: every call is paid for, and the rate of calls is shared by the fleet. Of 12,911 calls of
 * a day with an outage and a restart of 295 instances 3,300 were started instances that each read
 * everything, and 6,700 the watches of instances that all took themselves for the first ones of
 * their region, at the start and after the outage (counted by
 * irisstall_store_calls_by_reason_total).
 *
 * Pure: no clock, no state.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* True if an instance of that rank among those that the store serves watches it. */
bool store_schedule_watches(size_t rank);
/* Milliseconds that a started instance waits for its peers. `key`: a hash of its name; `is_seed`:
 * started instances ask it first. */
uint64_t store_schedule_startup_delay_ms(uint64_t key, bool is_seed);
/* True if an instance of that rank among all of its region calls the store where no watcher has
 * been heard of for so long. */
bool store_schedule_takes_over(size_t rank, uint64_t unwatched_ms);
/* Milliseconds between two looks of such an instance at a store that fails it, in a region of so
 * many. */
uint64_t store_schedule_probe_interval_ms(size_t rank, size_t instances);
/* Milliseconds after a watch that brought changes until the next one. */
uint64_t store_schedule_watch_pause_ms(void);
