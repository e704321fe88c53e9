/* Shift cap rule: how fast a data hall's share of a service's traffic may grow. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "check/rules.h"

enum { BIN_S = 5, US_PER_S = 1000000, ROWS_MAX = 256, SERVICES_MAX = 32, BIN_REQUESTS_MIN = 100 };

#define NOISE_SIGMAS 4.5
#define POINTS 100.0

typedef struct {
    size_t service;
    char place[64];
    double cap;       /* highest cap of the run */
    uint32_t *starts; /* requests entered, per bin */
} row_t;

typedef struct {
    uint64_t first_us;
    size_t bins;
    index_t services;
    uint32_t *sends[SERVICES_MAX];
    row_t rows[ROWS_MAX];
    size_t row_count;
} shift_t;

static row_t *
find_row(shift_t *shift, const char *service, const char *place)
{
    const size_t index = index_intern(&shift->services, service);
    for (size_t i = 0; i < shift->row_count; i++) {
        if (shift->rows[i].service == index && strcmp(shift->rows[i].place, place) == 0)
            return &shift->rows[i];
    }
    if (shift->row_count == ROWS_MAX || index >= SERVICES_MAX)
        return NULL;
    row_t *row = &shift->rows[shift->row_count++];
    *row = (row_t){.service = index, .cap = -1};
    snprintf(row->place, sizeof(row->place), "%s", place);
    row->starts = xcalloc(shift->bins, sizeof(*row->starts));
    return row;
}

static void
read_caps(shift_t *shift, const event_t *event)
{
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(event->value, "rows"), i, item)
    {
        row_t *row =
            find_row(shift, event->name, json_string_value(json_object_get(item, "place")));
        const json_t *cap = json_object_get(item, "cap");
        const double value = cap != NULL ? json_number_value(cap) : POINTS;
        if (row != NULL && value > row->cap)
            row->cap = value;
    }
}

static size_t
bin_of(const shift_t *shift, uint64_t t)
{
    return (size_t)((t - shift->first_us) / ((uint64_t)BIN_S * US_PER_S));
}

static void
count_event(shift_t *shift, const event_t *event, index_t *seen)
{
    const size_t bin = bin_of(shift, event->t);
    if (event->type == EV_SEND) {
        const size_t service = index_intern(&shift->services, event->service);
        if (service >= SERVICES_MAX)
            return;
        if (shift->sends[service] == NULL)
            shift->sends[service] = xcalloc(shift->bins, sizeof(**shift->sends));
        shift->sends[service][bin]++;
    } else if (index_find(seen, event->id) == SIZE_MAX) { /* skips retries and hedges */
        index_intern(seen, event->id);
        row_t *row = find_row(shift, event->service, event->place);
        if (row != NULL)
            row->starts[bin]++;
    }
}

static void
compare_bins(const shift_t *shift, const row_t *row, size_t early, size_t late, verdict_t *verdict,
             double *greatest)
{
    const uint32_t *sends = shift->sends[row->service];
    if (sends == NULL || sends[early] < BIN_REQUESTS_MIN || sends[late] < BIN_REQUESTS_MIN)
        return;
    const double before = row->starts[early] / (double)sends[early];
    const double after = row->starts[late] / (double)sends[late];
    const double variance = (before * (1 - before) + 0.01) / sends[early] +
                            (after * fabs(1 - after) + 0.01) / sends[late];
    const double noise = NOISE_SIGMAS * sqrt(variance) * POINTS;
    const double rise = (after - before) * POINTS;
    verdict->examined++;
    if (rise > *greatest)
        *greatest = rise;
    if (rise > row->cap + noise)
        verdict_add_violation(verdict, "%s: %.1f points in %zu s, cap %.1f, noise %.1f", row->place,
                              rise, (late - early) * BIN_S, row->cap, noise);
}

void
rule_shift_cap(const events_t *events, verdict_t *verdict)
{
    verdict->guarantee = "a shift's cap";
    if (events->count == 0)
        return;
    shift_t *shift = xcalloc(1, sizeof(*shift));
    index_t seen = {0};
    shift->first_us = events->items[0].t;
    shift->bins = bin_of(shift, events->items[events->count - 1].t) + 1;
    for (size_t i = 0; i < events->count; i++) {
        const event_t *event = &events->items[i];
        if (event->type == EV_STORE_WRITE && strcmp(event->kind, "table") == 0)
            read_caps(shift, event);
        else if (event->type == EV_SEND || event->type == EV_ENTER)
            count_event(shift, event, &seen);
    }
    double greatest = 0;
    const size_t window = CAP_WINDOW_S / BIN_S;
    for (size_t r = 0; r < shift->row_count; r++) {
        const row_t *row = &shift->rows[r];
        for (size_t early = 1; row->cap >= 0 && early + 2 < shift->bins; early++) {
            for (size_t late = early + 1; late <= early + window && late + 1 < shift->bins; late++)
                compare_bins(shift, row, early, late, verdict, &greatest);
        }
        free(shift->rows[r].starts);
    }
    snprintf(verdict->note, sizeof(verdict->note), "greatest rise, noise included: %.1f points",
             greatest);
    for (size_t i = 0; i < SERVICES_MAX; i++)
        free(shift->sends[i]);
    index_free(&shift->services);
    index_free(&seen);
    free(shift);
}
