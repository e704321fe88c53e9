#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "standin/soak/operator.h"

enum {
    VERSIONS_KEPT = 1 << 12, /* several minutes of storm */
    STORM_EVERY_MS = 100,    /* about 10 a second, as the users' operators do */
    AIM_MS = 400,
    MAX_ATTEMPTS = 2,
    MAX_CONNECTIONS = 330, /* of a backend server, as in fake-site */
    WEIGHT_MAX = 9,
    TIMEOUT_MIN_MS = 1200, /* above the longest work of a backend server */
    TIMEOUT_SPAN_MS = 1500,
    /* A large configuration: routes are added by so many, as on the users' sites, up to what the
     * store's megabyte for a value holds (about 185 bytes a route). */
    ROUTES_STEP = 1400,
    ROUTES_STEPS_MAX = 3, /* at once */
    ROUTES_MAX = 5200,
    /* The operator waits for the store's answer before the next version: 0.8 ms a route, as seen on
     * the users' platform. */
    WRITE_ROUTES_PER_S = 1250,
    MS_PER_S = 1000,
    /* Copies of the store are up to 5 s old. */
    SAMPLE_MS = 100,
    SAMPLES = 50,
    AGAIN_SPAN_MS = 1000, /* until the operator writes what a returned store lacks */
};

typedef struct {
    uint64_t at_ms; /* acknowledged */
    uint64_t idle_ms;
} version_t;

struct soak_operator {
    standin_store_t *store;
    accounts_t *accounts;
    rng_t rng;
    uint64_t version;
    version_t versions[VERSIONS_KEPT];
    unsigned timeouts_ms[OPERATOR_FIRST_ROUTES];
    unsigned weights[OPERATOR_FIRST_ROUTES]; /* of the first service, against WEIGHT_MAX */
    unsigned more_routes;                    /* of a large configuration */
    uint64_t more_end_ms;
    uint64_t written_ms; /* when the last version's writing ends */
    uint64_t storm_end_ms;
    uint64_t storm_next_ms;
    standin_store_mode_t mode;
    uint64_t mode_end_ms;
    uint64_t slow_end_ms;
    bool slow;
    uint64_t disturbed_ms;     /* last; the store */
    uint64_t samples[SAMPLES]; /* revisions of the store, one each SAMPLE_MS */
    uint64_t sample_count;
    uint64_t sample_ms;
    uint64_t copy;     /* revision from which the store comes back; 0: it does not */
    uint64_t again_ms; /* when the configuration is written again; 0: not */
};

static json_t *
route(const char *prefix, const char *type, unsigned timeout_ms)
{
    return json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:b}", "host", "soak.example",
                     "pathPrefix", prefix, "routeType", type, "timeoutMs", (int)timeout_ms,
                     "targetLatencyMs", AIM_MS, "priority", 1, "maxAttempts", MAX_ATTEMPTS,
                     "sticky", false);
}

static void
add_first_route(const operator_t *ops, json_t *routes, unsigned i)
{
    static const char *const types[] = {"safe", "unsafe", "download"};
    char name[32];
    char prefix[32];
    const char *type = types[i % ALEN(types)];
    snprintf(name, sizeof(name), "first-%u", i);
    snprintf(prefix, sizeof(prefix), "/first/%u/", i);
    json_t *json = route(prefix, type, ops->timeouts_ms[i]);
    json_object_set_new(json, "trafficSplit",
                        json_pack("[{s:s, s:i}, {s:s, s:i}]", "service", "left", "weight",
                                  (int)ops->weights[i], "service", "right", "weight",
                                  (int)(WEIGHT_MAX - ops->weights[i])));
    json_object_set_new(routes, name, json);
}

static void
add_marker(json_t *routes, uint64_t version)
{
    char name[32];
    char prefix[32];
    snprintf(name, sizeof(name), "marker-%" PRIu64, version);
    snprintf(prefix, sizeof(prefix), "/marker/%" PRIu64 "/", version);
    json_t *json = route(prefix, "safe", TIMEOUT_MIN_MS);
    json_object_set_new(json, "service", json_string(version % 2 == 0 ? "left" : "right"));
    json_object_set_new(routes, name, json);
}

/* One of the many routes of a large configuration; nobody asks for it. */
static void
add_more_route(json_t *routes, unsigned i)
{
    char name[32];
    char prefix[32];
    snprintf(name, sizeof(name), "more-%u", i);
    snprintf(prefix, sizeof(prefix), "/more/%u/", i);
    json_t *json = route(prefix, "safe", TIMEOUT_MIN_MS);
    json_object_set_new(json, "service", json_string(i % 2 == 0 ? "left" : "right"));
    json_object_set_new(routes, name, json);
}

static json_t *
routes_of(const operator_t *ops)
{
    json_t *routes = json_object();
    for (unsigned i = 0; i < OPERATOR_FIRST_ROUTES; i++)
        add_first_route(ops, routes, i);
    for (uint64_t i = 0; i < OPERATOR_MARKERS && i < ops->version; i++)
        add_marker(routes, ops->version - i);
    for (unsigned i = 0; i < ops->more_routes; i++)
        add_more_route(routes, i);
    return routes;
}

static json_t *
service(void)
{
    return json_pack("{s:i, s:s, s:f, s:f}", "maxConns", MAX_CONNECTIONS, "healthPath", "/health",
                     "coldStartS", 0.0, "coldPerS", 100.0);
}

/* Draws what else this version changes, besides the routes it adds and takes away. */
static void
vary(operator_t *ops, version_t *version)
{
    static const uint64_t idle_ms[] = {2000, 5000, 10000, 15000};
    const unsigned i = (unsigned)rng_below(&ops->rng, OPERATOR_FIRST_ROUTES);
    ops->timeouts_ms[i] = TIMEOUT_MIN_MS + (unsigned)rng_below(&ops->rng, TIMEOUT_SPAN_MS);
    ops->weights[i] = (unsigned)rng_below(&ops->rng, WEIGHT_MAX + 1);
    if (rng_below(&ops->rng, 3) == 0)
        version->idle_ms = idle_ms[rng_below(&ops->rng, ALEN(idle_ms))];
}

static version_t *
version_of(const operator_t *ops, uint64_t number)
{
    return (version_t *)&ops->versions[number % VERSIONS_KEPT];
}

static void
write_version(const operator_t *ops)
{
    char text[16];
    snprintf(text, sizeof(text), "%08" PRIx64, ops->version);
    standin_store_put(ops->store, "config", "main",
                      json_pack("{s:s, s:o, s:o, s:{s:o, s:o}, s:{s:i, s:i, s:i, s:i}}", "version",
                                text, "routes", routes_of(ops), "tenants",
                                accounts_json(ops->accounts), "services", "left", service(),
                                "right", service(), "limits", "maxHeaderBytes", 16384,
                                "maxBodyBytes", 1 << 20, "headerTimeoutMs", 3000, "idleTimeoutMs",
                                (int)version_of(ops, ops->version)->idle_ms),
                      NULL);
}

static void
change(operator_t *ops, uint64_t now_ms)
{
    version_t *version = version_of(ops, ops->version + 1);
    *version = (version_t){now_ms, version_of(ops, ops->version)->idle_ms};
    vary(ops, version);
    accounts_vary(ops->accounts, &ops->rng, now_ms);
    ops->version++;
    write_version(ops);
    ops->again_ms = 0;
    ops->written_ms = now_ms + (uint64_t)ops->more_routes * MS_PER_S / WRITE_ROUTES_PER_S;
}

operator_t *
operator_new(standin_store_t *store, accounts_t *accounts, uint64_t seed)
{
    operator_t *ops = xcalloc(1, sizeof(*ops));
    ops->store = store;
    ops->accounts = accounts;
    ops->rng = (rng_t){seed};
    for (unsigned i = 0; i < OPERATOR_FIRST_ROUTES; i++) {
        ops->timeouts_ms[i] = TIMEOUT_MIN_MS;
        ops->weights[i] = WEIGHT_MAX / 2;
    }
    version_of(ops, 0)->idle_ms = 15000;
    change(ops, 0);
    return ops;
}

static bool
may_write(const operator_t *ops, uint64_t now_ms)
{
    return ops->mode == STANDIN_STORE_SERVES && now_ms >= ops->written_ms;
}

static void
grow(operator_t *ops, const trouble_t *trouble, uint64_t now_ms)
{
    const unsigned routes =
        ops->more_routes + ROUTES_STEP * (1 + trouble->variant % ROUTES_STEPS_MAX);
    ops->more_routes = routes < ROUTES_MAX ? routes : ROUTES_MAX;
    ops->more_end_ms = now_ms + trouble->length_ms;
    change(ops, now_ms);
}

static void
end_growth(operator_t *ops, uint64_t now_ms)
{
    if (ops->more_routes == 0 || now_ms < ops->more_end_ms || !may_write(ops, now_ms))
        return;
    ops->more_routes = 0;
    change(ops, now_ms);
}

/* ---- a store that comes back from a copy ---- */

static void
sample_revision(operator_t *ops, uint64_t now_ms)
{
    if (now_ms < ops->sample_ms)
        return;
    ops->sample_ms = now_ms + SAMPLE_MS;
    ops->samples[ops->sample_count++ % SAMPLES] = standin_store_revision(ops->store);
}

/* The store is away; its copy is of some seconds ago. */
static void
begin_return(operator_t *ops, const trouble_t *trouble, uint64_t now_ms)
{
    if (ops->mode != STANDIN_STORE_SERVES || ops->sample_count < SAMPLES)
        return;
    ops->copy = ops->samples[(ops->sample_count + trouble->variant) % SAMPLES];
    ops->mode = STANDIN_STORE_RESETS;
    ops->mode_end_ms = now_ms + trouble->length_ms;
    ops->disturbed_ms = now_ms;
    standin_store_set_mode(ops->store, ops->mode);
}

/* Returns true if the store is back from its copy now. */
static bool
end_return(operator_t *ops, uint64_t now_ms)
{
    if (ops->copy == 0 || ops->mode != STANDIN_STORE_SERVES)
        return false;
    standin_store_return(ops->store, ops->copy);
    ops->copy = 0;
    ops->sample_count = 0;
    ops->disturbed_ms = now_ms;
    ops->again_ms = now_ms + 1 + rng_below(&ops->rng, AGAIN_SPAN_MS);
    return true;
}

static void
write_again(operator_t *ops, uint64_t now_ms)
{
    if (ops->again_ms == 0 || now_ms < ops->again_ms || !may_write(ops, now_ms))
        return;
    ops->again_ms = 0;
    ops->disturbed_ms = now_ms;
    write_version(ops);
}

void
operator_trouble(operator_t *ops, const trouble_t *trouble, uint64_t now_ms)
{
    const uint64_t end_ms = now_ms + trouble->length_ms;
    switch (trouble->kind) {
    case TROUBLE_CONFIG:
        if (may_write(ops, now_ms))
            change(ops, now_ms);
        break;
    case TROUBLE_ROUTES:
        if (may_write(ops, now_ms))
            grow(ops, trouble, now_ms);
        break;
    case TROUBLE_STORM:
        ops->storm_end_ms = end_ms;
        break;
    case TROUBLE_STORE:
        ops->mode = trouble->variant;
        ops->mode_end_ms = end_ms;
        ops->disturbed_ms = now_ms;
        standin_store_set_mode(ops->store, ops->mode);
        break;
    case TROUBLE_STORE_SLOW:
        ops->slow = true;
        ops->slow_end_ms = end_ms;
        ops->disturbed_ms = now_ms;
        standin_store_set_delay(ops->store, trouble->variant);
        break;
    case TROUBLE_STORE_RETURNS:
        begin_return(ops, trouble, now_ms);
        break;
    case TROUBLE_STORE_FORGETS:
        ops->disturbed_ms = now_ms;
        standin_store_forget(ops->store);
        break;
    default:
        BUG("no trouble of the operator's");
    }
}

static void
end_store_troubles(operator_t *ops, uint64_t now_ms)
{
    if (ops->mode != STANDIN_STORE_SERVES || ops->slow)
        ops->disturbed_ms = now_ms;
    if (ops->mode != STANDIN_STORE_SERVES && now_ms >= ops->mode_end_ms) {
        ops->mode = STANDIN_STORE_SERVES;
        standin_store_set_mode(ops->store, ops->mode);
    }
    if (ops->slow && now_ms >= ops->slow_end_ms) {
        ops->slow = false;
        standin_store_set_delay(ops->store, 0);
    }
}

bool
operator_tick(operator_t *ops, uint64_t now_ms)
{
    end_store_troubles(ops, now_ms);
    const bool returned = end_return(ops, now_ms);
    sample_revision(ops, now_ms);
    write_again(ops, now_ms);
    end_growth(ops, now_ms);
    if (now_ms >= ops->storm_end_ms || now_ms < ops->storm_next_ms || !may_write(ops, now_ms))
        return returned;
    ops->storm_next_ms = now_ms + STORM_EVERY_MS;
    change(ops, now_ms);
    return returned;
}

uint64_t
operator_version(const operator_t *ops)
{
    return ops->version;
}

uint64_t
operator_version_at(const operator_t *ops, uint64_t at_ms)
{
    uint64_t number = ops->version;
    while (number > 1 && version_of(ops, number)->at_ms > at_ms)
        number--;
    return number;
}

bool
operator_store_calm_since(const operator_t *ops, uint64_t since_ms)
{
    return ops->disturbed_ms == 0 || ops->disturbed_ms < since_ms;
}

uint64_t
operator_idle_ms(const operator_t *ops, uint64_t since_ms)
{
    uint64_t number = ops->version;
    uint64_t least_ms = version_of(ops, number)->idle_ms;
    while (number > 1 && version_of(ops, number)->at_ms > since_ms) {
        number--;
        if (version_of(ops, number)->idle_ms < least_ms)
            least_ms = version_of(ops, number)->idle_ms;
    }
    return least_ms;
}
