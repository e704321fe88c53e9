#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/bucket.h"
#include "base/log_ring.h"
#include "base/xmalloc.h"

enum { MODULES_MAX = 24, DROP_LINE_MAX = 128, NAME_LEN = 24 };

typedef struct {
    char name[NAME_LEN];
    bucket_t bucket;
    uint64_t dropped; /* since the last line that reported them */
} module_t;

struct log_ring {
    log_ring_conf_t conf;
    char *bytes;
    size_t start;
    size_t len;
    module_t modules[MODULES_MAX];
    size_t module_count;
    uint64_t dropped;
};

log_ring_t *
log_ring_new(const log_ring_conf_t *conf)
{
    log_ring_t *ring = xcalloc(1, sizeof(*ring));
    ring->conf = *conf;
    ring->bytes = xmalloc(conf->size);
    const int flags = fcntl(conf->fd, F_GETFL);
    if (flags >= 0)
        fcntl(conf->fd, F_SETFL, flags | O_NONBLOCK);
    return ring;
}

void
log_ring_free(log_ring_t *ring)
{
    if (ring == NULL)
        return;
    free(ring->bytes);
    free(ring);
}

static module_t *
find_module(log_ring_t *ring, const char *name, uint64_t now_ms)
{
    for (size_t i = 0; i < ring->module_count; i++) {
        if (strncmp(ring->modules[i].name, name, NAME_LEN - 1) == 0)
            return &ring->modules[i];
    }
    if (ring->module_count == MODULES_MAX)
        return &ring->modules[MODULES_MAX - 1];
    module_t *module = &ring->modules[ring->module_count++];
    snprintf(module->name, sizeof(module->name), "%s", name);
    bucket_init(&module->bucket, ring->conf.lines_per_s, ring->conf.burst, now_ms);
    return module;
}

static bool
append_line(log_ring_t *ring, const char *line, size_t len)
{
    if (ring->len + len + 1 > ring->conf.size)
        return false;
    for (size_t i = 0; i <= len; i++) {
        const size_t at = (ring->start + ring->len + i) % ring->conf.size;
        ring->bytes[at] = i < len ? line[i] : '\n';
    }
    ring->len += len + 1;
    return true;
}

static void
report_dropped(log_ring_t *ring, module_t *module)
{
    char line[DROP_LINE_MAX];
    const int len = snprintf(line, sizeof(line),
                             "v=1 level=WARN module=log event=\"lines dropped\" "
                             "of=%s lines=%llu",
                             module->name, (unsigned long long)module->dropped);
    if (append_line(ring, line, (size_t)len))
        module->dropped = 0;
}

bool
log_ring_add(log_ring_t *ring, const char *module_name, const char *line, uint64_t now_ms)
{
    module_t *module = find_module(ring, module_name, now_ms);
    const bool allowed = bucket_take(&module->bucket, 1, now_ms);
    if (allowed && module->dropped > 0)
        report_dropped(ring, module);
    if (allowed && append_line(ring, line, strlen(line)))
        return true;
    module->dropped++;
    ring->dropped++;
    return false;
}

void
log_ring_flush(log_ring_t *ring)
{
    while (ring->len > 0) {
        const size_t contiguous = ring->conf.size - ring->start;
        const size_t len = ring->len < contiguous ? ring->len : contiguous;
        const ssize_t n = write(ring->conf.fd, ring->bytes + ring->start, len);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return;
        ring->start = (ring->start + (size_t)n) % ring->conf.size;
        ring->len -= (size_t)n;
    }
}

uint64_t
log_ring_dropped(const log_ring_t *ring)
{
    return ring->dropped;
}
