#include <stdlib.h>

#include <http_parser.h>

#include "gateway/endpoints.h"
#include "gateway/membership/directory.h"

static void
respond_status(wire_request_t *req, int status)
{
    wire_respond(req, status, STR(""), STR(""));
}

void
endpoint_answer_readiness(const directory_port_t *port, bool ready, wire_request_t *req)
{
    if (!port->is_readiness_query(&req->head))
        respond_status(req, HTTP_STATUS_NOT_FOUND);
    else
        respond_status(req, ready ? HTTP_STATUS_OK : HTTP_STATUS_SERVICE_UNAVAILABLE);
}

void
endpoint_answer_directory(const directory_endpoint_t *endpoint, uint64_t now_ms,
                          wire_request_t *req)
{
    directory_query_t query;
    addr_t addrs[DIRECTORY_MAX];
    if (!endpoint->port->read_query(&req->head, &query)) {
        respond_status(req, HTTP_STATUS_NOT_FOUND);
        return;
    }
    const size_t count = directory_pick(endpoint->members, endpoint->topology, query.region,
                                        query.hall, now_ms, addrs);
    if (count == 0) {
        respond_status(req, HTTP_STATUS_SERVICE_UNAVAILABLE);
        return;
    }
    wire_text_t fields = {0};
    wire_text_t body = {0};
    endpoint->port->write_addresses(addrs, count, endpoint->ttl_s, &fields, &body);
    wire_respond(req, HTTP_STATUS_OK, (str_t){fields.ptr, fields.len}, (str_t){body.ptr, body.len});
    free(fields.ptr);
    free(body.ptr);
}
