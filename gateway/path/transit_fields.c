#include "gateway/path/transit_fields.h"

static const str_t field_service = {"Irisstall-Service", 17};
static const str_t field_account = {"Irisstall-Account", 17};
static const str_t field_caller = {"Irisstall-Caller", 16};
static const str_t field_revision = {"Irisstall-Revision", 18};
static const str_t field_sends = {"Irisstall-Sends", 15};
/* Not read any more; instances of earlier versions take no request without them. */
static const str_t field_waited = {"Irisstall-Waited-Ms", 19};
static const str_t field_expected = {"Irisstall-Expected", 18};
static const str_t field_result = {"Irisstall-Result", 16};
static const str_t field_retry_after = {"Irisstall-Retry-After-Ms", 24};

static const char *const result_names[TRANSIT_RESULT_COUNT] = {
    [TRANSIT_FORWARDED] = "forwarded",
    [TRANSIT_NOT_RUN] = "not_run",
    [TRANSIT_DECLINED] = "declined",
    [TRANSIT_UNKNOWN] = "unknown",
};

const char *
transit_result_name(transit_result_t result)
{
    return result_names[result];
}

static void
write_number(wire_text_t *out, str_t name, uint64_t value)
{
    wire_text_printf(out, "%.*s: %llu\r\n", STR_ARG(name), (unsigned long long)value);
}

void
transit_terms_write(const transit_terms_t *terms, wire_text_t *out)
{
    char caller[ADDR_TEXT_MAX];
    wire_text_field(out, field_service, terms->service);
    wire_text_field(out, field_account, terms->account);
    wire_text_field(out, field_caller, str_from(addr_format(&terms->caller, caller)));
    write_number(out, field_revision, terms->revision);
    write_number(out, field_sends, terms->sends);
    write_number(out, field_waited, 0);
    write_number(out, field_expected, 0);
}

/* Reads a number of at most 32 bits. */
static bool
read_u32(const wire_head_t *head, str_t name, uint32_t *out)
{
    uint64_t value;
    if (!str_to_u64(wire_head_find(head, name), &value) || value > UINT32_MAX)
        return false;
    *out = (uint32_t)value;
    return true;
}

bool
transit_terms_take(wire_head_t *head, transit_terms_t *out)
{
    *out = (transit_terms_t){
        .service = wire_head_find(head, field_service),
        .account = wire_head_find(head, field_account),
    };
    const bool valid = out->service.len > 0 &&
                       addr_parse(wire_head_find(head, field_caller), &out->caller) &&
                       str_to_u64(wire_head_find(head, field_revision), &out->revision) &&
                       read_u32(head, field_sends, &out->sends);
    const str_t fields[] = {field_service, field_account, field_caller,  field_revision,
                            field_sends,   field_waited,  field_expected};
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
        wire_head_remove(head, fields[i]);
    return valid;
}

void
transit_report_write(const transit_report_t *report, wire_text_t *out)
{
    wire_text_field(out, field_result, str_from(result_names[report->result]));
    write_number(out, field_sends, report->sends);
    write_number(out, field_retry_after, report->retry_after_ms);
}

/* A result of a later version counts as unknown: the request may have run. */
static transit_result_t
parse_result(str_t name)
{
    for (transit_result_t result = 0; result < TRANSIT_RESULT_COUNT; result++) {
        if (str_eq(name, str_from(result_names[result])))
            return result;
    }
    return TRANSIT_UNKNOWN;
}

transit_report_t
transit_report_read(const wire_head_t *head)
{
    transit_report_t report = {.result = TRANSIT_FORWARDED};
    const str_t result = wire_head_find(head, field_result);
    if (result.len == 0)
        return report;
    report.result = parse_result(result);
    if (!read_u32(head, field_sends, &report.sends) ||
        !read_u32(head, field_retry_after, &report.retry_after_ms))
        report = (transit_report_t){.result = TRANSIT_UNKNOWN};
    return report;
}
