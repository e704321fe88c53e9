/*
 * Text of the admin page on client accounts: limits, use, refusals, and the distribution of
 * shares. Keys are not shown.
 *
 * Owns nothing and changes nothing. irisctl prints the text unchanged.
 */
#pragma once

#include "gateway/membership/account_sync.h"
#include "wire/head.h"

/* Writes a line per account in use. If `account` is not empty, only that account and, on its owner,
 * the owner's ledger. */
void inspect_accounts(const account_sync_t *sync, str_t account, wire_text_t *out);
