/*
 * Text of the admin page of client accounts: limit, use, refusals, and where an account's shares
 * are. Keys are not shown.
 *
 * Owns nothing and changes nothing. irisctl prints the text as it is.
 */
#pragma once

#include "gateway/membership/account_sync.h"
#include "wire/head.h"

/* A line for each account in use, or for one and what its owner knows of it here if `account` is
 * not empty. */
void inspect_accounts(const account_sync_t *news, str_t account, wire_text_t *out);
