/*
 * Order under shortage: asks the policies (shortage.h, fair_share.h) with the state of a service
 * whether a request is admitted.
 *
 * Owns nothing; the state is part of the service. Acts only where the settings ask for it and the
 * configuration has something to order: client accounts, or routes of different urgency. Otherwise
 * no decision changes and no random number is drawn.
 */
#pragma once

#include "base/rng.h"
#include "gateway/membership/topology.h"
#include "gateway/state/config.h"
#include "gateway/state/services.h"

/* A request that asks to be admitted. */
typedef struct {
    offered_request_t offered;
    const config_account_t *account; /* NULL if none */
} order_request_t;

/* True if the configuration has client accounts or routes of different urgency. */
bool order_applies(const config_t *config);
/* What the shares of a service are computed with, besides its own state. */
typedef struct {
    const topology_t *topology;
    const double *slots; /* of usable backend servers, by region */
    bool has_accounts;   /* the configuration has client accounts */
} order_terms_t;

/* Updates the shares of a service. */
void order_update(service_t *service, const order_terms_t *terms, uint64_t now_ms);
/* Counts the work of a request among that of its account. */
void order_count(service_t *service, const order_request_t *request);
/* Decides on a request, with a random number for each that is not sure to be admitted. */
bool order_admits(service_t *service, const order_request_t *request, rng_t *rng);
