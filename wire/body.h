/*
 * Body of an HTTP/1.1 message: finds its end and removes the chunked coding (RFC 9112, 6 and 7).
 *
 * Reads what follows a head, in pieces of any size. The chunked coding is read strictly: sizes are
 * hexadecimal digits, lines end in CR LF, extensions and trailer fields are skipped up to a bound.
 * http-parser, as Debian builds it, accepts more than that.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
    BODY_DATA,        /* of a body with a length, or of a chunk */
    BODY_UNTIL_CLOSE, /* data up to the close of the connection */
    BODY_CHUNK_SIZE,  /* first digit of a chunk's size */
    BODY_SIZE_DIGITS, /* further digits */
    BODY_EXTENSION,   /* rest of the line with the size */
    BODY_SIZE_LF,     /* LF of that line */
    BODY_CHUNK_CR,    /* CR LF after the data of a chunk */
    BODY_CHUNK_LF,
    BODY_TRAILER_LINE, /* first byte of a line after the last chunk */
    BODY_TRAILER,      /* rest of a trailer field */
    BODY_TRAILER_LF,
    BODY_LAST_LF, /* LF of the empty line that ends the body */
    BODY_ENDED,
} body_state_t;

typedef struct {
    body_state_t state;
    bool chunked;
    uint64_t left;   /* bytes of data of the body or chunk */
    unsigned digits; /* of the chunk's size */
    size_t skipped;  /* bytes of the current extension, or of all trailer fields */
} wire_body_t;

typedef enum {
    WIRE_BODY_INCOMPLETE,
    WIRE_BODY_COMPLETE,
    WIRE_BODY_INVALID,
    WIRE_BODY_STOPPED, /* by the callback */
} wire_body_result_t;

/* Gets data of the body; returns false to stop. */
typedef bool (*wire_body_cb_t)(void *ctx, const char *ptr, size_t len);

/* `length`: in bytes, WIRE_CHUNKED or WIRE_UNTIL_CLOSE (head.h). */
void wire_body_begin(wire_body_t *body, int64_t length);
/* Reads received bytes and sets `used` to the number that belong to the body. */
wire_body_result_t wire_body_read(wire_body_t *body, const char *ptr, size_t len, size_t *used,
                                  wire_body_cb_t cb, void *ctx);
/* True if a close of the connection now is the regular end of the body. */
bool wire_body_ends_with_close(const wire_body_t *body);
