#include <uv.h>

#define LOG_MODULE "discovery"
#include "base/log.h"
#include "base/loop_time.h"
#include "gateway/membership/discovery.h"
#include "gateway/state/store_calls.h"

enum {
    /* Time for peers to report an earlier announcement: a connection and an answer between regions,
     * and a slow peer. */
    START_DELAY_MS = 600,
    RETRY_MS = 2000,            /* after a failed call */
    RELIST_INTERVAL_MS = 10000, /* while no other instance is heard */
    /* Span of new announcements: 200 writes a second of 2,000 instances. */
    ANNOUNCE_AGAIN_MS = 10000,
};

void
discovery_init(discovery_t *discovery, const discovery_conf_t *conf)
{
    *discovery = (discovery_t){
        .conf = *conf,
        .next_at_ms = loop_now(conf->loop) + START_DELAY_MS,
    };
}

static void on_instances(void *ctx, const store_answer_t *answer);

static void
list_instances(discovery_t *discovery, str_t after)
{
    const store_port_t *store = discovery->conf.store;
    store_calls_count(VIEW_INSTANCES, STORE_CALL_LIST,
                      after.len > 0 ? STORE_REASON_NEXT_PAGE : STORE_REASON_START);
    store->list(store->ctx, VIEW_INSTANCES, after, 0, on_instances, discovery);
}

static void
add_instance(discovery_t *discovery, const store_item_t *item)
{
    addr_t peer;
    name_t hall;
    err_t err = {0};
    if (discovery->conf.decoder->instance(item->body, &peer, &hall, &err))
        heartbeat_add_address(discovery->conf.heartbeat, &peer, &hall, true);
    else
        LOG_WARN("invalid instance entry: instance=%.*s err=%s detail=\"%s\"", LOG_STR(item->name),
                 err_name(err.code), err.detail);
}

static void
on_instances(void *ctx, const store_answer_t *answer)
{
    discovery_t *discovery = ctx;
    if (answer->outcome != STORE_OK) {
        LOG_WARN("failed to list instances: detail=\"%s\"", answer->err.detail);
        return; /* the next due tick retries */
    }
    for (size_t i = 0; i < answer->item_count; i++)
        add_instance(discovery, &answer->items[i]);
    if (answer->more && answer->item_count > 0) {
        list_instances(discovery, answer->items[answer->item_count - 1].name);
        return;
    }
    discovery->next_at_ms = loop_now(discovery->conf.loop) + RELIST_INTERVAL_MS;
    heartbeat_send(discovery->conf.heartbeat, loop_now(discovery->conf.loop));
}

static void
on_announced(void *ctx, const store_answer_t *answer)
{
    discovery_t *discovery = ctx;
    if (answer->outcome != STORE_OK && answer->outcome != STORE_CONFLICT) {
        LOG_WARN("failed to announce in the store: detail=\"%s\"", answer->err.detail);
        return;
    }
    heartbeat_set_announced(discovery->conf.heartbeat);
    discovery->next_at_ms = loop_now(discovery->conf.loop);
}

static void
announce(discovery_t *discovery)
{
    const discovery_conf_t *conf = &discovery->conf;
    char address[ADDR_TEXT_MAX];
    addr_format(&conf->peer, address);
    store_calls_count(VIEW_INSTANCES, STORE_CALL_ANNOUNCE, STORE_REASON_START);
    conf->store->announce(conf->store->ctx, conf->instance, str_from(address), conf->hall,
                          on_announced, discovery);
}

void
discovery_announce_again(discovery_t *discovery, rng_t *rng)
{
    discovery->conf.heartbeat->announced = false;
    discovery->next_at_ms = loop_now(discovery->conf.loop) + rng_below(rng, ANNOUNCE_AGAIN_MS);
}

void
discovery_tick(discovery_t *discovery, bool isolated)
{
    const uint64_t now_ms = loop_now(discovery->conf.loop);
    const bool announced = discovery->conf.heartbeat->announced;
    if ((announced && !isolated) || now_ms < discovery->next_at_ms)
        return;
    discovery->next_at_ms = now_ms + RETRY_MS;
    if (announced)
        list_instances(discovery, STR(""));
    else
        announce(discovery);
}
