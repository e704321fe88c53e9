/*
 * Directory: the instances that a caller may use.
 *
 * Decides: the addresses in the directory's answer to a caller.
 * Inputs: the members, the caller's data hall and region, the time in milliseconds.
 * Rule: ready, living instances of the caller's data hall if there are any, as many as subset.h
 * says; else all of its region, else all. One that is leaving or silent for 3.25 heartbeats is not
 * named.
 *
 * Pure: no state.
 */
#pragma once

#include "gateway/membership/members.h"

enum { DIRECTORY_MAX = 64 }; /* addresses in an answer: the platform's bound */

/* Fills `out` with the addresses for callers; returns their number, 0 if there is none. */
size_t directory_pick(const members_t *members, const topology_t *topology, str_t region,
                      str_t hall, uint64_t now_ms, addr_t out[DIRECTORY_MAX]);
