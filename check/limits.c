/* Limit rules: requests in flight at backend servers, request rates and request amplification. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "check/rules.h"

enum { US_PER_S = 1000000, KEYS_MAX = 1024, KEY_SIZE = 128, RATE_WINDOW_S = 5 };

#define RATE_SLACK 1.1 /* allowance for bursts within the window */

/* A region's or row's limit over time; 0 means unlimited. */
typedef struct {
    uint64_t current;
    uint64_t previous_max; /* highest limit among older versions that may still be in force */
    uint64_t changed_us;
} limit_t;

static void
set_limit(limit_t *limit, uint64_t value, uint64_t t)
{
    const bool previous_expired = t > limit->changed_us + (uint64_t)FORCE_LIMIT_S * US_PER_S;
    const uint64_t before = limit->current == 0 ? UINT64_MAX : limit->current;
    limit->previous_max =
        previous_expired || before > limit->previous_max ? before : limit->previous_max;
    limit->current = value;
    limit->changed_us = t;
}

static uint64_t
allowed(const limit_t *limit, uint64_t t)
{
    const uint64_t now = limit->current == 0 ? UINT64_MAX : limit->current;
    const bool is_final = t > limit->changed_us + (uint64_t)FORCE_LIMIT_S * US_PER_S;
    return is_final || now > limit->previous_max ? now : limit->previous_max;
}

static void
row_key(char out[KEY_SIZE], const char *service, const char *place)
{
    snprintf(out, KEY_SIZE, "%s/%s", service, place);
}

static uint64_t
member(const json_t *object, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(object, key));
}

static void
read_rows(const event_t *event, const char *column, index_t *index, limit_t *limits)
{
    size_t i;
    json_t *row;
    json_array_foreach(json_object_get(event->value, "rows"), i, row)
    {
        char key[KEY_SIZE];
        row_key(key, event->name, json_string_value(json_object_get(row, "place")));
        const size_t at = index_intern(index, key);
        if (at < KEYS_MAX)
            set_limit(&limits[at], member(row, column), event->t);
    }
}

typedef struct {
    index_t index;
    limit_t limits[KEYS_MAX];
    uint64_t in_flight[KEYS_MAX];
    uint64_t peak[KEYS_MAX];
} in_flight_t;

static void
count_event(in_flight_t *flight, const event_t *event, const char *key, verdict_t *verdict)
{
    const size_t at = index_intern(&flight->index, key);
    if (at >= KEYS_MAX)
        return;
    if (event->type == EV_LEAVE) {
        if (flight->in_flight[at] > 0)
            flight->in_flight[at]--;
        return;
    }
    verdict->examined++;
    const uint64_t now = ++flight->in_flight[at];
    if (now > flight->peak[at])
        flight->peak[at] = now;
    if (now > allowed(&flight->limits[at], event->t))
        verdict_add_violation(verdict, "%s: %lu in flight, limit %lu, request %s", key,
                              (unsigned long)now,
                              (unsigned long)allowed(&flight->limits[at], event->t), event->id);
}

static void
summarize_peak(const in_flight_t *flight, verdict_t *verdict)
{
    uint64_t peak = 0;
    for (size_t i = 0; i < flight->index.count && i < KEYS_MAX; i++)
        peak = flight->peak[i] > peak ? flight->peak[i] : peak;
    snprintf(verdict->note, sizeof(verdict->note), "most at once: %lu", (unsigned long)peak);
}

void
rule_region_limit(const events_t *events, verdict_t *verdict)
{
    verdict->guarantee = "a region's limit of requests in flight";
    in_flight_t *flight = xcalloc(1, sizeof(*flight));
    for (size_t i = 0; i < events->count; i++) {
        const event_t *event = &events->items[i];
        if (event->type == EV_STORE_WRITE && strcmp(event->kind, "region") == 0) {
            const size_t at = index_intern(&flight->index, event->name);
            if (at < KEYS_MAX)
                set_limit(&flight->limits[at], member(event->value, "limit"), event->t);
        } else if (event->type == EV_ENTER || event->type == EV_LEAVE) {
            count_event(flight, event, event->region, verdict);
        }
    }
    summarize_peak(flight, verdict);
    index_free(&flight->index);
    free(flight);
}

void
rule_row_limit(const events_t *events, verdict_t *verdict)
{
    verdict->guarantee = "a row's limit of requests in flight";
    in_flight_t *flight = xcalloc(1, sizeof(*flight));
    for (size_t i = 0; i < events->count; i++) {
        const event_t *event = &events->items[i];
        char key[KEY_SIZE];
        if (event->type == EV_STORE_WRITE && strcmp(event->kind, "table") == 0) {
            read_rows(event, "limit", &flight->index, flight->limits);
        } else if (event->type == EV_ENTER || event->type == EV_LEAVE) {
            row_key(key, event->service, event->place);
            count_event(flight, event, key, verdict);
        }
    }
    summarize_peak(flight, verdict);
    index_free(&flight->index);
    free(flight);
}

void
rule_row_rate(const events_t *events, verdict_t *verdict)
{
    verdict->guarantee = "a row's rate of requests";
    index_t index = {0};
    limit_t *limits = xcalloc(KEYS_MAX, sizeof(*limits));
    uint64_t *bin = xcalloc(KEYS_MAX, sizeof(*bin));
    uint64_t *count = xcalloc(KEYS_MAX, sizeof(*count));
    for (size_t i = 0; i < events->count; i++) {
        const event_t *event = &events->items[i];
        if (event->type == EV_STORE_WRITE && strcmp(event->kind, "table") == 0)
            read_rows(event, "rate", &index, limits);
        if (event->type != EV_ENTER)
            continue;
        char key[KEY_SIZE];
        row_key(key, event->service, event->place);
        const size_t at = index_intern(&index, key);
        if (at >= KEYS_MAX || allowed(&limits[at], event->t) == UINT64_MAX)
            continue;
        const uint64_t now = event->t / ((uint64_t)RATE_WINDOW_S * US_PER_S);
        count[at] = now == bin[at] ? count[at] + 1 : 1;
        bin[at] = now;
        verdict->examined++;
        const double max_count =
            (double)allowed(&limits[at], event->t) * RATE_WINDOW_S * RATE_SLACK + 1;
        if ((double)count[at] > max_count)
            verdict_add_violation(verdict, "%s: %lu requests in %d s, limit %.0f", key,
                                  (unsigned long)count[at], RATE_WINDOW_S, max_count);
    }
    free(limits);
    free(bin);
    free(count);
    index_free(&index);
}

void
rule_extra_requests(const events_t *events, verdict_t *verdict)
{
    static const double max_ratio = 1.1;
    verdict->guarantee = "requests at backend servers stay below 1.1 of the callers'";
    size_t sent = 0;
    size_t entered = 0;
    for (size_t i = 0; i < events->count; i++) {
        sent += events->items[i].type == EV_SEND;
        entered += events->items[i].type == EV_ENTER;
    }
    verdict->examined = entered;
    snprintf(verdict->note, sizeof(verdict->note), "%zu for %zu", entered, sent);
    if (sent > 0 && (double)entered > max_ratio * (double)sent + 20)
        verdict_add_violation(verdict, "%zu requests entered for %zu sent", entered, sent);
}
