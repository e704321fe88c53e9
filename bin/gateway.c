/* irisstall-gateway: an entry instance on the users' platform. */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>

#include <uv.h>

#define LOG_MODULE "main"
#include "base/log.h"
#include "gateway/gateway.h"
#include "platform/dialect.h"
#include "platform/objects.h"
#include "platform/store.h"

enum { EXIT_SETTINGS = 2, SETTINGS_CHECK_MS = 2000 };

static const char *const settings_variable = "IRISSTALL_SETTINGS";

typedef struct {
    uv_loop_t *loop;
    const char *path;
    struct timespec changed;
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
        LOG_ERR("settings not taken over: err=%s detail=%s", err_name(err.code), err.detail);
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

/* The file may change without a signal. */
static void
on_check_file(uv_timer_t *timer)
{
    process_t *process = timer->data;
    struct stat info;
    if (stat(process->path, &info) != 0)
        return;
    if (info.st_mtim.tv_sec == process->changed.tv_sec &&
        info.st_mtim.tv_nsec == process->changed.tv_nsec)
        return;
    const bool first = process->changed.tv_sec == 0;
    process->changed = info.st_mtim;
    if (!first)
        reload(process);
}

static void
watch_signal(process_t *process, uv_signal_t *handle, uv_signal_cb cb, int number)
{
    uv_signal_init(process->loop, handle);
    handle->data = process;
    uv_signal_start(handle, cb, number);
}

static int
run(const char *path, const gateway_settings_t *settings)
{
    static uv_signal_t on_term, on_int, on_hup;
    static uv_timer_t check_file;
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
    watch_signal(&process, &on_term, on_stop_signal, SIGTERM);
    watch_signal(&process, &on_int, on_stop_signal, SIGINT);
    watch_signal(&process, &on_hup, on_hangup, SIGHUP);
    uv_timer_init(process.loop, &check_file);
    check_file.data = &process;
    uv_timer_start(&check_file, on_check_file, 0, SETTINGS_CHECK_MS);
    uv_run(process.loop, UV_RUN_DEFAULT);
    return EXIT_SUCCESS;
}

int
main(int argc, char **argv)
{
    static const struct option options[] = {
        {"config", required_argument, NULL, 'c'}, {"log", required_argument, NULL, 'l'},
        {"test", no_argument, NULL, 't'},         {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'V'},      {NULL, 0, NULL, 0},
    };
    static gateway_settings_t settings;
    const char *path = getenv(settings_variable);
    log_level_t level = LOG_LEVEL_INFO;
    bool only_test = false;
    int option;
    while ((option = getopt_long(argc, argv, "c:l:thV", options, NULL)) != -1) {
        switch (option) {
        case 'c':
            path = optarg;
            break;
        case 'l':
            if (!log_level_parse(optarg, &level)) {
                fprintf(stderr, "irisstall-gateway: --log: unknown level '%s'\n", optarg);
                return EXIT_SETTINGS;
            }
            break;
        case 't':
            only_test = true;
            break;
        case 'h':
            usage(stdout);
            return EXIT_SUCCESS;
        case 'V':
            puts(IRISSTALL_VERSION);
            return EXIT_SUCCESS;
        default:
            usage(stderr);
            return EXIT_SETTINGS;
        }
    }
    err_t err = {0};
    if (path == NULL) {
        fputs("irisstall-gateway: no settings: give --config or set IRISSTALL_SETTINGS\n", stderr);
        return EXIT_SETTINGS;
    }
    if (!gateway_settings_load(path, &settings, &err)) {
        fprintf(stderr, "irisstall-gateway: %s: %s\n", err_name(err.code), err.detail);
        return EXIT_SETTINGS;
    }
    if (only_test)
        return EXIT_SUCCESS;
    if (!log_open_stdout(level, &err)) {
        fprintf(stderr, "irisstall-gateway: %s: %s\n", err_name(err.code), err.detail);
        return EXIT_FAILURE;
    }
    const int status = run(path, &settings);
    log_close();
    return status;
}
