#include "gateway/state/suspects.h"

#include <stdlib.h>
#include <string.h>

#include "base/search.h"
#include "base/xmalloc.h"
#include "gateway/state/suspect_log.h"

enum {
    ITEMS_START = 16,
    /* After the last end or the end of the quarantine term. Long enough to catch a caller that
     * repeats a harmful request every few minutes. */
    RETENTION_MS = 600000,
    /* A clearing is kept for as long as an instance may be disconnected and then send outdated
     * evidence. */
    CLEARED_RETENTION_MS = 120000,
};

/* ---- the table ---- */

/* Search key of is_below(). */
typedef struct {
    const suspects_t *suspects;
    uint64_t fingerprint;
} search_key_t;

static bool
is_below(const void *ctx, size_t index)
{
    const search_key_t *key = ctx;
    return key->suspects->items[index]->fingerprint < key->fingerprint;
}

static size_t
lower_bound(const suspects_t *suspects, uint64_t fingerprint)
{
    const search_key_t key = {suspects, fingerprint};
    return search_lower_bound(suspects->count, is_below, &key);
}

suspect_t *
suspects_find(const suspects_t *suspects, uint64_t fingerprint)
{
    const size_t index = lower_bound(suspects, fingerprint);
    return index < suspects->count && suspects->items[index]->fingerprint == fingerprint
               ? suspects->items[index]
               : NULL;
}

static void
remove_at(suspects_t *suspects, size_t index)
{
    free(suspects->items[index]);
    suspects->count--;
    memmove(&suspects->items[index], &suspects->items[index + 1],
            (suspects->count - index) * sizeof(suspects->items[0]));
}

/* Index of the suspect to evict: fewest ends, then oldest. */
static size_t
eviction_candidate(const suspects_t *suspects)
{
    size_t index = 0;
    for (size_t i = 1; i < suspects->count; i++) {
        const suspect_t *best = suspects->items[index];
        const suspect_t *item = suspects->items[i];
        if (item->end_count < best->end_count ||
            (item->end_count == best->end_count && suspect_last_ms(item) < suspect_last_ms(best)))
            index = i;
    }
    return index;
}

static suspect_t *
find_or_add(suspects_t *suspects, uint64_t fingerprint)
{
    suspect_t *suspect = suspects_find(suspects, fingerprint);
    if (suspect != NULL)
        return suspect;
    if (suspects->count == SUSPECTS_MAX)
        remove_at(suspects, eviction_candidate(suspects));
    if (suspects->count == suspects->size) {
        suspects->size = suspects->size > 0 ? suspects->size * 2 : ITEMS_START;
        suspects->items = xrealloc(suspects->items, suspects->size * sizeof(suspects->items[0]));
    }
    const size_t index = lower_bound(suspects, fingerprint);
    memmove(&suspects->items[index + 1], &suspects->items[index],
            (suspects->count - index) * sizeof(suspects->items[0]));
    suspect = xcalloc(1, sizeof(*suspect));
    suspect->fingerprint = fingerprint;
    suspects->items[index] = suspect;
    suspects->count++;
    return suspect;
}

void
suspects_free(suspects_t *suspects)
{
    for (size_t i = 0; i < suspects->count; i++)
        free(suspects->items[i]);
    free(suspects->items);
    *suspects = (suspects_t){0};
}

/* ---- decisions ---- */

static bool
is_explained(const suspects_t *suspects, const suspect_t *suspect, uint64_t incarnation)
{
    for (size_t i = 0; i < suspects->count; i++) {
        if (suspect_is_explained_by(suspect, suspects->items[i], incarnation))
            return true;
    }
    return false;
}

static unsigned
own_ends(const suspects_t *suspects, const suspect_t *suspect)
{
    unsigned count = 0;
    for (size_t i = 0; i < suspect->end_count; i++)
        count += !suspect_is_repeated_incarnation(suspect, i) &&
                 !is_explained(suspects, suspect, suspect->ends[i].incarnation);
    return count;
}

/* `version`: of the target backend server; 0 for any. */
static quarantine_t
decide(const suspects_t *suspects, const suspect_t *suspect, uint64_t version, uint64_t now_ms)
{
    const unsigned ends = suspect_counted_ends(suspect);
    if (version != 0 && version == suspect->good_version)
        return (quarantine_t){.verdict = QUARANTINE_FREE};
    const quarantine_input_t input = {
        .ends = ends,
        .unexplained_ends = quarantine_may_resend(ends) ? ends : own_ends(suspects, suspect),
        .since_end_ms = now_ms - suspect_last_ms(suspect),
        .trial_left_ms = suspect->trial_until_ms > now_ms ? suspect->trial_until_ms - now_ms : 0,
        .new_version = version != 0 && !suspect_ended_version(suspect, version),
    };
    return quarantine_decide(&input);
}

quarantine_t
suspect_decide(const suspects_t *suspects, const suspect_t *suspect, uint64_t now_ms)
{
    return decide(suspects, suspect, 0, now_ms);
}

enum { MATCHES_COUNT = 2 };

/* The suspects of a request and of its family; NULL if unknown. */
typedef struct {
    suspect_t *items[MATCHES_COUNT];
} matches_t;

static matches_t
find_matches(const suspects_t *suspects, const fingerprint_t *fingerprint)
{
    return (matches_t){{suspects_find(suspects, fingerprint->request),
                        suspects_find(suspects, fingerprint->family)}};
}

quarantine_t
suspects_decide(const suspects_t *suspects, const fingerprint_t *fingerprint, uint64_t now_ms)
{
    return suspects_decide_version(suspects, fingerprint, 0, now_ms);
}

quarantine_t
suspects_decide_version(const suspects_t *suspects, const fingerprint_t *fingerprint,
                        uint64_t version, uint64_t now_ms)
{
    const matches_t matches = find_matches(suspects, fingerprint);
    quarantine_t strictest = {.verdict = QUARANTINE_FREE};
    for (size_t i = 0; i < MATCHES_COUNT; i++) {
        if (matches.items[i] == NULL)
            continue;
        const quarantine_t quarantine = decide(suspects, matches.items[i], version, now_ms);
        if (quarantine.verdict > strictest.verdict || quarantine.held_ms > strictest.held_ms)
            strictest = quarantine;
    }
    return strictest;
}

unsigned
suspects_ends(const suspects_t *suspects, const fingerprint_t *fingerprint)
{
    const matches_t matches = find_matches(suspects, fingerprint);
    unsigned most = 0;
    for (size_t i = 0; i < MATCHES_COUNT; i++) {
        const unsigned ends = matches.items[i] != NULL ? suspect_ends(matches.items[i]) : 0;
        most = ends > most ? ends : most;
    }
    return most;
}

bool
suspects_has_evidence(const suspects_t *suspects, const fingerprint_t *fingerprint)
{
    const matches_t matches = find_matches(suspects, fingerprint);
    for (size_t i = 0; i < MATCHES_COUNT; i++) {
        if (matches.items[i] != NULL && matches.items[i]->end_count > 0)
            return true;
    }
    return false;
}

size_t
suspects_held(const suspects_t *suspects, uint64_t now_ms)
{
    size_t held = 0;
    for (size_t i = 0; i < suspects->count; i++)
        held += suspect_decide(suspects, suspects->items[i], now_ms).verdict == QUARANTINE_HELD;
    return held;
}

/* ---- evidence ---- */

/* Logs a new verdict, or a longer quarantine term. */
static void
log_verdict(const suspects_t *suspects, suspect_t *suspect, uint64_t now_ms)
{
    const unsigned ends = suspect_confirmed_ends(suspect);
    if (ends <= suspect->logged_ends || quarantine_may_resend(ends) ||
        own_ends(suspects, suspect) == 0)
        return;
    suspect->logged_ends = ends;
    suspect_log_held(suspect, ends, now_ms);
}

static quarantine_run_t
judge_loss(const suspects_t *suspects, const suspect_end_t *end)
{
    const unsigned others = recent_ends_count_others(&suspects->recent_ends, end->incarnation,
                                                     end->at_ms, QUARANTINE_LOSS_SPAN_MS);
    return end->confirmed ? quarantine_judge_loss(end->run, others) : end->run;
}

static void
judge_losses_of(const suspects_t *suspects, suspect_t *suspect)
{
    const bool is_held = !quarantine_may_resend(suspect_incarnations(suspect));
    for (size_t i = 0; i < suspect->end_count; i++) {
        suspect_end_t *end = &suspect->ends[i];
        const quarantine_run_t run = judge_loss(suspects, end);
        if (run == end->run)
            continue;
        end->run = run;
        suspect->unsent |= is_held;
        if (is_held)
            suspect_count_lost_end();
    }
}

/* Called after new ends, which may show that earlier ones were part of a loss. */
static void
judge_losses(suspects_t *suspects)
{
    for (size_t i = 0; i < suspects->count; i++)
        judge_losses_of(suspects, suspects->items[i]);
}

/* Adds the confirmed ends of a suspect that may still be part of a loss. Returns false if all were
 * known. */
static bool
record_recent_ends(suspects_t *suspects, const suspect_t *suspect, uint64_t now_ms)
{
    bool changed = false;
    for (size_t i = 0; i < suspect->end_count; i++) {
        const suspect_end_t *end = &suspect->ends[i];
        const bool under_trial = end->run >= QUARANTINE_RUN_TRIAL;
        if (end->confirmed && now_ms - end->at_ms <= 2 * QUARANTINE_LOSS_SPAN_MS)
            changed |=
                recent_ends_add(&suspects->recent_ends, end->incarnation, end->at_ms, under_trial);
    }
    return changed;
}

static void
notify_update(suspects_t *suspects)
{
    if (suspects->on_update != NULL)
        suspects->on_update(suspects->ctx);
}

/* A run may be the trial of a request and not of its family, or the other way round. */
static quarantine_run_t
run_of(const suspect_t *suspect, const suspects_run_t *run)
{
    const bool is_trial = run->is_trial && suspect->trial_until_ms != 0;
    return is_trial ? QUARANTINE_RUN_TRIAL : QUARANTINE_RUN_USUAL;
}

/* `member`: the request, if the fingerprint is that of a family; else 0. */
static void
add_end(suspects_t *suspects, uint64_t fingerprint, uint64_t member, str_t text,
        const suspects_run_t *run, uint64_t now_ms)
{
    suspect_t *suspect = find_or_add(suspects, fingerprint);
    const suspect_end_t end = {
        .incarnation = run->incarnation,
        .version = run->version,
        .member = member,
        .at_ms = now_ms,
        .run = run_of(suspect, run),
    };
    suspect->is_family = member != 0;
    suspect_set_text(suspect, text);
    suspect_add_end(suspect, &end);
}

void
suspects_add_end(suspects_t *suspects, const fingerprint_t *fingerprint, str_t text,
                 const suspects_run_t *run, uint64_t now_ms)
{
    add_end(suspects, fingerprint->request, 0, text, run, now_ms);
    add_end(suspects, fingerprint->family, fingerprint->request, text, run, now_ms);
}

size_t
suspects_confirm(suspects_t *suspects, uint64_t incarnation, uint64_t now_ms)
{
    size_t count = 0;
    bool has_new_ends = false;
    for (size_t i = 0; i < suspects->count; i++) {
        suspect_t *suspect = suspects->items[i];
        if (!suspect_confirm(suspect, incarnation))
            continue;
        suspect->unsent = true;
        has_new_ends |= record_recent_ends(suspects, suspect, now_ms);
        count += !suspect->is_family;
    }
    if (has_new_ends)
        judge_losses(suspects);
    for (size_t i = 0; i < suspects->count; i++)
        log_verdict(suspects, suspects->items[i], now_ms);
    if (count > 0)
        notify_update(suspects);
    return count;
}

void
suspects_retract(suspects_t *suspects, uint64_t incarnation)
{
    for (size_t i = suspects->count; i-- > 0;) {
        suspect_t *suspect = suspects->items[i];
        suspect_retract(suspect, incarnation);
        if (suspect->end_count == 0 && suspect->cleared == CLEARED_NOT)
            remove_at(suspects, i);
    }
}

static void
mark_unsent(suspects_t *suspects, suspect_t *suspect)
{
    if (!suspect->sent)
        return;
    suspect->unsent = true;
    notify_update(suspects);
}

/* Applies a completed run. If other software versions terminated, only this version is cleared: the
 * others would terminate again during a rollout. */
static void
finish_suspect(suspects_t *suspects, suspect_t *suspect, uint64_t version, uint64_t now_ms)
{
    if (suspect == NULL || suspect->end_count == 0)
        return;
    const unsigned ends = suspect_ends(suspect);
    const uint64_t since_end_ms = now_ms - suspect_last_ms(suspect);
    const bool was_known = suspect->good_version == version && suspect->trial_until_ms == 0;
    if (suspect_add_finished_run(suspect, version, now_ms))
        suspect_log_cleared(suspect, ends, since_end_ms);
    else if (was_known)
        return;
    else
        suspect_log_version(suspect, version, ends, since_end_ms);
    mark_unsent(suspects, suspect);
}

void
suspects_add_finished_run(suspects_t *suspects, const fingerprint_t *fingerprint, uint64_t version,
                          uint64_t now_ms)
{
    const matches_t matches = find_matches(suspects, fingerprint);
    for (size_t i = 0; i < MATCHES_COUNT; i++)
        finish_suspect(suspects, matches.items[i], version, now_ms);
}

bool
suspects_lift(suspects_t *suspects, uint64_t fingerprint, uint64_t now_ms)
{
    suspect_t *suspect = suspects_find(suspects, fingerprint);
    if (suspect == NULL || suspect->end_count == 0)
        return false;
    const unsigned ends = suspect_ends(suspect);
    const uint64_t since_end_ms = now_ms - suspect_last_ms(suspect);
    suspect_clear(suspect, CLEARED_LIFTED, now_ms);
    suspect_log_cleared(suspect, ends, since_end_ms);
    mark_unsent(suspects, suspect);
    return true;
}

void
suspects_begin_trial(suspects_t *suspects, const fingerprint_t *fingerprint, uint64_t now_ms)
{
    const matches_t matches = find_matches(suspects, fingerprint);
    for (size_t i = 0; i < MATCHES_COUNT; i++) {
        suspect_t *suspect = matches.items[i];
        if (suspect == NULL || suspect_decide(suspects, suspect, now_ms).verdict == QUARANTINE_FREE)
            continue;
        suspect->trial_until_ms = now_ms + QUARANTINE_TRIAL_MS;
        suspect->unsent = true;
        suspect_log_tried(suspect, now_ms);
    }
    suspect_count_trial();
    notify_update(suspects);
}

void
suspects_count_refused(suspects_t *suspects, const fingerprint_t *fingerprint)
{
    const matches_t matches = find_matches(suspects, fingerprint);
    for (size_t i = 0; i < MATCHES_COUNT; i++) {
        if (matches.items[i] != NULL)
            matches.items[i]->refused++;
    }
}

/* ---- evidence from other instances ---- */

void
suspects_merge(suspects_t *suspects, const suspect_t *theirs, uint64_t now_ms)
{
    if (theirs->end_count == 0 && suspects_find(suspects, theirs->fingerprint) == NULL)
        return;
    suspect_t *suspect = find_or_add(suspects, theirs->fingerprint);
    const unsigned ends = suspect_ends(suspect);
    const uint64_t since_end_ms = now_ms - suspect_last_ms(suspect);
    const bool had_ends = suspect->end_count > 0;
    suspect_merge(suspect, theirs);
    if (record_recent_ends(suspects, theirs, now_ms))
        judge_losses(suspects);
    if (had_ends && suspect->end_count == 0)
        suspect_log_cleared(suspect, ends, since_end_ms);
    suspect->sent = true;
    suspect->sent_to_all |= !quarantine_may_resend(suspect_incarnations(theirs));
    log_verdict(suspects, suspect, now_ms);
}

/* ---- expiry ---- */

static bool
is_expired(const suspect_t *suspect, uint64_t now_ms)
{
    const uint64_t since_ms = now_ms - suspect_last_ms(suspect);
    if (suspect->end_count == 0)
        return since_ms > CLEARED_RETENTION_MS;
    return since_ms > quarantine_term_ms(suspect_counted_ends(suspect)) + RETENTION_MS;
}

void
suspects_tick(suspects_t *suspects, uint64_t now_ms)
{
    for (size_t i = suspects->count; i-- > 0;) {
        if (is_expired(suspects->items[i], now_ms))
            remove_at(suspects, i);
    }
}
