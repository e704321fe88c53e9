/*
 * Extra sends of a soak: what arrives at backend servers beyond the first arrival of each request,
 * against the bound that the settings of scripts/soak.sh give all instances together, in each
 * window.
 */
#pragma once

#include "standin/soak/judge.h"
#include "standin/soak/requests.h"

typedef struct extra_sends extra_sends_t;

extra_sends_t *extra_sends_new(judge_t *judge, const requests_t *requests);
/* A request has arrived at a backend server, whatever that does with it. */
void extra_sends_arrived(extra_sends_t *sends, soak_request_t *request, uint64_t now_ms);
/* Judges the window that has just ended. */
void extra_sends_tick(extra_sends_t *sends, uint64_t now_ms);
