/* bare: serves a fixed response with the same HTTP library, as a baseline for lookup benchmarks. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/http/server.h"

enum { HEAD_TIMEOUT_MS = 10000, CONNECTIONS_MAX = 4096 };

static void
on_request(void *ctx, h2o_req_t *req)
{
    const char *body = ctx;
    http_reply(req, 200, "application/json", body, strlen(body));
}

int
main(int argc, char *argv[])
{
    static char body[] =
        "{\"service\":\"tallyboard\",\"place\":\"sandusky-hall\",\"region\":\"erie-west\","
        "\"ttl_ms\":5000,\"version\":6,\"reason\":\"share\",\"entries\":[\"127.100.100.100:21001\","
        "\"127.100.100.100:21002\",\"127.100.100.100:21000\"]}\n";
    http_server_conf_t conf = {.head_timeout_ms = HEAD_TIMEOUT_MS,
                               .max_connections = CONNECTIONS_MAX};
    err_t err = {0};
    if (argc != 2 || !addr_parse(str_from(argv[1]), &conf.addr)) {
        puts("Usage: bare IP:PORT");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    if (http_server_start(uv_default_loop(), &conf, on_request, body, &err) == NULL) {
        fprintf(stderr, "bare: %s\n", err.detail);
        return EXIT_FAILURE;
    }
    return uv_run(uv_default_loop(), UV_RUN_DEFAULT);
}
