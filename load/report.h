/* Measurements of a load run per request class, and their output formats. */
#pragma once

#include "base/counter.h"
#include "load/config.h"

enum { REPORT_PLACES_MAX = 512 };

typedef enum {
    RESULT_WHOLE,    /* complete, correct response */
    RESULT_NOT_RUN,  /* the request did not run */
    RESULT_UNKNOWN,  /* it is not known whether the request ran */
    RESULT_BROKEN,   /* the response was cut off, detected by the client */
    RESULT_WRONG,    /* complete response with the wrong content */
    RESULT_NO_ROUTE, /* no lookup or key request succeeded */
    RESULT_COUNT,
} load_result_t;

typedef struct {
    name_t name;
    uint64_t early; /* responses in the first half of the run */
    uint64_t late;
} place_count_t;

typedef struct {
    histogram_t *latency; /* of complete responses, from the intended send time */
    uint64_t results[RESULT_COUNT];
    uint64_t missed; /* not sent: too many in flight */
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
/* Appends tab-separated lines "experiment variant class metric value unit". */
bool report_append_tsv(const report_t *report, const char *path, const char *experiment,
                       const char *variant, err_t *err);
