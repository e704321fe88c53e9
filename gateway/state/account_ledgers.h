/*
 * Account ledgers: the ledgers of the client accounts in use that this instance owns.
 *
 * Owns them. Relies on account_ledger.h; time is passed in.
 */
#pragma once

#include "gateway/state/account_ledger.h"

typedef struct {
    ledger_t **items; /* sorted by id; a ledger never moves */
    size_t count;
    size_t size;
    uint64_t started_ms; /* when this instance started */
    uint64_t source;     /* its random number */
} ledgers_t;

/* NULL if there is none. */
ledger_t *ledgers_find(const ledgers_t *ledgers, uint64_t id);
/* The same, begun if it is new. */
ledger_t *ledgers_get(ledgers_t *ledgers, const config_account_t *account, uint64_t now_ms);
/* Forgets the ledger. */
void ledgers_remove(ledgers_t *ledgers, ledger_t *ledger);
/* Forgets those that have rested. */
void ledgers_expire(ledgers_t *ledgers, uint64_t now_ms);
void ledgers_free(ledgers_t *ledgers);
