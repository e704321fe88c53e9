#include "gateway/state/position.h"
#include "gateway/state/rollout_record.h"

#define LOG_MODULE "rollout"
#include "base/log.h"
#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/membership/members_store.h"
#include "gateway/state/store_calls.h"

enum {
    WRITERS = 4,           /* instances of a region that write, one after the other */
    WRITER_STEP_MS = 1000, /* between two of them: a write and its way back through the view */
    REGION_STEP_MS = 250,  /* between regions */
    RETRY_MS = 2000,       /* the same instance again */
};

void
rollout_record_init(rollout_record_t *record, const rollout_record_conf_t *conf)
{
    *record = (rollout_record_t){.conf = *conf};
    xassert(name_set(&record->instance, conf->instance));
}

/* A verdict names the version, so an order whose version could not be read has none to record. */
static rollout_state_t
wanted_state(const rollout_t *rollout, bool all_moved)
{
    const rollout_state_t recorded = rollout->order.recorded;
    if (rollout->order.version_name[0] == '\0')
        return ROLLOUT_NONE;
    const rollout_state_t reached =
        rollout->state == ROLLOUT_RUNNING && all_moved ? ROLLOUT_COMPLETED : rollout->state;
    if (recorded == ROLLOUT_COMPLETED || recorded == ROLLOUT_ROLLED_BACK || recorded == reached)
        return ROLLOUT_NONE;
    return reached;
}

/* Returns the write of the order, which may take the place of one whose order is gone. */
static rollout_write_t *
find_write(rollout_record_t *record, uint64_t order)
{
    rollout_write_t *unused = NULL;
    for (size_t i = 0; i < ROLLOUTS_MAX; i++) {
        rollout_write_t *write = &record->writes[i];
        if (write->order == order)
            return write;
        if (rollouts_find_id(record->conf.rollouts, write->order) == NULL)
            unused = write;
    }
    xassert(unused != NULL); /* as many as orders */
    *unused = (rollout_write_t){.order = order};
    return unused;
}

static void
on_recorded(void *ctx, const store_answer_t *answer)
{
    /* The outcome is seen in the view; a failed write is repeated when it is due. */
    if (answer->outcome != STORE_OK && answer->outcome != STORE_CONFLICT)
        LOG_WARN("failed to record the state of a roll-out: outcome=%d detail=\"%s\"",
                 answer->outcome, answer->err.detail);
}

static void
write_state(const rollout_record_t *record, const rollout_t *rollout, rollout_state_t state)
{
    const store_port_t *store = record->conf.store;
    store_calls_count(VIEW_ROLLOUTS, STORE_CALL_RECORD, STORE_REASON_ROLLOUT);
    LOG_INFO("roll-out recorded: order=%s state=%s revision=%llu", rollout->name.ptr,
             rollout_state_name(state), (unsigned long long)position_revision(rollout->revision));
    store->record_rollout(store->ctx, name_str(&rollout->name),
                          position_revision(rollout->revision), state,
                          str_from(rollout->order.version_name), on_recorded, NULL);
}

/* Milliseconds that this instance lets others write first; UINT64_MAX if it does not write. */
static uint64_t
delay_ms(const rollout_record_t *record, uint64_t now_ms)
{
    const size_t rank = members_rank_in_mesh(record->conf.members, name_str(&record->instance),
                                             record->conf.region, true, now_ms);
    if (rank >= WRITERS)
        return UINT64_MAX;
    return rank * WRITER_STEP_MS + record->conf.region * REGION_STEP_MS;
}

void
rollout_record_tick(rollout_record_t *record, const bool all_moved[ROLLOUTS_MAX])
{
    const rollouts_t *rollouts = record->conf.rollouts;
    const uint64_t now_ms = loop_now(record->conf.loop);
    for (size_t i = 0; i < rollouts->count; i++) {
        const rollout_t *rollout = rollouts->items[i];
        const rollout_state_t wanted = wanted_state(rollout, all_moved[i]);
        rollout_write_t *write = find_write(record, rollout->id);
        if (write->wanted != wanted) {
            write->wanted = wanted;
            write->since_ms = now_ms;
            write->next_ms = now_ms;
        }
        const uint64_t wait_ms = wanted != ROLLOUT_NONE ? delay_ms(record, now_ms) : UINT64_MAX;
        if (wait_ms == UINT64_MAX || now_ms < write->next_ms || now_ms - write->since_ms < wait_ms)
            continue;
        write->next_ms = now_ms + RETRY_MS;
        write_state(record, rollout, wanted);
    }
}
