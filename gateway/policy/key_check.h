/*
 * Key check: authenticates a request by the key of a client account.
 *
 *  - Without client accounts in the configuration no key is needed.
 *  - A key of a known account attributes the request to that account, also on a route that is open
 *    to all; the account's limit applies.
 *  - A route that is open to all needs no key.
 *  - Otherwise the request is denied. The response does not depend on the reason, which is only
 *    logged.
 *  - A key that several accounts have, or one whose account could not be read, is neither accepted
 *    nor denied: the limit and regions of the account are unknown, and its callers are entitled.
 *  - An instance that knows of a newer configuration, or could not read the keys of an account,
 * does not deny a request, as the key may be among these: operators add keys before callers use
 * them, and a denied caller would not retry.
 *
 * Stateless.
 */
#pragma once

#include "gateway/ports.h"

typedef enum {
    KEY_NOT_NEEDED,          /* served without an account */
    KEY_KNOWN,               /* attributed to an account */
    KEY_CONFIGURATION_STALE, /* unknown, but it may be a key that is not known here */
    KEY_UNUSABLE,            /* of an account that cannot be used; refused, not denied */
    KEY_ABSENT,              /* no key; denied, like the next three */
    KEY_AMBIGUOUS,           /* more than one key */
    KEY_EMPTY,
    KEY_UNKNOWN,
} key_verdict_t;

typedef struct {
    bool has_accounts;     /* the configuration has client accounts */
    bool allows_anonymous; /* the route needs no key */
    key_presence_t form;
    str_t key;
    bool is_known;     /* an account has the key */
    bool is_unusable;  /* the account of the key cannot be used */
    bool keys_missing; /* there are keys that are not known here */
} key_input_t;

key_verdict_t key_check(const key_input_t *input);
bool key_is_denied(key_verdict_t verdict);
/* True if the request is refused, but may be served later. */
bool key_is_deferred(key_verdict_t verdict);
/* Returns the name of a verdict for the log. */
const char *key_verdict_name(key_verdict_t verdict);
