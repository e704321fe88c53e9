/*
 * Headers passed on: everything but hop-by-hop headers, those that the Connection header lists,
 * and those that instances and backend servers exchange among themselves.
 */
#pragma once

#include "entry/http/call.h"
#include "entry/http/server.h"

/* Copies status and headers of a backend server's answer, and names the answering entry. */
void headers_copy_answer(h2o_req_t *req, const http_head_t *head, str_t entry);
/* The request's header lines to pass on, each ending in CRLF; free() the result. */
char *headers_copy_request(const h2o_req_t *req);
