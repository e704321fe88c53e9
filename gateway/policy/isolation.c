#include "gateway/policy/isolation.h"

bool
isolation_is_possible(const isolation_input_t *input)
{
    return input->peers_known && !input->peers_alive &&
           input->store_silent_ms >= input->peers_silent_ms;
}
