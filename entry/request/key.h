/*
 * Idempotency keys of requests that must not run twice, and the records of their outcomes.
 *
 * A key belongs to one incarnation of one instance; only that one may run the request, and it keeps
 * the outcome in memory. A key minted by an instance names its owner in the text, so no write to
 * the store is needed; a key supplied by the caller gets its owner by a claim in the store. If the
 * owner is gone, the outcome of its keys stays unknown. Performs no I/O.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rng.h"
#include "base/str.h"

enum {
    KEY_TEXT_MAX = 128,       /* bytes of a key, including the terminating NUL */
    KEY_LIFETIME_MS = 20000,  /* time from minting to first use */
    KEY_RECORD_MS = 120000,   /* how long an outcome is kept */
    KEY_RECORDS_MAX = 200000, /* per instance */
    KEY_BODY_MAX = 512,       /* bytes of a response kept for repeated requests */
};

/* Contents of a minted key. */
typedef struct {
    name_t instance;
    uint64_t incarnation;
    uint64_t expires_ms; /* wall time */
} minted_key_t;

void key_mint(const name_t *instance, uint64_t incarnation, uint64_t wall_ms, rng_t *rng,
              char out[KEY_TEXT_MAX]);
bool key_parse_minted(str_t text, minted_key_t *out);

typedef enum {
    KEY_RUNNING, /* sent to a backend server, or about to be */
    KEY_NOT_RUN, /* known not to have run on this instance */
    KEY_DONE,
    KEY_UNKNOWN, /* sent, but no complete response was received */
} key_state_t;

typedef struct key_record key_record_t;
struct key_record {
    char text[KEY_TEXT_MAX];
    uint64_t fingerprint; /* of the request; detects reuse of the key for another request */
    key_state_t state;
    bool claimed;   /* this incarnation is known to own the key */
    uint64_t nonce; /* of its claim in the store; 0 for a minted key */
    int status;
    uint64_t touched_ms;
    size_t body_len;
    char body[KEY_BODY_MAX];
    key_record_t *next;
};

typedef struct key_registry key_registry_t;

key_registry_t *key_registry_new(void);
void key_registry_free(key_registry_t *registry);
key_record_t *key_registry_find(key_registry_t *registry, str_t text);
/* Adds a record in state KEY_RUNNING; NULL if the registry is full or the text too long. */
key_record_t *key_registry_add(key_registry_t *registry, str_t text, uint64_t fingerprint,
                               uint64_t now_ms);
void key_registry_remove(key_registry_t *registry, key_record_t *record);
/* Removes records not touched for KEY_RECORD_MS, except running ones. */
void key_registry_sweep(key_registry_t *registry, uint64_t now_ms);
size_t key_registry_count(const key_registry_t *registry);
