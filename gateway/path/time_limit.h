/*
 * Time limits of an exchange: the deadline, and the time after which the current attempt is
 * overdue and may be replaced by another one.
 *
 * Decisions are made by policy/deadline.h, policy/slow.h and policy/retry.h. Relies on
 * dispatch.h to cancel and resend, on completion.h to give up.
 */
#pragma once

#include "gateway/path/exchange_state.h"

/* Timer callback of the exchange. */
void time_limit_on_timer(uv_timer_t *timer);
