#include "gateway/state/store_state.h"

#define LOG_MODULE "sync"
#include "base/log.h"
#include "base/loop_time.h"
#include "gateway/membership/members_store.h"
#include "gateway/policy/store_schedule.h"
#include "gateway/state/view_relay.h"

enum {
    FAILING_THRESHOLD = 2, /* consecutive failures after which the store counts as failing */
    /* Minimum duration of a takeover; prevents watchers from alternating every tick. */
    FALLBACK_MS = 3000,
    START_DELAY_SEED = 61, /* arbitrary */
};

size_t
store_state_rank(const store_watch_t *watch, bool served, uint64_t now_ms)
{
    return members_rank_in_mesh(watch->conf.members, name_str(&watch->instance), watch->conf.region,
                                served, now_ms);
}

static bool
mesh_has_watcher(const store_watch_t *watch, uint64_t now_ms)
{
    const uint32_t age_max_ms =
        members_store_age_max_ms(watch->conf.members, watch->conf.region, now_ms);
    return members_watch_store(watch->conf.members, watch->conf.region, age_max_ms, now_ms);
}

uint64_t
store_state_start_at_ms(const store_watch_t *watch)
{
    /* What an early reader has read is told in its next heartbeat, and asked for after that. */
    const uint64_t told_ms = HEARTBEAT_MIN_MS + VIEW_START_REQUEST_MS;
    const uint64_t key = str_hash(name_str(&watch->instance), START_DELAY_SEED);
    return watch->started_ms + store_schedule_startup_delay_ms(key, watch->conf.is_seed, told_ms);
}

bool
store_state_start_delay_is_over(const store_watch_t *watch, uint64_t now_ms)
{
    return now_ms >= store_state_start_at_ms(watch);
}

/* True if no instance of the mesh seems to watch the store and this one is next in rank to do
 * so. */
static bool
should_take_over(store_watch_t *watch, uint64_t now_ms)
{
    if (mesh_has_watcher(watch, now_ms)) {
        watch->unwatched_ms = 0;
        return false;
    }
    if (watch->unwatched_ms == 0)
        watch->unwatched_ms = now_ms;
    return store_schedule_takes_over(store_state_rank(watch, false, now_ms),
                                     now_ms - watch->unwatched_ms);
}

bool
store_state_should_watch(store_watch_t *watch)
{
    const uint64_t now_ms = loop_now(watch->conf.loop);
    if (watch->stopped || !store_state_start_delay_is_over(watch, now_ms))
        return false;
    if (store_schedule_watches(store_state_rank(watch, true, now_ms)))
        return true;
    if (should_take_over(watch, now_ms)) {
        watch->fallback_until_ms = now_ms + FALLBACK_MS;
        watch->failed_ms = now_ms;
    }
    return now_ms < watch->fallback_until_ms;
}

static uint32_t
answer_age_max_ms(const store_watch_t *watch, uint64_t now_ms)
{
    return members_store_age_max_ms(watch->conf.members, watch->conf.region, now_ms);
}

/* An outage is assumed only if the store fails for all instances; only then can entries expire
 * unintentionally. */
static void
detect_outage(store_watch_t *watch, uint64_t now_ms)
{
    const bool fails = store_watch_is_failing(watch);
    if (watch->in_outage || !members_store_is_down(watch->conf.members, name_str(&watch->instance),
                                                   fails, answer_age_max_ms(watch, now_ms), now_ms))
        return;
    watch->in_outage = true;
    watch->outage_ms = now_ms;
    LOG_WARN("store outage detected: failures=%u", watch->failures);
}

void
store_state_record_failure(store_watch_t *watch, const kind_watch_t *failed, uint64_t now_ms)
{
    watch->failed_ms = now_ms;
    if (failed->called_ms >= watch->recovered_ms && store_watch_is_failing(watch))
        detect_outage(watch, now_ms);
}

void
store_state_end_outage(store_watch_t *watch, const char *sign)
{
    if (!watch->in_outage)
        return;
    watch->in_outage = false;
    watch->recovered_ms = loop_now(watch->conf.loop);
    LOG_INFO("store outage ended: sign=%s", sign);
}

void
store_state_update_from_peers(store_watch_t *watch)
{
    const members_t *members = watch->conf.members;
    const uint64_t now_ms = loop_now(watch->conf.loop);
    const bool calls_store = watch->watching || watch->failures > 0;
    if (members_any_store_failure(members, now_ms))
        watch->failed_ms = now_ms;
    if (members_store_serves(members, answer_age_max_ms(watch, now_ms), now_ms))
        store_state_end_outage(watch, "peer");
    else if (!calls_store)
        detect_outage(watch, now_ms);
}

void
store_state_cancel_outage(store_watch_t *watch)
{
    watch->in_outage = false;
    LOG_INFO("store outage cancelled: failures=%u", watch->failures);
}

uint32_t
store_watch_age_ms(const store_watch_t *watch)
{
    if (!watch->watching || watch->stopped)
        return STORE_AGE_NONE;
    const uint64_t now_ms = loop_now(watch->conf.loop);
    uint64_t age_ms = 0;
    for (view_kind_t i = 0; i < watch->conf.views->count; i++) {
        const kind_watch_t *kind = &watch->kinds[i];
        if (kind->answered_ms == 0)
            return STORE_AGE_NONE;
        if (now_ms - kind->answered_ms > age_ms)
            age_ms = now_ms - kind->answered_ms;
    }
    return age_ms < STORE_AGE_NONE ? (uint32_t)age_ms : STORE_AGE_NONE - 1;
}

uint64_t
store_watch_silent_ms(const store_watch_t *watch)
{
    uint64_t answered_ms = 0;
    for (view_kind_t i = 0; i < watch->conf.views->count; i++) {
        if (watch->kinds[i].answered_ms > answered_ms)
            answered_ms = watch->kinds[i].answered_ms;
    }
    return answered_ms > 0 ? loop_now(watch->conf.loop) - answered_ms : UINT64_MAX;
}

static uint64_t
elapsed_ms(const store_watch_t *watch, uint64_t then_ms)
{
    return then_ms > 0 ? loop_now(watch->conf.loop) - then_ms : REMOVAL_NEVER;
}

bool
store_watch_is_failing(const store_watch_t *watch)
{
    return watch->failures >= FAILING_THRESHOLD;
}

void
store_watch_view_changed(store_watch_t *watch)
{
    store_state_end_outage(watch, "change");
}

removal_store_t
store_watch_outage_state(const store_watch_t *watch)
{
    return (removal_store_t){
        .since_return_ms = watch->in_outage ? 0 : elapsed_ms(watch, watch->recovered_ms),
        .since_failure_ms = elapsed_ms(watch, watch->failed_ms),
    };
}
