/*
 * Request fingerprints: identical for every retry of a request, on every instance.
 *
 * The request fingerprint covers caller, method, host, target and body bytes; the family
 * fingerprint covers only path and body. The attempt id, body framing and other header fields
 * are excluded because callers change them between retries. A caller is identified by its IP
 * address without port. Callers behind one address that send identical bytes share a
 * fingerprint: while one is held, the others are refused too, until a run completes. A caller
 * that changes its address gets a new request fingerprint but keeps the family fingerprint.
 *
 * With 64 bits, the chance of a false match between the at most 512 suspects and 10^9 other
 * requests is 3 in 10^8.
 *
 * Pure functions without state or clock.
 */
#pragma once

#include "gateway/state/suspects.h"
#include "wire/listener.h"

fingerprint_t fingerprint(const wire_request_t *req);
