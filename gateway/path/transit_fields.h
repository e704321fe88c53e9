/*
 * Header fields of requests in transit between instances (policy/transit.h) and of the responses
 * that instances generate to them. They never reach a caller or a backend server.
 *
 * Stateless. Relies on wire/head.h.
 */
#pragma once

#include "base/addr.h"
#include "gateway/ports.h"

/* What the sender of a request in transit has decided. The strings point into the head. */
typedef struct {
    str_t service;     /* of the route's traffic split */
    str_t account;     /* client account; empty if none. Its key stays with the sender */
    addr_t caller;     /* address of the caller */
    uint64_t revision; /* of the configuration used */
    uint32_t sends;    /* attempts that may have reached a backend server */
} transit_terms_t;

typedef enum {
    TRANSIT_FORWARDED, /* the response is that of a backend server */
    TRANSIT_NOT_RUN,   /* refused; no backend server ran the request */
    TRANSIT_DECLINED,  /* the instance took no part in it; another one may */
    TRANSIT_UNKNOWN,   /* a backend server may have run it */
    TRANSIT_RESULT_COUNT,
} transit_result_t;

/* What became of a request in transit. */
typedef struct {
    transit_result_t result;
    uint32_t sends; /* attempts that may have reached a backend server, those before included */
    uint32_t retry_after_ms;
} transit_report_t;

/* Appends the fields of a request, each of them: fields of a caller with their names don't count.
 */
void transit_terms_write(const transit_terms_t *terms, wire_text_t *out);
/* Reads the fields and removes them from the head; false if one is missing or invalid. */
bool transit_terms_take(wire_head_t *head, transit_terms_t *out);
/* Appends the fields of a response that the instance generated. */
void transit_report_write(const transit_report_t *report, wire_text_t *out);
/* Reads the report of a response; without one it is a forwarded response. */
transit_report_t transit_report_read(const wire_head_t *head);
const char *transit_result_name(transit_result_t result);
