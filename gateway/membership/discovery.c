#define LOG_MODULE "discovery"
#include "base/log.h"
#include "gateway/membership/discovery.h"

enum {
    ANNOUNCE_RETRY_MS = 2000,
    ALONE_AGAIN_MS = 10000,
};

static void on_instances(void *ctx, const store_answer_t *answer);

static void
list_instances(discovery_t *discovery, str_t after)
{
    const store_port_t *store = discovery->store;
    store->list(store->ctx, VIEW_INSTANCES, after, on_instances, discovery);
}

static void
on_instances(void *ctx, const store_answer_t *answer)
{
    discovery_t *discovery = ctx;
    if (answer->outcome != STORE_OK) {
        LOG_WARN("instances not listed: detail=\"%s\"", answer->err.detail);
        return; /* announced again after a while, and so listed again */
    }
    for (size_t i = 0; i < answer->item_count; i++) {
        addr_t addr;
        name_t hall;
        err_t err = {0};
        if (discovery->decoder->instance(answer->items[i].body, &addr, &hall, &err))
            heartbeat_know(discovery->heartbeat, &addr, &hall);
    }
    if (answer->more && answer->item_count > 0) {
        list_instances(discovery, answer->items[answer->item_count - 1].name);
        return;
    }
    discovery->known = true;
    heartbeat_send(discovery->heartbeat, uv_now(discovery->loop));
}

static void
on_announced(void *ctx, const store_answer_t *answer)
{
    discovery_t *discovery = ctx;
    if (answer->outcome == STORE_OK || answer->outcome == STORE_CONFLICT)
        list_instances(discovery, STR(""));
    else
        LOG_WARN("not announced in the store: detail=\"%s\"", answer->err.detail);
}

void
discovery_tick(discovery_t *discovery)
{
    const store_port_t *store = discovery->store;
    const uint64_t now = uv_now(discovery->loop);
    const bool alone = discovery->heartbeat->router->living <= 1;
    if ((discovery->known && !alone) || now < discovery->again_ms)
        return;
    char text[ADDR_TEXT_MAX];
    discovery->again_ms = now + (discovery->known ? ALONE_AGAIN_MS : ANNOUNCE_RETRY_MS);
    addr_format(&discovery->heartbeat->settings->peer, text);
    store->announce(store->ctx, name_str(&discovery->heartbeat->settings->name), str_from(text),
                    name_str(&discovery->heartbeat->settings->hall), on_announced, discovery);
}
