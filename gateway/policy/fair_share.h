/*
 * Fair shares: which part of each client account's requests is admitted while a region is short of
 * slots (shortage.h).
 *
 * Load it answers: among accounts of like urgency, one offers many times its usual work.
 *
 * Inputs: the work of each account in slots (account_work.h) and the share of the urgency's work
 * that is admitted.
 *
 * Max-min fairness (Bertsekas and Gallager, Data Networks, 1987): there is one limit for all
 * accounts; those that offer less get all of their requests admitted, the others work up to the
 * limit. An account that offers more takes no room of another. Shares are of work, not of requests:
 * long requests use them up sooner than short ones.
 *
 * Accounts that are rare on an instance have next to no work there when a request comes, and would
 * all be admitted. All shares are therefore scaled until what is admitted is the share of the
 * urgency. Each account keeps 0.3 of that share however much work it offers.
 *
 * Requests without an account get the share of their urgency.
 *
 * See docs/design/gateway/shortage.md. fair_share_t is part of its service.
 */
#pragma once

#include "gateway/policy/shortage.h"
#include "gateway/state/account_work.h"

typedef struct {
    /* Slots up to which the work of one account is admitted; 0: no limit. */
    double limit[TOPOLOGY_REGIONS_MAX][URGENCY_LEVELS];
    double scale[TOPOLOGY_REGIONS_MAX][URGENCY_LEVELS]; /* factor on all shares; 0: 1 */
    /* Work since the last update, and moving averages of it. */
    double pending_offered[TOPOLOGY_REGIONS_MAX][URGENCY_LEVELS];
    double pending_admitted[TOPOLOGY_REGIONS_MAX][URGENCY_LEVELS];
    double offered[TOPOLOGY_REGIONS_MAX][URGENCY_LEVELS];
    double admitted[TOPOLOGY_REGIONS_MAX][URGENCY_LEVELS];
    uint64_t updated_ms;
} fair_share_t;

/* Returns the limit for the work of one account under which all accounts together fill `room`; 0 if
 * they fit without one. Sorts `work`. */
double fair_share_limit(double *work, size_t count, double room);
/* Renews the limits. */
void fair_share_update(fair_share_t *fair, const account_work_t *work, const shortage_t *shortage,
                       size_t region_count, uint64_t now_ms);
/* Share of the requests of an account that is admitted where `share` of the urgency's work is. */
double fair_share_of_account(const fair_share_t *fair, const account_work_t *work, uint64_t account,
                             size_t region, unsigned urgency, double share);
/* Counts the work of a new request of an account, and whether it was admitted. */
void fair_share_count(fair_share_t *fair, size_t region, unsigned urgency, double work_ms,
                      bool admitted);
