/*
 * Limits that a request must pass in its region, as far as this instance holds them.
 *
 * A request is admitted if a credit of the region, a share of its row's in-flight limit and a token
 * of each rate are available; they are taken all together or not at all. Performs no I/O.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bucket.h"
#include "base/error.h"
#include "base/str.h"
#include "entry/region/credit.h"

/* Configured limits of a region. */
typedef struct {
    name_t region;
    uint64_t version;
    uint32_t limit;      /* requests in flight */
    uint32_t rate;       /* requests started per second, 0: unlimited */
    uint64_t link_bytes; /* response bytes per second over its links, 0: unlimited */
} region_limits_t;

bool region_limits_parse(str_t json, uint64_t version, region_limits_t *out, err_t *err);

typedef enum {
    LIMITER_ADMITTED,
    LIMITER_REGION_FULL,
    LIMITER_REGION_RATE,
    LIMITER_ROW_FULL,
    LIMITER_ROW_RATE,
    LIMITER_LINK_FULL,
} limiter_result_t;

const char *limiter_result_name(limiter_result_t result);

/* Usage of one table row by this instance. */
typedef struct {
    name_t service;
    name_t place;
    uint32_t limit; /* of the row, 0: none */
    uint32_t rate;
    uint32_t in_flight;
    bucket_t tokens;
} limiter_row_t;

typedef struct {
    credit_t *credit;
    region_limits_t limits;
    bucket_t region_tokens;
    bucket_t link_tokens;
    limiter_row_t **rows; /* stable addresses */
    size_t row_count;
} limiter_t;

void limiter_init(limiter_t *limiter, credit_t *credit, uint64_t now_ms);
void limiter_set_limits(limiter_t *limiter, const region_limits_t *limits);
/* Returns the entry for a row and creates it on first use. */
limiter_row_t *limiter_row(limiter_t *limiter, str_t service, str_t place);
/* `is_long`: the deadline is longer than CREDIT_SHORT_MS. */
limiter_result_t limiter_acquire(limiter_t *limiter, limiter_row_t *row, bool is_long,
                                 uint64_t now_ms);
void limiter_release(limiter_t *limiter, limiter_row_t *row, bool is_long);
/* Charges response bytes; on false, stop reading until limiter_link_available() is true. */
bool limiter_charge_link(limiter_t *limiter, size_t bytes, uint64_t now_ms);
bool limiter_link_available(limiter_t *limiter, uint64_t now_ms);
/* True if use, rows included, is within the shares of the current epoch. */
bool limiter_settled(const limiter_t *limiter, uint64_t now_ms);
