#include "gateway/membership/suspect_message.h"
#include "gateway/membership/message_age.h"

#include <stdio.h>

void
suspect_message_fill(suspect_message_t *out, const suspect_t *suspect, uint64_t now_ms)
{
    iris__suspect__init(&out->message);
    size_t count = 0;
    for (size_t i = 0; i < suspect->end_count; i++) {
        if (!suspect->ends[i].confirmed)
            continue;
        iris__suspect_end__init(&out->ends[count]);
        out->ends[count].life = suspect->ends[i].incarnation;
        out->ends[count].under = suspect->ends[i].member;
        out->ends[count].version = suspect->ends[i].version;
        out->ends[count].run = (uint32_t)suspect->ends[i].run;
        out->ends[count].age_ms = message_age_ms(suspect->ends[i].at_ms, now_ms);
        out->end_list[count] = &out->ends[count];
        count++;
    }
    out->message.request = suspect->fingerprint;
    out->message.is_family = suspect->is_family;
    out->message.n_ends = count;
    out->message.ends = out->end_list;
    out->message.cleared = (uint32_t)suspect->cleared;
    if (suspect->cleared != CLEARED_NOT)
        out->message.cleared_age_ms = message_age_ms(suspect->cleared_ms, now_ms);
    out->message.good_version = suspect->good_version;
    if (suspect->good_version != 0)
        out->message.good_age_ms = message_age_ms(suspect->good_ms, now_ms);
    if (suspect->trial_until_ms > now_ms)
        out->message.trial_left_ms = (uint32_t)(suspect->trial_until_ms - now_ms);
    out->message.text = (char *)(uintptr_t)suspect->text; /* never written to */
}

/* A value of a newer instance is not known here. */
static quarantine_run_t
read_run(uint32_t run)
{
    return run <= QUARANTINE_RUN_TRIAL_LOST ? (quarantine_run_t)run : QUARANTINE_RUN_UNKNOWN;
}

void
suspect_message_read(const Iris__Suspect *message, suspect_t *out, uint64_t now_ms)
{
    *out = (suspect_t){.fingerprint = message->request, .is_family = message->is_family};
    for (size_t i = 0; i < message->n_ends && out->end_count < SUSPECT_ENDS_MAX; i++)
        out->ends[out->end_count++] = (suspect_end_t){
            .incarnation = message->ends[i]->life,
            .member = message->ends[i]->under,
            .version = message->ends[i]->version,
            .at_ms = message_time_ms(message->ends[i]->age_ms, now_ms),
            .confirmed = true,
            .run = read_run(message->ends[i]->run),
        };
    if (message->cleared != CLEARED_NOT) {
        out->cleared = message->cleared == CLEARED_LIFTED ? CLEARED_LIFTED : CLEARED_FINISHED;
        out->cleared_ms = message_time_ms(message->cleared_age_ms, now_ms);
    }
    out->good_version = message->good_version;
    if (message->good_version != 0)
        out->good_ms = message_time_ms(message->good_age_ms, now_ms);
    const uint32_t trial_left_ms =
        message->trial_left_ms < QUARANTINE_TRIAL_MS ? message->trial_left_ms : QUARANTINE_TRIAL_MS;
    out->trial_until_ms = trial_left_ms > 0 ? now_ms + trial_left_ms : 0;
    snprintf(out->text, sizeof(out->text), "%s", message->text);
}
