#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define LOG_MODULE "tcp"
#include "base/log.h"
#include "base/tcp.h"

bool
tcp_listen(uv_tcp_t *tcp, const addr_t *addr, int backlog, uv_connection_cb cb, uint16_t *port,
           err_t *err)
{
    int rc = uv_tcp_bind(tcp, &addr->sa, 0);
    if (rc == 0)
        rc = uv_listen((uv_stream_t *)tcp, backlog, cb);
    if (rc != 0) {
        char text[ADDR_TEXT_MAX];
        err_set(err, ERR_SYSTEM, "cannot listen on %s: %s", addr_format(addr, text),
                uv_strerror(rc));
        uv_close((uv_handle_t *)tcp, NULL);
        return false;
    }
    addr_t bound;
    int len = sizeof(bound);
    uv_tcp_getsockname(tcp, &bound.sa, &len);
    *port = addr_port(&bound);
    return true;
}

tcp_input_t
tcp_peek(const uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    char byte;
    if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0)
        return TCP_INPUT_FAILED;
    const ssize_t n = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (n > 0)
        return TCP_INPUT_DATA;
    if (n == 0)
        return TCP_INPUT_END;
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? TCP_INPUT_NONE
                                                                     : TCP_INPUT_FAILED;
}

bool
tcp_has_hung_up(const uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0)
        return true;
    struct pollfd poll_fd = {.fd = fd, .events = POLLRDHUP};
    return poll(&poll_fd, 1, 0) > 0;
}

bool
tcp_has_unacknowledged(const uv_tcp_t *tcp)
{
    uv_os_fd_t fd;
    int bytes;
    if (uv_fileno((const uv_handle_t *)tcp, &fd) != 0 || ioctl(fd, SIOCOUTQ, &bytes) != 0)
        return true;
    return bytes > 0;
}

void
tcp_set_user_timeout(uv_tcp_t *tcp, int ms)
{
    uv_os_fd_t fd;
    if (uv_fileno((uv_handle_t *)tcp, &fd) != 0)
        return; /* already closed; the callback reports it */
    if (setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms)) != 0)
        LOG_WARN("failed to set TCP_USER_TIMEOUT: err=%s", strerror(errno));
}

void
tcp_set_send_buffer(uv_tcp_t *tcp, int bytes)
{
    const int rc = uv_send_buffer_size((uv_handle_t *)tcp, &bytes);
    if (rc != 0)
        LOG_WARN("failed to set SO_SNDBUF: err=%s", uv_strerror(rc));
}

void
tcp_set_reset_on_close(uv_tcp_t *tcp, bool reset)
{
    const struct linger linger = {.l_onoff = reset, .l_linger = 0};
    uv_os_fd_t fd;
    if (uv_fileno((uv_handle_t *)tcp, &fd) != 0)
        return; /* already closed */
    if (setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger)) != 0)
        LOG_WARN("failed to set SO_LINGER: err=%s", strerror(errno));
}
