/*
 * What one backend server of a soak says of itself in its answers, and whether the instances heed
 * it: that it takes no more than some requests a second, that it wants rest, that it leaves.
 *
 * Judges by what the backend server sees: an instance is held to what it was told, from a moment
 * after the answer on, while nothing disturbs it.
 */
#pragma once

#include "standin/soak/fleet.h"
#include "standin/soak/requests.h"

typedef struct says says_t;

typedef struct {
    judge_t *judge;
    const fleet_t *fleet;
    uint32_t instances;
    double slack; /* times the bounds in time, for slow builds */
} says_conf_t;

says_t *says_new(const says_conf_t *conf);
/* A new life, which has said nothing. `id` is for the cases' texts and must outlive it. */
void says_reset(says_t *says, const char *id);
/* It takes so many requests a second from all instances, for that time. */
void says_limit(says_t *says, double per_s, uint64_t now_ms, uint64_t until_ms);
/* It turns away what comes, and asks each instance for so long a rest, until that time. */
void says_rest(says_t *says, uint64_t rest_ms, uint64_t until_ms);
/* It leaves, and says so in all its answers from now on. */
void says_leave(says_t *says);
/* True if it turns requests away now. */
bool says_turns_away(const says_t *says, uint64_t now_ms);
/* Writes the fields of an answer to a request of that instance. */
void says_write(says_t *says, uint32_t instance, uint64_t now_ms, char *out, size_t size);
/* The same for one that turns the request away. */
void says_write_refusal(says_t *says, uint32_t instance, uint64_t now_ms, char *out, size_t size);
/* Over its limits so far, from some seconds after they were named until they ended. */
typedef struct {
    double offered; /* requests */
    double got;
} says_use_t;
says_use_t says_use(const says_t *says);
/* A request has arrived. */
void says_arrived(says_t *says, const soak_request_t *request, uint64_t now_ms);
