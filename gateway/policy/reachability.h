/*
 * Reachability: whether this instance reaches the backend servers at all.
 *
 * To an instance whose link is cut, all backend servers seem to have ended. New connections decide,
 * since answers on open ones may still come:
 *
 *  - Two backend servers that can't be reached without a new connection in between raise a
 *    suspicion; so does one, if no backend server was heard for a second (few requests).
 *  - Requests on open connections that fell silent end with their callers' deadlines and show
 *    nothing. If no backend server has responded within a second of a send, one is probed, and its
 *    failure counts as above.
 *  - Under suspicion three backend servers are probed with a connection. If none comes up within
 *    the time that any request waits for one, the backend servers are unreachable.
 *  - While they are unreachable, one is probed every 200 ms. Two successful probes in a row end it,
 *    after a relapse within 10 s twice as many as before, at most 16, so that a link that comes and
 *    goes is left alone for up to 3 s.
 *  - Requests then return over 1.5 s, since each needs a new connection over the link.
 *
 * The decision is wrong if exactly the probed backend servers have ended. The next probes then
 * correct it; until then requests go by way of peers (transit.h) and are still served.
 *
 * Pure; time is passed in. path/reach_monitor.h makes the probes.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    REACHABILITY_PROBES = 3,             /* at once, under suspicion */
    REACHABILITY_FAILED_MAX = 2,         /* different backend servers that raise a suspicion */
    REACHABILITY_PROBE_TIMEOUT_MS = 400, /* several round trips between regions */
};

typedef enum {
    REACH_NORMAL,
    REACH_SUSPECTED,
    REACH_LOST,
} reach_state_t;

typedef struct {
    reach_state_t state;
    uint64_t failed[REACHABILITY_FAILED_MAX]; /* keys of backend servers that failed */
    size_t failed_count;
    uint64_t failed_ms;           /* time of the last failure */
    uint64_t connected_ms;        /* when a connection last came up */
    uint64_t heard_ms;            /* when a response last arrived */
    uint64_t unanswered_since_ms; /* first send since a response or connection; 0: none */
    unsigned probes_left;         /* without a result, under suspicion */
    unsigned successes;           /* probes in a row that came up, while lost */
    unsigned needed;              /* of these, to return; 0 before the first loss */
    uint64_t lost_ms;             /* start of the last loss */
    uint64_t returned_ms;         /* end of the last loss; 0: none */
} reachability_t;

/* A connection to the backend server could not be opened, or it acknowledged nothing. Returns true
 * if REACHABILITY_PROBES probes are to be made now. */
bool reachability_add_failure(reachability_t *reach, uint64_t backend_key, uint64_t now_ms);
/* A request was sent to a backend server. */
void reachability_add_send(reachability_t *reach, uint64_t now_ms);
/* True if a probe is due: sends are unanswered, or the backend servers are lost. */
bool reachability_wants_probe(const reachability_t *reach, uint64_t now_ms);
/* A new connection came up at `at_ms` or later. */
void reachability_add_connection(reachability_t *reach, uint64_t at_ms);
/* A backend server responded, on any connection. */
void reachability_add_response(reachability_t *reach, uint64_t now_ms);
/* Number of probes that were started under suspicion, if there were fewer backend servers. */
void reachability_set_probes(reachability_t *reach, unsigned count);
/* Result of a probe. */
void reachability_add_probe(reachability_t *reach, bool connected, uint64_t now_ms);
/* Share of the requests that this instance sends itself, 0 to 1. */
double reachability_direct_share(const reachability_t *reach, uint64_t now_ms);
/* True if failures tell nothing about the backend servers. */
bool reachability_is_doubtful(const reachability_t *reach);
/* True if open connections still bring responses while no new ones come up. */
bool reachability_hears_responses(const reachability_t *reach, uint64_t now_ms);
