/*
 * Text of the admin pages about roll-outs: the orders, and the counts and verdict of one.
 *
 * Owns nothing and changes nothing. irisctl prints the text unchanged, so its format is fixed.
 */
#pragma once

#include "gateway/router.h"
#include "wire/head.h"

/* Writes a row for each order or, if `service` is not empty, its orders with their counts. */
void inspect_rollouts(const router_t *router, str_t service, wire_text_t *out);
