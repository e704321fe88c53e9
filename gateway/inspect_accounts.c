#include "gateway/inspect_accounts.h"

#include <inttypes.h>

#include "base/loop_time.h"

static const char *
name_of(const account_sync_t *sync, uint64_t incarnation)
{
    for (size_t i = 0; i < sync->conf.members->count; i++) {
        const member_t *member = &sync->conf.members->items[i];
        if (member->heard && member->incarnation == incarnation)
            return member->instance.ptr;
    }
    return "-";
}

static const char *
state_of(const account_use_t *use, uint64_t now_ms)
{
    if (!account_use_is_connected(use, now_ms))
        return "owner silent";
    return use->limiter.limited ? "at limit" : "below limit";
}

static void
print_use(const account_sync_t *sync, const account_use_t *use, const config_account_t *account,
          wire_text_t *out)
{
    wire_text_printf(out, "%-24s %8.1f %8.0f %10" PRIu64 " %8" PRIu64 " %8.2f %8.1f  %-12s %s\n",
                     use->name.ptr, account->rate_per_s, account->burst, use->used, use->refused,
                     use->limiter.share_per_s, use->tokens,
                     state_of(use, loop_now(sync->conf.loop)), name_of(sync, use->owner));
}

/* Name of the region or data hall that is the mesh. */
static const char *
mesh_name(const topology_t *topology, size_t mesh)
{
    if (mesh < topology->region_count)
        return topology->regions[mesh].ptr;
    const size_t hall = mesh - TOPOLOGY_REGIONS_MAX - 1;
    return mesh > TOPOLOGY_REGIONS_MAX && hall < topology->hall_count
               ? topology->halls[hall].name.ptr
               : "-";
}

/* Writes the ledger of an account that this instance owns in its region. */
static void
print_ledger(const account_sync_t *sync, const ledger_t *ledger, wire_text_t *out)
{
    const uint64_t now_ms = loop_now(sync->conf.loop);
    wire_text_printf(out, "owned here: room %.1f of %.1f, asked %.1f/s here, %.1f/s everywhere\n",
                     ledger->bucket.tokens, ledger->bucket.burst,
                     ledger_region_demand_per_s(ledger, now_ms),
                     ledger_total_demand_per_s(ledger, now_ms));
    for (size_t i = 0; i < ledger->reporter_count; i++)
        wire_text_printf(out, "  instance %-24s share %8.2f/s, heard %" PRIu64 " ms ago\n",
                         name_of(sync, ledger->reporters[i].source),
                         ledger->reporters[i].share_per_s,
                         now_ms - ledger->reporters[i].last_report_ms);
    for (size_t i = 0; i < ledger->peer_count; i++)
        wire_text_printf(out, "  region %-24s asked %8.1f/s, heard %" PRIu64 " ms ago\n",
                         mesh_name(sync->conf.topology, ledger->peers[i].mesh),
                         ledger->peers[i].demand_per_s, now_ms - ledger->peers[i].last_exchange_ms);
}

void
inspect_accounts(const account_sync_t *sync, str_t account, wire_text_t *out)
{
    const config_t *config = sync->conf.catalog->config;
    if (config == NULL || !config->has_accounts) {
        wire_text_str(out, STR("no client accounts in the configuration\n"));
        return;
    }
    wire_text_printf(out, "%-24s %8s %8s %10s %8s %8s %8s  %-12s %s\n", "ACCOUNT", "RATE_S",
                     "BURST", "USED", "REFUSED", "SHARE_S", "ROOM", "STATE", "OWNER");
    for (size_t i = 0; i < sync->conf.uses->count; i++) {
        const account_use_t *use = sync->conf.uses->items[i];
        const config_account_t *known = config_account(config, use->id);
        if (known == NULL || (account.len > 0 && !name_eq(&use->name, account)))
            continue;
        print_use(sync, use, known, out);
        const ledger_t *ledger = account.len > 0 ? ledgers_find(&sync->ledgers, use->id) : NULL;
        if (ledger != NULL)
            print_ledger(sync, ledger, out);
    }
}
