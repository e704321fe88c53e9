#include "gateway/inspect_suspects.h"

#include <inttypes.h>

enum { MS_PER_S = 1000 };

static const char *
state_of(const suspect_t *suspect, const quarantine_t *quarantine)
{
    if (suspect->end_count == 0)
        return suspect->cleared == CLEARED_LIFTED ? "lifted" : "cleared";
    switch (quarantine->verdict) {
    case QUARANTINE_HELD:
        return "held";
    case QUARANTINE_TRIAL:
        return "to be tried";
    case QUARANTINE_FREE:
        return "explained";
    }
    return "-";
}

static void
print_suspect(const suspects_t *suspects, const suspect_t *suspect, uint64_t now_ms,
              wire_text_t *out)
{
    const quarantine_t quarantine = suspect_decide(suspects, suspect, now_ms);
    wire_text_printf(out,
                     "%016" PRIx64 " %-7s %-11s %4u %7" PRIu64 " %8" PRIu64 " %8" PRIu64 "  %s\n",
                     suspect->fingerprint, suspect->is_family ? "family" : "request",
                     state_of(suspect, &quarantine), suspect_ends(suspect),
                     (now_ms - suspect_last_ms(suspect)) / MS_PER_S, quarantine.held_ms / MS_PER_S,
                     suspect->refused, suspect->text);
}

void
inspect_suspects(const suspects_t *suspects, uint64_t now_ms, wire_text_t *out)
{
    size_t others = 0;
    wire_text_printf(out, "%-16s %-7s %-11s %4s %7s %8s %8s  %s\n", "REQUEST", "KIND", "STATE",
                     "ENDS", "AGE_S", "HELD_S", "REFUSED", "CALLER, METHOD, HOST AND PATH");
    for (size_t i = 0; i < suspects->count; i++) {
        const suspect_t *suspect = suspects->items[i];
        const bool is_shown =
            suspect->end_count == 0 || !quarantine_may_resend(suspect_ends(suspect));
        if (is_shown)
            print_suspect(suspects, suspect, now_ms, out);
        others += !is_shown;
    }
    wire_text_printf(out, "with one end, or none of its own: %zu\n", others);
}
