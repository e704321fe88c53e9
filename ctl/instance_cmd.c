#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "base/xmalloc.h"
#include "ctl/instance_cmd.h"
#include "ctl/session.h"
#include "ctl/table_cmd.h"

typedef struct {
    const char *method;
    char *path; /* NULL if no admin page serves the command */
} admin_request_t;

static char *
build_path(int argc, char **argv)
{
    if (strcmp(argv[0], "quarantine") == 0 && argc >= 2 && strcmp(argv[1], "show") == 0)
        return xasprintf("/quarantine");
    if (strcmp(argv[0], "account") == 0 && argc == 2 && strcmp(argv[1], "list") == 0)
        return xasprintf("/accounts");
    if (strcmp(argv[0], "account") == 0 && argc == 3 && strcmp(argv[1], "show") == 0)
        return xasprintf("/accounts?account=%s", argv[2]);
    if (strcmp(argv[0], "rollout") == 0 && argc == 2 && strcmp(argv[1], "list") == 0)
        return xasprintf("/rollouts");
    if (strcmp(argv[0], "rollout") == 0 && argc == 3 && strcmp(argv[1], "show") == 0)
        return xasprintf("/rollouts?service=%s", argv[2]);
    if (strcmp(argv[0], "table") == 0 && argc >= 2 && strcmp(argv[1], "show") == 0)
        return xasprintf("/table?service=%s", argc > 2 ? argv[2] : "");
    if (strcmp(argv[0], "status") == 0)
        return xasprintf("/status");
    if (strcmp(argv[0], "explain") == 0 && argc >= 3)
        return xasprintf("/explain?host=%s&path=%s&object=%s", argv[1], argv[2],
                         argc > 3 ? argv[3] : "");
    return NULL;
}

static admin_request_t
build_request(int argc, char **argv)
{
    if (strcmp(argv[0], "quarantine") == 0 && argc == 3 && strcmp(argv[1], "lift") == 0)
        return (admin_request_t){"POST", xasprintf("/quarantine/lift?request=%s", argv[2])};
    return (admin_request_t){"GET", build_path(argc, argv)};
}

int
instance_cmd(const char *instance, int argc, char **argv)
{
    addr_t addr;
    session_t session = {0};
    if (!addr_parse(str_from(instance), &addr)) {
        fprintf(stderr, "irisctl: --instance: '%s': expected IP:PORT\n", instance);
        return CTL_USAGE;
    }
    const admin_request_t request = build_request(argc, argv);
    if (request.path == NULL) {
        fprintf(stderr, "irisctl: '%s' is not asked of an instance, see irisctl --help\n", argv[0]);
        return CTL_USAGE;
    }
    session_start(&session, &addr);
    const reply_t reply = session_call(&session, &addr, request.method, request.path);
    free(request.path);
    if (reply.err.code != ERR_NONE) {
        fprintf(stderr, "irisctl: %s: %s\n", err_name(reply.err.code), reply.err.detail);
        free(reply.body);
        return CTL_NOT_APPLIED;
    }
    const bool refused = reply.status >= HTTP_STATUS_BAD_REQUEST;
    fwrite(reply.body, 1, reply.len, refused ? stderr : stdout);
    free(reply.body);
    return refused ? CTL_REFUSED : CTL_OK;
}
