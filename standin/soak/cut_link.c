/*
 * Cuts the links of a process to its backend servers. scripts/soak.sh loads this library into each
 * instance (LD_PRELOAD), as processes on one machine share a network that can't be cut for one.
 *
 * CUT_FILE names a file whose first byte is the state: 'h' new connections hang and open ones fall
 * silent, 'r' new ones are refused and open ones live on, 'x' new ones are refused and open ones
 * reset, anything else: not cut. CUT_HOST is the IP address of the backend servers, CUT_EXCEPT a
 * port there that is not cut (the store's).
 */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

enum { FILLERS = 2, CLOSED_PORT = 1 };

typedef enum { CUT_NONE, CUT_HANGS = 'h', CUT_REFUSES = 'r', CUT_RESETS = 'x' } cut_t;

static cut_t
state(void)
{
    char byte = 0;
    const char *path = getenv("CUT_FILE");
    const int fd = path != NULL ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0)
        return CUT_NONE;
    const ssize_t n = read(fd, &byte, 1);
    close(fd);
    if (n == 1 && (byte == CUT_HANGS || byte == CUT_REFUSES || byte == CUT_RESETS))
        return (cut_t)byte;
    return CUT_NONE;
}

static bool
is_backend_server(const struct sockaddr *addr)
{
    const struct sockaddr_in *v4 = (const struct sockaddr_in *)addr;
    const char *host = getenv("CUT_HOST");
    const char *except = getenv("CUT_EXCEPT");
    return addr->sa_family == AF_INET && host != NULL && except != NULL &&
           v4->sin_addr.s_addr == inet_addr(host) && ntohs(v4->sin_port) != atoi(except);
}

/* Returns an address that drops connection attempts: its accept queue is full. */
static struct sockaddr_in
hanging_address(int (*real_connect)(int, const struct sockaddr *, socklen_t))
{
    static struct sockaddr_in addr;
    socklen_t len = sizeof(addr);
    if (addr.sin_port != 0)
        return addr;
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    addr = (struct sockaddr_in){.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    if (bind(listener, (struct sockaddr *)&addr, sizeof(addr)) != 0 || listen(listener, 0) != 0 ||
        getsockname(listener, (struct sockaddr *)&addr, &len) != 0)
        abort();
    for (int i = 0; i < FILLERS; i++) {
        const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        (void)real_connect(filler, (struct sockaddr *)&addr, sizeof(addr));
    }
    return addr;
}

int
connect(int fd, const struct sockaddr *addr, socklen_t len)
{
    int (*real)(int, const struct sockaddr *, socklen_t) = dlsym(RTLD_NEXT, "connect");
    if (!is_backend_server(addr))
        return real(fd, addr, len);
    struct sockaddr_in other = {.sin_family = AF_INET,
                                .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
                                .sin_port = htons(CLOSED_PORT)};
    switch (state()) {
    case CUT_NONE:
        return real(fd, addr, len);
    case CUT_HANGS:
        other = hanging_address(real);
        break;
    case CUT_REFUSES:
    case CUT_RESETS:
        break;
    }
    return real(fd, (struct sockaddr *)&other, sizeof(other));
}

static bool
leads_to_backend_server(int fd)
{
    struct sockaddr_storage peer = {0};
    socklen_t len = sizeof(peer);
    return getpeername(fd, (struct sockaddr *)&peer, &len) == 0 &&
           is_backend_server((const struct sockaddr *)&peer);
}

/* True if the write must not go out; sets `result`. */
static bool
is_stopped(int fd, size_t len, ssize_t *result)
{
    const int saved = errno;
    const cut_t cut = leads_to_backend_server(fd) ? state() : CUT_NONE;
    errno = saved;
    if (cut == CUT_HANGS) {
        *result = (ssize_t)len;
        return true;
    }
    if (cut != CUT_RESETS)
        return false;
    errno = ECONNRESET;
    *result = -1;
    return true;
}

ssize_t
write(int fd, const void *bytes, size_t len)
{
    ssize_t (*real)(int, const void *, size_t) = dlsym(RTLD_NEXT, "write");
    ssize_t result;
    return is_stopped(fd, len, &result) ? result : real(fd, bytes, len);
}

ssize_t
writev(int fd, const struct iovec *parts, int count)
{
    ssize_t (*real)(int, const struct iovec *, int) = dlsym(RTLD_NEXT, "writev");
    ssize_t result;
    size_t len = 0;
    for (int i = 0; i < count; i++)
        len += parts[i].iov_len;
    return is_stopped(fd, len, &result) ? result : real(fd, parts, count);
}
