#include "gateway/state/store_calls.h"

#include <stdio.h>

#define LOG_MODULE "sync"
#include "base/counter.h"
#include "base/log.h"

static const char *const kind_names[] = {
    [VIEW_CONFIG] = "config",     [VIEW_BACKENDS] = "backends",   [VIEW_CLOSURES] = "closures",
    [VIEW_ROLLOUTS] = "rollouts", [VIEW_INSTANCES] = "instances",
};

static const char *const call_names[] = {
    [STORE_CALL_LIST] = "list",
    [STORE_CALL_WATCH] = "watch",
    [STORE_CALL_ANNOUNCE] = "announce",
    [STORE_CALL_RECORD] = "record",
};

static const char *const reason_names[] = {
    [STORE_REASON_START] = "start",        [STORE_REASON_NEXT_PAGE] = "page",
    [STORE_REASON_CHANGES] = "changes",    [STORE_REASON_HISTORY_GONE] = "history",
    [STORE_REASON_PEER_REFERRAL] = "peer", [STORE_REASON_RECOVERY_PROBE] = "return",
    [STORE_REASON_ROLLOUT] = "rollout",
};

void
store_calls_count(view_kind_t kind, store_call_t call, store_reason_t reason)
{
    char labels[96];
    snprintf(labels, sizeof(labels), "kind=\"%s\",call=\"%s\",reason=\"%s\"", kind_names[kind],
             call_names[call], reason_names[reason]);
    counter_add(counter_get("irisstall_store_calls_by_reason_total", labels,
                            "Calls to the platform's store, by what they were made for."),
                1);
    LOG_INFO("store called: kind=%s call=%s reason=%s", kind_names[kind], call_names[call],
             reason_names[reason]);
}
