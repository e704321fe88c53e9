/* Trace context of the traceparent header (W3C Trace Context, version 00). */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/history.h"
#include "base/rng.h"
#include "base/str.h"

enum { TRACEPARENT_SIZE = 56 };

typedef struct {
    uint64_t trace_high;
    uint64_t trace_low;
    uint64_t parent; /* parent span, 0: none */
    uint64_t span;
} trace_t;

/* Continues the trace of `header`, or starts a new one if it is not a valid traceparent. */
trace_t trace_continue(str_t header, rng_t *rng);
/* Returns a new child span of `parent`. */
trace_t trace_child(const trace_t *parent, rng_t *rng);
void trace_format(const trace_t *trace, char out[TRACEPARENT_SIZE]);
/* Writes one finished span. */
void trace_write(const history_t *spans, const trace_t *trace, const char *hop, const char *place,
                 uint64_t start_us, const char *outcome);
