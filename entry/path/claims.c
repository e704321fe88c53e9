#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define LOG_MODULE "claims"
#include "base/log.h"
#include "base/xmalloc.h"
#include "entry/path/answer.h"
#include "entry/path/claims.h"
#include "entry/path/remote.h"
#include "entry/path/route.h"

enum {
    CLAIM_NAME_SIZE = 40, /* bytes, with the end */
    CLAIM_TRIES = 4,      /* reads and writes of one claim. Chosen, not measured */
};

/* A claim being made for an exchange. */
typedef struct {
    exchange_t *x;
    node_t *node;
    char name[CLAIM_NAME_SIZE];
    uint64_t nonce;
    unsigned tries;
} claim_t;

typedef struct {
    name_t instance;
    uint64_t incarnation;
    uint64_t nonce;
} claim_owner_t;

static uint64_t
fingerprint(const exchange_t *x)
{
    const str_t line = str_from(x->line);
    return str_hash((str_t){x->body, x->body_len}, str_hash(line, 0));
}

static void
claim_name(const exchange_t *x, char out[CLAIM_NAME_SIZE])
{
    const uint64_t service = str_hash(name_str(&x->service), 1);
    const str_t key = str_from(x->key);
    snprintf(out, CLAIM_NAME_SIZE, "%016" PRIx64 "%016" PRIx64, str_hash(key, service),
             str_hash(key, service + 1));
}

static bool
parse_claim(str_t body, claim_owner_t *out)
{
    const char *instance;
    const char *incarnation;
    const char *nonce;
    json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
    const bool ok = json_unpack(root, "{s:s, s:s, s:s}", "instance", &instance, "incarnation",
                                &incarnation, "nonce", &nonce) == 0 &&
                    name_set(&out->instance, str_from(instance)) &&
                    str_to_u64(str_from(incarnation), &out->incarnation) &&
                    str_to_u64(str_from(nonce), &out->nonce);
    json_decref(root);
    return ok;
}

/* Runs the request under a record in this instance's book. */
static void
run(exchange_t *x, key_record_t *record)
{
    record->state = KEY_RUNNING;
    record->claimed = true;
    record->body_len = 0;
    record->touched_ms = node_now(x->node);
    x->record = record;
    route_request(x);
}

static void
forward_to_owner(exchange_t *x, str_t owner)
{
    const instance_t *instance = instances_find(x->node->instances, owner);
    if (instance == NULL || instance->role != ROLE_ENTRY || x->hop != HOP_CALLER) {
        answer_unknown(x, 502, "owner_gone");
        return;
    }
    remote_send(x, &instance->addr, HOP_OWNER);
}

/* Drops the record made for the claim: another entry owns the key. */
static void
drop_record(exchange_t *x)
{
    key_record_t *record = x->record;
    x->record = NULL;
    if (record != NULL)
        key_registry_remove(x->node->keys, record);
}

static void send_claim(claim_t *claim);
static void read_claim(claim_t *claim);

/* Ends the claim; the exchange goes on, unless its caller left meanwhile. */
static exchange_t *
end_claim(claim_t *claim)
{
    exchange_t *x = claim->x;
    free(claim);
    x->resolving = false;
    if (x->req != NULL)
        return x;
    answer_refuse(x, 503, "caller_left");
    return NULL;
}

static void
refuse_claim(claim_t *claim, const char *error)
{
    exchange_t *x = end_claim(claim);
    if (x != NULL)
        answer_refuse(x, 503, error);
}

static void
retry_or_refuse(claim_t *claim)
{
    const bool late = node_now(claim->node) >= claim->x->deadline_ms;
    if (claim->tries >= CLAIM_TRIES || late)
        refuse_claim(claim, "store_unavailable");
    else
        read_claim(claim);
}

static void
on_claim_read(void *ctx, const platform_answer_t *answer)
{
    claim_t *claim = ctx;
    claim_owner_t owner;
    if (answer->err.code == ERR_NOT_FOUND) {
        send_claim(claim);
        return;
    }
    if (answer->err.code != ERR_NONE || !parse_claim(answer->body, &owner)) {
        retry_or_refuse(claim);
        return;
    }
    const bool same_instance = name_eq(&owner.instance, name_str(&claim->node->settings.name));
    const bool ours = same_instance && owner.incarnation == claim->node->incarnation;
    const uint64_t nonce = claim->nonce;
    exchange_t *x = end_claim(claim);
    if (x == NULL)
        return;
    if (ours && owner.nonce == nonce) {
        run(x, x->record);
        return;
    }
    drop_record(x);
    if (same_instance) /* by a former incarnation, or so long ago that it is forgotten */
        answer_unknown(x, 502, "owner_gone");
    else
        forward_to_owner(x, name_str(&owner.instance));
}

static void
read_claim(claim_t *claim)
{
    claim->tries++;
    platform_get(claim->node->platform, "claim", claim->name, on_claim_read, claim);
}

static void
on_claim_written(void *ctx, const platform_answer_t *answer)
{
    claim_t *claim = ctx;
    switch (answer->err.code) {
    case ERR_NONE: {
        exchange_t *x = end_claim(claim);
        if (x != NULL)
            run(x, x->record);
        return;
    }
    case ERR_UNAVAILABLE:
    case ERR_RATE_LIMITED:
        refuse_claim(claim, "store_unavailable");
        return;
    default: /* another claim is there, or this one may have taken effect */
        retry_or_refuse(claim);
        return;
    }
}

static void
send_claim(claim_t *claim)
{
    node_t *node = claim->node;
    if (++claim->tries > CLAIM_TRIES) {
        refuse_claim(claim, "store_unavailable");
        return;
    }
    char body[256];
    const int len =
        snprintf(body, sizeof(body),
                 "{\"instance\":\"%s\",\"incarnation\":\"%" PRIu64 "\",\"nonce\":\"%" PRIu64 "\"}",
                 node->settings.name.ptr, node->incarnation, claim->nonce);
    platform_put(node->platform, "claim", claim->name, 0, (str_t){body, (size_t)len},
                 on_claim_written, claim);
}

static void
start_claim(exchange_t *x, key_record_t *record)
{
    claim_t *claim = xcalloc(1, sizeof(*claim));
    claim->x = x;
    claim->node = x->node;
    claim_name(x, claim->name);
    if (record->nonce == 0)
        record->nonce = rng_next(&x->node->rng) | 1;
    claim->nonce = record->nonce;
    record->state = KEY_RUNNING;
    x->record = record;
    x->resolving = true;
    if (x->hop == HOP_OWNER)
        read_claim(claim);
    else
        send_claim(claim);
}

static void
answer_from_record(exchange_t *x, key_record_t *record)
{
    if (record->fingerprint != fingerprint(x)) {
        answer_refuse(x, 422, "key_reused_for_another_request");
        return;
    }
    switch (record->state) {
    case KEY_DONE:
        answer_replay(x, record);
        return;
    case KEY_RUNNING:
        answer_unknown(x, 409, "in_progress");
        return;
    case KEY_UNKNOWN:
        answer_unknown(x, 502, "outcome_unknown");
        return;
    case KEY_NOT_RUN:
        if (record->claimed)
            run(x, record);
        else
            start_claim(x, record);
        return;
    }
    BUG("unknown key state");
}

static void
resolve_minted(exchange_t *x, const minted_key_t *minted)
{
    node_t *node = x->node;
    if (!name_eq(&minted->instance, name_str(&node->settings.name))) {
        forward_to_owner(x, name_str(&minted->instance));
        return;
    }
    if (minted->incarnation != node->incarnation) {
        answer_unknown(x, 502, "owner_gone");
        return;
    }
    if (node_wall(node) > minted->expires_ms) {
        answer_unknown(x, 410, "key_expired");
        return;
    }
    key_record_t *record =
        key_registry_add(node->keys, str_from(x->key), fingerprint(x), node_now(node));
    if (record == NULL)
        answer_refuse(x, 503, "too_many_keys");
    else
        run(x, record);
}

static bool
is_clean(str_t key)
{
    for (size_t i = 0; i < key.len; i++) {
        if (key.ptr[i] < '!' || key.ptr[i] > '~')
            return false;
    }
    return key.len > 0 && key.len < KEY_TEXT_MAX;
}

void
claims_resolve(exchange_t *x, str_t key)
{
    node_t *node = x->node;
    minted_key_t minted;
    if (!is_clean(key)) {
        counter_add(node->counters.bad_requests, 1);
        answer_refuse(x, 400, key.len == 0 ? "idempotency_key_missing" : "bad_idempotency_key");
        return;
    }
    memcpy(x->key, key.ptr, key.len);
    key_record_t *record = key_registry_find(node->keys, key);
    if (record != NULL) {
        answer_from_record(x, record);
    } else if (key_parse_minted(key, &minted)) {
        resolve_minted(x, &minted);
    } else {
        record = key_registry_add(node->keys, key, fingerprint(x), node_now(node));
        if (record == NULL)
            answer_refuse(x, 503, "too_many_keys");
        else
            start_claim(x, record);
    }
}
