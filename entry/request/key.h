/*
 * Keys of requests that may not be repeated, and the record of what became of them.
 *
 * A key belongs to one incarnation of one instance, which alone may run its request and which
 * remembers in memory that it did. A key minted by an instance says so in its text, so no write
 * to the store is needed; a key of the caller's own gets its owner by a claim in the store. When
 * the owner is gone, the outcome of its keys is unknown for good. Pure.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rng.h"
#include "base/str.h"

/* Chosen, not measured; docs/CAPACITY.md has the memory that follows from them. */
enum {
    KEY_TEXT_MAX = 128,       /* bytes of a key, with its end */
    KEY_LIFETIME_MS = 20000,  /* from minting to first use */
    KEY_RECORD_MS = 120000,   /* how long an outcome is remembered */
    KEY_RECORDS_MAX = 200000, /* of one instance */
    KEY_BODY_MAX = 512,       /* bytes of an answer kept for later arrivals */
};

/* What a minted key says. */
typedef struct {
    name_t instance;
    uint64_t incarnation;
    uint64_t expires_ms; /* wall */
} minted_key_t;

void key_mint(const name_t *instance, uint64_t incarnation, uint64_t wall_ms, rng_t *rng,
              char out[KEY_TEXT_MAX]);
bool key_parse_minted(str_t text, minted_key_t *out);

typedef enum {
    KEY_RUNNING, /* handed to a backend server, or about to be */
    KEY_NOT_RUN, /* certainly not run here */
    KEY_DONE,
    KEY_UNKNOWN, /* handed over, and no whole answer came */
} key_state_t;

typedef struct key_record key_record_t;
struct key_record {
    char text[KEY_TEXT_MAX];
    uint64_t fingerprint; /* of the request, to notice another one under the same key */
    key_state_t state;
    bool claimed;   /* this incarnation owns the key for certain */
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
/* A new record in state KEY_RUNNING; NULL if the registry is full or the text too long. */
key_record_t *key_registry_add(key_registry_t *registry, str_t text, uint64_t fingerprint,
                               uint64_t now_ms);
void key_registry_remove(key_registry_t *registry, key_record_t *record);
/* Forgets records not touched for KEY_RECORD_MS, running ones excepted. */
void key_registry_sweep(key_registry_t *registry, uint64_t now_ms);
size_t key_registry_count(const key_registry_t *registry);
