/*
 * Ages in messages: instances have no clock in common, so times go as how long ago they were.
 *
 * Pure. The way of the message is left out.
 */
#pragma once

#include <stdint.h>

/* How long ago that loop time was. */
uint32_t message_age_ms(uint64_t at_ms, uint64_t now_ms);
/* The loop time that is so long ago; 1 at the least, since 0 stands for never. */
uint64_t message_time_ms(uint32_t age_ms, uint64_t now_ms);
