/*
 * Time limits of an exchange: the deadline, at which it is given up, and the time after which the
 * attempt under way is overdue and may be replaced by another one.
 *
 * policy/deadline.h, policy/slow.h and policy/retry.h decide. Relies on dispatch.h to break off and
 * send again, on completion.h to give up.
 */
#pragma once

#include "gateway/path/exchange_state.h"

/* The exchange's timer has run out. */
void time_limit_on_timer(uv_timer_t *timer);
