#include "gateway/policy/removal.h"

enum {
    /* Backends register again within about 2 s of the store's return (the platform's pages). */
    RENEWAL_MS = 2000,
    TICK_MS = 200, /* after which a change of the list is applied at the latest */
    OUTAGE_GRACE_MS = RENEWAL_MS + TICK_MS,
    /* A removal has to take effect within 2 s on the fastest deployments (drainMs), of which the
     * change may take a watch's pause of 400 ms and a tick. */
    MASS_LOSS_GRACE_MS = 2000 - 400 - TICK_MS,
    /* Time after a store failure for which mass removals are attributed to it: entries that it
     * cost are renewed by then. */
    FAILURE_MEMORY_MS = RENEWAL_MS + TICK_MS,
};

removal_t
removal_decide(const removal_input_t *input)
{
    if (input->store.since_return_ms < OUTAGE_GRACE_MS)
        return (removal_t){OUTAGE_GRACE_MS - input->store.since_return_ms, REMOVAL_AFTER_OUTAGE};
    if (input->store.since_failure_ms < FAILURE_MEMORY_MS && input->listed < input->known / 2)
        return (removal_t){MASS_LOSS_GRACE_MS, REMOVAL_MASS_LOSS};
    return (removal_t){0, REMOVAL_AT_ONCE};
}

const char *
removal_reason_name(removal_reason_t reason)
{
    static const char *const names[] = {
        [REMOVAL_AT_ONCE] = "at_once",
        [REMOVAL_AFTER_OUTAGE] = "after_outage",
        [REMOVAL_MASS_LOSS] = "mass_loss",
        [REMOVAL_UNUSABLE] = "unusable",
    };
    return names[reason];
}
