/*
 * Logging and metrics of suspects: one line per verdict, trial and clearing, with the evidence, its
 * age and the outcome. Internal to suspects.h.
 *
 * Owns the metrics irisstall_quarantine_*. Depends on suspect.h.
 */
#pragma once

#include "gateway/state/suspect.h"

/* The request is quarantined after that many ends. */
void suspect_log_held(const suspect_t *suspect, unsigned ends, uint64_t now_ms);
void suspect_log_tried(const suspect_t *suspect, uint64_t now_ms);
/* A run completed on a software version while other versions terminated. */
void suspect_log_version(const suspect_t *suspect, uint64_t version, unsigned ends,
                         uint64_t since_end_ms);
/* The request is cleared; `ends` and `since_end_ms` describe the state before. Logs nothing if it
 * was not quarantined. */
void suspect_log_cleared(const suspect_t *suspect, unsigned ends, uint64_t since_end_ms);
/* Counts one trial, whether it is of the request, its family or both. */
void suspect_count_trial(void);
/* Counts an end that does not count against the request, as part of a loss. */
void suspect_count_lost_end(void);
