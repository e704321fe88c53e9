#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "entry/request/key.h"

enum {
    BUCKETS = 1 << 14,       /* of the hash table */
    SWEEP_BUCKETS = 1 << 10, /* checked for expired records per sweep */
};

struct key_registry {
    key_record_t *buckets[BUCKETS];
    size_t count;
    size_t sweep_position;
};

void
key_mint(const name_t *instance, uint64_t incarnation, uint64_t wall_ms, rng_t *rng,
         char out[KEY_TEXT_MAX])
{
    snprintf(out, KEY_TEXT_MAX, "k1~%s~%" PRIx64 "~%" PRIx64 "~%016" PRIx64, instance->ptr,
             incarnation, wall_ms + KEY_LIFETIME_MS, rng_next(rng));
}

bool
key_parse_minted(str_t text, minted_key_t *out)
{
    char buf[KEY_TEXT_MAX];
    char name[NAME_MAX_LEN + 1];
    uint64_t nonce;
    int used = 0;
    if (text.len >= sizeof(buf) || !str_starts_with(text, STR("k1~")))
        return false;
    memcpy(buf, text.ptr, text.len);
    buf[text.len] = '\0';
    return sscanf(buf, "k1~%47[^~]~%" SCNx64 "~%" SCNx64 "~%" SCNx64 "%n", name, &out->incarnation,
                  &out->expires_ms, &nonce, &used) == 4 &&
           (size_t)used == text.len && name_set(&out->instance, str_from(name));
}

key_registry_t *
key_registry_new(void)
{
    return xcalloc(1, sizeof(key_registry_t));
}

void
key_registry_free(key_registry_t *registry)
{
    if (registry == NULL)
        return;
    for (size_t i = 0; i < BUCKETS; i++) {
        while (registry->buckets[i] != NULL) {
            key_record_t *record = registry->buckets[i];
            registry->buckets[i] = record->next;
            free(record);
        }
    }
    free(registry);
}

static key_record_t **
slot_of(key_registry_t *registry, str_t text)
{
    key_record_t **slot = &registry->buckets[str_hash(text, 0) % BUCKETS];
    while (*slot != NULL && !str_eq(str_from((*slot)->text), text))
        slot = &(*slot)->next;
    return slot;
}

key_record_t *
key_registry_find(key_registry_t *registry, str_t text)
{
    return *slot_of(registry, text);
}

key_record_t *
key_registry_add(key_registry_t *registry, str_t text, uint64_t fingerprint, uint64_t now_ms)
{
    if (text.len >= KEY_TEXT_MAX || registry->count >= KEY_RECORDS_MAX)
        return NULL;
    key_record_t **slot = slot_of(registry, text);
    xassert(*slot == NULL);
    key_record_t *record = xcalloc(1, sizeof(*record));
    memcpy(record->text, text.ptr, text.len);
    record->fingerprint = fingerprint;
    record->touched_ms = now_ms;
    *slot = record;
    registry->count++;
    return record;
}

void
key_registry_remove(key_registry_t *registry, key_record_t *record)
{
    key_record_t **slot = slot_of(registry, str_from(record->text));
    xassert(*slot == record);
    *slot = record->next;
    free(record);
    registry->count--;
}

void
key_registry_sweep(key_registry_t *registry, uint64_t now_ms)
{
    for (size_t n = 0; n < SWEEP_BUCKETS; n++) {
        key_record_t **slot = &registry->buckets[registry->sweep_position];
        registry->sweep_position = (registry->sweep_position + 1) % BUCKETS;
        while (*slot != NULL) {
            key_record_t *record = *slot;
            if (record->state == KEY_RUNNING || now_ms < record->touched_ms + KEY_RECORD_MS) {
                slot = &record->next;
                continue;
            }
            *slot = record->next;
            free(record);
            registry->count--;
        }
    }
}

size_t
key_registry_count(const key_registry_t *registry)
{
    return registry->count;
}
