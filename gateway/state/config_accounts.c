#include "gateway/state/config_accounts.h"

#include <stdlib.h>

#define LOG_MODULE "router"
#include "base/log.h"
#include "base/rng.h"
#include "base/search.h"
#include "base/xmalloc.h"

enum { ACCOUNT_SEED = 13 }; /* any constant; the same on every instance */

void
config_add_accounts(config_t *config, size_t account_count, size_t key_count)
{
    rng_t rng = rng_system();
    config->has_accounts = true;
    config->accounts = xcalloc(account_count + 1, sizeof(*config->accounts));
    config->account_count = account_count;
    config->keys = xcalloc(key_count + 1, sizeof(*config->keys));
    config->key_seed = rng_next(&rng);
}

uint64_t
config_account_id(str_t name)
{
    return str_hash(name, ACCOUNT_SEED);
}

bool
config_account_name(config_account_t *account, str_t name)
{
    account->id = config_account_id(name);
    return name_set(&account->name, name);
}

void
config_add_key(config_t *config, const config_account_t *account, str_t key)
{
    config->keys[config->key_count++] = (config_key_t){
        .hash = str_hash(key, config->key_seed),
        .account = account->id,
        .text = xmemdup0(key.ptr, key.len),
        .len = (uint32_t)key.len,
    };
}

void
config_free_accounts(config_t *config)
{
    for (size_t i = 0; i < config->account_count; i++)
        free(config->accounts[i].regions.items);
    for (size_t i = 0; i < config->key_count; i++)
        free(config->keys[i].text);
    free(config->accounts);
    free(config->keys);
}

static int
compare_ids(const void *left, const void *right)
{
    const uint64_t a = ((const config_account_t *)left)->id;
    const uint64_t b = ((const config_account_t *)right)->id;
    return (a > b) - (a < b);
}

static int
compare_hashes(const void *left, const void *right)
{
    const uint64_t a = ((const config_key_t *)left)->hash;
    const uint64_t b = ((const config_key_t *)right)->hash;
    return (a > b) - (a < b);
}

static str_t
key_text(const config_key_t *key)
{
    return (str_t){key->text, key->len};
}

/* Accounts whose names have the same hash cannot be told apart. */
static void
disable_duplicate_accounts(config_t *config)
{
    for (size_t i = 1; i < config->account_count; i++) {
        config_account_t *account = &config->accounts[i];
        config_account_t *before = &config->accounts[i - 1];
        if (account->id != before->id)
            continue;
        LOG_ERR("client accounts left out, their names have the same hash: account=%s other=%s",
                account->name.ptr, before->name.ptr);
        account->unusable = true;
        before->unusable = true;
    }
}

static void
mark_if_shared(config_t *config, config_key_t *key, config_key_t *other)
{
    if (other->account == key->account || !str_eq(key_text(other), key_text(key)))
        return;
    LOG_ERR("key left out, several client accounts have it: account=%s other=%s",
            config_account(config, other->account)->name.ptr,
            config_account(config, key->account)->name.ptr);
    key->shared = true;
    other->shared = true;
}

static void
mark_shared_keys(config_t *config)
{
    for (size_t i = 1; i < config->key_count; i++) {
        config_key_t *key = &config->keys[i];
        for (size_t k = i; k > 0 && config->keys[k - 1].hash == key->hash; k--)
            mark_if_shared(config, key, &config->keys[k - 1]);
    }
}

static void
count_skipped(config_t *config)
{
    for (size_t i = 0; i < config->account_count; i++)
        config->accounts_skipped += config->accounts[i].unusable;
    for (size_t i = 0; i < config->key_count; i++)
        config->keys_skipped += config->keys[i].shared;
}

void
config_seal_accounts(config_t *config)
{
    if (!config->has_accounts)
        return;
    qsort(config->accounts, config->account_count, sizeof(*config->accounts), compare_ids);
    qsort(config->keys, config->key_count, sizeof(*config->keys), compare_hashes);
    disable_duplicate_accounts(config);
    mark_shared_keys(config);
    count_skipped(config);
}

typedef struct {
    const config_t *config;
    uint64_t wanted;
} search_t;

static bool
is_key_below(const void *ctx, size_t index)
{
    const search_t *search = ctx;
    return search->config->keys[index].hash < search->wanted;
}

static bool
is_account_below(const void *ctx, size_t index)
{
    const search_t *search = ctx;
    return search->config->accounts[index].id < search->wanted;
}

static config_key_match_t
match(const config_t *config, const config_key_t *key)
{
    const config_account_t *account = config_account(config, key->account);
    const bool unusable = key->shared || account->unusable;
    return (config_key_match_t){.account = unusable ? NULL : account, .unusable = unusable};
}

config_key_match_t
config_match_key(const config_t *config, str_t key)
{
    const search_t search = {config, str_hash(key, config->key_seed)};
    size_t pos = search_lower_bound(config->key_count, is_key_below, &search);
    for (; pos < config->key_count && config->keys[pos].hash == search.wanted; pos++) {
        if (str_eq_constant_time(key_text(&config->keys[pos]), key))
            return match(config, &config->keys[pos]);
    }
    return (config_key_match_t){0};
}

const config_account_t *
config_account(const config_t *config, uint64_t id)
{
    const search_t search = {config, id};
    const size_t pos = search_lower_bound(config->account_count, is_account_below, &search);
    const bool found = pos < config->account_count && config->accounts[pos].id == id;
    return found ? &config->accounts[pos] : NULL;
}
