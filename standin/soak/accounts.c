#include "standin/soak/accounts.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <http_parser.h>

#include "base/xmalloc.h"

enum {
    KEYS_MAX = 512, /* of an account, in the longest soak */
    WRONG_EVERY = 16,
    SURGING = 0, /* the account whose callers ask for many times its limit */
    UNLIMITED_FROM = 6,
    LIMIT_PER_S = 20, /* of the surging one, and its burst */
    FAR_PER_S = 4000, /* of the others: never reached */
    WINDOW_MS = 5000,
    RUNS_MAX = 4096, /* remembered */
    VARY_EVERY = 3,  /* one version of so many changes a key */
    PERCENT_BORNE = 10,
    BORNE = 20, /* requests */
    MS_PER_S = 1000,
};

typedef struct {
    uint64_t added_ms;
    uint64_t taken_ms; /* UINT64_MAX: it is there */
} soak_key_t;

typedef struct {
    unsigned first; /* the oldest key that is there */
    unsigned end;   /* one past the newest */
    soak_key_t keys[KEYS_MAX];
} account_t;

struct soak_accounts {
    judge_t *judge;
    account_t items[SOAK_ACCOUNTS];
    uint64_t ran_ms[RUNS_MAX]; /* of the surging account, a ring */
    uint64_t ran;
};

accounts_t *
accounts_new(judge_t *judge)
{
    accounts_t *accounts = xcalloc(1, sizeof(*accounts));
    accounts->judge = judge;
    for (size_t i = 0; i < SOAK_ACCOUNTS; i++) {
        accounts->items[i].end = 2;
        accounts->items[i].keys[0].taken_ms = UINT64_MAX;
        accounts->items[i].keys[1].taken_ms = UINT64_MAX;
    }
    return accounts;
}

static void
write_key(size_t account, unsigned key, char *out, size_t size)
{
    snprintf(out, size, "soak-key-%zu-%u", account, key);
}

json_t *
accounts_json(const accounts_t *accounts)
{
    json_t *all = json_object();
    for (size_t i = 0; i < SOAK_ACCOUNTS; i++) {
        char text[48];
        json_t *keys = json_array();
        const account_t *account = &accounts->items[i];
        for (unsigned k = account->first; k < account->end; k++) {
            write_key(i, k, text, sizeof(text));
            json_array_append_new(keys, json_string(text));
        }
        const int rate = i == SURGING ? LIMIT_PER_S : i < UNLIMITED_FROM ? FAR_PER_S : 0;
        snprintf(text, sizeof(text), "account-%zu", i);
        json_object_set_new(
            all, text,
            json_pack("{s:o, s:i, s:i}", "apiKeys", keys, "ratePerS", rate, "burst", rate));
    }
    return all;
}

void
accounts_vary(accounts_t *accounts, rng_t *rng, uint64_t now_ms)
{
    account_t *account = &accounts->items[rng_below(rng, SOAK_ACCOUNTS - 1)];
    if (rng_below(rng, VARY_EVERY) != 0)
        return;
    if (account->end - account->first > 1) {
        account->keys[account->first++].taken_ms = now_ms;
    } else if (account->end < KEYS_MAX) {
        account->keys[account->end] = (soak_key_t){now_ms, UINT64_MAX};
        account->end++;
    }
}

/* ---- requests ---- */

void
accounts_draw(accounts_t *accounts, soak_request_t *request, rng_t *rng, uint64_t now_ms,
              uint64_t bound_ms)
{
    /* Half of the requests are of the account that surges. */
    request->account = rng_below(rng, 2) == 0 ? SURGING : (uint32_t)rng_below(rng, SOAK_ACCOUNTS);
    const account_t *account = &accounts->items[request->account];
    request->key = account->end - 1;
    request->key_form = SOAK_KEY_RIGHT;
    if (account->keys[request->key].added_ms + bound_ms > now_ms && account->end > 1)
        request->key = account->first;
    if (rng_below(rng, WRONG_EVERY) != 0)
        return;
    request->key_form = SOAK_KEY_NONE + (uint32_t)rng_below(rng, SOAK_KEY_FORMS - SOAK_KEY_NONE);
    if (request->key_form != SOAK_KEY_TAKEN)
        return;
    /* One that was taken away so long ago that all know of it. */
    for (unsigned k = account->first; k > 0; k--) {
        if (account->keys[k - 1].taken_ms + bound_ms <= now_ms) {
            request->key = k - 1;
            return;
        }
    }
    request->key_form = SOAK_KEY_NONE;
}

const char *
accounts_fields(const soak_request_t *request, char *out, size_t size)
{
    char key[48];
    write_key(request->account, request->key, key, sizeof(key));
    switch (request->key_form) {
    case SOAK_KEY_RIGHT:
    case SOAK_KEY_TAKEN:
        snprintf(out, size, "Credential: %s\r\nTenant: forged\r\n", key);
        break;
    case SOAK_KEY_UNKNOWN:
        snprintf(out, size, "Credential: x%s\r\n", key);
        break;
    case SOAK_KEY_TWO:
        snprintf(out, size, "Credential: %s\r\nCredential: %s\r\n", key, key);
        break;
    case SOAK_KEY_EMPTY:
        snprintf(out, size, "Credential:\r\n");
        break;
    default:
        snprintf(out, size, "Tenant: account-%u\r\n", request->account);
        break;
    }
    return out;
}

/* ---- what backend servers see ---- */

void
accounts_arrived(accounts_t *accounts, const soak_request_t *request, const wire_head_t *head)
{
    char name[48];
    const str_t told = wire_head_find(head, STR("Tenant"));
    snprintf(name, sizeof(name), "account-%u", request->account);
    judge_examine(accounts->judge, RULE_KEY);
    if (!str_eq(told, str_from(name)) || wire_head_find(head, STR("Credential")).len > 0)
        judge_break(accounts->judge, RULE_KEY, "%" PRIu64 " of %s arrives as '%.*s'%s",
                    request->number, name, STR_ARG(told),
                    wire_head_find(head, STR("Credential")).len > 0 ? ", with its key" : "");
    if (request->key_form != SOAK_KEY_RIGHT && request->key_form != SOAK_KEY_TAKEN)
        judge_break(accounts->judge, RULE_KEY, "%" PRIu64 " arrives with a key of form %u",
                    request->number, request->key_form);
}

void
accounts_ran(accounts_t *accounts, const soak_request_t *request, uint64_t now_ms)
{
    const double allowed =
        ((double)LIMIT_PER_S * WINDOW_MS / MS_PER_S + LIMIT_PER_S) * (100 + PERCENT_BORNE) / 100.0 +
        BORNE;
    if (request->account != SURGING)
        return;
    accounts->ran_ms[accounts->ran++ % RUNS_MAX] = now_ms;
    uint64_t count = 0;
    while (count < accounts->ran && count < RUNS_MAX &&
           accounts->ran_ms[(accounts->ran - 1 - count) % RUNS_MAX] + WINDOW_MS > now_ms)
        count++;
    judge_examine(accounts->judge, RULE_QUOTA);
    if ((double)count > allowed)
        judge_break(accounts->judge, RULE_QUOTA,
                    "%" PRIu64 " requests of an account ran within 5 s, allowed %.0f", count,
                    allowed);
}

/* ---- what callers see ---- */

void
accounts_answered(accounts_t *accounts, const soak_request_t *request, int status, bool settled,
                  uint64_t bound_ms)
{
    const soak_key_t *key = &accounts->items[request->account].keys[request->key];
    const bool was_there = request->key_form == SOAK_KEY_RIGHT && key->taken_ms == UINT64_MAX &&
                           key->added_ms + bound_ms <= request->sent_ms;
    if (was_there && settled) {
        judge_examine(accounts->judge, RULE_DENIED);
        if (status == HTTP_STATUS_UNAUTHORIZED)
            judge_break(accounts->judge, RULE_DENIED, "%" PRIu64 " sent at %.3f got 401 with a key",
                        request->number, (double)request->sent_ms / MS_PER_S);
        if (status == HTTP_STATUS_TOO_MANY_REQUESTS && request->account != SURGING)
            judge_break(accounts->judge, RULE_DENIED,
                        "%" PRIu64 " sent at %.3f got 429 far below the limit of account-%u",
                        request->number, (double)request->sent_ms / MS_PER_S, request->account);
    }
    if (request->key_form != SOAK_KEY_RIGHT && settled && status == HTTP_STATUS_OK)
        judge_break(accounts->judge, RULE_KEY, "%" PRIu64 " with a key of form %u was served",
                    request->number, request->key_form);
}
