/*
 * Ages in messages: instances share no clock, so messages carry times as ages.
 *
 * Pure. Network latency is ignored.
 */
#pragma once

#include <stdint.h>

/* Returns the age of a loop time. */
uint32_t message_age_ms(uint64_t at_ms, uint64_t now_ms);
/* Returns the loop time of an age; at least 1, because 0 means never. */
uint64_t message_time_ms(uint32_t age_ms, uint64_t now_ms);
