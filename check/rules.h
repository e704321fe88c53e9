/*
 * Rules that check the system's guarantees on a recorded run. Each counts the events it examined
 * and the violations among them; a rule that examined nothing is inconclusive.
 */
#pragma once

#include "check/events.h"

typedef struct {
    const char *guarantee;
    size_t examined;
    size_t violations;
    char first_violation[256]; /* description of the first violation */
    char note[160];            /* summary figure, e.g. the peak value */
} verdict_t;

typedef void (*rule_t)(const events_t *events, verdict_t *verdict);

/* Limits for adopting a configuration change, for new requests to a leaving server, and the window
 * of a shift cap. */
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

/* Counts a violation and formats the first one. */
void verdict_add_violation(verdict_t *verdict, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Maps texts to consecutive indexes in order of insertion. */
typedef struct {
    json_t *map;
    size_t count;
} index_t;

/* Returns the text's index; adds the text if it is missing. */
size_t index_intern(index_t *index, const char *text);
/* Returns SIZE_MAX if the text is missing. */
size_t index_find(const index_t *index, const char *text);
void index_free(index_t *index);
