/*
 * What operators look at on a running instance, as text: the table (a row for each service and
 * place), the instance's status, and why a request goes where it goes.
 */
#pragma once

#include "gateway/router.h"
#include "gateway/state/sync.h"
#include "wire/head.h"

/* Rows of all services, or of one if `service` is not empty. */
void inspect_table(const router_t *router, str_t service, wire_text_t *out);
void inspect_status(const router_t *router, const sync_t *sync, bool ready, bool leaving,
                    wire_text_t *out);
/* `object` may be empty. */
void inspect_explain(const router_t *router, str_t host, str_t path, str_t object,
                     wire_text_t *out);
