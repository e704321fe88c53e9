#include "gateway/policy/traffic_split.h"

str_t
traffic_split_pick(const config_route_t *route, double point)
{
    double total = 0;
    for (size_t i = 0; i < route->target_count; i++)
        total += route->targets[i].weight;
    double left = point * total;
    for (size_t i = 0; i < route->target_count; i++) {
        left -= route->targets[i].weight;
        if (left < 0)
            return name_str(&route->targets[i].service);
    }
    return name_str(&route->targets[route->target_count - 1].service);
}
