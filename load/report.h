/* What a load run measured, per request class, and its printed forms. */
#pragma once

#include "base/counter.h"
#include "load/config.h"

enum { REPORT_PLACES_MAX = 512 };

typedef enum {
    RESULT_WHOLE,    /* the whole right answer */
    RESULT_NOT_RUN,  /* told that it was not run */
    RESULT_UNKNOWN,  /* told that nobody knows */
    RESULT_BROKEN,   /* the answer broke off, seen as such */
    RESULT_WRONG,    /* a whole answer that is not the request's own */
    RESULT_NO_ROUTE, /* no look-up answered */
    RESULT_COUNT,
} load_result_t;

typedef struct {
    name_t name;
    uint64_t early; /* answers in the first half of the run */
    uint64_t late;
} place_count_t;

typedef struct {
    histogram_t *latency; /* of whole answers, from the intended send time */
    uint64_t results[RESULT_COUNT];
    uint64_t missed; /* not sent: too many under way */
    place_count_t places[REPORT_PLACES_MAX];
    size_t place_count;
} class_report_t;

typedef struct {
    const load_config_t *config;
    class_report_t classes[LOAD_CLASSES_MAX];
    double seconds;
} report_t;

const char *load_result_name(load_result_t result);
void report_init(report_t *report, const load_config_t *config);
void report_record_place(class_report_t *report, str_t place, bool late);
void report_print(const report_t *report);
/* Lines "experiment variant class metric value unit", separated by tabs. */
bool report_append_tsv(const report_t *report, const char *path, const char *experiment,
                       const char *variant, err_t *err);
