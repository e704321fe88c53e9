#include "gateway/policy/relay.h"

enum {
    /* Bytes that an instance sends at once to all: a tenth of a second of the smallest link of the
     * users' sites, 10 Mbit/s. Chosen. */
    DIRECT_MAX = 128000,
    /* Instances that each one sends to in a tree: 27 are reached in three steps. Chosen. */
    CHILDREN = 3,
    /* Bytes a second that changes of one view may take: a fifth of that link. Chosen. */
    BYTES_PER_S = 250000,
    MS_PER_S = 1000,
    /* Longest pause, so that a change of any size is in force in time: half of the shortest bound
     * on that at the users' sites, 2 s. Chosen. */
    PAUSE_MAX_MS = 1000,
    /* An instance that stays behind for this time, beside the senders' pause, asks: changes on
     * their way have arrived by then. Brought in with commit 2b9bd2c, not measured alone. */
    BEHIND_MS = 450,
};

bool
relay_sends_to(const relay_input_t *input, size_t place)
{
    if (place == input->own || place >= input->instances)
        return false;
    if (input->bytes * (input->instances - 1) <= DIRECT_MAX)
        return input->from_store;
    const bool at_the_top = place <= CHILDREN;
    const bool is_child = place > 0 && (place - 1) / CHILDREN == input->own;
    return is_child || (input->from_store && at_the_top);
}

uint64_t
relay_pause_ms(size_t sent)
{
    const uint64_t pause_ms = (uint64_t)sent * MS_PER_S / BYTES_PER_S;
    return pause_ms < PAUSE_MAX_MS ? pause_ms : PAUSE_MAX_MS;
}

void
relay_lag_notice(relay_lag_t *lag, uint64_t at, uint64_t now_ms)
{
    if (lag->lacks == 0)
        *lag = (relay_lag_t){.lacks = at, .since_ms = now_ms};
}

void
relay_lag_reached(relay_lag_t *lag, uint64_t at)
{
    if (at >= lag->lacks)
        *lag = (relay_lag_t){0};
}

bool
relay_lag_is_overdue(const relay_lag_t *lag, size_t change_bytes, uint64_t now_ms)
{
    /* Whoever learned it from the store sends to the first places and to its own children. */
    const size_t sent_at_once = change_bytes * (2 * CHILDREN + 1);
    const uint64_t patience_ms = BEHIND_MS + relay_pause_ms(sent_at_once);
    return lag->lacks != 0 && now_ms - lag->since_ms >= patience_ms;
}
