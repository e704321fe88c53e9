/* The answer to a look-up: a place, its region's entry instances, and why. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "entry/node_state.h"

enum {
    LOOKUP_ENTRIES = 3,     /* instances that an answer names. Chosen, not measured */
    LOOKUP_TEXT_MAX = 1024, /* bytes of an answer, with its end */
};

typedef struct {
    const name_t *place;
    const name_t *region;
    bool moved;        /* not the place of the client's share */
    const char *error; /* when there is no answer */
    addr_t entries[LOOKUP_ENTRIES];
    size_t entry_count;
} lookup_answer_t;

/* False with `error` set if no place may be named now. */
bool lookup_answer(node_t *node, service_t *service, const client_addr_t *client,
                   lookup_answer_t *answer);
/* Writes the JSON form; returns its length. */
size_t lookup_answer_format(const service_t *service, const lookup_answer_t *answer,
                            char out[LOOKUP_TEXT_MAX]);
