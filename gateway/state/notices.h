/*
 * Notices: what backend servers say of themselves in their answers, beside their load: how many
 * requests a second they take, and that they leave.
 *
 * A notice is ordered by when the request was sent whose answer holds it: the backend server cannot
 * have said it earlier. So the answer to a long request that comes late does not undo what a later
 * request was answered. Leaving stays as long as the life of the backend server, whatever the list
 * of the store says.
 * An entry belongs to one life of a backend server; a later life begins without one. It is kept
 * apart from the list of backends, so that it outlives an outage of the store and the taking of a
 * new list, and may come before the backend's entry does.
 *
 * Owns the table, an entry for each backend server that said anything lately. Relies on nothing;
 * time is passed in.
 */
#pragma once

#include "base/str.h"

/* What one answer says. What it gives in a form that cannot be used counts as not there. */
typedef struct {
    bool has_limit;
    double limit_per_s; /* requests that it takes from all instances together */
    bool leaving;
    bool asks_rest;    /* it turned the request away and wants none from this instance for a time */
    uint64_t rest_ms;  /* that time */
    unsigned unusable; /* fields that cannot be used */
} backend_statement_t;

/* The rate that a backend server takes from all instances together, as it said last. */
typedef struct {
    bool is_set;        /* false: none, or it was lifted */
    double per_s;       /* requests */
    uint64_t stated_ms; /* loop time from which on it holds; 0: nothing was ever said */
} backend_limit_t;

typedef struct {
    name_t backend; /* id */
    uint64_t born;  /* which life; 0 if it does not say */
    backend_limit_t limit;
    bool leaving;
    uint64_t leaving_since_ms;       /* loop time since when that is known to hold */
    backend_limit_t published_limit; /* the limit as it was last when it was news */
    bool unpublished;                /* others are to know of that, or that it leaves */
} notice_t;

typedef struct {
    notice_t *items; /* sorted by id; an entry moves with the next one that is new */
    size_t count;
    size_t size;
} notices_t;

/* What a notice has changed. */
typedef struct {
    bool limit;   /* one where there was none or the other way round, or one far from it */
    bool leaving; /* it leaves from now on */
} notice_change_t;

/* NULL if nothing is known of that life. */
const notice_t *notices_find(const notices_t *notices, str_t backend, uint64_t born);
/* Takes over what is newer in `news`: its life, its limit if `limit.said_ms` is set, that it
 * leaves. */
notice_change_t notices_merge(notices_t *notices, const notice_t *news);
/* Others know: the one of that backend, if there is one, need not be told. */
void notices_mark_published(notices_t *notices, str_t backend);
/* Regular work: forgets what no backend server has said for long. What peers tell is as old as its
 * age, so that they do not remind each other for ever. */
void notices_expire(notices_t *notices, uint64_t now_ms);
void notices_free(notices_t *notices);
