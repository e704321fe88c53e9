/*
 * Client accounts of a configuration. Internal to config.h, which owns them.
 */
#pragma once

#include "gateway/state/config.h"

/* Called by config_seal(). */
void config_seal_accounts(config_t *config);
void config_free_accounts(config_t *config);
