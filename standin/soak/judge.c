#include <inttypes.h>
#include <stdarg.h>

#include "standin/soak/judge.h"

typedef struct {
    const char *name;
    bool is_main; /* a soak that examined none of these has failed */
} rule_info_t;

static const rule_info_t infos[RULE_COUNT] = {
    [RULE_LOST] = {"lost", true},        [RULE_CROSSED] = {"crossed", false},
    [RULE_PAUSED] = {"paused", false},   [RULE_REFUSED] = {"refused", false},
    [RULE_TWICE] = {"twice", true},      [RULE_MIXED] = {"mixed", true},
    [RULE_CONFIG] = {"config", true},    [RULE_BACKWARDS] = {"backwards", true},
    [RULE_LEAVING] = {"leaving", false}, [RULE_POISON] = {"poison", true},
    [RULE_KEY] = {"key", true},          [RULE_DENIED] = {"denied", true},
    [RULE_QUOTA] = {"quota", true},      [RULE_LIMIT] = {"limit", false},
    [RULE_REST] = {"rest", true},        [RULE_TOLD] = {"told", false},
    [RULE_FOREIGN] = {"foreign", true},  [RULE_STOP] = {"stop", true},
    [RULE_ENDED] = {"ended", true},      [RULE_EXPOSED] = {"exposed", false},
    [RULE_ROLLOUT] = {"rollout", false}, [RULE_PROBED] = {"probed", false},
    [RULE_GONE] = {"gone", true},        [RULE_CUT] = {"cut", false},
    [RULE_BUDGET] = {"budget", true},
};

void
judge_examine(judge_t *judge, rule_t rule)
{
    judge->rules[rule].examined++;
}

void
judge_break(judge_t *judge, rule_t rule, const char *fmt, ...)
{
    rule_tally_t *tally = &judge->rules[rule];
    if (tally->broken < CASES_KEPT) {
        char *text = tally->cases[tally->broken];
        va_list args;
        const int len = snprintf(text, CASE_TEXT_MAX, "%.3f ", (double)judge->now_ms / 1000);
        va_start(args, fmt);
        vsnprintf(text + len, CASE_TEXT_MAX - (size_t)len, fmt, args);
        va_end(args);
    }
    tally->broken++;
}

bool
judge_report(const judge_t *judge, FILE *out)
{
    bool held = true;
    for (rule_t rule = 0; rule < RULE_COUNT; rule++) {
        const rule_tally_t *tally = &judge->rules[rule];
        const bool unseen = tally->examined == 0 && infos[rule].is_main;
        held = held && tally->broken == 0 && !unseen;
        fprintf(out, "rule %-9s examined %7" PRIu64 ", broken %" PRIu64 "%s\n", infos[rule].name,
                tally->examined, tally->broken, unseen ? ": EXAMINED NONE" : "");
        for (size_t i = 0; i < CASES_KEPT && i < tally->broken; i++)
            fprintf(out, "  %s\n", tally->cases[i]);
    }
    return held;
}
