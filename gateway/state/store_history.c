#include "gateway/state/store_history.h"

#include "gateway/state/position.h"

bool
store_history_learn(store_history_t *history, uint64_t era)
{
    if (era <= history->era)
        return false;
    /* The first era that the store names is no return, unless it followed counted ones. */
    const bool first = history->era == 0 && era >= position_named_era(1);
    history->era = era;
    history->returned |= !first;
    return !first;
}

uint64_t
store_history_list_era(const store_history_t *history, uint64_t named, uint64_t known,
                       uint64_t revision)
{
    if (named > 0)
        return position_named_era(named);
    if (known == 0)
        return history->era;
    return position_era(known) + (revision < position_revision(known));
}

uint64_t
store_history_peer_era(const store_history_t *history, uint64_t stated)
{
    return stated > 0 || history->returned ? stated : history->era;
}
