/*
 * One answer as a caller reads it: the bytes of a connection through the http-parser library.
 *
 * Plain data beside the parser; judges only whether the bytes are those of the request. A caller
 * reads one answer at a time; anything after a whole answer counts as surplus.
 */
#pragma once

#include <http_parser.h>

#include "standin/soak/requests.h"

enum { ANSWER_FIELD_MAX = 32 };

typedef enum {
    FIELD_OTHER,
    FIELD_ID,
    FIELD_SIGNATURE,
    FIELD_KEEP_ALIVE,
} answer_field_t;

typedef struct {
    http_parser parser;
    uint64_t number; /* of the request whose bytes are expected; 0 while none is waiting */
    char name[ANSWER_FIELD_MAX];
    size_t name_len;
    char id[ANSWER_FIELD_MAX];
    size_t id_len;
    char signature[ANSWER_FIELD_MAX];
    size_t signature_len;
    char keep_alive[ANSWER_FIELD_MAX];
    size_t keep_alive_len;
    bool in_value;
    answer_field_t field;
    size_t body_len;
    bool begun; /* any byte has arrived */
    bool whole;
    bool keep; /* the connection may be used again */
    bool wrong_body;
    bool garbage; /* no answer in the protocol */
    bool surplus; /* bytes after a whole answer */
} answer_t;

/* Makes ready for the answer to a request. */
void answer_expect(answer_t *answer, uint64_t number);
void answer_feed(answer_t *answer, const char *ptr, size_t len);
/* The connection has ended: makes an answer without a length whole. */
void answer_end(answer_t *answer);
int answer_status(const answer_t *answer);
/* For how long the connection may rest, as the answer says; UINT64_MAX if it does not. */
uint64_t answer_rest_ms(const answer_t *answer);
