/*
 * Error codes with a detail message.
 *
 * A function that can fail takes `err_t *err` as its last parameter, and calls err_set() before it
 * returns false (or NULL).
 */
#pragma once

#include <stdbool.h>

typedef enum {
    ERR_NONE,
    ERR_PARSE,        /* malformed input */
    ERR_INVALID,      /* well-formed, but not valid */
    ERR_NOT_FOUND,    /* no such object, row, service or block */
    ERR_CONFLICT,     /* another writer changed the object first */
    ERR_RATE_LIMITED, /* the call budget of the store is exhausted */
    ERR_UNAVAILABLE,  /* connection refused or peer unreachable; nothing was sent */
    ERR_ANSWER_LOST,  /* data was sent, but no complete response received */
    ERR_TIMEOUT,      /* the deadline passed */
    ERR_TOO_LARGE,    /* a size limit was exceeded */
    ERR_PROTOCOL,     /* the response violates the protocol */
    ERR_SYSTEM,       /* a system call failed */
    ERR_CODE_COUNT,
} err_code_t;

typedef struct {
    err_code_t code;
    char detail[224];
} err_t;

void err_set(err_t *err, err_code_t code, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
const char *err_name(err_code_t code);
