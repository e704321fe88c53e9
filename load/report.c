#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "base/xmalloc.h"
#include "load/report.h"

#define US_PER_MS 1000.0

const char *
load_result_name(load_result_t result)
{
    static const char *const names[RESULT_COUNT] = {
        [RESULT_WHOLE] = "whole",   [RESULT_NOT_RUN] = "not_run", [RESULT_UNKNOWN] = "unknown",
        [RESULT_BROKEN] = "broken", [RESULT_WRONG] = "wrong",     [RESULT_NO_ROUTE] = "no_route",
    };
    return names[result];
}

void
report_init(report_t *report, const load_config_t *config)
{
    *report = (report_t){.config = config};
    for (size_t i = 0; i < config->class_count; i++)
        report->classes[i].latency = histogram_new();
}

void
report_record_place(class_report_t *report, str_t place, bool late)
{
    place_count_t *found = NULL;
    for (size_t i = 0; i < report->place_count && found == NULL; i++) {
        if (name_eq(&report->places[i].name, place))
            found = &report->places[i];
    }
    if (found == NULL) {
        if (report->place_count == REPORT_PLACES_MAX)
            return;
        found = &report->places[report->place_count];
        if (!name_set(&found->name, place))
            return;
        report->place_count++;
    }
    if (late)
        found->late++;
    else
        found->early++;
}

static double
quantile_ms(const class_report_t *class_, double q)
{
    return (double)histogram_quantile(class_->latency, q) / US_PER_MS;
}

static void
print_places(const class_report_t *class_)
{
    uint64_t early = 0;
    uint64_t late = 0;
    for (size_t i = 0; i < class_->place_count; i++) {
        early += class_->places[i].early;
        late += class_->places[i].late;
    }
    for (size_t i = 0; i < class_->place_count; i++) {
        const place_count_t *place = &class_->places[i];
        printf("    %-20s first half %5.1f%%   second half %5.1f%%\n", place->name.ptr,
               early > 0 ? 100.0 * (double)place->early / (double)early : 0,
               late > 0 ? 100.0 * (double)place->late / (double)late : 0);
    }
}

void
report_print(const report_t *report)
{
    printf("%-14s %8s %8s %8s %8s %7s %7s %7s | %8s %8s %8s %8s ms\n", "class", "whole", "not_run",
           "unknown", "broken", "wrong", "noroute", "missed", "p50", "p90", "p99", "p99.9");
    for (size_t i = 0; i < report->config->class_count; i++) {
        const class_report_t *c = &report->classes[i];
        const uint64_t *r = c->results;
        printf("%-14s %8lu %8lu %8lu %8lu %7lu %7lu %7lu | %8.1f %8.1f %8.1f %8.1f\n",
               report->config->classes[i].name.ptr, (unsigned long)r[RESULT_WHOLE],
               (unsigned long)r[RESULT_NOT_RUN], (unsigned long)r[RESULT_UNKNOWN],
               (unsigned long)r[RESULT_BROKEN], (unsigned long)r[RESULT_WRONG],
               (unsigned long)r[RESULT_NO_ROUTE], (unsigned long)c->missed, quantile_ms(c, 0.5),
               quantile_ms(c, 0.9), quantile_ms(c, 0.99), quantile_ms(c, 0.999));
        print_places(c);
    }
}

bool
report_append_tsv(const report_t *report, const char *path, const char *experiment,
                  const char *variant, err_t *err)
{
    static const struct {
        const char *name;
        double q;
    } quantiles[] = {{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}};
    FILE *out = fopen(path, "ae");
    if (out == NULL) {
        err_set(err, ERR_SYSTEM, "%s: %s", path, strerror(errno));
        return false;
    }
    for (size_t i = 0; i < report->config->class_count; i++) {
        const class_report_t *c = &report->classes[i];
        const char *name = report->config->classes[i].name.ptr;
        for (size_t q = 0; q < ALEN(quantiles); q++)
            fprintf(out, "%s\t%s\t%s\t%s\t%.2f\tms\n", experiment, variant, name, quantiles[q].name,
                    quantile_ms(c, quantiles[q].q));
        for (size_t r = 0; r < RESULT_COUNT; r++)
            fprintf(out, "%s\t%s\t%s\t%s\t%lu\trequests\n", experiment, variant, name,
                    load_result_name((load_result_t)r), (unsigned long)c->results[r]);
        fprintf(out, "%s\t%s\t%s\tgoodput\t%.1f\trequests/s\n", experiment, variant, name,
                (double)c->results[RESULT_WHOLE] / report->seconds);
    }
    fclose(out);
    return true;
}
