/*
 * Notices: what backend servers state about themselves in their responses, apart from their load: a
 * limit on the request rate, and that they are shutting down.
 *
 * A notice is ordered by the time at which the request was sent, so that a late response to
 * a long request does not override a newer statement. The shutdown flag is kept for the rest of the
 * incarnation, regardless of the store's list.
 *
 * An entry belongs to one incarnation of a backend server. Notices are kept apart from the list of
 * backends: they survive an outage of the store and a reload of the list, and may arrive before the
 * backend's entry does.
 *
 * Owns the table, with an entry for each backend server that sent a notice lately. Time is passed
 * in.
 */
#pragma once

#include "base/str.h"

/* The statements in one response. Fields that cannot be used count as absent. */
typedef struct {
    bool has_limit;
    double limit_per_s; /* requests a second from all instances together */
    bool leaving;
    bool has_backoff; /* it refused the request and wants none from this instance for backoff_ms */
    uint64_t backoff_ms;
    unsigned unusable; /* number of fields that cannot be used */
} backend_statement_t;

/* The last limit that a backend server stated on the request rate from all instances together. */
typedef struct {
    bool is_set;        /* false: none, or it was withdrawn */
    double per_s;       /* requests a second */
    uint64_t stated_ms; /* loop time since which it holds; 0: never stated */
} backend_limit_t;

typedef struct {
    name_t backend; /* id */
    uint64_t born;  /* start of the incarnation; 0: unknown */
    backend_limit_t limit;
    bool leaving;
    uint64_t leaving_since_ms;  /* loop time */
    backend_limit_t sent_limit; /* as last sent to other instances */
    bool unsent;                /* the limit or the shutdown is to be sent to other instances */
} notice_t;

typedef struct {
    notice_t *items; /* sorted by id; pointers are invalidated by notices_merge() */
    size_t count;
    size_t size;
} notices_t;

/* What a merged notice has changed. */
typedef struct {
    bool limit;   /* set, withdrawn or changed significantly */
    bool leaving; /* it is shutting down from now on */
} notice_change_t;

/* Returns NULL if nothing is known of that incarnation. */
const notice_t *notices_find(const notices_t *notices, str_t backend, uint64_t born);
/* Merges the newer parts of `update`: the incarnation, the limit if `limit.stated_ms` is set, the
 * shutdown. */
notice_change_t notices_merge(notices_t *notices, const notice_t *update);
/* Marks the backend's entry, if any, as known to other instances. */
void notices_mark_sent(notices_t *notices, str_t backend);
/* Periodic work: removes entries that no backend server has confirmed for long. Notices from peers
 * keep their age, so that peers do not refresh each other's entries. */
void notices_expire(notices_t *notices, uint64_t now_ms);
void notices_free(notices_t *notices);
