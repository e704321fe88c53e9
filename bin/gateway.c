/*
 * irisstall-gateway: parses the command line and settings, connects the gateway to the platform
 * adapter, and maps signals and changes of the settings file to calls of gateway.h.
 */
#include <errno.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <uv.h>

#define LOG_MODULE "main"
#include "base/log.h"
#include "base/signals.h"
#include "gateway/gateway.h"
#include "platform/dialect.h"
#include "platform/objects.h"
#include "platform/store.h"

enum {
    EXIT_SETTINGS = 2,
    SETTINGS_POLL_MS = 2000,
};

static const char *const settings_variable = "IRISSTALL_SETTINGS";

typedef struct {
    uv_loop_t *loop;
    const char *path;
    struct timespec settings_mtime; /* as of the last check; 0 before the first */
    bool unreadable;                /* the last stat() of the settings file failed */
    gateway_t *gateway;
} process_t;

static void
usage(FILE *out)
{
    fputs("usage: irisstall-gateway [-c FILE] [-l LEVEL] [-t]\n"
          "  -c, --config FILE   settings (default: $IRISSTALL_SETTINGS)\n"
          "  -l, --log LEVEL     error, warn, info or debug (default: info)\n"
          "  -t, --test          check the settings and exit\n"
          "  -h, --help          this text\n"
          "  -V, --version       version\n",
          out);
}

static void
on_stop_signal(uv_signal_t *handle, int number)
{
    (void)number;
    process_t *process = handle->data;
    gateway_stop(process->gateway);
}

static void
reload(process_t *process)
{
    static gateway_settings_t settings;
    err_t err = {0};
    if (!gateway_settings_load(process->path, &settings, &err)) {
        LOG_ERR("settings rejected: err=%s detail=%s", err_name(err.code), err.detail);
        return;
    }
    gateway_reload(process->gateway, &settings);
    LOG_INFO("settings reloaded: path=%s", process->path);
}

static void
on_hangup(uv_signal_t *handle, int number)
{
    (void)number;
    reload(handle->data);
}

/* Reloads the settings file when its modification time changes. */
static void
on_settings_timer(uv_timer_t *timer)
{
    process_t *process = timer->data;
    struct stat info;
    const bool unreadable = stat(process->path, &info) != 0;
    if (unreadable && !process->unreadable)
        LOG_WARN("settings file not readable: path=%s err=%s", process->path, strerror(errno));
    process->unreadable = unreadable;
    if (unreadable)
        return;
    if (info.st_mtim.tv_sec == process->settings_mtime.tv_sec &&
        info.st_mtim.tv_nsec == process->settings_mtime.tv_nsec)
        return;
    const bool first = process->settings_mtime.tv_sec == 0;
    process->settings_mtime = info.st_mtim;
    if (!first)
        reload(process);
}

static int
run(const char *path, const gateway_settings_t *settings)
{
    static uv_signal_t on_term, on_int, on_hup;
    static uv_timer_t settings_timer;
    process_t process = {.loop = uv_default_loop(), .path = path};
    err_t err = {0};
    signal(SIGPIPE, SIG_IGN);
    const store_port_t store =
        platform_store_port(platform_store_new(process.loop, &settings->store));
    const gateway_ports_t ports = {
        .store = &store,
        .decoder = &platform_decoder,
        .dialect = &platform_dialect,
        .directory = &platform_directory,
    };
    process.gateway = gateway_start(process.loop, settings, &ports, &err);
    if (process.gateway == NULL) {
        LOG_ERR("cannot start: err=%s detail=%s", err_name(err.code), err.detail);
        return EXIT_FAILURE;
    }
    LOG_INFO("started: version=%s name=%s hall=%s seeds=%zu settings=%016llx", IRISSTALL_VERSION,
             settings->name.ptr, settings->hall.ptr, settings->seed_count,
             (unsigned long long)str_hash((str_t){(const char *)settings, sizeof(*settings)}, 0));
    signal_watch(process.loop, &on_term, SIGTERM, on_stop_signal, &process);
    signal_watch(process.loop, &on_int, SIGINT, on_stop_signal, &process);
    signal_watch(process.loop, &on_hup, SIGHUP, on_hangup, &process);
    uv_timer_init(process.loop, &settings_timer);
    settings_timer.data = &process;
    uv_timer_start(&settings_timer, on_settings_timer, 0, SETTINGS_POLL_MS);
    uv_run(process.loop, UV_RUN_DEFAULT);
    return EXIT_SUCCESS;
}

typedef struct {
    const char *path;
    log_level_t level;
    bool check_only;
} options_t;

/* Returns false if the program is to exit with `*status`. */
static bool
parse_options(int argc, char **argv, options_t *out, int *status)
{
    static const struct option options[] = {
        {"config", required_argument, NULL, 'c'}, {"log", required_argument, NULL, 'l'},
        {"test", no_argument, NULL, 't'},         {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'V'},      {NULL, 0, NULL, 0},
    };
    int option;
    while ((option = getopt_long(argc, argv, "c:l:thV", options, NULL)) != -1) {
        switch (option) {
        case 'c':
            out->path = optarg;
            break;
        case 'l':
            if (!log_level_parse(optarg, &out->level)) {
                fprintf(stderr, "irisstall-gateway: --log: unknown level '%s'\n", optarg);
                *status = EXIT_SETTINGS;
                return false;
            }
            break;
        case 't':
            out->check_only = true;
            break;
        case 'h':
            usage(stdout);
            *status = EXIT_SUCCESS;
            return false;
        case 'V':
            puts(IRISSTALL_VERSION);
            *status = EXIT_SUCCESS;
            return false;
        default:
            usage(stderr);
            *status = EXIT_SETTINGS;
            return false;
        }
    }
    return true;
}

static int
fail(const err_t *err, int status)
{
    fprintf(stderr, "irisstall-gateway: %s: %s\n", err_name(err->code), err->detail);
    return status;
}

int
main(int argc, char **argv)
{
    static gateway_settings_t settings; /* too large for the stack */
    options_t options = {.path = getenv(settings_variable), .level = LOG_LEVEL_INFO};
    err_t err = {0};
    int status;
    if (!parse_options(argc, argv, &options, &status))
        return status;
    if (options.path == NULL) {
        fputs("irisstall-gateway: no settings: give --config or set IRISSTALL_SETTINGS\n", stderr);
        return EXIT_SETTINGS;
    }
    if (!gateway_settings_load(options.path, &settings, &err))
        return fail(&err, EXIT_SETTINGS);
    if (options.check_only)
        return EXIT_SUCCESS;
    if (!log_open_stdout(options.level, &err))
        return fail(&err, EXIT_FAILURE);
    status = run(options.path, &settings);
    log_close();
    return status;
}
