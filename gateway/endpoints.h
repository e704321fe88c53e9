/*
 * Endpoints: responses to readiness checks and directory queries.
 *
 * Owns nothing. Relies on the platform's directory port to parse queries, on
 * membership/directory.h to select instances.
 */
#pragma once

#include "gateway/membership/members.h"
#include "wire/listener.h"

typedef struct {
    const directory_port_t *port;
    const members_t *members;
    const topology_t *topology;
    double ttl_s; /* seconds for which callers may cache a response */
} directory_endpoint_t;

/* Responds with 200 if ready, else 503. */
void endpoint_answer_readiness(const directory_port_t *port, bool ready, wire_request_t *req);
/* Responds with the addresses of instances for this caller, or 503 if there is none. */
void endpoint_answer_directory(const directory_endpoint_t *endpoint, uint64_t now_ms,
                               wire_request_t *req);
