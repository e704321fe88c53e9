/*
 * Endpoints: the answers to readiness checks and to the directory's questions.
 *
 * Owns nothing. Relies on the adapter's directory port for the questions' form, on
 * membership/directory.h for the choice of instances.
 */
#pragma once

#include "gateway/membership/members.h"
#include "wire/listener.h"

typedef struct {
    const directory_port_t *port;
    const members_t *members;
    const topology_t *topology;
    double ttl_s; /* seconds for which callers may keep an answer */
} directory_endpoint_t;

/* 200 if ready, else 503. */
void endpoint_answer_readiness(const directory_port_t *port, bool ready, wire_request_t *req);
/* The addresses of instances for this caller; 503 if there is none. */
void endpoint_answer_directory(const directory_endpoint_t *endpoint, uint64_t now_ms,
                               wire_request_t *req);
