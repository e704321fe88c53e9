/*
 * A stand-in for the platform's metadata store: objects by kind and name, lists, watches and
 * conditional writes over HTTP, with the troubles that the real one has. For the gateway's tests
 * and fake-site; fake-platform serves the entry's object API, for make run and the fault campaign.
 */
#pragma once

#include <jansson.h>
#include <uv.h>

#include "base/addr.h"

typedef struct standin_store standin_store_t;

typedef enum {
    STANDIN_STORE_SERVES,
    STANDIN_STORE_BUSY,    /* 503 */
    STANDIN_STORE_MANY,    /* 429 */
    STANDIN_STORE_SILENT,  /* no answer */
    STANDIN_STORE_RESETS,  /* closes the connection */
    STANDIN_STORE_GARBLES, /* answers with what is no JSON */
    STANDIN_STORE_LOSES,   /* writes are done and not answered */
} standin_store_mode_t;

standin_store_t *standin_store_start(uv_loop_t *loop, const addr_t *addr);
addr_t standin_store_addr(const standin_store_t *store);
void standin_store_set_mode(standin_store_t *store, standin_store_mode_t mode);
/* Calls that arrive from now on wait so long before they are looked at. */
void standin_store_set_delay(standin_store_t *store, uint64_t delay_ms);
/* Answers to lists and watches go out in pieces of so many bytes with a pause between, as over a
 * small link; 0 bytes: at once. */
void standin_store_set_pace(standin_store_t *store, size_t piece, uint64_t pause_ms);
/* Makes or replaces an object; takes over `spec` and `status`. Watches hear of it. */
void standin_store_put(standin_store_t *store, const char *kind, const char *name, json_t *spec,
                       json_t *status);
void standin_store_remove(standin_store_t *store, const char *kind, const char *name);
/* Forgets which changes there were: watches from before get 410. */
void standin_store_forget(standin_store_t *store);
/* From now on answers name the era; 0: they do not. */
void standin_store_set_era(standin_store_t *store, uint64_t era);
/* The store comes back from a copy made at that revision, in the next era: what was written since
 * is gone, and its revisions are given out again. Waiting watches are cut. */
void standin_store_return(standin_store_t *store, uint64_t revision);
/* The most items of a list that are given at once. */
void standin_store_set_page(standin_store_t *store, size_t items);
/* The next lists of a kind, so many, get 503. */
void standin_store_refuse_lists(standin_store_t *store, const char *kind, unsigned count);
/* Calls for a kind get no answer from now on; "" ends that. */
void standin_store_hold(standin_store_t *store, const char *kind);
/* Watches get that status from now on, 0: they are served. */
void standin_store_fail_watches(standin_store_t *store, int status);
uint64_t standin_store_calls(const standin_store_t *store);
bool standin_store_has(const standin_store_t *store, const char *kind, const char *name);
/* The revision of the last change. */
uint64_t standin_store_revision(const standin_store_t *store);
/* A text in an object's status; NULL if there is none. */
const char *standin_store_status(const standin_store_t *store, const char *kind, const char *name,
                                 const char *field);
