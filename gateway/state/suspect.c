#include "gateway/state/suspect.h"

/* ---- queries ---- */

uint64_t
suspect_last_ms(const suspect_t *suspect)
{
    uint64_t last = suspect->end_count == 0 ? suspect->cleared_ms : 0;
    for (size_t i = 0; i < suspect->end_count; i++) {
        if (suspect->ends[i].at_ms > last)
            last = suspect->ends[i].at_ms;
    }
    return last;
}

bool
suspect_is_repeated_incarnation(const suspect_t *suspect, size_t index)
{
    for (size_t i = 0; i < index; i++) {
        if (suspect->ends[i].incarnation == suspect->ends[index].incarnation)
            return true;
    }
    return false;
}

unsigned
suspect_incarnations(const suspect_t *suspect)
{
    unsigned count = 0;
    for (size_t i = 0; i < suspect->end_count; i++)
        count += !suspect_is_repeated_incarnation(suspect, i);
    return count;
}

static unsigned
member_incarnations(const suspect_t *family, uint64_t member)
{
    unsigned count = 0;
    for (size_t i = 0; i < family->end_count; i++)
        count += family->ends[i].member == member;
    return count;
}

unsigned
suspect_ends(const suspect_t *suspect)
{
    const unsigned incarnations = suspect_incarnations(suspect);
    for (size_t i = 0; suspect->is_family && i < suspect->end_count; i++) {
        if (member_incarnations(suspect, suspect->ends[i].member) == incarnations)
            return 0;
    }
    return incarnations;
}

static void
insert_sorted(quarantine_end_t *ends, size_t count, const suspect_end_t *end)
{
    size_t at = count;
    for (; at > 0 && ends[at - 1].at_ms > end->at_ms; at--)
        ends[at] = ends[at - 1];
    ends[at] = (quarantine_end_t){.at_ms = end->at_ms, .version = end->version, .run = end->run};
}

/* Counts the ends that the quarantine's term depends on. */
static unsigned
count_for_term(const suspect_t *suspect, bool confirmed_only)
{
    quarantine_end_t ends[SUSPECT_ENDS_MAX];
    size_t count = 0;
    if (suspect_ends(suspect) == 0)
        return 0;
    for (size_t i = 0; i < suspect->end_count; i++) {
        const suspect_end_t *end = &suspect->ends[i];
        if ((end->confirmed || !confirmed_only) && !suspect_is_repeated_incarnation(suspect, i))
            insert_sorted(ends, count++, end);
    }
    return quarantine_count_ends(ends, count);
}

unsigned
suspect_counted_ends(const suspect_t *suspect)
{
    return count_for_term(suspect, false);
}

unsigned
suspect_confirmed_ends(const suspect_t *suspect)
{
    return count_for_term(suspect, true);
}

static bool
has_incarnation(const suspect_t *suspect, uint64_t incarnation)
{
    for (size_t i = 0; i < suspect->end_count; i++) {
        if (suspect->ends[i].incarnation == incarnation)
            return true;
    }
    return false;
}

bool
suspect_ended_version(const suspect_t *suspect, uint64_t version)
{
    for (size_t i = 0; i < suspect->end_count; i++) {
        if (suspect->ends[i].version == version || suspect->ends[i].version == 0)
            return true;
    }
    return false;
}

/* True if `suspect` has an end that `other` does not share. */
static bool
has_unshared_end(const suspect_t *suspect, const suspect_t *other)
{
    for (size_t i = 0; i < suspect->end_count; i++) {
        if (!has_incarnation(other, suspect->ends[i].incarnation))
            return true;
    }
    return false;
}

/* True if one is a family and the other a member of it. */
static bool
is_family_with_member(const suspect_t *a, const suspect_t *b)
{
    return (a->is_family && member_incarnations(a, b->fingerprint) > 0) ||
           (b->is_family && member_incarnations(b, a->fingerprint) > 0);
}

bool
suspect_is_explained_by(const suspect_t *suspect, const suspect_t *other, uint64_t incarnation)
{
    if (other == suspect || !has_incarnation(other, incarnation) ||
        is_family_with_member(suspect, other))
        return false;
    const unsigned ends = suspect_ends(suspect);
    const unsigned others = suspect_ends(other);
    return others > ends || (others == ends && has_unshared_end(other, suspect));
}

/* ---- updates ---- */

void
suspect_set_text(suspect_t *suspect, str_t text)
{
    const size_t len = text.len < SUSPECT_TEXT_MAX - 1 ? text.len : SUSPECT_TEXT_MAX - 1;
    if (suspect->text[0] != '\0')
        return;
    for (size_t i = 0; i < len; i++) {
        const char byte = text.ptr[i];
        suspect->text[i] = byte < ' ' || byte > '~' || byte == '"' ? '?' : byte;
    }
    suspect->text[len] = '\0';
}

static suspect_end_t *
find_end(suspect_t *suspect, uint64_t incarnation, uint64_t member)
{
    for (size_t i = 0; i < suspect->end_count; i++) {
        if (suspect->ends[i].incarnation == incarnation && suspect->ends[i].member == member)
            return &suspect->ends[i];
    }
    return NULL;
}

void
suspect_add_end(suspect_t *suspect, const suspect_end_t *end)
{
    if (end->at_ms <= suspect->cleared_ms ||
        find_end(suspect, end->incarnation, end->member) != NULL)
        return;
    if (suspect->good_version != 0 && end->version == suspect->good_version) {
        if (end->at_ms <= suspect->good_ms)
            return;
        suspect->good_version = 0;
    }
    if (suspect->end_count < SUSPECT_ENDS_MAX) {
        suspect->ends[suspect->end_count++] = *end;
        return;
    }
    suspect_end_t *oldest = &suspect->ends[0];
    for (size_t i = 1; i < suspect->end_count; i++) {
        if (suspect->ends[i].at_ms < oldest->at_ms)
            oldest = &suspect->ends[i];
    }
    *oldest = *end;
}

bool
suspect_confirm(suspect_t *suspect, uint64_t incarnation)
{
    bool changed = false;
    for (size_t i = 0; i < suspect->end_count; i++) {
        suspect_end_t *end = &suspect->ends[i];
        if (end->incarnation != incarnation)
            continue;
        changed |= !end->confirmed;
        end->confirmed = true;
    }
    return changed;
}

void
suspect_retract(suspect_t *suspect, uint64_t incarnation)
{
    for (size_t i = suspect->end_count; i-- > 0;) {
        if (suspect->ends[i].incarnation == incarnation && !suspect->ends[i].confirmed)
            suspect->ends[i] = suspect->ends[--suspect->end_count];
    }
}

void
suspect_clear(suspect_t *suspect, cleared_t why, uint64_t at_ms)
{
    size_t kept = 0;
    suspect->cleared = why;
    suspect->cleared_ms = at_ms;
    for (size_t i = 0; i < suspect->end_count; i++) {
        if (suspect->ends[i].at_ms > at_ms)
            suspect->ends[kept++] = suspect->ends[i];
    }
    suspect->end_count = kept;
    suspect->logged_ends = 0;
    suspect->trial_until_ms = 0;
    suspect->good_version = 0;
}

/* Removes the ends of the good version that precede its completed run. */
static void
drop_good_version_ends(suspect_t *suspect)
{
    size_t kept = 0;
    for (size_t i = 0; i < suspect->end_count; i++) {
        const suspect_end_t *end = &suspect->ends[i];
        if (end->version != suspect->good_version || end->at_ms > suspect->good_ms)
            suspect->ends[kept++] = *end;
    }
    suspect->end_count = kept;
}

bool
suspect_add_finished_run(suspect_t *suspect, uint64_t version, uint64_t at_ms)
{
    bool others = false;
    for (size_t i = 0; i < suspect->end_count; i++)
        others |= suspect->ends[i].version != version && suspect->ends[i].version != 0;
    if (version == 0 || !others) {
        suspect_clear(suspect, CLEARED_FINISHED, at_ms);
        return true;
    }
    suspect->good_version = version;
    suspect->good_ms = at_ms;
    suspect->trial_until_ms = 0;
    drop_good_version_ends(suspect);
    return false;
}

void
suspect_merge(suspect_t *suspect, const suspect_t *theirs)
{
    suspect->is_family = theirs->is_family;
    suspect_set_text(suspect, str_from(theirs->text));
    if (theirs->cleared_ms > suspect->cleared_ms)
        suspect_clear(suspect, theirs->cleared, theirs->cleared_ms);
    if (theirs->good_version != 0 && theirs->good_ms > suspect->good_ms) {
        suspect->good_version = theirs->good_version;
        suspect->good_ms = theirs->good_ms;
        suspect->trial_until_ms = 0;
        drop_good_version_ends(suspect);
    }
    for (size_t i = 0; i < theirs->end_count; i++) {
        suspect_end_t *known =
            find_end(suspect, theirs->ends[i].incarnation, theirs->ends[i].member);
        if (known == NULL) {
            suspect_add_end(suspect, &theirs->ends[i]);
            continue;
        }
        known->confirmed |= theirs->ends[i].confirmed;
        if (theirs->ends[i].run > known->run)
            known->run = theirs->ends[i].run;
    }
    if (suspect->end_count > 0 && theirs->trial_until_ms > suspect->trial_until_ms)
        suspect->trial_until_ms = theirs->trial_until_ms;
}
