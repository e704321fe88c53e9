#include <stdlib.h>
#include <string.h>

#include "base/mutate.h"
#include "base/xmalloc.h"

static mutation_t current;

void
mutate_set(mutation_t mutation)
{
    current = mutation;
}

bool
mutate_is(mutation_t mutation)
{
    return __builtin_expect(current == mutation, 0);
}

void
mutate_from_environment(void)
{
#ifdef IRISSTALL_MUTATIONS
    static const char *const names[MUTATE_COUNT] = {
        "none",          "no_fence",   "early_unlock", "early_reissue",
        "lend_for_free", "no_cap",     "ignore_drain", "retry_all",
        "claim_not_run", "accept_old", "no_limit",     "cut_on_stop",
    };
    const char *wanted = getenv("IRISSTALL_MUTATE");
    for (size_t i = 0; wanted != NULL && i < ALEN(names); i++) {
        if (strcmp(names[i], wanted) == 0)
            current = (mutation_t)i;
    }
#endif
}
