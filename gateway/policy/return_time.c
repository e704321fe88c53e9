#include "gateway/policy/return_time.h"

#include <math.h>

/* Callers honour Retry-After up to this part of the time that they have left (the platform's
 * protocol). */
#define HONOURED_PART (1.0 / 3)
/* Least part of the work that is counted as this instance's own. */
#define OWN_SHARE_MIN 1e-4

/* When callers can come back to a place, and how much later the next one. */
typedef struct {
    double from_ms;
    double each_ms;
} turn_t;

static turn_t
turn_at_server(const return_input_t *input)
{
    const return_server_t *server = &input->server;
    if (server->slots <= 0)
        return (turn_t){(double)input->now_ms, 0};
    const double each_ms = (1 + server->use) * server->work_ms / server->slots;
    const double ahead = fmax(0, server->load + 1 - server->slots);
    const double free_ms = (double)input->now_ms + ahead * each_ms;
    return (turn_t){fmax(free_ms, (double)server->told_until_ms), each_ms};
}

static turn_t
turn_in_room(const return_input_t *input)
{
    const return_room_t *room = &input->room;
    if (room->slots <= 0)
        return (turn_t){(double)input->now_ms, 0};
    const double own_slots = room->slots * fmax(input->own_share, OWN_SHARE_MIN);
    const double from_ms = fmax((double)input->now_ms, (double)room->told_until_ms);
    return (turn_t){from_ms, input->work_ms / own_slots};
}

return_time_t
return_time_decide(const return_input_t *input)
{
    const turn_t server = turn_at_server(input);
    const turn_t room = turn_in_room(input);
    const double each_ms = fmax(server.each_ms, room.each_ms);
    if (each_ms <= 0)
        return (return_time_t){0};
    const double at_ms = fmax(server.from_ms, room.from_ms) + input->spread * each_ms;
    const double after_ms = fmax(ceil(at_ms - (double)input->now_ms), 1);
    const double others = fmax(input->own_share, OWN_SHARE_MIN);
    return (return_time_t){
        .after_ms = after_ms < UINT32_MAX ? (uint32_t)after_ms : UINT32_MAX,
        .comes_back = after_ms <= HONOURED_PART * input->left_ms &&
                      after_ms + input->work_ms <= input->left_ms,
        .server_told_ms = (uint64_t)(server.from_ms + server.each_ms / others),
        .room_told_ms = (uint64_t)(room.from_ms + room.each_ms),
    };
}
