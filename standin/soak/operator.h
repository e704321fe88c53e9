/*
 * The operator of a soak: writes configurations into the store one by one and in storms, makes them
 * large for a time, troubles the store, and knows which version must be in force.
 *
 * Each version adds a route of its own and takes away the one that was added MARKERS versions
 * before. So an answer on such a route tells on which side of two versions the instance is.
 */
#pragma once

#include "standin/soak/accounts.h"
#include "standin/soak/judge.h"
#include "standin/soak/schedule.h"
#include "standin/store.h"

enum {
    OPERATOR_MARKERS = 48,     /* routes that are newer than the first ones, at any time */
    OPERATOR_FIRST_ROUTES = 30 /* that are there from the start on and stay */
};

typedef struct soak_operator operator_t;

operator_t *operator_new(standin_store_t *store, accounts_t *accounts, uint64_t seed);
/* Carries out a trouble of the configuration or of the store. */
void operator_trouble(operator_t *ops, const trouble_t *trouble, uint64_t now_ms);
/* Returns true if the store has come back from an older copy at this moment. */
bool operator_tick(operator_t *ops, uint64_t now_ms);

/* The newest version. */
uint64_t operator_version(const operator_t *ops);
/* The newest version that was acknowledged up to then. */
uint64_t operator_version_at(const operator_t *ops, uint64_t at_ms);
/* True if the store was undisturbed from then on. */
bool operator_store_calm_since(const operator_t *ops, uint64_t since_ms);
/* The lowest limit on idle connections that was in force from then on. */
uint64_t operator_idle_ms(const operator_t *ops, uint64_t since_ms);
