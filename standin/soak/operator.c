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
};

typedef struct {
    uint64_t at_ms; /* acknowledged */
    uint64_t idle_ms;
} version_t;

struct operator
{
    standin_store_t *store;
    rng_t rng;
    uint64_t version;
    version_t versions[VERSIONS_KEPT];
    unsigned timeouts_ms[OPERATOR_FIRST_ROUTES];
    unsigned weights[OPERATOR_FIRST_ROUTES]; /* of the first service, against WEIGHT_MAX */
    uint64_t storm_end_ms;
    uint64_t storm_next_ms;
    standin_store_mode_t mode;
    uint64_t mode_end_ms;
    uint64_t slow_end_ms;
    bool slow;
    uint64_t disturbed_ms; /* last; the store */
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
add_first_route(const operator_t *operator, json_t * routes, unsigned i)
{
    static const char *const types[] = {"safe", "unsafe", "download"};
    char name[32];
    char prefix[32];
    const char *type = types[i % ALEN(types)];
    snprintf(name, sizeof(name), "first-%u", i);
    snprintf(prefix, sizeof(prefix), "/first/%u/", i);
    json_t *json = route(prefix, type, operator->timeouts_ms[i]);
    json_object_set_new(json, "trafficSplit",
                        json_pack("[{s:s, s:i}, {s:s, s:i}]", "service", "left", "weight",
                                  (int)operator->weights[i], "service", "right", "weight",
                                  (int)(WEIGHT_MAX - operator->weights[i])));
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

static json_t *
routes_of(const operator_t *operator)
{
    json_t *routes = json_object();
    for (unsigned i = 0; i < OPERATOR_FIRST_ROUTES; i++)
        add_first_route(operator, routes, i);
    for (uint64_t i = 0; i < OPERATOR_MARKERS && i < operator->version; i++)
        add_marker(routes, operator->version - i);
    return routes;
}

static json_t *
service(void)
{
    return json_pack("{s:i, s:f, s:f}", "maxConns", MAX_CONNECTIONS, "coldStartS", 0.0, "coldPerS",
                     100.0);
}

/* Draws what else this version changes, besides the routes it adds and takes away. */
static void
vary(operator_t *operator, version_t * version)
{
    static const uint64_t idle_ms[] = {2000, 5000, 10000, 15000};
    const unsigned i = (unsigned)rng_below(&operator->rng, OPERATOR_FIRST_ROUTES);
    operator->timeouts_ms[i] =
        TIMEOUT_MIN_MS +(unsigned) rng_below(&operator->rng, TIMEOUT_SPAN_MS);
    operator->weights[i] =(unsigned) rng_below(&operator->rng, WEIGHT_MAX + 1);
    if (rng_below(&operator->rng, 3) == 0)
        version->idle_ms = idle_ms[rng_below(&operator->rng, ALEN(idle_ms))];
}

static version_t *
version_of(const operator_t *operator, uint64_t number)
{
    return (version_t *)&operator->versions[number % VERSIONS_KEPT];
}

static void
change(operator_t *operator, uint64_t now_ms)
{
    char text[16];
    version_t *version = version_of(operator, operator->version + 1);
    *version = (version_t){now_ms, version_of(operator, operator->version)->idle_ms};
    vary(operator, version);
    operator->version++;
    snprintf(text, sizeof(text), "%08" PRIx64, operator->version);
    standin_store_put(operator->store, "config", "main",
                      json_pack("{s:s, s:o, s:{s:o, s:o}, s:{s:i, s:i, s:i, s:i}}", "version", text,
                                "routes", routes_of(operator), "services", "left", service(),
                                "right", service(), "limits", "maxHeaderBytes", 16384,
                                "maxBodyBytes", 1 << 20, "headerTimeoutMs", 3000, "idleTimeoutMs",
                                (int)version->idle_ms),
                      NULL);
}

operator_t *
operator_new(standin_store_t *store, uint64_t seed)
{
    operator_t *operator= xcalloc(1, sizeof(*operator));
    operator->store = store;
    operator->rng =(rng_t){seed};
    for (unsigned i = 0; i < OPERATOR_FIRST_ROUTES; i++) {
        operator->timeouts_ms[i] = TIMEOUT_MIN_MS;
        operator->weights[i] = WEIGHT_MAX / 2;
    }
    version_of(operator, 0)->idle_ms = 15000;
    change(operator, 0);
    return operator;
}

static bool
may_write(const operator_t *operator)
{
    return operator->mode == STANDIN_STORE_SERVES;
}

void
operator_trouble(operator_t *operator, const trouble_t * trouble, uint64_t now_ms)
{
    const uint64_t end_ms = now_ms + trouble->length_ms;
    switch (trouble->kind) {
    case TROUBLE_CONFIG:
        if (may_write(operator))
            change(operator, now_ms);
        break;
    case TROUBLE_STORM:
        operator->storm_end_ms = end_ms;
        break;
    case TROUBLE_STORE:
        operator->mode = trouble->variant;
        operator->mode_end_ms = end_ms;
        operator->disturbed_ms = now_ms;
        standin_store_set_mode(operator->store, operator->mode);
        break;
    case TROUBLE_STORE_SLOW:
        operator->slow = true;
        operator->slow_end_ms = end_ms;
        operator->disturbed_ms = now_ms;
        standin_store_set_delay(operator->store, trouble->variant);
        break;
    case TROUBLE_STORE_FORGETS:
        operator->disturbed_ms = now_ms;
        standin_store_forget(operator->store);
        break;
    default:
        BUG("no trouble of the operator's");
    }
}

static void
end_store_troubles(operator_t *operator, uint64_t now_ms)
{
    if (operator->mode != STANDIN_STORE_SERVES || operator->slow)
        operator->disturbed_ms = now_ms;
    if (operator->mode != STANDIN_STORE_SERVES && now_ms >= operator->mode_end_ms) {
        operator->mode = STANDIN_STORE_SERVES;
        standin_store_set_mode(operator->store, operator->mode);
    }
    if (operator->slow && now_ms >= operator->slow_end_ms) {
        operator->slow = false;
        standin_store_set_delay(operator->store, 0);
    }
}

void
operator_tick(operator_t *operator, uint64_t now_ms)
{
    end_store_troubles(operator, now_ms);
    if (now_ms >= operator->storm_end_ms || now_ms<operator->storm_next_ms || !may_write(operator))
        return;
    operator->storm_next_ms = now_ms + STORM_EVERY_MS;
    change(operator, now_ms);
}

uint64_t
operator_version(const operator_t *operator)
{
    return operator->version;
}

uint64_t
operator_version_at(const operator_t *operator, uint64_t at_ms)
{
    uint64_t number = operator->version;
    while (number > 1 && version_of(operator, number)->at_ms > at_ms)
        number--;
    return number;
}

bool
operator_store_calm_since(const operator_t *operator, uint64_t since_ms)
{
    return operator->disturbed_ms == 0 || operator->disturbed_ms<since_ms;
}

uint64_t
operator_idle_ms(const operator_t *operator, uint64_t since_ms)
{
    uint64_t number = operator->version;
    uint64_t least_ms = version_of(operator, number)->idle_ms;
    while (number > 1 && version_of(operator, number)->at_ms > since_ms) {
        number--;
        if (version_of(operator, number)->idle_ms < least_ms)
            least_ms = version_of(operator, number)->idle_ms;
    }
    return least_ms;
}
