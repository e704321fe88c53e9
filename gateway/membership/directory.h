/* Which instances a caller is told to use. Pure. */
#pragma once

#include "gateway/membership/members.h"

enum { DIRECTORY_MAX = 64 };

/* Ready, living instances of the caller's data hall if there are any, else of its region, else all;
 * returns their number. */
size_t directory_pick(const members_t *members, const topology_t *topology, str_t region,
                      str_t hall, uint64_t now_ms, addr_t out[DIRECTORY_MAX]);
