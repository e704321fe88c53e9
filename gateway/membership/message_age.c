#include "gateway/membership/message_age.h"

uint32_t
message_age_ms(uint64_t at_ms, uint64_t now_ms)
{
    const uint64_t age_ms = now_ms > at_ms ? now_ms - at_ms : 0;
    return age_ms < UINT32_MAX ? (uint32_t)age_ms : UINT32_MAX;
}

uint64_t
message_time_ms(uint32_t age_ms, uint64_t now_ms)
{
    return now_ms > age_ms ? now_ms - age_ms : 1;
}
