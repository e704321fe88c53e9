/*
 * irisstall-load: open-loop load generator with request classes.
 *
 * Latency is measured from the intended send time to avoid coordinated omission. Requests and their
 * outcomes are recorded in a history for irisstall-check.
 */
#include <getopt.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "load/request.h"

enum {
    TICK_MS = 1,
    PROGRESS_MS = 1000,
    DRAIN_TIMEOUT_MS = 30000, /* wait for requests in flight after the end of the run */
    US_PER_S = 1000000,
};

static struct {
    load_t run;
    double next_due_us[LOAD_CLASSES_MAX];
    bool quiet;
} state;

/* Draws the time to the next arrival of a Poisson process. */
static double
next_interval_us(double rate)
{
    return -log(1 - rng_unit(&state.run.rng)) / rate * US_PER_S;
}

static void
on_tick(uv_timer_t *timer)
{
    const uint64_t now = clock_wall_us();
    for (size_t i = 0; i < state.run.config.class_count; i++) {
        const double rate = state.run.config.classes[i].rate;
        while (rate > 0 && state.next_due_us[i] <= (double)now &&
               state.next_due_us[i] < (double)state.run.end_us) {
            request_start(&state.run, i, (uint64_t)state.next_due_us[i]);
            state.next_due_us[i] += next_interval_us(rate);
        }
    }
    const bool done = now >= state.run.end_us && state.run.in_flight == 0;
    if (done || now > state.run.end_us + (uint64_t)DRAIN_TIMEOUT_MS * 1000) {
        uv_timer_stop(timer);
        uv_stop(state.run.loop);
    }
}

static void
on_progress(uv_timer_t *timer)
{
    (void)timer;
    history_flush(&state.run.history);
    if (state.quiet)
        return;
    uint64_t whole = 0;
    uint64_t other = 0;
    for (size_t i = 0; i < state.run.config.class_count; i++) {
        const uint64_t *results = state.run.report.classes[i].results;
        for (size_t r = 0; r < RESULT_COUNT; r++)
            *(r == RESULT_WHOLE ? &whole : &other) += results[r];
    }
    fprintf(stderr, "load: %3.0f s  whole %lu  other %lu  under way %zu  look-ups %lu\n",
            (double)(clock_wall_us() - state.run.start_us) / US_PER_S, (unsigned long)whole,
            (unsigned long)other, state.run.in_flight,
            (unsigned long)steering_lookups(state.run.steering));
}

static void
print_help(void)
{
    puts("Usage: irisstall-load -c FILE --seconds=N [--rate=FACTOR] [--seed=N] [--history=FILE]\n"
         "                      [--tsv=FILE --experiment=NAME --variant=NAME] [--quiet]\n"
         "Open-loop load per request class; prints a report per class.");
}

typedef struct {
    const char *config;
    const char *history;
    const char *tsv;
    const char *experiment;
    const char *variant;
    double seconds;
    double factor;
    uint64_t seed;
} options_t;

static bool
parse_options(int argc, char **argv, options_t *out)
{
    static const struct option options[] = {{"config", required_argument, NULL, 'c'},
                                            {"seconds", required_argument, NULL, 's'},
                                            {"rate", required_argument, NULL, 'r'},
                                            {"seed", required_argument, NULL, 'e'},
                                            {"history", required_argument, NULL, 'y'},
                                            {"tsv", required_argument, NULL, 't'},
                                            {"experiment", required_argument, NULL, 'x'},
                                            {"variant", required_argument, NULL, 'v'},
                                            {"quiet", no_argument, NULL, 'q'},
                                            {"help", no_argument, NULL, 'h'},
                                            {NULL, 0, NULL, 0}};
    int opt;
    while ((opt = getopt_long(argc, argv, "c:h", options, NULL)) != -1) {
        switch (opt) {
        case 'c':
            out->config = optarg;
            break;
        case 's':
            out->seconds = strtod(optarg, NULL);
            break;
        case 'r':
            out->factor = strtod(optarg, NULL);
            break;
        case 'e':
            out->seed = strtoull(optarg, NULL, 10);
            break;
        case 'y':
            out->history = optarg;
            break;
        case 't':
            out->tsv = optarg;
            break;
        case 'x':
            out->experiment = optarg;
            break;
        case 'v':
            out->variant = optarg;
            break;
        case 'q':
            state.quiet = true;
            break;
        default:
            return false;
        }
    }
    return out->config != NULL && out->seconds > 0;
}

static void
init_run(const options_t *options)
{
    state.run.loop = uv_default_loop();
    state.run.rng = (rng_t){.state = options->seed};
    rng_t ids = rng_system();
    state.run.run_id = rng_next(&ids);
    state.run.steering = steering_new(state.run.loop, http_client_new(state.run.loop),
                                      &state.run.config, &state.run.rng);
    report_init(&state.run.report, &state.run.config);
    state.run.report.seconds = options->seconds;
    state.run.start_us = clock_wall_us();
    state.run.end_us = state.run.start_us + (uint64_t)(options->seconds * US_PER_S);
    for (size_t i = 0; i < state.run.config.class_count; i++) {
        load_class_t *class_ = &state.run.config.classes[i];
        class_->rate *= options->factor;
        if (class_->rate > 0)
            state.next_due_us[i] = (double)state.run.start_us + next_interval_us(class_->rate);
    }
}

static void
run(void)
{
    static uv_timer_t tick;
    static uv_timer_t progress;
    uv_timer_init(state.run.loop, &tick);
    uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
    uv_timer_init(state.run.loop, &progress);
    uv_timer_start(&progress, on_progress, PROGRESS_MS, PROGRESS_MS);
    uv_run(state.run.loop, UV_RUN_DEFAULT);
}

int
main(int argc, char *argv[])
{
    options_t options = {
        .history = "", .factor = 1, .seed = 1, .experiment = "load", .variant = "irisstall"};
    err_t err = {0};
    if (!parse_options(argc, argv, &options)) {
        print_help();
        return 2;
    }
    if (!load_config_read(options.config, &state.run.config, &err) ||
        !history_open(&state.run.history, options.history, &err)) {
        fprintf(stderr, "irisstall-load: %s\n", err.detail);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    init_run(&options);
    run();
    history_close(&state.run.history);
    report_print(&state.run.report);
    if (options.tsv != NULL && !report_append_tsv(&state.run.report, options.tsv,
                                                  options.experiment, options.variant, &err)) {
        fprintf(stderr, "irisstall-load: %s\n", err.detail);
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
