#include "entry/node_state.h"

#include "base/xmalloc.h"

/* None of these was measured alone. */
enum {
    SLEEP_MS = 2000,           /* a tick that is this late means that the process stood still */
    QUEUE_TICK_MS = 5,         /* between looks at what waits */
    BACKEND_CONNECTIONS = 100, /* what a backend server of the users' first sites accepts */
    BACKEND_IDLE_MS = 5000,    /* an idle connection is kept so long, also below */
    ENTRY_CONNECTIONS = 64,    /* to one other entry */
    ENTRY_IDLE_MS = 5000,
};

uint64_t
node_now(const node_t *node)
{
    return clock_steady_ms(node->clock);
}

uint64_t
node_wall(const node_t *node)
{
    return clock_wall_ms(node->clock);
}

bool
node_has_slept(const node_t *node)
{
    return node->ticked_ms != 0 && node_now(node) > node->ticked_ms + SLEEP_MS;
}

http_target_t *
node_backend_target(node_t *node, backend_t *backend)
{
    if (backend->user == NULL)
        backend->user =
            http_target_new(node->client, &backend->addr, BACKEND_CONNECTIONS, BACKEND_IDLE_MS);
    return backend->user;
}

http_target_t *
node_entry_target(node_t *node, const addr_t *addr)
{
    for (size_t i = 0; i < node->entry_target_count; i++) {
        if (addr_eq(http_target_addr(node->entry_targets[i]), addr))
            return node->entry_targets[i];
    }
    http_target_t *target = http_target_new(node->client, addr, ENTRY_CONNECTIONS, ENTRY_IDLE_MS);
    node->entry_targets = xrealloc(node->entry_targets,
                                   (node->entry_target_count + 1) * sizeof(*node->entry_targets));
    node->entry_targets[node->entry_target_count++] = target;
    return target;
}

void
node_watch_queue(node_t *node)
{
    if (!uv_is_active((const uv_handle_t *)&node->queue_tick))
        uv_timer_start(&node->queue_tick, node->on_queue_tick, QUEUE_TICK_MS, QUEUE_TICK_MS);
}
