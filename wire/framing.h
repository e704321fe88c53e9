/*
 * Framing of HTTP/1.1 messages: how long a body is, by the head (RFC 9112, 6), and which heads are
 * refused because their recipients could disagree on that.
 *
 * Refused are names that are no token (a blank before the colon), folded lines, a length that is
 * given twice or is no number, a length beside a transfer coding, and codings other than "chunked".
 * Requests need exactly one valid Host.
 */
#pragma once

#include <http_parser.h>

#include "wire/head.h"

/* Returns 0 if the head of the request is valid, otherwise the status to refuse it with. `length`:
 * of the body in bytes, or WIRE_CHUNKED. */
int wire_framing_request(const wire_head_t *head, const http_parser *parser, int64_t *length);
/* Returns false if the response is invalid. `length`: of the body in bytes, WIRE_CHUNKED or
 * WIRE_UNTIL_CLOSE. `exact`: false if the head announces a body where there is none. */
bool wire_framing_response(const wire_head_t *head, const http_parser *parser, bool head_method,
                           int64_t *length, bool *exact);
