/*
 * Signals of a process, taken on its loop.
 *
 * Owns nothing; a handle is the caller's and lives as long as its loop. Relies on libuv.
 */
#pragma once

#include <uv.h>

/* Calls `cb` on the loop whenever signal `number` comes; the handle's data is `data`. */
void signal_watch(uv_loop_t *loop, uv_signal_t *handle, int number, uv_signal_cb cb, void *data);
