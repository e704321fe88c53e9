#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#include <log4c.h>

#define LOG_MODULE "log"
#include "base/clock.h"
#include "base/log.h"
#include "base/log_ring.h"
#include "base/xmalloc.h"

enum { RING_SIZE = 32768, TEXT_MAX_LEN = 2048, LINE_MAX_LEN = 2200 };

/* Rate limit of each module on standard output. */
#define LINES_PER_S 60
#define LINES_BURST 300

static log4c_category_t *category;
static FILE *out;
static log_ring_t *ring;
static char *out_path;

static const int priorities[] = {
    [LOG_LEVEL_ERR] = LOG4C_PRIORITY_ERROR,
    [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
    [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
    [LOG_LEVEL_DBG] = LOG4C_PRIORITY_DEBUG,
};

static void
format_time(const log4c_logging_event_t *event, char *when, size_t size)
{
    struct tm tm;
    const time_t sec = event->evt_timestamp.tv_sec;
    char text[24];
    gmtime_r(&sec, &tm);
    strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
    const unsigned ms = (unsigned)(event->evt_timestamp.tv_usec / 1000) % 1000;
    snprintf(when, size, "%s.%03uZ", text, ms);
}

/* Formats "text: a=1 b=2" as event="text" a=1 b=2. */
static void
append_to_ring(const log4c_logging_event_t *event, const char *when, const char *priority)
{
    char line[LINE_MAX_LEN];
    const char *module = event->evt_msg;
    const char *text = strchr(module, '\t');
    if (text == NULL)
        return;
    const int module_len = (int)(text - module);
    text++;
    const char *rest = strstr(text, ": ");
    const int event_len = rest != NULL ? (int)(rest - text) : (int)strlen(text);
    char name[32];
    snprintf(name, sizeof(name), "%.*s", module_len, module);
    snprintf(line, sizeof(line), "v=1 ts=%s level=%s module=%s event=\"%.*s\"%s%s", when, priority,
             name, event_len, text, rest != NULL ? " " : "", rest != NULL ? rest + 2 : "");
    log_ring_add(ring, name, line, clock_steady_ms(clock_system()));
    if (event->evt_priority <= LOG4C_PRIORITY_WARN)
        log_ring_flush(ring);
}

static int
append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    char when[48];
    format_time(event, when, sizeof(when));
    const char *priority = log4c_priority_to_string(event->evt_priority);
    if (ring != NULL) {
        append_to_ring(event, when, priority);
        return 0;
    }
    if (out == NULL)
        return -1;
    const char *text = strchr(event->evt_msg, '\t');
    if (text == NULL)
        return -1;
    fprintf(out, "ts=%s level=%s module=%.*s msg=\"%s\"\n", when, priority,
            (int)(text - event->evt_msg), event->evt_msg, text + 1);
    fflush(out);
    return 0;
}

static const log4c_appender_type_t appender_type = {.name = "irisstall", .append = append};

static bool
init_log4c(log_level_t level, err_t *err)
{
    if (log4c_init() != 0) {
        err_set(err, ERR_SYSTEM, "log4c_init failed");
        return false;
    }
    log4c_appender_type_set(&appender_type);
    log4c_appender_t *appender = log4c_appender_get("irisstall");
    log4c_appender_set_type(appender, &appender_type);
    category = log4c_category_get("irisstall");
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, priorities[level]);
    return true;
}

bool
log_open_stdout(log_level_t level, err_t *err)
{
    const log_ring_conf_t conf = {
        .fd = STDOUT_FILENO,
        .size = RING_SIZE,
        .lines_per_s = LINES_PER_S,
        .burst = LINES_BURST,
    };
    ring = log_ring_new(&conf);
    return init_log4c(level, err);
}

void
log_flush(void)
{
    if (ring != NULL)
        log_ring_flush(ring);
}

uint64_t
log_dropped(void)
{
    return ring != NULL ? log_ring_dropped(ring) : 0;
}

bool
log_open(const char *path, log_level_t level, err_t *err)
{
    if (path != NULL && path[0] != '\0') {
        out = fopen(path, "ae");
        if (out == NULL) {
            err_set(err, ERR_SYSTEM, "cannot open log %s: %s", path, strerror(errno));
            return false;
        }
        out_path = xmemdup0(path, strlen(path));
    } else {
        out = stderr;
    }
    return init_log4c(level, err);
}

void
log_reopen(void)
{
    if (out_path == NULL)
        return;
    FILE *fresh = fopen(out_path, "ae");
    if (fresh == NULL) {
        LOG_ERR("failed to reopen log: path=%s err=%s", out_path, strerror(errno));
        return;
    }
    fclose(out);
    out = fresh;
    LOG_INFO("log reopened: path=%s", out_path);
}

void
log_close(void)
{
    if (category != NULL)
        log4c_fini();
    category = NULL;
    log_flush();
    log_ring_free(ring);
    ring = NULL;
    if (out != NULL && out != stderr)
        fclose(out);
    out = NULL;
    free(out_path);
    out_path = NULL;
}

bool
log_level_parse(const char *text, log_level_t *level)
{
    static const char *const names[] = {"error", "warn", "info", "debug"};
    for (size_t i = 0; i < ALEN(names); i++) {
        if (strcasecmp(text, names[i]) == 0) {
            *level = (log_level_t)i;
            return true;
        }
    }
    return false;
}

static void
replace_control_characters(char *text)
{
    for (; *text != '\0'; text++) {
        if ((unsigned char)*text < ' ' || *text == 0x7f)
            *text = '?';
    }
}

void
log_write(log_level_t level, const char *module, const char *fmt, ...)
{
    if (category == NULL || !log4c_category_is_priority_enabled(category, priorities[level]))
        return;
    char text[TEXT_MAX_LEN];
    va_list args;
    va_start(args, fmt);
    vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    replace_control_characters(text);
    log4c_category_log(category, priorities[level], "%s\t%s", module, text);
}
