/* Where a message ends: neither callers nor backend servers can make bytes of a body count as the
 * start of another message. Sections are those of RFC 9112, or of RFC 9110 where they say so. */
#include <string.h>

#include "base/xmalloc.h"
#include "test/gateway/site.h"
#include "test/suites.h"
#include "wire/body.h"

#define S(text)                                                                                    \
    {                                                                                              \
        (text), sizeof(text) - 1                                                                   \
    }
#define POST "POST /once/x HTTP/1.1\r\nAttempt-Id: f\r\n"
#define HOST "Host: h.example\r\n"
#define CHUNKED POST HOST "Transfer-Encoding: chunked\r\n\r\n"
#define OK "HTTP/1.1 200 OK\r\nAttempt-Id: f\r\nResponse-Signature: s\r\n"
#define OK_CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

/* Accepted by all rows with status 200: the body that arrives. */
typedef struct {
    const char *section;
    str_t bytes;
    int status;
    const char *body;
} row_t;

static const row_t requests[] = {
    {"6.2", S(POST HOST "Content-Length: 5\r\n\r\nhello"), 200, "hello"},
    {"6.2", S(POST HOST "content-length:5 \r\n\r\nhello"), 200, "hello"},
    {"6.3", S(POST HOST "\r\n"), 200, ""},
    {"7.1", S(CHUNKED "5\r\nhello\r\n0\r\n\r\n"), 200, "hello"},
    {"7.1", S(CHUNKED "0002\r\nhe\r\n3\r\nllo\r\n000\r\n\r\n"), 200, "hello"},
    {"7.1", S(POST HOST "Transfer-Encoding: CHUNKED\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), 200, "hello"},
    {"7.1.1", S(CHUNKED "5;a=\"b\"\r\nhello\r\n0;c\r\n\r\n"), 200, "hello"},
    {"7.1.2", S(CHUNKED "5\r\nhello\r\n0\r\nX-Trailer: t\r\nHost: other\r\n\r\n"), 200, "hello"},
    {"9110 7.6.1", S(POST HOST "Connection: X-Hop, close\r\nX-Hop: t\r\nX-Hop-2: keep\r\n\r\n"),
     200, ""},
    {"2.2", S("\r\n" POST HOST "\r\n"), 200, ""},
    {"2.2, no Host in HTTP/1.0", S("POST /once/x HTTP/1.0\r\nAttempt-Id: f\r\n\r\n"), 404, NULL},
    {"5.1", S(POST HOST "Content-Length : 5\r\n\r\nhello"), 400, NULL},
    {"5.1", S(POST HOST "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), 400, NULL},
    {"5.1", S(POST HOST "Content-Length\t: 5\r\n\r\nhello"), 400, NULL},
    {"5.1", S(POST HOST "X Y: 5\r\n\r\n"), 400, NULL},
    {"5.1", S(POST HOST " Content-Length: 5\r\n\r\nhello"), 400, NULL},
    {"5.2", S(POST HOST "X-A: a\r\n b\r\nContent-Length: 0\r\n\r\n"), 400, NULL},
    {"5.2", S(POST HOST "Content-Length: 1\r\n 2\r\n\r\nhello"), 400, NULL},
    {"5.2", S(POST HOST "Transfer-Encoding: chu\r\n\tnked\r\n\r\n0\r\n\r\n"), 400, NULL},
    {"5.5", S(POST HOST "X-A: a\0b\r\n\r\n"), 400, NULL},
    {"2.2", S(POST HOST "X-A: a\rb: c\r\n\r\n"), 400, NULL},
    {"3.2", S(POST HOST HOST "\r\n"), 400, NULL},
    {"3.2", S(POST "\r\n"), 400, NULL},
    {"3.2", S(POST "Host: h.example, other\r\n\r\n"), 400, NULL},
    {"3.2", S(POST "Host: h.example/x\r\n\r\n"), 400, NULL},
    {"3.2.1", S("POST /once/\tx HTTP/1.1\r\n" HOST "\r\n"), 400, NULL},
    {"2.3", S("POST /once/x HTTP/2.0\r\n" HOST "\r\n"), 505, NULL},
    {"6.3", S(POST HOST "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello"), 400, NULL},
    {"6.3", S(POST HOST "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello"), 400, NULL},
    {"6.3", S(POST HOST "Content-Length: 5, 5\r\n\r\nhello"), 400, NULL},
    {"6.3", S(POST HOST "Content-Length: +5\r\n\r\nhello"), 400, NULL},
    {"6.3", S(POST HOST "Content-Length: -5\r\n\r\nhello"), 400, NULL},
    {"6.3", S(POST HOST "Content-Length: 5 5\r\n\r\nhello"), 400, NULL},
    {"6.3", S(POST HOST "Content-Length: 0x5\r\n\r\nhello"), 400, NULL},
    {"6.3", S(POST HOST "Content-Length:\r\n\r\nhello"), 400, NULL},
    {"6.3", S(POST HOST "Content-Length: 99999999999999999999999\r\n\r\nhello"), 400, NULL},
    {"6.1", S(POST HOST "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400,
     NULL},
    {"6.1", S(POST HOST "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"), 400,
     NULL},
    {"6.1", S("POST /once/x HTTP/1.0\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400,
     NULL},
    {"6.1", S(POST HOST "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), 501, NULL},
    {"6.1", S(POST HOST "Transfer-Encoding: gzip\r\n\r\nhello"), 400, NULL},
    {"6.1", S(POST HOST "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n"), 400, NULL},
    {"6.1", S(POST HOST "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"), 400, NULL},
    {"6.1", S(POST HOST "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"), 400, NULL},
    {"6.1", S(POST HOST "Transfer-Encoding: chunked;q=1\r\n\r\n0\r\n\r\n"), 400, NULL},
    {"6.1",
     S(POST HOST "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400,
     NULL},
    {"6.1", S(POST HOST "Transfer-Encoding:\r\n\r\n0\r\n\r\n"), 400, NULL},
    {"7.1", S(CHUNKED "5\r\nhelloXX0\r\n\r\n"), 400, NULL},
    {"7.1", S(CHUNKED "5\r\nhello0\r\n\r\n\r\n"), 400, NULL},
    {"7.1", S(CHUNKED "5\r\nhello\n0\r\n\r\n"), 400, NULL},
    {"7.1", S(CHUNKED "5\nhello\r\n0\r\n\r\n"), 400, NULL},
    {"7.1", S(CHUNKED "5\rXhello\r\n0\r\n\r\n"), 400, NULL},
    {"7.1", S(CHUNKED "\r\nhello\r\n0\r\n\r\n"), 400, NULL},
    {"7.1", S(CHUNKED "0x5\r\nhello\r\n0\r\n\r\n"), 400, NULL},
    {"7.1", S(CHUNKED "-5\r\nhello\r\n0\r\n\r\n"), 400, NULL},
    {"7.1", S(CHUNKED " 5\r\nhello\r\n0\r\n\r\n"), 400, NULL},
    {"7.1", S(CHUNKED "10000000000000005\r\nhello\r\n0\r\n\r\n"), 400, NULL},
    {"7.1.1", S(CHUNKED "5;a\nb\r\nhello\r\n0\r\n\r\n"), 400, NULL},
    {"7.1.1", S(CHUNKED "5;a\0b\r\nhello\r\n0\r\n\r\n"), 400, NULL},
    {"7.1.2", S(CHUNKED "5\r\nhello\r\n0\r\nX: y\n\r\n"), 400, NULL},
    {"7.1.2", S(CHUNKED "5\r\nhello\r\n0\r\n folded\r\n\r\n"), 400, NULL},
};

/* The backend server of rows without a body gets nothing; the next request arrives whole. */
static void
check_request(site_t *site, const row_t *row, str_t bytes)
{
    reply_t reply;
    scripted_t *backend = &site->backends[0];
    const size_t runs = backend->runs;
    call_bytes(site, &reply, bytes);
    RUN_UNTIL(site, reply.done);
    ck_assert_msg(reply.status == row->status, "%s: %s: %d", row->section, bytes.ptr, reply.status);
    if (row->status != 200) {
        ck_assert_msg(backend->runs == runs, "%s: %s", row->section, bytes.ptr);
    } else {
        const char *body = strstr(backend->last, "\r\n\r\n");
        char length[48];
        snprintf(length, sizeof(length), "\r\nContent-Length: %zu\r\n", strlen(row->body));
        ck_assert_msg(body != NULL && strcmp(body + 4, row->body) == 0, "%s: %s", row->section,
                      backend->last);
        ck_assert(row->body[0] == '\0' || strstr(backend->last, length) != NULL);
        ck_assert_ptr_null(strcasestr(backend->last, "transfer-encoding"));
        ck_assert_ptr_null(strstr(backend->last, "X-Trailer"));
        ck_assert_ptr_null(strstr(backend->last, "other"));
        ck_assert_ptr_null(strstr(backend->last, "X-Hop:"));
        ck_assert((strstr(row->section, "7.6.1") == NULL) ||
                  strstr(backend->last, "X-Hop-2: keep\r\n") != NULL);
    }
    ck_assert_int_eq(ask(site, "GET", "/safe/next").status, 200);
    ck_assert_ptr_eq(strstr(backend->last, "GET /safe/next HTTP/1.1\r\n"), backend->last);
}

START_TEST(body_of_a_request_is_no_request)
{
    site_t *site = new_ready_site(1);
    for (size_t i = 0; i < ALEN(requests); i++)
        check_request(site, &requests[i], requests[i].bytes);
}
END_TEST

static const row_t responses[] = {
    {"6.2", S(OK "Content-Length: 5\r\n\r\nhello"), 200, "hello"},
    {"7.1", S(OK_CHUNKED "5\r\nhello\r\n0\r\n\r\n"), 200, "hello"},
    {"7.1.2", S(OK_CHUNKED "2;a\r\nhe\r\n3\r\nllo\r\n0\r\nX-Trailer: t\r\n\r\n"), 200, "hello"},
    {"9110 15.2",
     S("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n" OK
       "Content-Length: 5\r\n\r\nhello"),
     200, "hello"},
    {"6.3", S("HTTP/1.1 204 No\r\nAttempt-Id: f\r\nResponse-Signature: s\r\n\r\n"), 204, ""},
    {"6.3",
     S("HTTP/1.1 204 No\r\nAttempt-Id: f\r\nResponse-Signature: s\r\nContent-Length: "
       "5\r\n\r\nhello"),
     204, ""},
    {"6.3",
     S("HTTP/1.1 204 No\r\nAttempt-Id: f\r\nResponse-Signature: s\r\nTransfer-Encoding: "
       "chunked\r\n\r\n"
       "5\r\nhello\r\n0\r\n\r\n"),
     204, ""},
    {"6.3", S("HTTP/1.1 304 No\r\nAttempt-Id: f\r\nContent-Length: 5\r\n\r\n"), 304, ""},
    {"6.3", S(OK "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"), 502, NULL},
    {"6.3", S(OK "Content-Length: 5, 6\r\n\r\nhello!"), 502, NULL},
    {"6.3", S(OK "Content-Length: +5\r\n\r\nhello"), 502, NULL},
    {"6.3", S(OK "Content-Length:\r\n\r\nhello"), 502, NULL},
    {"6.1", S(OK "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
     502, NULL},
    {"6.1", S(OK "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), 502, NULL},
    {"6.1", S(OK "Transfer-Encoding: gzip\r\nConnection: close\r\n\r\nhello"), 502, NULL},
    {"6.1",
     S("HTTP/1.0 200 OK\r\nAttempt-Id: f\r\nResponse-Signature: s\r\nTransfer-Encoding: "
       "chunked\r\n\r\n"
       "5\r\nhello\r\n0\r\n\r\n"),
     502, NULL},
    {"5.1", S(OK "Content-Length : 5\r\n\r\nhello"), 502, NULL},
    {"5.1", S(OK "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), 502, NULL},
    {"5.2", S(OK "Content-Length: 5\r\nX-A: a\r\n b\r\n\r\nhello"), 502, NULL},
    {"7.1", S(OK_CHUNKED "5\r\nhelloXX0\r\n\r\n"), 502, NULL},
    {"7.1", S(OK_CHUNKED "5\r\nhello0\r\n\r\n\r\n"), 502, NULL},
    {"7.1", S(OK_CHUNKED "x\r\nhello\r\n0\r\n\r\n"), 502, NULL},
    {"9110 15.2.2",
     S("HTTP/1.1 101 Switch\r\nAttempt-Id: f\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nhello"),
     502, NULL},
};

START_TEST(body_of_a_response_is_no_response)
{
    for (size_t i = 0; i < ALEN(responses); i++) {
        reply_t reply;
        const row_t *row = &responses[i];
        site_t *site = new_ready_site(1);
        site->backends[0].behaviour = DOES_RAW;
        site->backends[0].raw = row->bytes;
        call(site, &reply, POST HOST "Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n");
        RUN_UNTIL(site, reply.done);
        ck_assert_msg(reply.status == row->status, "%s: %s: %d", row->section, row->bytes.ptr,
                      reply.status);
        if (row->body != NULL)
            ck_assert_msg(reply.body_len == strlen(row->body) &&
                              memcmp(reply.body, row->body, reply.body_len) == 0,
                          "%s: %s", row->section, reply.body);
        site->backends[0].behaviour = DOES_ANSWER;
        const reply_t next = ask(site, "GET", "/safe/next");
        ck_assert_msg(next.status == 200 && strcmp(next.body, "hello") == 0, "%s: %s: %d",
                      row->section, row->bytes.ptr, next.status);
    }
}
END_TEST

/* Fields that Connection names end at the gateway in both directions. */
START_TEST(connection_options_are_not_passed_on)
{
    site_t *site = new_ready_site(1);
    reply_t reply;
    site->backends[0].extra_headers = "Connection: X-Up\r\nX-Up: t\r\nKeep-Alive: timeout=5\r\n";
    call(site, &reply,
         "GET /safe/x HTTP/1.1\r\nAttempt-Id: f\r\nConnection: Host, x-a ,X-B,\r\n" HOST
         "X-A: 1\r\nX-B: 1\r\nX-C: 1\r\n\r\n");
    RUN_UNTIL(site, reply.done);
    ck_assert_int_eq(reply.status, 200);
    const char *text = site->backends[0].last;
    ck_assert_ptr_nonnull(strstr(text, HOST));
    ck_assert_ptr_nonnull(strstr(text, "X-C: 1\r\n"));
    ck_assert_ptr_null(strstr(text, "X-A"));
    ck_assert_ptr_null(strstr(text, "X-B"));
    ck_assert_ptr_null(strstr(text, "Connection"));
}
END_TEST

typedef struct {
    char text[64];
    size_t len;
} collected_t;

static bool
collect(void *ctx, const char *ptr, size_t len)
{
    collected_t *collected = ctx;
    ck_assert_uint_le(collected->len + len, sizeof(collected->text));
    memcpy(collected->text + collected->len, ptr, len);
    collected->len += len;
    return true;
}

/* The end of a body is found wherever the input is cut in two, and nothing behind it is used. */
START_TEST(chunked_body_is_read_in_any_pieces)
{
    static const char coded[] = "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nX: t\r\n\r\nGET /";
    const size_t end = strlen(coded) - strlen("GET /");
    for (size_t cut = 0; cut <= strlen(coded); cut++) {
        wire_body_t body;
        collected_t collected = {0};
        size_t used = 0;
        size_t more = 0;
        wire_body_begin(&body, WIRE_CHUNKED);
        wire_body_result_t result = wire_body_read(&body, coded, cut, &used, collect, &collected);
        ck_assert_int_eq(result, cut < end ? WIRE_BODY_INCOMPLETE : WIRE_BODY_COMPLETE);
        ck_assert_uint_eq(used, cut < end ? cut : end);
        result =
            wire_body_read(&body, coded + used, strlen(coded) - used, &more, collect, &collected);
        ck_assert_int_eq(result, WIRE_BODY_COMPLETE);
        ck_assert_uint_eq(used + more, end);
        ck_assert_uint_eq(collected.len, strlen("hello"));
        ck_assert(memcmp(collected.text, "hello", collected.len) == 0);
    }
}
END_TEST

Suite *
suite_gateway_framing(void)
{
    Suite *suite = suite_create("gateway: framing");
    TCase *tests = tcase_create("framing");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, body_of_a_request_is_no_request);
    tcase_add_test(tests, body_of_a_response_is_no_response);
    tcase_add_test(tests, connection_options_are_not_passed_on);
    tcase_add_test(tests, chunked_body_is_read_in_any_pieces);
    suite_add_tcase(suite, tests);
    return suite;
}
