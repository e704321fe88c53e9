#include <inttypes.h>
#include <stdio.h>

#define LOG_MODULE "exchange"
#include "base/counter.h"
#include "base/log.h"
#include "gateway/path/access_log.h"

/* Sampling: one request in this many is logged if it succeeded, was only late, or was held. */
enum { LOG_EVERY = 64, LOG_LATE_EVERY = 16, LOG_HELD_EVERY = 16, LABELS_MAX = 64 };

static void
count_outcome(outcome_t outcome)
{
    char labels[LABELS_MAX];
    snprintf(labels, sizeof(labels), "outcome=\"%s\"", outcome_name(outcome));
    counter_add(counter_get("irisstall_requests_total", labels, "Requests by their outcome."), 1);
}

static void
count_late(const access_record_t *access)
{
    char labels[LABELS_MAX + NAME_MAX_LEN];
    if (access->late == LATE_NONE)
        return;
    snprintf(labels, sizeof(labels), "service=\"%s\",cause=\"%s\"", access->service,
             late_cause_name(access->late));
    counter_add(counter_get("irisstall_late_total", labels,
                            "Answers later than the route's latency objective, by cause."),
                1);
}

/* Counts requests that left the first backend in the ranking for a faster response. */
static void
count_faster(const access_record_t *access)
{
    if (access->choice == CHOICE_FASTER)
        counter_add(counter_get("irisstall_sent_to_faster_total", NULL,
                                "Requests sent to another backend server than usual because its "
                                "response was expected earlier."),
                    1);
}

/* Returns true if sampling drops the request from the log. */
static bool
is_sampled_out(const access_record_t *access)
{
    static unsigned successful;
    static unsigned late;
    static unsigned held;
    if (access->outcome == OUTCOME_QUARANTINED)
        return held++ % LOG_HELD_EVERY != 0;
    if (access->outcome != OUTCOME_ANSWERED || access->attempts != 1)
        return false;
    if (access->late != LATE_NONE)
        return ++late % LOG_LATE_EVERY != 0;
    return ++successful % LOG_EVERY != 0;
}

static const char *
or_dash(const char *text)
{
    return text != NULL ? text : "-";
}

void
access_log(const access_record_t *access)
{
    count_outcome(access->outcome);
    count_late(access);
    count_faster(access);
    if (is_sampled_out(access))
        return;
    LOG_INFO(
        "request ended: id=%.*s request=%016" PRIx64 " outcome=%s status=%d service=%s "
        "account=%s key=%s "
        "attempts=%zu sends=%u reason=%s passed=%s retry=%s late=%s backend=%s ms=%llu "
        "left_ms=%llu retry_after_ms=%u version=%s limit=%s share_per_s=%.2f "
        "unacknowledged=%llu",
        LOG_STR(access->id), access->fingerprint, outcome_name(access->outcome), access->status,
        or_dash(access->service), or_dash(access->account), or_dash(access->key), access->attempts,
        access->sends, choice_reason_name(access->choice), skip_reason_name(access->skip_reason),
        retry_verdict_name(access->retry), late_cause_name(access->late), or_dash(access->backend),
        (unsigned long long)access->elapsed_ms, (unsigned long long)access->left_ms,
        access->retry_after_ms, or_dash(access->config_version), or_dash(access->limit),
        access->limit_share_per_s, (unsigned long long)access->unacknowledged);
}
