#include "base/signals.h"

void
signal_watch(uv_loop_t *loop, uv_signal_t *handle, int number, uv_signal_cb cb, void *data)
{
    uv_signal_init(loop, handle);
    handle->data = data;
    uv_signal_start(handle, cb, number);
}
