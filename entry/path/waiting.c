#include "entry/path/waiting.h"

/* Chosen; none was measured alone. */
enum {
    QUEUE_WAIT_MS = 200,     /* longest wait of a request */
    QUEUE_WAIT_BUSY_MS = 25, /* while requests had to be given up lately */
    QUEUE_BUSY_MS = 1000,    /* how long that is remembered */
};

static bool
more_urgent(const exchange_t *a, const exchange_t *b)
{
    if (a->class_.priority != b->class_.priority)
        return a->class_.priority < b->class_.priority;
    return a->deadline_ms < b->deadline_ms;
}

void
waiting_add(exchange_t *x)
{
    node_t *node = x->node;
    const uint64_t now = node_now(node);
    const bool busy = now < node->gave_up_ms + QUEUE_BUSY_MS;
    uint64_t wait = busy ? QUEUE_WAIT_BUSY_MS : QUEUE_WAIT_MS;
    if (x->deadline_ms > now && (x->deadline_ms - now) / 2 < wait)
        wait = (x->deadline_ms - now) / 2;
    x->queue_until_ms = now + wait;
    exchange_t **slot = &node->waiting;
    while (*slot != NULL && !more_urgent(x, *slot))
        slot = &(*slot)->queue_next;
    x->queue_next = *slot;
    *slot = x;
    x->queued = true;
    node->waiting_count++;
    node_watch_queue(node);
}

void
waiting_remove(exchange_t *x)
{
    if (!x->queued)
        return;
    exchange_t **slot = &x->node->waiting;
    while (*slot != x)
        slot = &(*slot)->queue_next;
    *slot = x->queue_next;
    x->queued = false;
    x->node->waiting_count--;
}
