/*
 * Signal handling on the loop. The caller owns the handle, which must live as long as the loop.
 */
#pragma once

#include <uv.h>

/* Calls `cb` on the loop when signal `number` arrives, with `data` as the handle's data. */
void signal_watch(uv_loop_t *loop, uv_signal_t *handle, int number, uv_signal_cb cb, void *data);
