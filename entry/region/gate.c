#include <stdlib.h>

#include <jansson.h>

#include "base/mutate.h"
#include "base/xmalloc.h"
#include "entry/region/gate.h"

/* Lengths of the bursts, in seconds, that a rate (docs/TABLE.md) and the region's links allow.
 * Chosen, not measured. */
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
        err_set(err, ERR_INVALID, "region %s: limit is 1 or more, rate and link_bytes 0 or more",
                region);
    out->version = version;
    out->limit = (uint32_t)limit;
    out->rate = (uint32_t)rate;
    out->link_bytes = (uint64_t)link_bytes;
    json_decref(root);
    return ok;
}

const char *
gate_result_name(gate_result_t result)
{
    static const char *const names[] = {
        [GATE_OPEN] = "open",
        [GATE_REGION_FULL] = "region_full",
        [GATE_REGION_RATE] = "region_rate",
        [GATE_ROW_FULL] = "row_full",
        [GATE_ROW_RATE] = "row_rate",
        [GATE_LINK_FULL] = "link_full",
    };
    return names[result];
}

void
gate_init(gate_t *gate, credit_t *credit, uint64_t now_ms)
{
    *gate = (gate_t){.credit = credit};
    bucket_init(&gate->region_tokens, 0, 0, now_ms);
    bucket_init(&gate->link_tokens, 0, 0, now_ms);
}

void
gate_set_limits(gate_t *gate, const region_limits_t *limits)
{
    gate->limits = *limits;
}

gate_row_t *
gate_row(gate_t *gate, str_t service, str_t place)
{
    for (size_t i = 0; i < gate->row_count; i++) {
        if (name_eq(&gate->rows[i]->service, service) && name_eq(&gate->rows[i]->place, place))
            return gate->rows[i];
    }
    gate_row_t *row = xcalloc(1, sizeof(*row));
    name_set(&row->service, service);
    name_set(&row->place, place);
    gate->rows = xrealloc(gate->rows, (gate->row_count + 1) * sizeof(row));
    gate->rows[gate->row_count++] = row;
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

static gate_result_t
check(gate_t *gate, gate_row_t *row, uint64_t now_ms)
{
    const double fraction = credit_fraction(gate->credit, now_ms);
    if (mutate_is(MUTATE_NO_LIMIT))
        return GATE_OPEN;
    if (credit_in_flight(gate->credit) >= credit_usable(gate->credit, now_ms))
        return GATE_REGION_FULL;
    if (row->limit > 0 && row->in_flight >= credit_part(gate->credit, row->limit, now_ms))
        return GATE_ROW_FULL;
    if (!gate_link_open(gate, now_ms))
        return GATE_LINK_FULL;
    if (!has_token(&gate->region_tokens, gate->limits.rate, fraction, now_ms))
        return GATE_REGION_RATE;
    if (!has_token(&row->tokens, row->rate, fraction, now_ms))
        return GATE_ROW_RATE;
    return GATE_OPEN;
}

gate_result_t
gate_enter(gate_t *gate, gate_row_t *row, bool is_long, uint64_t now_ms)
{
    const gate_result_t result = check(gate, row, now_ms);
    if (result != GATE_OPEN)
        return result;
    if (!credit_take(gate->credit, is_long, now_ms))
        return GATE_REGION_FULL;
    row->in_flight++;
    if (gate->limits.rate > 0)
        bucket_charge(&gate->region_tokens, 1, now_ms);
    if (row->rate > 0)
        bucket_charge(&row->tokens, 1, now_ms);
    return GATE_OPEN;
}

void
gate_leave(gate_t *gate, gate_row_t *row, bool is_long)
{
    xassert(row->in_flight > 0);
    row->in_flight--;
    credit_release(gate->credit, is_long);
}

bool
gate_link_open(gate_t *gate, uint64_t now_ms)
{
    if (gate->limits.link_bytes == 0)
        return true;
    const double part = (double)gate->limits.link_bytes * credit_fraction(gate->credit, now_ms);
    bucket_set_rate(&gate->link_tokens, part, part * LINK_BURST_S, now_ms);
    return bucket_tokens(&gate->link_tokens, now_ms) >= 0;
}

bool
gate_link_charge(gate_t *gate, size_t bytes, uint64_t now_ms)
{
    if (gate->limits.link_bytes == 0)
        return true;
    bucket_charge(&gate->link_tokens, (double)bytes, now_ms);
    return gate_link_open(gate, now_ms);
}

bool
gate_settled(const gate_t *gate, uint64_t now_ms)
{
    if (!credit_settled(gate->credit))
        return false;
    for (size_t i = 0; i < gate->row_count; i++) {
        const gate_row_t *row = gate->rows[i];
        if (row->limit > 0 && row->in_flight > credit_part(gate->credit, row->limit, now_ms))
            return false;
    }
    return true;
}
