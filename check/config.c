/* Configuration rules: adoption time, version monotonicity and the reported outcome of edits. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "check/rules.h"

enum { US_PER_S = 1000000, PAIRS_MAX = 65536, PAIR_SIZE = 160, VERSIONS_MAX = 65536 };

void
rule_no_revert(const events_t *events, verdict_t *verdict)
{
    verdict->guarantee = "configuration in force never reverts";
    index_t pairs = {0};
    uint64_t *newest = xcalloc(PAIRS_MAX, sizeof(*newest));
    for (size_t i = 0; i < events->count; i++) {
        const event_t *event = &events->items[i];
        char pair[PAIR_SIZE];
        if (event->type == EV_ADOPT)
            snprintf(pair, sizeof(pair), "%s %lu %s/%s", event->entry,
                     (unsigned long)event->incarnation, event->kind, event->name);
        else if (event->type == EV_LOOKUP || event->type == EV_ADMIT)
            snprintf(pair, sizeof(pair), "%s decides on %s", event->entry, event->service);
        else
            continue;
        const size_t at = index_intern(&pairs, pair);
        if (at >= PAIRS_MAX)
            continue;
        verdict->examined++;
        const bool older =
            event->type == EV_ADOPT ? event->version <= newest[at] : event->version < newest[at];
        if (older)
            verdict_add_violation(verdict, "%s: version %lu after %lu", pair,
                                  (unsigned long)event->version, (unsigned long)newest[at]);
        newest[at] = event->version > newest[at] ? event->version : newest[at];
    }
    free(newest);
    index_free(&pairs);
}

typedef struct {
    char name[64];
    uint64_t version;
    uint64_t t;
} accepted_t;

static int
compare_u64(const void *a, const void *b)
{
    const uint64_t left = *(const uint64_t *)a;
    const uint64_t right = *(const uint64_t *)b;
    return left < right ? -1 : left > right;
}

/* Summarises the delay from a table's store write to its adoption at each running entry. */
static void
summarize_adoption_times(const events_t *events, const accepted_t *accepted, size_t count,
                         verdict_t *verdict)
{
    uint64_t *times = xcalloc(events->count, sizeof(*times));
    size_t n = 0;
    for (size_t i = 0; i < events->count; i++) {
        const event_t *event = &events->items[i];
        if (event->type != EV_ADOPT || strcmp(event->kind, "table") != 0)
            continue;
        for (size_t a = 0; a < count; a++) {
            /* An incarnation is a start time; entries started after the write are left out. */
            if (accepted[a].version == event->version && event->incarnation < accepted[a].t)
                times[n++] = event->t - accepted[a].t;
        }
    }
    qsort(times, n, sizeof(*times), compare_u64);
    const size_t median = n / 2;
    const size_t p99 = n * 99 / 100;
    if (n > 0)
        snprintf(verdict->note, sizeof(verdict->note),
                 "%zu adoptions, p50 %.0f ms, p99 %.0f ms, most %.0f ms", n,
                 (double)times[median] / 1000, (double)times[p99] / 1000,
                 (double)times[n - 1] / 1000);
    free(times);
}

void
rule_in_force(const events_t *events, verdict_t *verdict)
{
    verdict->guarantee = "an accepted change is in force within 17 s";
    accepted_t *accepted = xcalloc(VERSIONS_MAX, sizeof(*accepted));
    size_t count = 0;
    for (size_t i = 0; i < events->count; i++) {
        const event_t *event = &events->items[i];
        if (event->type == EV_STORE_WRITE && strcmp(event->kind, "table") == 0 &&
            count < VERSIONS_MAX) {
            accepted[count] = (accepted_t){.version = event->version, .t = event->t};
            snprintf(accepted[count++].name, sizeof(accepted[0].name), "%s", event->name);
        } else if (event->type == EV_LOOKUP || event->type == EV_ADMIT) {
            verdict->examined++;
            for (size_t a = count; a-- > 0;) {
                const accepted_t *change = &accepted[a];
                if (strcmp(change->name, event->service) != 0)
                    continue;
                if (event->version >= change->version)
                    break;
                if (event->t > change->t + (uint64_t)FORCE_LIMIT_S * US_PER_S)
                    verdict_add_violation(verdict, "%s decides on version %lu %.1f s after %lu",
                                          event->entry, (unsigned long)event->version,
                                          (double)(event->t - change->t) / US_PER_S,
                                          (unsigned long)change->version);
            }
        }
    }
    summarize_adoption_times(events, accepted, count, verdict);
    free(accepted);
}

/* Counts the table writes that add the edit's id to the table's list of applied edits. */
static size_t
times_applied(const events_t *events, const event_t *edit)
{
    size_t times = 0;
    bool present = false;
    for (size_t i = 0; i < events->count; i++) {
        const event_t *event = &events->items[i];
        if (event->type != EV_STORE_WRITE || strcmp(event->kind, "table") != 0 ||
            strcmp(event->name, edit->service) != 0)
            continue;
        const json_t *list = json_object_get(event->value, "edits");
        bool now = false;
        for (size_t e = 0; e < json_array_size(list); e++)
            now = now || strcmp(json_string_value(json_array_get(list, e)), edit->id) == 0;
        times += now && !present;
        present = now;
    }
    return times;
}

void
rule_edits(const events_t *events, verdict_t *verdict)
{
    verdict->guarantee = "operators are told the true outcome of their edits";
    for (size_t i = 0; i < events->count; i++) {
        const event_t *event = &events->items[i];
        if (event->type != EV_EDIT)
            continue;
        verdict->examined++;
        const size_t times = times_applied(events, event);
        const bool applied = strcmp(event->result, "applied") == 0;
        const bool unknown = strcmp(event->result, "unknown") == 0;
        if (times > 1 || (applied && times == 0) || (!applied && !unknown && times > 0))
            verdict_add_violation(verdict, "edit %s was told %s and stands in the store %zu times",
                                  event->id, event->result, times);
    }
}
