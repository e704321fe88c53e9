#include <stdlib.h>
#include <string.h>

#include "base/mutate.h"
#include "base/xmalloc.h"
#include "entry/region/credit.h"

/* Last known state of another holder of the current epoch. */
typedef struct {
    name_t instance;
    uint64_t incarnation;
    uint64_t epoch;
    bool settled;
    uint64_t confirmed_ms; /* send time of the last request whose reply showed no newer epoch; 0:
                              never */
} peer_state_t;

/* A holder's share of a limit as an interval within 0..1. */
typedef struct {
    double from;
    double to;
} span_t;

struct credit {
    name_t self;
    uint64_t incarnation;
    allocation_t *allocation;
    uint32_t target; /* share in this epoch, loans included */
    uint32_t usable; /* at most `target`; equal to it once unlocked */
    uint32_t in_flight;
    uint32_t long_in_flight;
    uint32_t long_share;
    bool unlocked;
    bool surrendered;
    uint64_t store_confirmed_ms;
    peer_state_t *peers;
    size_t peer_count;
    span_t *spans; /* one per epoch since the last unlocked one, the current one last */
    size_t span_count;
};

credit_t *
credit_new(const name_t *self, uint64_t incarnation)
{
    credit_t *credit = xcalloc(1, sizeof(*credit));
    credit->self = *self;
    credit->incarnation = incarnation;
    return credit;
}

void
credit_free(credit_t *credit)
{
    if (credit == NULL)
        return;
    allocation_free(credit->allocation);
    free(credit->peers);
    free(credit->spans);
    free(credit);
}

uint64_t
credit_epoch(const credit_t *credit)
{
    return credit->allocation != NULL ? credit->allocation->epoch : 0;
}

const allocation_t *
credit_allocation(const credit_t *credit)
{
    return credit->allocation;
}

static bool
is_self(const credit_t *credit, const holder_t *holder)
{
    return holder->incarnation == credit->incarnation &&
           name_eq(&holder->instance, name_str(&credit->self));
}

static peer_state_t *
find_peer(const credit_t *credit, str_t instance, uint64_t incarnation)
{
    for (size_t i = 0; i < credit->peer_count; i++) {
        peer_state_t *peer = &credit->peers[i];
        if (peer->incarnation == incarnation && name_eq(&peer->instance, instance))
            return peer;
    }
    return NULL;
}

/* Rebuilds the peer list from the allocation and keeps the state of holders that remain. */
static void
rebuild_peers(credit_t *credit)
{
    const allocation_t *allocation = credit->allocation;
    peer_state_t *peers = xcalloc(allocation->holder_count, sizeof(*peers));
    size_t count = 0;
    for (size_t i = 0; i < allocation->holder_count; i++) {
        const holder_t *holder = &allocation->holders[i];
        if (is_self(credit, holder))
            continue;
        const peer_state_t *old =
            find_peer(credit, name_str(&holder->instance), holder->incarnation);
        peer_state_t *peer = &peers[count++];
        if (old != NULL)
            *peer = *old;
        else
            *peer =
                (peer_state_t){.instance = holder->instance, .incarnation = holder->incarnation};
        peer->settled = peer->settled && peer->epoch >= allocation->epoch;
    }
    free(credit->peers);
    credit->peers = peers;
    credit->peer_count = count;
}

static void
push_span(credit_t *credit)
{
    const allocation_t *allocation = credit->allocation;
    uint64_t before = 0;
    uint64_t own = 0;
    uint64_t total = 0;
    bool found = false;
    for (size_t i = 0; i < allocation->holder_count; i++) {
        const holder_t *holder = &allocation->holders[i];
        if (is_self(credit, holder)) {
            own = holder->credits;
            found = true;
        } else if (!found) {
            before += holder->credits;
        }
        total += holder->credits;
    }
    span_t span = {0, 0};
    if (found && total > 0) {
        span.from = (double)before / (double)total;
        span.to = (double)(before + own) / (double)total;
    }
    credit->spans = xrealloc(credit->spans, (credit->span_count + 1) * sizeof(span));
    credit->spans[credit->span_count++] = span;
}

static bool
has_active_former_holder(const allocation_t *allocation)
{
    for (size_t i = 0; i < allocation->former_count; i++) {
        if (allocation->formers[i].stage == FORMER_HOLDER_ACTIVE)
            return true;
    }
    return false;
}

static void
try_unlock(credit_t *credit)
{
    if (credit->unlocked || credit->allocation == NULL || !credit_settled(credit) ||
        has_active_former_holder(credit->allocation))
        return;
    for (size_t i = 0; i < credit->peer_count && !mutate_is(MUTATE_EARLY_UNLOCK); i++) {
        if (!credit->peers[i].settled)
            return;
    }
    credit->unlocked = true;
    credit->usable = credit->target;
    credit->long_share = credit_long_share(credit->target);
    credit->spans[0] = credit->spans[credit->span_count - 1];
    credit->span_count = 1;
}

void
credit_adopt(credit_t *credit, allocation_t *allocation, uint64_t now_ms)
{
    (void)now_ms;
    if (allocation->epoch <= credit_epoch(credit)) {
        allocation_free(allocation);
        return;
    }
    allocation_free(credit->allocation);
    credit->allocation = allocation;
    credit->target = 0;
    for (size_t i = 0; i < allocation->holder_count; i++) {
        if (is_self(credit, &allocation->holders[i]))
            credit->target = allocation->holders[i].credits;
    }
    if (credit->surrendered)
        credit->target = 0;
    if (credit->long_share > credit_long_share(credit->target))
        credit->long_share = credit_long_share(credit->target);
    if (credit->usable > credit->target)
        credit->usable = credit->target;
    credit->unlocked = false;
    rebuild_peers(credit);
    push_span(credit);
    try_unlock(credit);
}

void
credit_peer_report(credit_t *credit, const credit_report_t *report, uint64_t now_ms)
{
    (void)now_ms;
    peer_state_t *peer = find_peer(credit, report->instance, report->incarnation);
    const uint64_t epoch = credit_epoch(credit);
    if (peer == NULL || report->epoch < peer->epoch)
        return;
    peer->epoch = report->epoch;
    peer->settled = report->epoch == epoch && report->settled;
    if (report->epoch <= epoch && report->asked_ms > peer->confirmed_ms)
        peer->confirmed_ms = report->asked_ms;
    try_unlock(credit);
}

void
credit_store_confirm(credit_t *credit, uint64_t epoch, uint64_t asked_ms)
{
    if (epoch == credit_epoch(credit) && asked_ms > credit->store_confirmed_ms)
        credit->store_confirmed_ms = asked_ms;
}

static bool
is_holder(const credit_t *credit)
{
    if (credit->allocation == NULL)
        return false;
    for (size_t i = 0; i < credit->allocation->holder_count; i++) {
        if (is_self(credit, &credit->allocation->holders[i]))
            return true;
    }
    return false;
}

static bool
is_fresh(uint64_t stamp_ms, uint64_t now_ms)
{
    return stamp_ms != 0 && now_ms < stamp_ms + CREDIT_FENCE_MS;
}

bool
credit_has_authority(const credit_t *credit, uint64_t now_ms)
{
    if (!is_holder(credit))
        return false;
    if (mutate_is(MUTATE_NO_FENCE))
        return true;
    if (is_fresh(credit->store_confirmed_ms, now_ms))
        return true;
    size_t confirmed = 1;
    for (size_t i = 0; i < credit->peer_count; i++) {
        if (is_fresh(credit->peers[i].confirmed_ms, now_ms))
            confirmed++;
    }
    return confirmed > credit->allocation->holder_count / 2;
}

bool
credit_settled(const credit_t *credit)
{
    return credit->in_flight <= credit->usable && credit->long_in_flight <= credit->long_share;
}

uint32_t
credit_long_share(uint32_t credits)
{
    return (credits + CREDIT_LONG_DIVISOR - 1) / CREDIT_LONG_DIVISOR;
}

uint32_t
credit_usable(const credit_t *credit, uint64_t now_ms)
{
    if (credit_has_authority(credit, now_ms))
        return credit->usable;
    return credit->usable < CREDIT_FLOOR ? credit->usable : CREDIT_FLOOR;
}

uint32_t
credit_in_flight(const credit_t *credit)
{
    return credit->in_flight;
}

bool
credit_acquire(credit_t *credit, bool is_long, uint64_t now_ms)
{
    const bool full = credit->in_flight >= credit_usable(credit, now_ms) ||
                      (is_long && credit->long_in_flight >= credit->long_share);
    if (full && !mutate_is(MUTATE_NO_LIMIT))
        return false;
    credit->in_flight++;
    credit->long_in_flight += is_long;
    return true;
}

void
credit_surrender(credit_t *credit)
{
    xassert(credit->in_flight == 0);
    credit->surrendered = true;
    credit->usable = 0;
    credit->target = 0;
}

bool
credit_surrendered(const credit_t *credit)
{
    return credit->surrendered;
}

void
credit_release(credit_t *credit, bool is_long)
{
    xassert(credit->in_flight > 0);
    credit->in_flight--;
    credit->long_in_flight -= is_long;
    try_unlock(credit);
}

uint32_t
credit_share(const credit_t *credit, uint32_t limit, uint64_t now_ms)
{
    if (credit->span_count == 0)
        return 0;
    uint32_t least = limit;
    for (size_t i = 0; i < credit->span_count; i++) {
        const span_t *span = &credit->spans[i];
        /* The epsilon keeps a boundary at a whole number from being rounded down. */
        const uint32_t from = (uint32_t)(span->from * limit + 1e-6);
        const uint32_t to = (uint32_t)(span->to * limit + 1e-6);
        if (to - from < least)
            least = to - from;
    }
    if (!credit_has_authority(credit, now_ms) && least > CREDIT_FLOOR)
        least = CREDIT_FLOOR;
    return least;
}

double
credit_fraction(const credit_t *credit, uint64_t now_ms)
{
    double least = credit->span_count > 0 ? 1 : 0;
    for (size_t i = 0; i < credit->span_count; i++) {
        const double width = credit->spans[i].to - credit->spans[i].from;
        if (width < least)
            least = width;
    }
    return credit_has_authority(credit, now_ms) ? least : 0;
}

uint32_t
credit_lend(credit_t *credit, uint64_t epoch, uint32_t want, uint64_t now_ms)
{
    if (epoch != credit_epoch(credit) || !credit->unlocked ||
        !credit_has_authority(credit, now_ms) || credit->in_flight >= credit->usable)
        return 0;
    const uint32_t spare = (credit->usable - credit->in_flight) / 2;
    const uint32_t granted = want < spare ? want : spare;
    if (mutate_is(MUTATE_LEND_FOR_FREE))
        return granted;
    credit->usable -= granted;
    credit->target -= granted;
    return granted;
}

void
credit_borrowed(credit_t *credit, uint64_t epoch, uint32_t granted)
{
    if (epoch != credit_epoch(credit) || !credit->unlocked || credit->surrendered)
        return;
    credit->usable += granted;
    credit->target += granted;
}

bool
credit_acked(const credit_t *credit, str_t instance, uint64_t incarnation)
{
    if (incarnation == credit->incarnation && name_eq(&credit->self, instance))
        return true;
    const peer_state_t *peer = find_peer(credit, instance, incarnation);
    return peer != NULL && peer->epoch >= credit_epoch(credit);
}

bool
credit_peer_settled(const credit_t *credit, str_t instance, uint64_t incarnation)
{
    if (incarnation == credit->incarnation && name_eq(&credit->self, instance))
        return credit->unlocked || credit_settled(credit);
    const peer_state_t *peer = find_peer(credit, instance, incarnation);
    return peer != NULL && peer->settled;
}
