#include "entry/readiness.h"
#include "entry/store.h"

bool
node_ready(const node_t *node)
{
    if (node->woke || node_has_slept(node))
        return false;
    return node->store_synced || (node->peer_synced && store_failing(node->follower));
}
