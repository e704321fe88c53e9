/*
 * The client accounts of a soak: their keys, which come and go with the versions of the
 * configuration, their limits, and what requests bring of them.
 *
 * Judges, from what callers and backend servers see: a request runs under the name of the account
 * whose key it brought, and its key goes no further; what brings no key of an account is not run; a
 * key is neither denied while it is there nor served after it was taken away; an account with a
 * limit runs no more in 5 s than its limit allows and operators bear, and one far below its limit
 * is not refused for it.
 *
 * Owns the keys' history. Relies on judge.h; time is passed in.
 */
#pragma once

#include <jansson.h>

#include "base/rng.h"
#include "standin/soak/judge.h"
#include "standin/soak/requests.h"
#include "wire/head.h"

enum { SOAK_ACCOUNTS = 8 };
/* A key of the last account that is never taken away. */
#define SOAK_KEY_STEADY "soak-key-7-0"

typedef struct soak_accounts accounts_t;

accounts_t *accounts_new(judge_t *judge);
/* The accounts as they stand in the next version of the configuration. */
json_t *accounts_json(const accounts_t *accounts);
/* Adds a key to an account, or takes its oldest away; the last account keeps its own. */
void accounts_vary(accounts_t *accounts, rng_t *rng, uint64_t now_ms);
/* Draws whose request it is and which key it brings, right or wrong. */
void accounts_draw(accounts_t *accounts, soak_request_t *request, rng_t *rng, uint64_t now_ms,
                   uint64_t bound_ms);
/* The request's header lines of its key; returns `out`. */
const char *accounts_fields(const soak_request_t *request, char *out, size_t size);
/* It has arrived at a backend server. */
void accounts_arrived(accounts_t *accounts, const soak_request_t *request, const wire_head_t *head);
/* It runs there. */
void accounts_ran(accounts_t *accounts, const soak_request_t *request, uint64_t now_ms);
/* It was answered. `settled`: its instance was undisturbed, and the store. */
void accounts_answered(accounts_t *accounts, const soak_request_t *request, int status,
                       bool settled, uint64_t bound_ms);
