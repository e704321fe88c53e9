/* irisctl: command line tool for operators. */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "ctl/instance_cmd.h"
#include "ctl/status_cmd.h"
#include "ctl/table_cmd.h"
#include "ctl/trace_cmd.h"

static void
print_help(void)
{
    puts("Usage: irisctl [OPTIONS] COMMAND...\n"
         "\n"
         "  table show [SERVICE]               the tables, like a spreadsheet\n"
         "  set SERVICE/PLACE COLUMN=VALUE...  change cells: weight, limit, rate, cap, state\n"
         "  export SERVICE                     the table as CSV, to edit\n"
         "  import SERVICE FILE                take over the cells changed since the export\n"
         "  drain|undrain SERVICE SERVER       mark a backend server as leaving, or not\n"
         "  put KIND NAME FILE                 write an object: table, region, topology, blocks\n"
         "  status                             every entry: versions, credits, shifts\n"
         "  explain SERVICE CLIENT             why a client's requests go where they go\n"
         "  check FILE...                      check tables and regions, offline\n"
         "  trace ID FILE...                   the story of a request, an upstream or a version\n"
         "                                     from the logs of several instances\n"
         "\n"
         "  -i, --instance=IP:PORT  a gateway's admin address: 'table show', 'status',\n"
         "                          'explain HOST PATH [OBJECT]' and 'quarantine show' ask that\n"
         "                          instance; 'quarantine lift REQUEST' lifts what is held\n"
         "                          against a request, at all instances; 'account list' and\n"
         "                          'account show ACCOUNT': limits of client accounts;\n"
         "                          'rollout list' and 'rollout show SERVICE': roll-outs\n"
         "  -p, --platform=IP:PORT  the platform's object API [$IRISSTALL_PLATFORM]\n"
         "  -j, --json              machine-readable output\n"
         "      --history=FILE      record edits and their outcomes\n"
         "  -h, --help              this text\n"
         "  -V, --version           the version\n"
         "\n"
         "Exit status: 0 done; 1 refused; 2 usage; 3 not applied, the store cannot be\n"
         "reached; 4 unknown, a change may have been made.");
}

static int
run_command(session_t *session, int argc, char **argv)
{
    const char *name = argv[0];
    if (strcmp(name, "table") == 0 && argc > 1) {
        argv++;
        argc--;
        name = argv[0];
    }
    if (strcmp(name, "show") == 0)
        return table_cmd_show(session, argc - 1, argv + 1);
    if (strcmp(name, "set") == 0)
        return table_cmd_set(session, argc - 1, argv + 1);
    if (strcmp(name, "export") == 0)
        return table_cmd_export(session, argc - 1, argv + 1);
    if (strcmp(name, "import") == 0)
        return table_cmd_import(session, argc - 1, argv + 1);
    if (strcmp(name, "drain") == 0 || strcmp(name, "undrain") == 0)
        return table_cmd_drain(session, argc - 1, argv + 1, name[0] == 'd');
    if (strcmp(name, "put") == 0)
        return table_cmd_put(session, argc - 1, argv + 1);
    if (strcmp(name, "status") == 0)
        return status_cmd_status(session);
    if (strcmp(name, "explain") == 0)
        return status_cmd_explain(session, argc - 1, argv + 1);
    fprintf(stderr, "irisctl: unknown command '%s', see irisctl --help\n", name);
    return CTL_USAGE;
}

typedef struct {
    const char *platform;
    const char *instance;
    const char *history;
    bool json;
} options_t;

/* Returns false if the program is to exit with `*status`. */
static bool
parse_options(int argc, char **argv, options_t *out, int *status)
{
    static const struct option options[] = {{"platform", required_argument, NULL, 'p'},
                                            {"json", no_argument, NULL, 'j'},
                                            {"instance", required_argument, NULL, 'i'},
                                            {"history", required_argument, NULL, 'y'},
                                            {"help", no_argument, NULL, 'h'},
                                            {"version", no_argument, NULL, 'V'},
                                            {NULL, 0, NULL, 0}};
    int opt;
    while ((opt = getopt_long(argc, argv, "+p:i:jhV", options, NULL)) != -1) {
        switch (opt) {
        case 'p':
            out->platform = optarg;
            break;
        case 'i':
            out->instance = optarg;
            break;
        case 'j':
            out->json = true;
            break;
        case 'y':
            out->history = optarg;
            break;
        case 'h':
            print_help();
            *status = CTL_OK;
            return false;
        case 'V':
            puts("irisctl " IRISSTALL_VERSION);
            *status = CTL_OK;
            return false;
        default:
            *status = CTL_USAGE;
            return false;
        }
    }
    if (optind < argc)
        return true;
    print_help();
    *status = CTL_USAGE;
    return false;
}

/* Runs a command that needs the platform's object store. */
static int
run_with_store(const options_t *options, int argc, char **argv)
{
    session_t session = {.json = options->json};
    const char *platform = options->platform;
    addr_t addr;
    err_t err = {0};
    if (platform == NULL || !addr_parse(str_from(platform), &addr)) {
        fprintf(stderr, "irisctl: --platform: '%s': expected IP:PORT\n",
                platform != NULL ? platform : "");
        return CTL_USAGE;
    }
    if (!history_open(&session.history, options->history, &err)) {
        fprintf(stderr, "irisctl: %s\n", err.detail);
        return CTL_USAGE;
    }
    signal(SIGPIPE, SIG_IGN);
    session_start(&session, &addr);
    const int status = run_command(&session, argc, argv);
    history_close(&session.history);
    return status;
}

int
main(int argc, char *argv[])
{
    options_t options = {.platform = getenv("IRISSTALL_PLATFORM"), .history = ""};
    int status;
    if (!parse_options(argc, argv, &options, &status))
        return status;
    argc -= optind;
    argv += optind;
    if (strcmp(argv[0], "check") == 0)
        return table_cmd_check(argc - 1, argv + 1);
    if (strcmp(argv[0], "trace") == 0)
        return trace_cmd(argc - 1, argv + 1);
    if (options.instance != NULL)
        return instance_cmd(options.instance, argc, argv);
    return run_with_store(&options, argc, argv);
}
