/*
 * Client accounts of a configuration. Internal to config.h, which owns them.
 */
#pragma once

#include "gateway/state/config.h"

/* Called by config_seal(). */
bool config_seal_accounts(config_t *config, err_t *err);
void config_free_accounts(config_t *config);
