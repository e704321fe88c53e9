/*
 * The promises, checked on a recorded run. Each rule counts the events it examined and the ones
 * that break it; a rule that examined nothing proves nothing and says so.
 */
#pragma once

#include "check/events.h"

typedef struct {
    const char *guarantee;
    size_t examined;
    size_t violations;
    char first_violation[256]; /* the first offending event, in words */
    char note[160];            /* a figure worth knowing, e.g. the greatest value seen */
} verdict_t;

typedef void (*rule_t)(const events_t *events, verdict_t *verdict);

/* The slowest allowed time from acceptance to force everywhere. */
enum { FORCE_LIMIT_S = 17, LEAVING_LIMIT_S = 5, CAP_WINDOW_S = 60 };

void rule_shift_cap(const events_t *events, verdict_t *verdict);
void rule_region_limit(const events_t *events, verdict_t *verdict);
void rule_row_limit(const events_t *events, verdict_t *verdict);
void rule_row_rate(const events_t *events, verdict_t *verdict);
void rule_whole_answers(const events_t *events, verdict_t *verdict);
void rule_not_run(const events_t *events, verdict_t *verdict);
void rule_at_most_once(const events_t *events, verdict_t *verdict);
void rule_leaving(const events_t *events, verdict_t *verdict);
void rule_planned_stop(const events_t *events, verdict_t *verdict);
void rule_no_revert(const events_t *events, verdict_t *verdict);
void rule_in_force(const events_t *events, verdict_t *verdict);
void rule_edits(const events_t *events, verdict_t *verdict);
void rule_extra_requests(const events_t *events, verdict_t *verdict);

/* Helpers shared by the rules. */
void verdict_add_violation(verdict_t *verdict, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* A map from text to an index, 0, 1, 2, ... in order of first use. */
typedef struct {
    json_t *map;
    size_t count;
} index_t;

size_t index_intern(index_t *index, const char *text);
/* SIZE_MAX if the text was never added. */
size_t index_find(const index_t *index, const char *text);
void index_free(index_t *index);
