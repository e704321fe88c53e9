/*
 * Roll-outs: the orders to move a service to another software version, and how far each has come on
 * this instance.
 *
 * An order is read from the store's view. Each instance counts the responses of its own requests by
 * version and route, adds the counts that its peers report (membership/rollout_gossip.h), and
 * applies policy/rollout.h to the sum. A verdict reached by any instance holds on all: it travels
 * in heartbeats and is recorded in the store (state/rollout_record.h), whose state is final.
 *
 *  - A bad version gets no more requests, retries included, as long as its order stands.
 *  - A target that cannot bear the requests yet leaves the rest to the other versions.
 *  - The target of an order that another one has replaced unfinished gets no requests while other
 *    versions can serve: it was not judged.
 *
 * Owns the orders and their counts; there are none, and nothing is counted, while no order runs.
 * Depends on policy/rollout.h, on the views and on the decoder; time is passed in.
 */
#pragma once

#include "gateway/state/rollout.h"
#include "gateway/state/services.h"
#include "gateway/state/view.h"

enum { ROLLOUTS_MAX = 16 }; /* orders followed; further ones are logged and not followed */

typedef struct {
    rollout_t *items[ROLLOUTS_MAX];
    size_t count;
    const decoder_port_t *decoder;
    rollout_exposure_t exposure;   /* share 0: orders are not read */
    void (*on_verdict)(void *ctx); /* peers are to be told at once */
    void *ctx;
} rollouts_t;

/* Reads the orders from the view. The time of a new one counts from here, or from when the first
 * peer heard of it (rollout_adopt_times()). */
void rollouts_apply(rollouts_t *rollouts, const view_t *view, uint64_t now_ms);
/* Updates which orders leave their service without a backend server; called after changes of the
 * orders or of the list of backend servers. */
void rollouts_update_others(rollouts_t *rollouts, const backends_t *backends);
/* Merges the counts and decides; called several times a second. */
void rollouts_tick(rollouts_t *rollouts, const backends_t *backends, const services_t *services,
                   uint64_t now_ms);
/* Returns the order for a service; NULL if there is none that restricts its requests. */
rollout_t *rollouts_find(const rollouts_t *rollouts, str_t service);
/* Returns the order with that id, NULL if there is none. */
rollout_t *rollouts_find_id(const rollouts_t *rollouts, uint64_t id);

/* A peer has rolled the version back. */
void rollout_adopt_rollback(rollouts_t *rollouts, rollout_t *rollout, rollout_reason_t reason,
                            uint64_t route, uint64_t now_ms);
void rollouts_free(rollouts_t *rollouts);
