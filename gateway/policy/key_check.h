/*
 * Key check: whose request it is, by the key of a client account that it brings.
 *
 * Decides: the verdict on a request that has a route.
 * Inputs: whether the configuration has client accounts, whether the route is open to all, the form
 * and text of the key, the account that has it, and whether a newer configuration is known of than
 * the one in force.
 * Rule:
 *  - Without client accounts in the configuration nobody needs a key.
 *  - A key that an account has makes the request that account's, also on a route open to all: its
 *    name goes on, and its limit holds.
 *  - On a route open to all nothing else is asked for.
 *  - Otherwise the request is denied, with one answer whatever is wrong: it does not tell whoever
 *    tries keys how near one was. The log tells the reason.
 *  - An instance that knows of a newer configuration does not deny: that one may have the key.
 * Reason: operators add keys before callers use them, so a caller with a new key may meet an
 * instance that is a second behind; denied, it would not come back.
 * Load: every request; a look-up among 10,000 keys takes about 1.4 microseconds (test_accounts.c,
 * which writes two names in that time).
 *
 * Pure: no state, no clock.
 */
#pragma once

#include "gateway/ports.h"

typedef enum {
    KEY_NOT_NEEDED, /* nobody's, and served all the same */
    KEY_KNOWN,      /* the account's */
    KEY_BEHIND,     /* not known here; a newer configuration may know it */
    KEY_ABSENT,     /* denied, like the next three */
    KEY_AMBIGUOUS,  /* several keys */
    KEY_EMPTY,
    KEY_UNKNOWN,
} key_verdict_t;

typedef struct {
    bool has_accounts; /* the configuration in force */
    bool open_to_all;  /* the route */
    key_presence_t form;
    str_t key;
    bool is_known;    /* an account has it */
    bool newer_known; /* a configuration than the one in force */
} key_input_t;

key_verdict_t key_check(const key_input_t *input);
bool key_is_denied(key_verdict_t verdict);
/* For the log. */
const char *key_verdict_name(key_verdict_t verdict);
