#include "gateway/state/config_accounts.h"

#include <stdlib.h>

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
        .len = key.len,
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

bool
config_seal_accounts(config_t *config, err_t *err)
{
    if (!config->has_accounts)
        return true;
    qsort(config->accounts, config->account_count, sizeof(*config->accounts), compare_ids);
    qsort(config->keys, config->key_count, sizeof(*config->keys), compare_hashes);
    for (size_t i = 1; i < config->account_count; i++) {
        if (config->accounts[i].id == config->accounts[i - 1].id) {
            err_set(err, ERR_INVALID, "duplicate client account: %s", config->accounts[i].name.ptr);
            return false;
        }
    }
    for (size_t i = 1; i < config->key_count; i++) {
        const config_key_t *key = &config->keys[i];
        for (size_t k = i; k > 0 && config->keys[k - 1].hash == key->hash; k--) {
            const config_key_t *other = &config->keys[k - 1];
            if (other->account == key->account || !str_eq(key_text(other), key_text(key)))
                continue;
            err_set(err, ERR_INVALID, "client accounts %s and %s share a key",
                    config_account(config, other->account)->name.ptr,
                    config_account(config, key->account)->name.ptr);
            return false;
        }
    }
    return true;
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

const config_account_t *
config_account_of_key(const config_t *config, str_t key)
{
    const search_t search = {config, str_hash(key, config->key_seed)};
    size_t pos = search_lower_bound(config->key_count, is_key_below, &search);
    for (; pos < config->key_count && config->keys[pos].hash == search.wanted; pos++) {
        if (str_eq_constant_time(key_text(&config->keys[pos]), key))
            return config_account(config, config->keys[pos].account);
    }
    return NULL;
}

const config_account_t *
config_account(const config_t *config, uint64_t id)
{
    const search_t search = {config, id};
    const size_t pos = search_lower_bound(config->account_count, is_account_below, &search);
    const bool found = pos < config->account_count && config->accounts[pos].id == id;
    return found ? &config->accounts[pos] : NULL;
}
