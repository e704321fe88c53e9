/* Callbacks deferred until the loop has polled its sockets. */
#include <sys/socket.h>
#include <unistd.h>

#include "base/xmalloc.h"
#include "gateway/gateway_state.h"
#include "test/gateway/site.h"
#include "test/leak.h"
#include "test/suites.h"

/* Two connections; records the order of the callbacks. */
typedef struct {
    uv_loop_t loop;
    deferred_t work;
    uv_poll_t polls[2];
    int fds[2][2];
    char order[8];
    size_t done;
} rig_t;

static void
note(rig_t *rig, char what)
{
    xassert(rig->done < sizeof(rig->order) - 1);
    rig->order[rig->done++] = what;
}

static void
on_work(void *ctx)
{
    note(ctx, 'w');
}

static void
take_byte(uv_poll_t *poll)
{
    uv_os_fd_t fd;
    char byte;
    xassert(uv_fileno((uv_handle_t *)poll, &fd) == 0);
    xassert(read(fd, &byte, 1) == 1);
}

/* Schedules the callback; a byte arrives on the other connection in the same iteration. */
static void
on_first(uv_poll_t *poll, int status, int events)
{
    (void)status;
    (void)events;
    rig_t *rig = poll->data;
    take_byte(poll);
    note(rig, '1');
    deferred_schedule(&rig->work);
    deferred_schedule(&rig->work);
    xassert(write(rig->fds[1][1], "x", 1) == 1);
}

static void
on_second(uv_poll_t *poll, int status, int events)
{
    (void)status;
    (void)events;
    take_byte(poll);
    note(poll->data, '2');
}

static void
on_timer(uv_timer_t *timer)
{
    rig_t *rig = timer->data;
    deferred_schedule(&rig->work);
}

static rig_t *
new_rig(void)
{
    static const uv_poll_cb cbs[] = {on_first, on_second};
    rig_t *rig = xcalloc(1, sizeof(*rig));
    leak_ignore(rig);
    uv_loop_init(&rig->loop);
    deferred_init(&rig->work, &rig->loop, on_work, rig);
    for (size_t i = 0; i < ALEN(cbs); i++) {
        xassert(socketpair(AF_UNIX, SOCK_STREAM, 0, rig->fds[i]) == 0);
        uv_poll_init(&rig->loop, &rig->polls[i], rig->fds[i][0]);
        rig->polls[i].data = rig;
        uv_poll_start(&rig->polls[i], UV_READABLE, cbs[i]);
    }
    return rig;
}

static void
run(rig_t *rig, size_t until)
{
    while (rig->done < until)
        uv_run(&rig->loop, UV_RUN_ONCE);
    for (unsigned i = 0; i < 3; i++)
        uv_run(&rig->loop, UV_RUN_NOWAIT);
}

START_TEST(deferred_callback_runs_once_after_pending_input)
{
    rig_t *rig = new_rig();
    xassert(write(rig->fds[0][1], "x", 1) == 1);
    run(rig, 3);
    ck_assert_str_eq(rig->order, "12w");
    ck_assert(!rig->work.is_pending);
    /* Scheduled again, it runs again. */
    xassert(write(rig->fds[0][1], "x", 1) == 1);
    run(rig, 6);
    ck_assert_str_eq(rig->order, "12w12w");
}
END_TEST

START_TEST(deferred_callback_runs_without_input)
{
    rig_t *rig = new_rig();
    uv_timer_t timer;
    uv_timer_init(&rig->loop, &timer);
    timer.data = rig;
    uv_timer_start(&timer, on_timer, 1, 0);
    run(rig, 1);
    ck_assert_str_eq(rig->order, "w");
}
END_TEST

/* A configuration has arrived, and the loop comes to its next turn only after a while. */
START_TEST(request_does_not_overtake_a_configuration_in_a_late_loop)
{
    enum { LATE_MS = 2 * DEFERRED_MAX_MS };
    site_t *site = new_ready_site(1);
    ck_assert_int_eq(ask(site, "GET", "/safe/x").status, 200); /* the connection stays open */
    put_config(site, "/extra/");
    RUN_UNTIL(site, site->gateway->config_update.is_pending);
    usleep(LATE_MS * 1000);
    ck_assert_int_eq(ask(site, "GET", "/extra/x").status, 200);
}
END_TEST

Suite *
suite_gateway_deferred(void)
{
    Suite *suite = suite_create("gateway: deferred work");
    TCase *tests = tcase_create("deferred");
    tcase_add_test(tests, deferred_callback_runs_once_after_pending_input);
    tcase_add_test(tests, deferred_callback_runs_without_input);
    tcase_add_test(tests, request_does_not_overtake_a_configuration_in_a_late_loop);
    suite_add_tcase(suite, tests);
    return suite;
}
