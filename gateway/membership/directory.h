/*
 * Directory: the instances that a caller may use.
 *
 * Decides: the addresses in the directory's answer to a caller.
 * Inputs: the members, the caller's data hall and region, the time in milliseconds.
 * Rule: ready and alive instances of the caller's data hall if there are any, as many as subset.h
 * selects; else all of its region, else all. Instances that are leaving, or silent for 3.25
 * heartbeat intervals, are not listed.
 *
 * Pure: no state.
 */
#pragma once

#include "gateway/membership/members.h"

enum { DIRECTORY_MAX = 64 }; /* addresses in an answer, limited by the platform */

/* Fills `out` with addresses for callers; returns their number, which may be 0. */
size_t directory_pick(const members_t *members, const topology_t *topology, str_t region,
                      str_t hall, uint64_t now_ms, addr_t out[DIRECTORY_MAX]);
