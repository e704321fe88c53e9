/*
 * Permit exchange: instances request permits for a backend server with a limit from the server's
 * owner, which grants or refuses them.
 *
 * The owner (owner.h) is an instance in the backend server's region, close to the instances that
 * send most requests there. Requests and answers carry the latest limit known to the sender, so
 * that both sides keep the newer one. An instance that is not the owner forwards the request
 * once. A request without a timely answer counts as refused.
 *
 * Owns the pending requests and the buckets of the backend servers that this instance owns. Depends
 * on policy/rate_limit.h for the rate and on peer/link.h.
 */
#pragma once

#include "gateway/membership/notice_gossip.h"
#include "gateway/state/permits.h"

/* Called with the answer. Not called after permit_cancel(). */
typedef void (*permit_cb_t)(void *ctx, bool granted);

typedef struct pending_permit pending_permit_t;

typedef struct {
    notice_gossip_conf_t conf;
    permits_t permits;
    pending_permit_t *pending;
    uint64_t last_number;
} permit_exchange_t;

typedef enum {
    PERMIT_GRANTED,
    PERMIT_REFUSED,
    PERMIT_PENDING, /* the callback gets the result */
} permit_result_t;

void permit_exchange_init(permit_exchange_t *exchange, const notice_gossip_conf_t *conf);
/* Requests a permit to send one request to the backend. Sets `pending` if the result is
 * PERMIT_PENDING. */
permit_result_t permit_acquire(permit_exchange_t *exchange, backend_t *backend, permit_cb_t cb,
                               void *ctx, pending_permit_t **pending);
/* Drops a pending request. `late`: it timed out, so further requests for the backend are refused
 * for a while. */
void permit_cancel(pending_permit_t *pending, bool late);
void permit_exchange_on_request(permit_exchange_t *exchange, peer_conn_t *conn,
                                const Iris__PermitRequest *message);
void permit_exchange_on_answer(permit_exchange_t *exchange, const Iris__PermitAnswer *message);
/* Expires unused buckets; called on every tick. */
void permit_exchange_tick(permit_exchange_t *exchange);
