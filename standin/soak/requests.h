/*
 * What is known of each request that the soak's callers sent: by callers what was answered, by
 * backend servers how often it ran. Kept for as many requests as the ring holds, which is minutes.
 *
 * Also the bytes that belong to a request: its body, and the body of its answer.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

typedef enum {
    REQUEST_SAFE,   /* may be repeated */
    REQUEST_UNSAFE, /* runs at most once */
    REQUEST_LARGE,  /* may be repeated; a large answer */
    REQUEST_PROBE,  /* may be repeated; on a route that was just added or removed */
    REQUEST_POISON, /* may be repeated; ends each backend server that runs it */
} request_kind_t;

/* What a request brings of its client account (accounts.h). */
enum {
    SOAK_KEY_RIGHT,
    SOAK_KEY_NONE,
    SOAK_KEY_UNKNOWN,
    SOAK_KEY_TWO,
    SOAK_KEY_EMPTY,
    SOAK_KEY_TAKEN, /* away, long before */
    SOAK_KEY_FORMS,
};

/* In place of a status: its connection was reset before an instance had read it. */
enum { REFUSED_UNREAD = 1 };

typedef struct {
    uint64_t number; /* its id in decimal digits */
    uint64_t sent_ms;
    uint64_t refused_ms;
    uint64_t left_ms;  /* when its caller left without an answer; 0 if it did not */
    size_t body_len;   /* of the request */
    size_t answer_len; /* of the body that a backend server answers with */
    request_kind_t kind;
    uint32_t instance;
    uint32_t runs;
    uint32_t arrivals; /* at backend servers, refused ones too */
    uint32_t account;  /* whose request it is, by number */
    uint32_t key;      /* by number of the account's */
    uint32_t key_form;
    uint32_t poison;  /* which of the poison requests it is a try of */
    int refused;      /* the status that promised that it never runs; 0 if none */
    bool touched;     /* its instance was running and undisturbed when it was sent */
    bool cut;         /* so was the instance from all backend servers, for long enough */
    bool server_left; /* a backend server broke off while it ran the request */
} soak_request_t;

typedef struct requests requests_t;

requests_t *requests_new(void);
soak_request_t *requests_add(requests_t *requests, request_kind_t kind, uint32_t instance);
/* NULL if the id is none of ours or too old. */
soak_request_t *requests_find(requests_t *requests, str_t id);
uint64_t requests_count(const requests_t *requests);

/* Fills `out` with bytes of a request's or answer's body, from a place on. */
void requests_fill(uint64_t number, size_t from, char *out, size_t len);
/* True if the bytes are those of the body from that place on. */
bool requests_holds(uint64_t number, size_t from, const char *ptr, size_t len);
