#include "gateway/resume.h"

#include <stdlib.h>

#define LOG_MODULE "gateway"
#include "base/counter.h"
#include "base/log.h"
#include "base/xmalloc.h"

struct resume_queued {
    resume_queued_t *next;
    resume_t *resume;
    wire_request_t *req;
};

static void
unlink_queued(resume_queued_t *queued)
{
    resume_queued_t **slot = &queued->resume->queue;
    while (*slot != queued)
        slot = &(*slot)->next;
    *slot = queued->next;
    queued->resume->count--;
    free(queued);
}

static void
on_caller_disconnected(void *ctx)
{
    unlink_queued(ctx);
}

static void
serve_queued(resume_t *resume)
{
    resume->awaiting_update = false;
    uv_timer_stop(&resume->timer);
    while (resume->queue != NULL) {
        wire_request_t *req = resume->queue->req;
        unlink_queued(resume->queue);
        req->on_disconnect = NULL;
        req->ctx = NULL;
        resume->conf.serve(resume->conf.ctx, req);
    }
}

static void
on_timer(uv_timer_t *timer)
{
    serve_queued(timer->data);
}

static void
on_resumed(void *ctx, uint64_t still_ms)
{
    resume_t *resume = ctx;
    LOG_WARN("resumed after suspension: still_ms=%llu requests=%zu", (unsigned long long)still_ms,
             resume->count);
    counter_add(counter_get("irisstall_resumed_total", NULL,
                            "Times that the instance had stood still for a second or more."),
                1);
    resume->awaiting_update = true;
    uv_timer_start(&resume->timer, on_timer, RESUME_WAIT_MS, 0);
    resume->conf.on_resumed(resume->conf.ctx, still_ms);
}

void
resume_init(resume_t *resume, const resume_conf_t *conf)
{
    *resume = (resume_t){.conf = *conf};
    loop_watch_init(&resume->watch, conf->loop, RESUME_THRESHOLD_MS, on_resumed, resume);
    uv_timer_init(conf->loop, &resume->timer);
    resume->timer.data = resume;
}

bool
resume_is_stale(const resume_t *resume)
{
    return resume->awaiting_update ||
           loop_now(resume->conf.loop) - resume->watch.last_iteration_ms >= RESUME_THRESHOLD_MS;
}

bool
resume_queue_request(resume_t *resume, wire_request_t *req)
{
    if (!resume_is_stale(resume))
        return false;
    resume_queued_t *queued = xcalloc(1, sizeof(*queued));
    queued->resume = resume;
    queued->req = req;
    req->on_disconnect = on_caller_disconnected;
    req->ctx = queued;
    resume_queued_t **slot = &resume->queue;
    while (*slot != NULL)
        slot = &(*slot)->next;
    *slot = queued;
    resume->count++;
    return true;
}

void
resume_on_peer_update(resume_t *resume)
{
    if (resume->awaiting_update)
        serve_queued(resume);
}
