/* The log ring never blocks and limits each module. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LOG_MODULE "test"
#include "base/log.h"
#include "base/log_ring.h"
#include "base/str.h"
#include "gateway/path/access_log.h"
#include "test/suites.h"

START_TEST(logging_to_a_full_pipe_does_not_block)
{
    int fds[2];
    ck_assert_int_eq(pipe(fds), 0);
    const log_ring_conf_t conf = {.fd = fds[1], .size = 4096, .lines_per_s = 1e6, .burst = 1e6};
    log_ring_t *ring = log_ring_new(&conf);
    /* Exceeds the capacity of the pipe and the ring; a blocking write would hang here. */
    for (int i = 0; i < 20000; i++) {
        log_ring_add(ring, "exchange", "a line of some length that nobody reads", 1000);
        log_ring_flush(ring);
    }
    ck_assert_uint_gt(log_ring_dropped(ring), 1000);
    /* Once the pipe is read again, a line reports the dropped lines. */
    static char text[1 << 20];
    size_t len = 0;
    for (int i = 0; i < 10; i++) {
        const ssize_t n = read(fds[0], text + len, sizeof(text) - len - 1);
        len += n > 0 ? (size_t)n : 0;
        log_ring_add(ring, "exchange", "after", 2000);
        log_ring_flush(ring);
    }
    ck_assert_ptr_nonnull(strstr(text, "event=\"lines dropped\" of=exchange lines="));
    ck_assert_ptr_nonnull(strstr(text, "\nafter\n"));
    log_ring_free(ring);
    close(fds[0]);
    close(fds[1]);
}
END_TEST

START_TEST(log_rate_limit_is_per_module)
{
    int fds[2];
    ck_assert_int_eq(pipe(fds), 0);
    const log_ring_conf_t conf = {.fd = fds[1], .size = 65536, .lines_per_s = 10, .burst = 20};
    log_ring_t *ring = log_ring_new(&conf);
    unsigned kept = 0;
    for (int i = 0; i < 1000; i++)
        kept += log_ring_add(ring, "exchange", "noise", 1000);
    ck_assert_uint_eq(kept, 20);
    ck_assert(log_ring_add(ring, "sync", "store lost", 1000));
    ck_assert(log_ring_add(ring, "exchange", "later", 2000));
    log_ring_free(ring);
    close(fds[0]);
    close(fds[1]);
}
END_TEST

/* Opens a log in a file; returns its descriptor. */
static int
open_log(char path[])
{
    err_t err = {0};
    const int fd = mkstemp(path);
    ck_assert_int_ge(fd, 0);
    ck_assert(log_open(path, LOG_LEVEL_DBG, &err));
    return fd;
}

static const char *
read_log(int fd, const char *path)
{
    static char text[16384];
    log_close();
    memset(text, 0, sizeof(text));
    ck_assert_int_gt((int)read(fd, text, sizeof(text) - 1), 0);
    close(fd);
    unlink(path);
    return text;
}

/* A name with a line break cannot make a line of its own. */
START_TEST(text_from_outside_adds_no_log_line)
{
    char path[] = "/tmp/irisstall-log-XXXXXX";
    const int fd = open_log(path);
    LOG_WARN("entry unusable: id=%s", "a\r\nts=0 level=ERROR module=x msg=\"forged\"\x1b[2J\x7f");
    const char *text = read_log(fd, path);
    ck_assert_ptr_eq(strchr(text, '\n'), text + strlen(text) - 1);
    ck_assert_ptr_null(strpbrk(text, "\r\x1b\x7f"));
}
END_TEST

/* A long id of a caller, with names as long as they may be, leaves the rest of the line. */
START_TEST(long_id_hides_no_part_of_a_log_line)
{
    char path[] = "/tmp/irisstall-log-XXXXXX";
    char id[8000];
    char name[NAME_MAX_LEN + 1];
    memset(id, 'i', sizeof(id));
    memset(name, 'n', sizeof(name));
    name[NAME_MAX_LEN] = '\0';
    const int fd = open_log(path);
    const access_record_t access = {
        .id = {id, sizeof(id)},
        .outcome = OUTCOME_NO_BACKEND,
        .service = name,
        .account = name,
        .backend = name,
        .config_version = "0000000c",
    };
    access_log(&access);
    const char *text = read_log(fd, path);
    ck_assert_ptr_nonnull(strstr(text, "outcome=no_upstream"));
    ck_assert_ptr_nonnull(strstr(text, "version=0000000c"));
    ck_assert_ptr_nonnull(strstr(text, "unacknowledged=0\"\n"));
}
END_TEST

Suite *
suite_gateway_log_ring(void)
{
    Suite *suite = suite_create("gateway: log ring");
    TCase *tests = tcase_create("log ring");
    tcase_add_test(tests, logging_to_a_full_pipe_does_not_block);
    tcase_add_test(tests, text_from_outside_adds_no_log_line);
    tcase_add_test(tests, long_id_hides_no_part_of_a_log_line);
    tcase_add_test(tests, log_rate_limit_is_per_module);
    suite_add_tcase(suite, tests);
    return suite;
}
