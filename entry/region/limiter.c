#include <stdlib.h>

#include <jansson.h>

#include "base/mutate.h"
#include "base/xmalloc.h"
#include "entry/region/limiter.h"

/* Bucket depths, in seconds at the full rate. */
#define RATE_BURST_S 0.25
#define LINK_BURST_S 0.1

bool
region_limits_parse(str_t json, uint64_t version, region_limits_t *out, err_t *err)
{
    json_error_t jerr;
    const char *region;
    json_int_t limit;
    json_int_t rate = 0;
    json_int_t link_bytes = 0;
    json_t *root = json_loadb(json.ptr, json.len, JSON_REJECT_DUPLICATES, &jerr);
    if (root == NULL ||
        json_unpack_ex(root, &jerr, JSON_STRICT, "{s:s, s:I, s?I, s?I}", "region", &region, "limit",
                       &limit, "rate", &rate, "link_bytes", &link_bytes) != 0) {
        err_set(err, ERR_PARSE, "region: %s", jerr.text);
        json_decref(root);
        return false;
    }
    const bool ok = name_set(&out->region, str_from(region)) && limit >= 1 && limit <= UINT32_MAX &&
                    rate >= 0 && rate <= UINT32_MAX && link_bytes >= 0;
    if (!ok)
        err_set(err, ERR_INVALID,
                "region %s: limit must be at least 1, rate and link_bytes at least 0", region);
    out->version = version;
    out->limit = (uint32_t)limit;
    out->rate = (uint32_t)rate;
    out->link_bytes = (uint64_t)link_bytes;
    json_decref(root);
    return ok;
}

const char *
limiter_result_name(limiter_result_t result)
{
    static const char *const names[] = {
        [LIMITER_ADMITTED] = "open",           [LIMITER_REGION_FULL] = "region_full",
        [LIMITER_REGION_RATE] = "region_rate", [LIMITER_ROW_FULL] = "row_full",
        [LIMITER_ROW_RATE] = "row_rate",       [LIMITER_LINK_FULL] = "link_full",
    };
    return names[result];
}

void
limiter_init(limiter_t *limiter, credit_t *credit, uint64_t now_ms)
{
    *limiter = (limiter_t){.credit = credit};
    bucket_init(&limiter->region_tokens, 0, 0, now_ms);
    bucket_init(&limiter->link_tokens, 0, 0, now_ms);
}

void
limiter_set_limits(limiter_t *limiter, const region_limits_t *limits)
{
    limiter->limits = *limits;
}

limiter_row_t *
limiter_row(limiter_t *limiter, str_t service, str_t place)
{
    for (size_t i = 0; i < limiter->row_count; i++) {
        if (name_eq(&limiter->rows[i]->service, service) &&
            name_eq(&limiter->rows[i]->place, place))
            return limiter->rows[i];
    }
    limiter_row_t *row = xcalloc(1, sizeof(*row));
    name_set(&row->service, service);
    name_set(&row->place, place);
    limiter->rows = xrealloc(limiter->rows, (limiter->row_count + 1) * sizeof(row));
    limiter->rows[limiter->row_count++] = row;
    return row;
}

static bool
has_token(bucket_t *bucket, uint32_t rate, double fraction, uint64_t now_ms)
{
    if (rate == 0)
        return true;
    const double part = rate * fraction;
    const double burst = part * RATE_BURST_S > 1 ? part * RATE_BURST_S : 1;
    bucket_set_rate(bucket, part, burst, now_ms);
    return bucket_tokens(bucket, now_ms) >= 1;
}

static limiter_result_t
check(limiter_t *limiter, limiter_row_t *row, uint64_t now_ms)
{
    const double fraction = credit_fraction(limiter->credit, now_ms);
    if (mutate_is(MUTATE_NO_LIMIT))
        return LIMITER_ADMITTED;
    if (credit_in_flight(limiter->credit) >= credit_usable(limiter->credit, now_ms))
        return LIMITER_REGION_FULL;
    if (row->limit > 0 && row->in_flight >= credit_share(limiter->credit, row->limit, now_ms))
        return LIMITER_ROW_FULL;
    if (!limiter_link_available(limiter, now_ms))
        return LIMITER_LINK_FULL;
    if (!has_token(&limiter->region_tokens, limiter->limits.rate, fraction, now_ms))
        return LIMITER_REGION_RATE;
    if (!has_token(&row->tokens, row->rate, fraction, now_ms))
        return LIMITER_ROW_RATE;
    return LIMITER_ADMITTED;
}

limiter_result_t
limiter_acquire(limiter_t *limiter, limiter_row_t *row, bool is_long, uint64_t now_ms)
{
    const limiter_result_t result = check(limiter, row, now_ms);
    if (result != LIMITER_ADMITTED)
        return result;
    if (!credit_acquire(limiter->credit, is_long, now_ms))
        return LIMITER_REGION_FULL;
    row->in_flight++;
    if (limiter->limits.rate > 0)
        bucket_charge(&limiter->region_tokens, 1, now_ms);
    if (row->rate > 0)
        bucket_charge(&row->tokens, 1, now_ms);
    return LIMITER_ADMITTED;
}

void
limiter_release(limiter_t *limiter, limiter_row_t *row, bool is_long)
{
    xassert(row->in_flight > 0);
    row->in_flight--;
    credit_release(limiter->credit, is_long);
}

bool
limiter_link_available(limiter_t *limiter, uint64_t now_ms)
{
    if (limiter->limits.link_bytes == 0)
        return true;
    const double part =
        (double)limiter->limits.link_bytes * credit_fraction(limiter->credit, now_ms);
    bucket_set_rate(&limiter->link_tokens, part, part * LINK_BURST_S, now_ms);
    return bucket_tokens(&limiter->link_tokens, now_ms) >= 0;
}

bool
limiter_charge_link(limiter_t *limiter, size_t bytes, uint64_t now_ms)
{
    if (limiter->limits.link_bytes == 0)
        return true;
    bucket_charge(&limiter->link_tokens, (double)bytes, now_ms);
    return limiter_link_available(limiter, now_ms);
}

bool
limiter_settled(const limiter_t *limiter, uint64_t now_ms)
{
    if (!credit_settled(limiter->credit))
        return false;
    for (size_t i = 0; i < limiter->row_count; i++) {
        const limiter_row_t *row = limiter->rows[i];
        if (row->limit > 0 && row->in_flight > credit_share(limiter->credit, row->limit, now_ms))
            return false;
    }
    return true;
}
