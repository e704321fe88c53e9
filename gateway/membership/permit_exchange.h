/*
 * Permit exchange: instances ask the owner of a backend server that names a limit for a permit, and
 * the owner answers.
 *
 * The owner (owner.h) is an instance of the backend server's region, so that those that send there
 * most are near it. Request and answer carry what each knows of the limit, so that the owner keeps
 * the newest one, and who asks learns that it was lifted. Who is asked and is not the owner sends
 * the request on, once. A request that gets no answer in time is as good as refused.
 *
 * Owns the requests that wait for an answer, and the buckets of the backend servers that this
 * instance owns. Relies on policy/named_limit.h for the rate, on peer/link.h.
 */
#pragma once

#include "gateway/membership/notice_gossip.h"
#include "gateway/state/permits.h"

/* The answer has come. Not called after permit_cancel(). */
typedef void (*permit_cb_t)(void *ctx, bool granted);

typedef struct pending_permit pending_permit_t;

typedef struct {
    notice_gossip_conf_t conf;
    permits_t permits;
    pending_permit_t *pending;
    uint64_t last_number; /* of the last request */
} permit_exchange_t;

typedef enum {
    PERMIT_GRANTED,
    PERMIT_REFUSED,
    PERMIT_PENDING, /* the callback tells */
} permit_result_t;

void permit_exchange_init(permit_exchange_t *exchange, const notice_gossip_conf_t *conf);
/* A request is about to be sent to that backend. `pending` is set if an answer is to come. */
permit_result_t permit_acquire(permit_exchange_t *exchange, backend_t *backend, permit_cb_t cb,
                               void *ctx, pending_permit_t **pending);
/* The answer is not wanted any more. `late`: it has not come in time, which keeps others from
 * asking for a while. */
void permit_cancel(pending_permit_t *pending, bool late);
void permit_exchange_on_request(permit_exchange_t *exchange, peer_conn_t *conn,
                                const Iris__PermitRequest *message);
void permit_exchange_on_answer(permit_exchange_t *exchange, const Iris__PermitAnswer *message);
/* Regular work. */
void permit_exchange_tick(permit_exchange_t *exchange);
