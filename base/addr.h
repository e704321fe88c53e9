/*
 * Numeric socket addresses, "IP:PORT" or "[IPv6]:PORT". Host names are never resolved.
 */
#pragma once

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "base/str.h"

typedef union {
    struct sockaddr sa;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
} addr_t;

enum { ADDR_TEXT_MAX = 64 };

/* Hash of the address and the port. */
uint64_t addr_hash(const addr_t *addr);
bool addr_parse(str_t text, addr_t *out);
/* Writes "IP:PORT" and returns `buf`. */
const char *addr_format(const addr_t *addr, char buf[ADDR_TEXT_MAX]);
socklen_t addr_len(const addr_t *addr);
uint16_t addr_port(const addr_t *addr);
void addr_set_port(addr_t *addr, uint16_t port);
bool addr_eq(const addr_t *a, const addr_t *b);
/* Returns <0, 0 or >0. The order is total but otherwise unspecified. */
int addr_compare(const addr_t *a, const addr_t *b);
