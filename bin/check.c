/* irisstall-check: checks the system's guarantees on the histories of a run. */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "check/rules.h"

static const rule_t rules[] = {
    rule_shift_cap, rule_region_limit, rule_row_limit,      rule_row_rate,     rule_whole_answers,
    rule_not_run,   rule_at_most_once, rule_leaving,        rule_planned_stop, rule_no_revert,
    rule_in_force,  rule_edits,        rule_extra_requests,
};

static void
print_verdict(const verdict_t *verdict)
{
    const char *status_text = verdict->violations > 0 ? "BROKEN"
                              : verdict->examined > 0 ? "held"
                                                      : "-";
    printf("%-7s %9zu %7zu  %s", status_text, verdict->examined, verdict->violations,
           verdict->guarantee);
    if (verdict->note[0] != '\0')
        printf(" (%s)", verdict->note);
    putchar('\n');
    if (verdict->violations > 0)
        printf("        first: %s\n", verdict->first_violation);
    if (verdict->examined == 0)
        printf("        nothing examined: this run proves nothing about it\n");
}

int
main(int argc, char *argv[])
{
    static const struct option options[] = {{"help", no_argument, NULL, 'h'}, {NULL, 0, NULL, 0}};
    if (argc < 2 || getopt_long(argc, argv, "h", options, NULL) != -1) {
        puts("Usage: irisstall-check HISTORY...\n"
             "Exit status: 0 every promise examined was kept; 1 one was broken; 2 usage.");
        return 2;
    }
    events_t events = {0};
    err_t err = {0};
    for (int i = optind; i < argc; i++) {
        if (!events_read(&events, argv[i], &err)) {
            fprintf(stderr, "irisstall-check: %s\n", err.detail);
            return 2;
        }
    }
    events_sort(&events);
    printf("%zu events, %zu lines not read\n%-7s %9s %7s  promise\n", events.count,
           events.bad_lines, "", "examined", "broken");
    int status = EXIT_SUCCESS;
    for (size_t i = 0; i < ALEN(rules); i++) {
        verdict_t verdict = {.guarantee = ""};
        rules[i](&events, &verdict);
        print_verdict(&verdict);
        if (verdict.violations > 0)
            status = EXIT_FAILURE;
    }
    events_free(&events);
    return status;
}
