#include <math.h>

#include "gateway/state/traffic.h"

/* Time constant of the averages, in milliseconds. */
#define AVERAGE_TAU_MS 2000.0
/* Assumed size of the headers of a request and its response. */
enum { HEADER_BYTES = 600 };
#define MS_PER_S 1000.0

void
traffic_count(traffic_t *traffic, size_t bytes)
{
    traffic->requests++;
    traffic->bytes += bytes + HEADER_BYTES;
}

void
traffic_update(traffic_t *traffic, uint64_t now_ms)
{
    const double passed_ms = (double)(now_ms - traffic->updated_ms);
    if (passed_ms <= 0)
        return;
    const double gain = 1 - exp(-passed_ms / AVERAGE_TAU_MS);
    const double requests_per_s = (double)traffic->requests * MS_PER_S / passed_ms;
    const double bytes_per_s = (double)traffic->bytes * MS_PER_S / passed_ms;
    traffic->requests_per_s += gain * (requests_per_s - traffic->requests_per_s);
    traffic->bytes_per_s += gain * (bytes_per_s - traffic->bytes_per_s);
    traffic->requests = 0;
    traffic->bytes = 0;
    traffic->updated_ms = now_ms;
}
