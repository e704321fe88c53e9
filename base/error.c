#include <stdarg.h>
#include <stdio.h>

#include "base/error.h"
#include "base/xmalloc.h"

static const char *const names[ERR_CODE_COUNT] = {
    [ERR_NONE] = "none",
    [ERR_PARSE] = "parse",
    [ERR_INVALID] = "invalid",
    [ERR_NOT_FOUND] = "not_found",
    [ERR_CONFLICT] = "conflict",
    [ERR_RATE_LIMITED] = "rate_limited",
    [ERR_UNAVAILABLE] = "unavailable",
    [ERR_ANSWER_LOST] = "answer_lost",
    [ERR_TIMEOUT] = "timeout",
    [ERR_TOO_LARGE] = "too_large",
    [ERR_PROTOCOL] = "protocol",
    [ERR_SYSTEM] = "system",
};

void
err_set(err_t *err, err_code_t code, const char *fmt, ...)
{
    err->code = code;
    va_list args;
    va_start(args, fmt);
    vsnprintf(err->detail, sizeof(err->detail), fmt, args);
    va_end(args);
}

const char *
err_name(err_code_t code)
{
    xassert(code < ERR_CODE_COUNT);
    return names[code];
}
