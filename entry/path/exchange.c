#include <stdio.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "entry/path/exchange.h"

exchange_t *
exchange_new(node_t *node, h2o_req_t *req)
{
    exchange_t *x = xcalloc(1, sizeof(*x));
    x->node = node;
    x->req = req;
    x->started_ms = node_now(node);
    x->started_us = clock_wall_us();
    x->next = node->exchanges;
    if (x->next != NULL)
        x->next->prev = x;
    node->exchanges = x;
    node->exchange_count++;
    x->refusal = "none";
    return x;
}

bool
exchange_has_attempts(const exchange_t *x)
{
    return x->attempts[0] != NULL || x->attempts[1] != NULL;
}

static void
free_exchange(exchange_t *x)
{
    node_t *node = x->node;
    if (x->prev != NULL)
        x->prev->next = x->next;
    else
        node->exchanges = x->next;
    if (x->next != NULL)
        x->next->prev = x->prev;
    node->exchange_count--;
    free(x->head);
    free(x->line);
    free(x->body);
    free(x->filling.ptr);
    free(x->flying.ptr);
    free(x);
}

void
exchange_free_if_done(exchange_t *x)
{
    if (x->req == NULL && !exchange_has_attempts(x) && !x->queued && !x->resolving)
        free_exchange(x);
}

void
exchange_set_record(exchange_t *x, key_state_t state, int status)
{
    if (x->record == NULL)
        return;
    x->record->state = state;
    x->record->status = status;
    x->record->touched_ms = node_now(x->node);
    x->record = NULL;
}

class_stats_t *
exchange_class_stats(exchange_t *x)
{
    node_t *node = x->node;
    for (size_t i = 0; i < node->class_stats_count; i++) {
        class_stats_t *stats = &node->class_stats[i];
        if (name_eq(&stats->service, name_str(&x->service)) &&
            name_eq(&stats->name, name_str(&x->class_.name)))
            return stats;
    }
    if (node->class_stats_count == CLASS_STATS_MAX)
        return NULL;
    class_stats_t *stats = &node->class_stats[node->class_stats_count++];
    char labels[160];
    snprintf(labels, sizeof(labels), "service=\"%s\",class=\"%s\"", x->service.ptr,
             x->class_.name.ptr);
    *stats = (class_stats_t){.service = x->service, .name = x->class_.name};
    stats->latency = histogram_get("irisstall_first_byte_seconds", labels,
                                   "Time from a request's arrival to its answer's head.");
    return stats;
}
