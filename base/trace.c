#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/trace.h"

trace_t
trace_continue(str_t header, rng_t *rng)
{
    trace_t trace = {.span = rng_next(rng)};
    char buf[TRACEPARENT_SIZE];
    unsigned version;
    unsigned flags;
    int used = 0;
    if (header.len == TRACEPARENT_SIZE - 1) {
        memcpy(buf, header.ptr, header.len);
        buf[header.len] = '\0';
        if (sscanf(buf, "%2x-%16" SCNx64 "%16" SCNx64 "-%16" SCNx64 "-%2x%n", &version,
                   &trace.trace_high, &trace.trace_low, &trace.parent, &flags, &used) == 5 &&
            used == TRACEPARENT_SIZE - 1)
            return trace;
    }
    trace.trace_high = rng_next(rng);
    trace.trace_low = rng_next(rng);
    trace.parent = 0;
    return trace;
}

trace_t
trace_child(const trace_t *parent, rng_t *rng)
{
    trace_t child = *parent;
    child.parent = parent->span;
    child.span = rng_next(rng);
    return child;
}

void
trace_format(const trace_t *trace, char out[TRACEPARENT_SIZE])
{
    snprintf(out, TRACEPARENT_SIZE, "00-%016" PRIx64 "%016" PRIx64 "-%016" PRIx64 "-01",
             trace->trace_high, trace->trace_low, trace->span);
}

void
trace_write(const history_t *spans, const trace_t *trace, const char *hop, const char *place,
            uint64_t start_us, const char *outcome)
{
    history_write(spans, "span",
                  "\"trace\":\"%016" PRIx64 "%016" PRIx64 "\",\"parent\":\"%016" PRIx64
                  "\",\"span\":\"%016" PRIx64
                  "\",\"hop\":\"%s\",\"place\":\"%s\",\"start\":%" PRIu64 ",\"outcome\":\"%s\"",
                  trace->trace_high, trace->trace_low, trace->parent, trace->span, hop, place,
                  start_us, outcome);
}
