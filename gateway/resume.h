/*
 * Resume: recovery after the process was suspended, by a signal or together with its machine.
 *
 * After a suspension the state is stale: backend servers have left, data halls were closed,
 * requests were quarantined (policy/quarantine.h), and peers appear lost. Requests received in
 * the meantime are queued until a peer has sent an update, for RESUME_WAIT_MS at most; until
 * then the directory responds with 503. Peers are asked for updates at once
 * (heartbeat_resume()).
 *
 * Owns the queued requests. Relies on base/loop_time.h to detect the suspension, on the listener
 * for requests.
 */
#pragma once

#include "base/loop_time.h"
#include "wire/listener.h"

enum {
    /* A loop iteration this long indicates a suspension: a running loop iterates at least five
     * times a second. */
    RESUME_THRESHOLD_MS = 1000,
    /* Several round trips within a region and one between regions (70 ms). An instance without
     * connection to its peers serves with its old state afterwards. */
    RESUME_WAIT_MS = 100,
};

typedef struct {
    uv_loop_t *loop;
    void (*on_resumed)(void *ctx, uint64_t still_ms);
    wire_handler_t serve; /* serves a request that was queued */
    void *ctx;
} resume_conf_t;

typedef struct resume_queued resume_queued_t;

typedef struct {
    resume_conf_t conf;
    loop_watch_t watch;
    uv_timer_t timer;
    bool awaiting_update;   /* requests are queued until a peer update */
    resume_queued_t *queue; /* in order of arrival */
    size_t count;
} resume_t;

/* Initialises in place; the struct must not be moved afterwards. */
void resume_init(resume_t *resume, const resume_conf_t *conf);
/* Queues the request if the state is stale; returns false if not. A queued request is served later
 * unless its caller disconnects. */
bool resume_queue_request(resume_t *resume, wire_request_t *req);
/* Returns true if the state may predate a suspension. */
bool resume_is_stale(const resume_t *resume);
/* Serves the queued requests after an update from a peer. */
void resume_on_peer_update(resume_t *resume);
