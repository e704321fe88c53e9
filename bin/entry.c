/* irisstall-entry: answers lookups and forwards requests to backend servers. */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <uv.h>

#define LOG_MODULE "main"
#include "base/log.h"
#include "base/mutate.h"
#include "base/signals.h"
#include "entry/node.h"

enum { EXIT_BAD_SETTINGS = 2 };

static node_t node;

static void
on_term(uv_signal_t *handle, int signum)
{
    (void)handle;
    (void)signum;
    node_leave(&node);
}

static void
on_hup(uv_signal_t *handle, int signum)
{
    (void)handle;
    (void)signum;
    log_reopen();
}

static void
print_help(void)
{
    puts("Usage: irisstall-entry -c FILE [--check]\n"
         "\n"
         "  -c, --config=FILE  settings (YAML), see irisstall-entry(1)\n"
         "      --check        check the settings and exit: 0 good, 2 not\n"
         "  -h, --help         this text\n"
         "  -V, --version      the version\n"
         "\n"
         "SIGTERM is a planned stop: what is in flight ends first. SIGHUP reopens the log.");
}

static int
run(const settings_t *settings)
{
    err_t err = {0};
    uv_loop_t *loop = uv_default_loop();
    signal(SIGPIPE, SIG_IGN);
    mutate_from_environment();
    if (!log_open(settings->log_file, settings->log_level, &err) ||
        !node_start(&node, loop, settings, &err)) {
        fprintf(stderr, "irisstall-entry: %s\n", err.detail);
        return EXIT_FAILURE;
    }
    uv_signal_t term;
    uv_signal_t hup;
    signal_watch(loop, &term, SIGTERM, on_term, NULL);
    signal_watch(loop, &hup, SIGHUP, on_hup, NULL);
    uv_run(loop, UV_RUN_DEFAULT);
    history_close(&node.history);
    history_close(&node.spans);
    log_close();
    return EXIT_SUCCESS;
}

typedef struct {
    const char *config;
    bool check_only;
} options_t;

/* Returns false if the program is to exit with `*status`. */
static bool
parse_options(int argc, char **argv, options_t *out, int *status)
{
    static const struct option options[] = {{"config", required_argument, NULL, 'c'},
                                            {"check", no_argument, NULL, 'k'},
                                            {"help", no_argument, NULL, 'h'},
                                            {"version", no_argument, NULL, 'V'},
                                            {NULL, 0, NULL, 0}};
    int opt;
    while ((opt = getopt_long(argc, argv, "c:hV", options, NULL)) != -1) {
        switch (opt) {
        case 'c':
            out->config = optarg;
            break;
        case 'k':
            out->check_only = true;
            break;
        case 'h':
            print_help();
            *status = EXIT_SUCCESS;
            return false;
        case 'V':
            puts("irisstall-entry " IRISSTALL_VERSION);
            *status = EXIT_SUCCESS;
            return false;
        default:
            *status = EXIT_BAD_SETTINGS;
            return false;
        }
    }
    if (out->config != NULL)
        return true;
    print_help();
    *status = EXIT_BAD_SETTINGS;
    return false;
}

int
main(int argc, char *argv[])
{
    options_t options = {0};
    settings_t settings;
    err_t err = {0};
    int status;
    if (!parse_options(argc, argv, &options, &status))
        return status;
    if (!settings_load(options.config, &settings, &err)) {
        fprintf(stderr, "irisstall-entry: %s\n", err.detail);
        return EXIT_BAD_SETTINGS;
    }
    if (options.check_only) {
        printf("%s: good\n", options.config);
        return EXIT_SUCCESS;
    }
    return run(&settings);
}
