#include <errno.h>
#include <stdarg.h>
#include <string.h>

#include "base/clock.h"
#include "base/history.h"

enum { LINE_BUFFER = 4096 };

bool
history_open(history_t *history, const char *path, err_t *err)
{
    history->file = NULL;
    if (path == NULL || path[0] == '\0')
        return true;
    history->file = fopen(path, "ae");
    if (history->file == NULL) {
        err_set(err, ERR_SYSTEM, "cannot open %s: %s", path, strerror(errno));
        return false;
    }
    /* Line-buffered, so that a killed process leaves complete lines. */
    setvbuf(history->file, NULL, _IOLBF, LINE_BUFFER);
    return true;
}

void
history_close(history_t *history)
{
    if (history->file != NULL)
        fclose(history->file);
    history->file = NULL;
}

void
history_flush(const history_t *history)
{
    if (history->file != NULL)
        fflush(history->file);
}

void
history_write(const history_t *history, const char *event, const char *fmt, ...)
{
    if (history->file == NULL)
        return;
    fprintf(history->file, "{\"t\":%lu,\"ev\":\"%s\"", (unsigned long)clock_wall_us(), event);
    if (fmt[0] != '\0') {
        fputc(',', history->file);
        va_list args;
        va_start(args, fmt);
        vfprintf(history->file, fmt, args);
        va_end(args);
    }
    fputs("}\n", history->file);
}
