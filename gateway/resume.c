#include "gateway/resume.h"

#include <stdlib.h>

#define LOG_MODULE "gateway"
#include "base/counter.h"
#include "base/log.h"
#include "base/xmalloc.h"

struct resume_waiting {
    resume_waiting_t *next;
    resume_t *resume;
    wire_request_t *req;
};

static void
forget(resume_waiting_t *waiting)
{
    resume_waiting_t **slot = &waiting->resume->waiting;
    while (*slot != waiting)
        slot = &(*slot)->next;
    *slot = waiting->next;
    waiting->resume->count--;
    free(waiting);
}

static void
on_caller_gone(void *ctx)
{
    forget(ctx);
}

static void
serve_waiting(resume_t *resume)
{
    resume->waits = false;
    uv_timer_stop(&resume->timer);
    while (resume->waiting != NULL) {
        wire_request_t *req = resume->waiting->req;
        forget(resume->waiting);
        req->on_gone = NULL;
        req->ctx = NULL;
        resume->conf.serve(resume->conf.ctx, req);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    serve_waiting(timer->data);
}

static void
on_resumed(void *ctx, uint64_t still_ms)
{
    resume_t *resume = ctx;
    LOG_WARN("resumed: still_ms=%llu requests=%zu", (unsigned long long)still_ms, resume->count);
    counter_add(counter_get("irisstall_resumed_total", NULL,
                            "Times that the instance had stood still for a second or more."),
                1);
    resume->waits = true;
    uv_timer_start(&resume->timer, on_timer, RESUME_WAIT_MS, 0);
    resume->conf.on_resumed(resume->conf.ctx, still_ms);
}

void
resume_init(resume_t *resume, const resume_conf_t *conf)
{
    *resume = (resume_t){.conf = *conf};
    loop_watch_init(&resume->watch, conf->loop, RESUME_STILL_MS, on_resumed, resume);
    uv_timer_init(conf->loop, &resume->timer);
    resume->timer.data = resume;
}

bool
resume_is_behind(const resume_t *resume)
{
    return resume->waits ||
           loop_now(resume->conf.loop) - resume->watch.last_iteration_ms >= RESUME_STILL_MS;
}

bool
resume_takes(resume_t *resume, wire_request_t *req)
{
    if (!resume_is_behind(resume))
        return false;
    resume_waiting_t *waiting = xcalloc(1, sizeof(*waiting));
    waiting->resume = resume;
    waiting->req = req;
    req->on_gone = on_caller_gone;
    req->ctx = waiting;
    resume_waiting_t **slot = &resume->waiting;
    while (*slot != NULL)
        slot = &(*slot)->next;
    *slot = waiting;
    resume->count++;
    return true;
}

void
resume_heard(resume_t *resume)
{
    if (resume->waits)
        serve_waiting(resume);
}
