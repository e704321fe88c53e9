/*
 * Text of the admin page on requests that crashed backend servers: what is quarantined, on which
 * evidence, and until when.
 *
 * Owns nothing and changes nothing. irisctl prints the text unchanged.
 */
#pragma once

#include "gateway/state/suspects.h"
#include "wire/head.h"

/* Writes a line per request or family that is or was quarantined, and the number of other suspects.
 * */
void inspect_suspects(const suspects_t *suspects, uint64_t now_ms, wire_text_t *out);
