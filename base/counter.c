#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/xmalloc.h"

enum {
    SUB_BITS = 4,
    SUB_COUNT = 1 << SUB_BITS,
    BUCKET_COUNT = 40 * SUB_COUNT,
};

struct counter {
    char *name;
    char *labels;
    char *help;
    int64_t value;
    counter_t *next;
};

struct histogram {
    char *name;
    char *labels;
    char *help;
    uint64_t total;
    uint64_t sum_us;
    uint64_t buckets[BUCKET_COUNT];
    histogram_t *next;
};

static counter_t *counters;
static histogram_t *histograms;

static char *
dup_or_null(const char *text)
{
    return text != NULL ? xmemdup0(text, strlen(text)) : NULL;
}

static int
same_series(const char *name, const char *labels, const char *other_name, const char *other_labels)
{
    return strcmp(name, other_name) == 0 &&
           strcmp(labels != NULL ? labels : "", other_labels != NULL ? other_labels : "") == 0;
}

counter_t *
counter_get(const char *name, const char *labels, const char *help)
{
    counter_t **slot = &counters;
    for (; *slot != NULL; slot = &(*slot)->next) {
        if (same_series(name, labels, (*slot)->name, (*slot)->labels))
            return *slot;
    }
    counter_t *counter = xcalloc(1, sizeof(*counter));
    counter->name = dup_or_null(name);
    counter->labels = dup_or_null(labels);
    counter->help = dup_or_null(help);
    *slot = counter;
    return counter;
}

void
counter_add(counter_t *counter, uint64_t n)
{
    counter->value += (int64_t)n;
}

void
counter_set(counter_t *counter, int64_t value)
{
    counter->value = value;
}

int64_t
counter_value(const counter_t *counter)
{
    return counter->value;
}

static size_t
bucket_index(uint64_t us)
{
    if (us < SUB_COUNT)
        return (size_t)us;
    const unsigned exponent = 63u - (unsigned)__builtin_clzll(us);
    const size_t sub = (size_t)(us >> (exponent - SUB_BITS)) & (SUB_COUNT - 1);
    const size_t bucket = (size_t)(exponent - SUB_BITS + 1) * SUB_COUNT + sub;
    return bucket < BUCKET_COUNT ? bucket : BUCKET_COUNT - 1;
}

static uint64_t
bucket_upper_bound(size_t bucket)
{
    if (bucket < SUB_COUNT)
        return bucket;
    const size_t shift = bucket / SUB_COUNT - 1;
    return ((SUB_COUNT + bucket % SUB_COUNT + 1) << shift) - 1;
}

histogram_t *
histogram_new(void)
{
    return xcalloc(1, sizeof(histogram_t));
}

void
histogram_free(histogram_t *histogram)
{
    free(histogram);
}

histogram_t *
histogram_get(const char *name, const char *labels, const char *help)
{
    histogram_t **slot = &histograms;
    for (; *slot != NULL; slot = &(*slot)->next) {
        if (same_series(name, labels, (*slot)->name, (*slot)->labels))
            return *slot;
    }
    histogram_t *histogram = histogram_new();
    histogram->name = dup_or_null(name);
    histogram->labels = dup_or_null(labels);
    histogram->help = dup_or_null(help);
    *slot = histogram;
    return histogram;
}

void
histogram_record(histogram_t *histogram, uint64_t us)
{
    histogram->buckets[bucket_index(us)]++;
    histogram->total++;
    histogram->sum_us += us;
}

uint64_t
histogram_count(const histogram_t *histogram)
{
    return histogram->total;
}

uint64_t
histogram_quantile(const histogram_t *histogram, double q)
{
    if (histogram->total == 0)
        return 0;
    uint64_t rank = (uint64_t)ceil(q * (double)histogram->total);
    if (rank == 0)
        rank = 1;
    uint64_t seen = 0;
    for (size_t i = 0; i < BUCKET_COUNT; i++) {
        seen += histogram->buckets[i];
        if (seen >= rank)
            return bucket_upper_bound(i);
    }
    BUG("histogram total does not match its buckets");
}

static void
expose_histogram(FILE *out, const histogram_t *h)
{
    static const uint64_t bounds_us[] = {1000,   2500,   5000,    10000,   25000,   50000,
                                         100000, 250000, 1000000, 5000000, 30000000};
    const char *labels = h->labels != NULL ? h->labels : "";
    const char *comma = labels[0] != '\0' ? "," : "";
    fprintf(out, "# HELP %s %s\n# TYPE %s histogram\n", h->name, h->help, h->name);
    uint64_t seen = 0;
    size_t bucket = 0;
    for (size_t i = 0; i < ALEN(bounds_us); i++) {
        while (bucket < BUCKET_COUNT && bucket_upper_bound(bucket) <= bounds_us[i])
            seen += h->buckets[bucket++];
        fprintf(out, "%s_bucket{%s%sle=\"%g\"} %lu\n", h->name, labels, comma,
                (double)bounds_us[i] / 1e6, (unsigned long)seen);
    }
    fprintf(out, "%s_bucket{%s%sle=\"+Inf\"} %lu\n", h->name, labels, comma,
            (unsigned long)h->total);
    fprintf(out, "%s_sum{%s} %g\n%s_count{%s} %lu\n", h->name, labels, (double)h->sum_us / 1e6,
            h->name, labels, (unsigned long)h->total);
}

char *
counter_expose(size_t *len)
{
    char *text = NULL;
    FILE *out = open_memstream(&text, len);
    if (out == NULL)
        BUG("out of memory");
    for (const counter_t *c = counters; c != NULL; c = c->next) {
        fprintf(out, "# HELP %s %s\n", c->name, c->help);
        if (c->labels != NULL)
            fprintf(out, "%s{%s} %ld\n", c->name, c->labels, (long)c->value);
        else
            fprintf(out, "%s %ld\n", c->name, (long)c->value);
    }
    for (const histogram_t *h = histograms; h != NULL; h = h->next)
        expose_histogram(out, h);
    fclose(out);
    return text;
}
