/* Events of a recorded run, read from several histories and put in order of time. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "base/error.h"

typedef enum {
    EV_SEND,   /* a caller's request was due */
    EV_RECV,   /* its final outcome, as the caller saw it */
    EV_LOOKUP, /* an entry answered a look-up */
    EV_ADMIT,  /* an entry sent a request to a backend server */
    EV_ANSWER, /* an entry gave its final answer */
    EV_ADOPT,  /* an entry put an object in force */
    EV_ENTRY_START,
    EV_ENTRY_LEAVE,
    EV_ENTRY_STOPPED,
    EV_ENTER, /* a backend server accepted a request, queued or not */
    EV_RUN_START,
    EV_RUN_END,
    EV_LEAVE,    /* it is done with it */
    EV_UPSTREAM, /* its behaviour was changed */
    EV_STORE_WRITE,
    EV_STORE_CONTROL, /* the store's faults were set */
    EV_INSTANCE,      /* the platform's list was changed */
    EV_EDIT,          /* an operator was told the outcome of an edit */
    EV_PAUSE,         /* the campaign stopped an entry's process for a while */
    EV_OTHER,
} event_type_t;

/* Strings are shared and live as long as the events; absent ones are empty. */
typedef struct {
    uint64_t t; /* wall, microseconds */
    size_t order;
    event_type_t type;
    const char *id;
    const char *key;
    const char *class_;
    const char *service;
    const char *place;
    const char *region;
    const char *entry;
    const char *upstream;
    const char *name;
    const char *kind;
    const char *result; /* result, state or outcome */
    uint64_t version;
    uint64_t incarnation;
    int64_t number; /* draining, outage, moved */
    json_t *value;  /* of a store write */
} event_t;

typedef struct {
    event_t *items;
    size_t count;
    json_t *strings;
    size_t bad_lines;
} events_t;

bool events_read(events_t *events, const char *path, err_t *err);
void events_sort(events_t *events);
void events_free(events_t *events);
