/*
 * What the end of a request proves: from the request, its answer or the close in its place, and
 * what was done to the process, to cases for the judge.
 *
 * Relies on what callers.c saw; no sockets.
 */
#pragma once

#include "standin/soak/answer.h"
#include "standin/soak/fleet.h"
#include "standin/soak/operator.h"

typedef struct {
    judge_t *judge;
    const operator_t *ops;
    accounts_t *accounts;
    uint64_t config_bound_ms; /* from the acknowledgement until a configuration is in force */
    uint64_t grace_ms;        /* from the request to stop until a process may be killed */
    double slack;             /* times the bounds, for slow builds */
} outcomes_conf_t;

typedef struct {
    soak_request_t *request;
    life_t *life;            /* the process that it was sent to */
    const answer_t *answer;  /* what was read of it */
    uint64_t marker;         /* version whose route a probe asked for */
    uint64_t deadline_ms;    /* for which the caller said it would wait */
    uint64_t answers_before; /* on its connection */
    bool crossed;            /* its connection had been closed when it was sent */
    bool reset;         /* its connection was reset: closed with the request unread, or before */
    bool gone;          /* its process was gone, or on its way, at the close */
    uint64_t closed_ms; /* when the caller saw the close, or sent if that came later */
    uint64_t now_ms;
} outcome_t;

/* A whole answer has arrived. */
void outcome_answered(const outcomes_conf_t *conf, const outcome_t *outcome);
/* The connection ended before that, on the instance's side; `how` for the text. */
void outcome_closed(const outcomes_conf_t *conf, const outcome_t *outcome, const char *how);
