/* Callbacks deferred until the loop has polled its sockets. */
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/xmalloc.h"
#include "gateway/gateway_state.h"
#include "test/gateway/site.h"
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

enum {
    CALLERS = 24,
    RUN_MS = 25,       /* for which each request occupies the loop */
    IN_FORCE_MS = 250, /* from a configuration's arrival */
    NS_PER_MS = 1000000,
};

/* When a configuration arrived at the instance, and when it was in force; 0: not yet. */
static struct {
    site_t *site;
    uint64_t revision; /* the one before */
    uint64_t arrived_ns;
    uint64_t in_force_ns;
} watched;

static void
occupy_loop(str_t id)
{
    (void)id;
    usleep(RUN_MS * 1000);
    const gateway_t *gateway = watched.site->gateway;
    if (watched.arrived_ns == 0 && gateway->views.items[VIEW_CONFIG].at > watched.revision)
        watched.arrived_ns = uv_hrtime();
    if (watched.in_force_ns == 0 && gateway->router.catalog.config->revision > watched.revision)
        watched.in_force_ns = uv_hrtime();
}

/* Each turn of the loop takes longer than a configuration may wait. */
START_TEST(configuration_does_not_wait_for_a_late_loop)
{
    static reply_t replies[CALLERS];
    site_t *site = new_ready_site(1);
    watched.site = site;
    watched.revision = site->gateway->router.catalog.config->revision;
    site->on_run = occupy_loop;
    bool is_changed = false;
    for (unsigned number = 0; watched.in_force_ns == 0; number++) {
        reply_t *reply = &replies[number % CALLERS];
        char request[160];
        snprintf(request, sizeof(request),
                 "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: d-%u\r\n"
                 "Affinity-Key: 1\r\nDeadline-Ms: 20000\r\n\r\n",
                 number);
        if (number >= CALLERS)
            RUN_UNTIL(site, reply->done);
        call(site, reply, request);
        if (number < 2 * CALLERS || is_changed)
            continue;
        put_config(site, NULL);
        is_changed = true;
    }
    ck_assert_uint_gt(watched.arrived_ns, 0);
    ck_assert_uint_le((watched.in_force_ns - watched.arrived_ns) / NS_PER_MS, IN_FORCE_MS);
}
END_TEST

Suite *
suite_gateway_deferred(void)
{
    Suite *suite = suite_create("gateway: deferred work");
    TCase *tests = tcase_create("deferred");
    tcase_add_test(tests, deferred_callback_runs_once_after_pending_input);
    tcase_add_test(tests, deferred_callback_runs_without_input);
    tcase_add_test(tests, configuration_does_not_wait_for_a_late_loop);
    suite_add_tcase(suite, tests);
    return suite;
}
