/*
 * Account ledgers: the ledgers of the active client accounts that this instance owns.
 *
 * Owns them. Relies on account_ledger.h; time is passed in.
 */
#pragma once

#include "gateway/state/account_ledger.h"

typedef struct {
    ledger_t **items; /* sorted by id; pointers stay valid */
    size_t count;
    size_t size;
    uint64_t started_ms; /* start of this instance */
    uint64_t source;     /* random number of this instance */
} ledgers_t;

/* Returns NULL if there is none. */
ledger_t *ledgers_find(const ledgers_t *ledgers, uint64_t id);
/* Finds or creates a ledger. */
ledger_t *ledgers_get(ledgers_t *ledgers, const config_account_t *account, uint64_t now_ms);
/* Removes and frees the ledger. */
void ledgers_remove(ledgers_t *ledgers, ledger_t *ledger);
/* Removes idle ledgers. */
void ledgers_expire(ledgers_t *ledgers, uint64_t now_ms);
void ledgers_free(ledgers_t *ledgers);
