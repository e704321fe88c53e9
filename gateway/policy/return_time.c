#include "gateway/policy/return_time.h"

#include <math.h>

/* Callers honour Retry-After up to this part of the time that they have left (the platform's
 * protocol). */
#define HONOURED_PART (1.0 / 3)
/* Least part of the work that is counted as this instance's own. */
#define OWN_SHARE_MIN 1e-4

/* Free slots that callers are told of, one after the other. */
typedef struct {
    double next_ms;     /* loop time of the next one */
    double interval_ms; /* from one to the next; 0: not known */
} free_slots_t;

/* Part of the told callers of all instances who are told by this one. */
static double
own_part(const return_input_t *input)
{
    return fmax(input->own_share, OWN_SHARE_MIN);
}

static free_slots_t
free_slots_of_server(const return_input_t *input)
{
    const return_server_t *server = &input->server;
    if (server->slots <= 0)
        return (free_slots_t){.next_ms = (double)input->now_ms};
    const double interval_ms = (1 + server->use) * server->work_ms / server->slots;
    const double ahead = fmax(0, server->load + 1 - server->slots);
    const double drained_ms = (double)input->now_ms + ahead * interval_ms;
    return (free_slots_t){fmax(drained_ms, (double)server->next_free_ms), interval_ms};
}

/* Of those that requests of the urgency get in the region, the part of this instance. */
static free_slots_t
free_slots_of_room(const return_input_t *input)
{
    const return_room_t *room = &input->room;
    if (room->slots <= 0)
        return (free_slots_t){.next_ms = (double)input->now_ms};
    return (free_slots_t){
        .next_ms = fmax((double)input->now_ms, (double)room->next_free_ms),
        .interval_ms = input->work_ms / (room->slots * own_part(input)),
    };
}

return_time_t
return_time_decide(const return_input_t *input)
{
    const free_slots_t server = free_slots_of_server(input);
    const free_slots_t room = free_slots_of_room(input);
    const double interval_ms = fmax(server.interval_ms, room.interval_ms);
    if (interval_ms <= 0)
        return (return_time_t){0};
    const double at_ms = fmax(server.next_ms, room.next_ms) + input->spread * interval_ms;
    const double after_ms = fmax(ceil(at_ms - (double)input->now_ms), 1);
    return (return_time_t){
        .after_ms = after_ms < UINT32_MAX ? (uint32_t)after_ms : UINT32_MAX,
        .comes_back = after_ms <= HONOURED_PART * input->left_ms &&
                      after_ms + input->work_ms <= input->left_ms,
        /* Other instances are taken to tell callers of theirs by their parts of the work. */
        .server_next_ms = (uint64_t)(server.next_ms + server.interval_ms / own_part(input)),
        .room_next_ms = (uint64_t)(room.next_ms + room.interval_ms),
    };
}
