#include "gateway/state/suspect_log.h"

#include <inttypes.h>
#include <stdio.h>

#define LOG_MODULE "quarantine"
#include "base/counter.h"
#include "base/log.h"
#include "gateway/policy/quarantine.h"

enum { LABELS_MAX = 32 };

void
suspect_log_held(const suspect_t *suspect, unsigned ends, uint64_t now_ms)
{
    LOG_WARN("request quarantined: request=%016" PRIx64 " family=%d ends=%u for_ms=%" PRIu64
             " age_ms=%" PRIu64 " what=\"%s\"",
             suspect->fingerprint, suspect->is_family, ends, quarantine_term_ms(ends),
             now_ms - suspect_last_ms(suspect), suspect->text);
    counter_add(counter_get("irisstall_quarantine_verdicts_total", NULL,
                            "Requests held, and held for longer, after ends of backend servers."),
                1);
}

void
suspect_log_tried(const suspect_t *suspect, uint64_t now_ms)
{
    LOG_INFO("quarantine trial started: request=%016" PRIx64 " family=%d ends=%u age_ms=%" PRIu64,
             suspect->fingerprint, suspect->is_family, suspect_ends(suspect),
             now_ms - suspect_last_ms(suspect));
}

void
suspect_log_version(const suspect_t *suspect, uint64_t version, unsigned ends,
                    uint64_t since_end_ms)
{
    LOG_INFO("request allowed on software version: request=%016" PRIx64
             " family=%d version=%016" PRIx64 " ends=%u age_ms=%" PRIu64,
             suspect->fingerprint, suspect->is_family, version, ends, since_end_ms);
}

void
suspect_log_cleared(const suspect_t *suspect, unsigned ends, uint64_t since_end_ms)
{
    const char *why = suspect->cleared == CLEARED_LIFTED ? "lifted" : "finished";
    char labels[LABELS_MAX];
    if (quarantine_may_resend(ends))
        return;
    snprintf(labels, sizeof(labels), "reason=\"%s\"", why);
    LOG_INFO("quarantine cleared: request=%016" PRIx64 " reason=%s ends=%u age_ms=%" PRIu64
             " refused=%" PRIu64,
             suspect->fingerprint, why, ends, since_end_ms, suspect->refused);
    counter_add(counter_get("irisstall_quarantine_cleared_total", labels,
                            "Held requests that nothing is held against any more."),
                1);
}

void
suspect_count_trial(void)
{
    counter_add(counter_get("irisstall_quarantine_trials_total", NULL,
                            "Held requests of which a try was let through."),
                1);
}

void
suspect_count_lost_end(void)
{
    counter_add(counter_get("irisstall_quarantine_lost_ends_total", NULL,
                            "Ends under held requests that were part of the loss of several "
                            "backend servers."),
                1);
}
