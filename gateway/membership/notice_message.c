#include "gateway/membership/notice_message.h"
#include "gateway/membership/message_age.h"

#include <math.h>

void
notice_message_fill(Iris__BackendNotice *out, const notice_t *notice, uint64_t now_ms)
{
    iris__backend_notice__init(out);
    /* protobuf-c strings are not const but never written to. */
    out->backend = (char *)(uintptr_t)notice->backend.ptr;
    out->born = notice->born;
    out->tells_limit = notice->limit.stated_ms > 0;
    out->names_limit = notice->limit.is_set;
    out->limit_per_s = notice->limit.per_s;
    out->limit_age_ms = message_age_ms(notice->limit.stated_ms, now_ms);
    out->leaves = notice->leaving;
    out->leaves_age_ms = notice->leaving ? message_age_ms(notice->leaving_since_ms, now_ms) : 0;
}

bool
notice_message_read(const Iris__BackendNotice *message, notice_t *out, uint64_t now_ms)
{
    *out = (notice_t){.born = message->born};
    if (!name_set(&out->backend, str_from(message->backend)))
        return false;
    const bool usable = isfinite(message->limit_per_s) && message->limit_per_s >= 0;
    if (message->tells_limit && usable) {
        out->limit.is_set = message->names_limit;
        out->limit.per_s = message->limit_per_s;
        out->limit.stated_ms = message_time_ms(message->limit_age_ms, now_ms);
    }
    out->leaving = message->leaves;
    out->leaving_since_ms = message_time_ms(message->leaves_age_ms, now_ms);
    return true;
}
