#include "gateway/policy/relay.h"

enum {
    /* Largest change, in bytes, that one instance sends to all others. */
    SMALL_MAX = 4096,
    /* Children of each instance in the distribution tree. */
    CHILDREN = 3,
    /* Bytes per second for changes of one view, and for responses to pulls, on the smallest
     * supported link: a fifth of 10 Mbit/s. */
    BYTES_PER_S = 250000,
    LINK_DIVISOR = 5, /* the same fraction of a larger link */
    /* Burst of pull responses, in bytes; at least one whole view (state/view_relay.c). */
    ANSWERS_BURST = 256000,
    MS_PER_S = 1000,
    /* Longest pause, which bounds the delay of a change of any size. */
    PAUSE_MAX_MS = 1000,
    /* An instance that still lags for this time after the senders' pause pulls the view. */
    PULL_DELAY_MS = 450,
};

bool
relay_is_small(size_t bytes)
{
    return bytes <= SMALL_MAX;
}

bool
relay_sends_to(const relay_input_t *input, size_t rank)
{
    if (rank == input->own || rank >= input->instances)
        return false;
    if (relay_is_small(input->bytes))
        return input->from_store;
    const bool is_root_child = rank <= CHILDREN;
    const bool is_child = rank > 0 && (rank - 1) / CHILDREN == input->own;
    return is_child || (input->from_store && is_root_child);
}

static double
bytes_per_s(double link_bytes_per_s)
{
    const double part = link_bytes_per_s / LINK_DIVISOR;
    return part > BYTES_PER_S ? part : BYTES_PER_S;
}

uint64_t
relay_pause_ms(size_t sent, double link_bytes_per_s)
{
    const uint64_t pause_ms = (uint64_t)((double)sent * MS_PER_S / bytes_per_s(link_bytes_per_s));
    return pause_ms < PAUSE_MAX_MS ? pause_ms : PAUSE_MAX_MS;
}

double
relay_response_rate(double link_bytes_per_s)
{
    return bytes_per_s(link_bytes_per_s);
}

double
relay_response_burst(double link_bytes_per_s)
{
    return ANSWERS_BURST * bytes_per_s(link_bytes_per_s) / BYTES_PER_S;
}

void
relay_lag_detected(relay_lag_t *lag, uint64_t at, uint64_t now_ms)
{
    if (lag->missing_revision != 0)
        return;
    lag->missing_revision = at;
    lag->since_ms = now_ms;
}

void
relay_lag_reached(relay_lag_t *lag, uint64_t at)
{
    if (at >= lag->missing_revision)
        lag->missing_revision = 0;
}

void
relay_lag_change_received(relay_lag_t *lag, size_t bytes, uint64_t now_ms)
{
    if (relay_is_small(bytes))
        return;
    /* An instance that watches the store sends to the tree's root level and to its own children. */
    const size_t sent_at_once = bytes * (2 * CHILDREN + 1);
    lag->expected_ms = now_ms + relay_pause_ms(sent_at_once, 0);
}

bool
relay_lag_should_pull(const relay_lag_t *lag, uint64_t at, uint64_t now_ms)
{
    if (lag->missing_revision == 0 || at < lag->missing_revision)
        return false;
    const uint64_t latest_ms = lag->since_ms + PAUSE_MAX_MS;
    uint64_t from_ms = lag->since_ms;
    if (lag->expected_ms > from_ms)
        from_ms = lag->expected_ms < latest_ms ? lag->expected_ms : latest_ms;
    return now_ms >= from_ms + PULL_DELAY_MS;
}
