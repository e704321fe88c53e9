#include "gateway/membership/load_gossip.h"

#include "base/counter.h"

static void
count_reports(const char *labels, size_t count)
{
    if (count > 0)
        counter_add(counter_get("irisstall_queue_reports_total", labels,
                                "Reports of queues at backend servers passed between instances."),
                    count);
}

size_t
load_gossip_fill(load_message_t *out, const backends_t *backends, uint64_t now_ms)
{
    load_report_t reports[LOAD_REPORTS_MAX];
    const size_t count = load_reports_take(backends, now_ms, reports);
    for (size_t i = 0; i < count; i++) {
        Iris__BackendLoad *item = &out->items[i];
        iris__backend_load__init(item);
        item->life = reports[i].incarnation_key;
        item->requests = reports[i].requests;
        item->age_ms = reports[i].age_ms;
        out->list[i] = item;
    }
    count_reports("way=\"sent\"", count);
    return count;
}

void
load_gossip_merge(const backends_t *backends, Iris__BackendLoad *const *items, size_t count,
                  uint64_t now_ms)
{
    load_report_t reports[LOAD_REPORTS_MAX] = {0};
    size_t read = 0;
    for (; read < count && read < LOAD_REPORTS_MAX; read++) {
        reports[read] = (load_report_t){
            .incarnation_key = items[read]->life,
            .requests = items[read]->requests,
            .age_ms = items[read]->age_ms,
        };
    }
    load_reports_apply(backends, reports, read, now_ms);
    count_reports("way=\"received\"", read);
}
