/*
 * Resume: the first moments after an instance has stood still, stopped by a signal or suspended
 * with its machine.
 *
 * What it knows is as old as it stood still: backend servers have left, data halls were closed,
 * requests are held (policy/quarantine.h), and peers look lost. Requests that have come meanwhile
 * wait until a peer has told the news, for RESUME_WAIT_MS at the most; the directory names nobody
 * before that. Peers are asked at once (heartbeat_resume()).
 *
 * Owns the requests that wait. Relies on base/loop_time.h to notice, on the listener for requests.
 */
#pragma once

#include "base/loop_time.h"
#include "wire/listener.h"

enum {
    /* A turn of the loop as long is no busy one: it is made at least five times a second. */
    RESUME_THRESHOLD_MS = 1000,
    /* Some round trips to a peer of the own region, and one between regions (70 ms). An instance
     * that is cut off serves after it as it did before. */
    RESUME_WAIT_MS = 100,
};

typedef struct {
    uv_loop_t *loop;
    void (*on_resumed)(void *ctx, uint64_t still_ms);
    wire_handler_t serve; /* takes a request that has waited */
    void *ctx;
} resume_conf_t;

typedef struct resume_queued resume_queued_t;

typedef struct {
    resume_conf_t conf;
    loop_watch_t watch;
    uv_timer_t timer;
    bool awaiting_update;   /* for news */
    resume_queued_t *queue; /* in the order of their arrival */
    size_t count;
} resume_t;

/* In place. */
void resume_init(resume_t *resume, const resume_conf_t *conf);
/* True if the request awaiting_update; it is served later unless its caller leaves. */
bool resume_queue_request(resume_t *resume, wire_request_t *req);
/* True if what is known may be as old as the instance stood still. */
bool resume_is_stale(const resume_t *resume);
/* A peer has told its news. */
void resume_on_peer_update(resume_t *resume);
