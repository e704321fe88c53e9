/*
 * Account work: the slots that the requests of each client account would keep busy, for one
 * service, by the region that is to serve them and by urgency.
 *
 * Own measurements of this instance, lost with it and learned again within seconds. Bounded: of
 * more than ACCOUNT_WORK_MAX entries the one with the least work is replaced, which fair shares do
 * not concern (policy/fair_share.h). Owns the table, 12 kB. Time is passed in.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

enum { ACCOUNT_WORK_MAX = 256 };

typedef struct {
    uint64_t account; /* id of the account */
    size_t region;    /* that is to serve the requests */
    unsigned urgency;
    double slots;   /* moving average */
    double pending; /* slot milliseconds since the last update */
} account_work_item_t;

typedef struct {
    account_work_item_t items[ACCOUNT_WORK_MAX];
    size_t count;
    uint64_t updated_ms;
} account_work_t;

/* Counts a request that is expected to keep a slot busy for `work_ms`. */
void account_work_count(account_work_t *work, uint64_t account, size_t region, unsigned urgency,
                        double work_ms);
/* Updates the averages and removes accounts without work. */
void account_work_update(account_work_t *work, uint64_t now_ms);
/* Slots of one account; 0 if it is not known. */
double account_work_slots(const account_work_t *work, uint64_t account, size_t region,
                          unsigned urgency);
/* Stores the slots of all accounts of a region and urgency, at most ACCOUNT_WORK_MAX; returns their
 * number. */
size_t account_work_list(const account_work_t *work, size_t region, unsigned urgency, double *out);
