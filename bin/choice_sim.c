/*
 * choice-sim: plays the gateway's choice of upstreams against simpler policies on a model of a
 * site, without processes: instances with views of their own, upstreams with slots, a queue and a
 * memory of objects. Prints one line a policy, load and seed. docs/design/choice-platform.md.
 */
#include <getopt.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "gateway/policy/choice.h"

enum {
    REGIONS = 3,
    INSTANCES_A_REGION = 3,
    INSTANCES = REGIONS * INSTANCES_A_REGION,
    UPSTREAMS = 24,
    SLOTS = 9,
    QUEUE = 27,
    OBJECTS = 126, /* of each region */
    MEMORY = 66,
    COLD_MS = 480,
    WARM_MS = 144,
    AIM_MS = 400,
    PATIENCE_MS = 2500,
    AWAY_MS = 35, /* one way between regions */
    NEAR_MS = 1,
    STEP_MS = 1,
    PLAN_EVERY_MS = 200,
    DEMAND_TIME_MS = 2000,
};

static const unsigned upstreams_of[REGIONS] = {12, 2, 10};

typedef enum { POLICY_IRIS, POLICY_LEAST, POLICY_TWO, POLICY_RENDEZVOUS, POLICY_COUNT } policy_t;

static const char *const policy_names[] = {"iris", "least", "two-choices", "rendezvous"};

typedef struct request {
    struct request *next;
    uint64_t arrived_ms;
    uint64_t event_ms; /* when it reaches the upstream, ends there, or is back */
    uint64_t object;
    unsigned instance;
    unsigned upstream;
    enum { GOING, WAITING, RUNNING, RETURNING } state;
    unsigned load_seen;
} request_t;

typedef struct {
    unsigned region;
    unsigned running;
    unsigned waiting;
    uint64_t memory[MEMORY];
} upstream_t;

typedef struct {
    backends_t backends;
    plan_t plan;
    double demand;
} instance_t;

typedef struct {
    policy_t policy;
    topology_t topology;
    config_t *config;
    upstream_t upstreams[UPSTREAMS];
    instance_t instances[INSTANCES];
    request_t *requests;
    rng_t rng;
    uint64_t now_ms;
    unsigned asked;
    unsigned in_aim;
    unsigned late;
    unsigned refused;
    unsigned cold;
    unsigned runs;
    unsigned asked_of[REGIONS];
    unsigned in_aim_of[REGIONS];
} sim_t;

static unsigned
region_of_instance(unsigned instance)
{
    return instance / INSTANCES_A_REGION;
}

static void
build(sim_t *sim)
{
    static const char *const regions[REGIONS] = {"a", "b", "c"};
    for (size_t i = 0; i < REGIONS; i++)
        topology_add(&sim->topology, str_from(regions[i]), str_from(regions[i]));
    sim->config = config_new(1, 0);
    config_route_t *route = &sim->config->routes[0];
    route->aim_ms = AIM_MS;
    route->priority = 1;
    route->host = xmemdup0("", 0);
    route->prefix = xmemdup0("", 0);
    unsigned number = 0;
    for (unsigned region = 0; region < REGIONS; region++) {
        for (unsigned i = 0; i < upstreams_of[region]; i++)
            sim->upstreams[number++].region = region;
    }
    for (unsigned i = 0; i < INSTANCES; i++) {
        for (unsigned k = 0; k < UPSTREAMS; k++) {
            char id[16];
            backend_info_t info = {.capacity = SLOTS};
            snprintf(id, sizeof(id), "u-%u", k);
            name_set(&info.id, str_from(id));
            name_set(&info.service, STR("svc"));
            name_set(&info.zone, str_from(regions[sim->upstreams[k].region]));
            backends_put(&sim->instances[i].backends, &info, &sim->topology, NULL, 0);
        }
    }
}

static bool
recall(upstream_t *upstream, uint64_t object)
{
    size_t at = 0;
    while (at < MEMORY - 1 && upstream->memory[at] != object)
        at++;
    const bool known = upstream->memory[at] == object;
    memmove(&upstream->memory[1], upstream->memory, at * sizeof(upstream->memory[0]));
    upstream->memory[0] = object;
    return known;
}

static unsigned
trip_ms(const sim_t *sim, const request_t *request)
{
    const bool near =
        region_of_instance(request->instance) == sim->upstreams[request->upstream].region;
    return near ? NEAR_MS : AWAY_MS;
}

static backend_t *
least_of(const sim_t *sim, const instance_t *instance, unsigned region, unsigned tries, rng_t *rng)
{
    backend_t *best = NULL;
    double least = INFINITY;
    for (unsigned i = 0; i < tries; i++) {
        const size_t index = tries == UPSTREAMS ? i : rng_below(rng, UPSTREAMS);
        backend_t *backend = instance->backends.items[index];
        if (backend->region != region && tries == UPSTREAMS)
            continue;
        const double load = backend_load(backend, sim->now_ms);
        if (load < least) {
            least = load;
            best = backend;
        }
    }
    return best;
}

static backend_t *
rendezvous(const instance_t *instance, unsigned region, uint64_t object)
{
    backend_t *best = NULL;
    uint64_t top = 0;
    for (size_t i = 0; i < instance->backends.count; i++) {
        backend_t *backend = instance->backends.items[i];
        const uint64_t pair[] = {object, backend->key};
        const uint64_t score = str_hash((str_t){(const char *)pair, sizeof(pair)}, 0);
        if (backend->region == region && score >= top) {
            top = score;
            best = backend;
        }
    }
    return best;
}

static backend_t *
pick(sim_t *sim, instance_t *instance, unsigned region, uint64_t object)
{
    choice_reason_t reason;
    const choice_input_t input = {
        .backends = &instance->backends,
        .topology = &sim->topology,
        .route = &sim->config->routes[0],
        .service = STR("svc"),
        .plan = &instance->plan,
        .own_zone = name_str(&sim->topology.regions[region]),
        .own_region = region,
        .object = object,
        .has_object = true,
        .now_ms = sim->now_ms,
        .peers_settled = true,
        .wait_ms = AIM_MS * 8 / 10,
        .load_max = 2,
        .may_spill = false,
    };
    switch (sim->policy) {
    case POLICY_IRIS:
        return choice_pick(&input, &reason);
    case POLICY_LEAST:
        return least_of(sim, instance, region, UPSTREAMS, &sim->rng);
    case POLICY_TWO:
        return least_of(sim, instance, region, 2, &sim->rng);
    case POLICY_RENDEZVOUS:
        return rendezvous(instance, region, object);
    case POLICY_COUNT:
        break;
    }
    BUG("policy");
}

static void
arrive(sim_t *sim, unsigned number)
{
    const unsigned region = region_of_instance(number);
    instance_t *instance = &sim->instances[number];
    const uint64_t name[] = {region, rng_below(&sim->rng, OBJECTS)};
    const uint64_t object = str_hash((str_t){(const char *)name, sizeof(name)}, 7);
    sim->asked++;
    sim->asked_of[region]++;
    backend_t *backend = pick(sim, instance, region, object);
    if (backend == NULL) {
        sim->refused++;
        instance->demand += (double)WARM_MS / DEMAND_TIME_MS;
        return;
    }
    request_t *request = xcalloc(1, sizeof(*request));
    request->arrived_ms = sim->now_ms;
    request->object = object;
    request->instance = number;
    while (instance->backends.items[request->upstream] != backend)
        request->upstream++;
    backend->in_flight++;
    request->event_ms = sim->now_ms + trip_ms(sim, request);
    request->next = sim->requests;
    sim->requests = request;
}

static void
start_run(sim_t *sim, request_t *request)
{
    upstream_t *upstream = &sim->upstreams[request->upstream];
    const bool warm = recall(upstream, request->object);
    const double spread = 0.85 + 0.3 * rng_unit(&sim->rng);
    sim->runs++;
    sim->cold += !warm;
    upstream->running++;
    request->state = RUNNING;
    request->event_ms = sim->now_ms + (uint64_t)((warm ? WARM_MS : COLD_MS) * spread);
}

static void
start_next(sim_t *sim, unsigned upstream)
{
    request_t *oldest = NULL;
    for (request_t *request = sim->requests; request != NULL; request = request->next) {
        if (request->state == WAITING && request->upstream == upstream &&
            (oldest == NULL || request->arrived_ms <= oldest->arrived_ms))
            oldest = request;
    }
    if (oldest == NULL)
        return;
    sim->upstreams[upstream].waiting--;
    start_run(sim, oldest);
}

/* The answer is back at the instance. */
static void
finish(sim_t *sim, request_t *request)
{
    instance_t *instance = &sim->instances[request->instance];
    backend_t *backend = instance->backends.items[request->upstream];
    const unsigned region = region_of_instance(request->instance);
    const uint64_t took = sim->now_ms - request->arrived_ms;
    const reported_load_t load = {.running = request->load_seen, .slots = SLOTS};
    backend->in_flight--;
    backend_report_load(backend, &load, sim->now_ms);
    backend_answered(backend, (double)took, request->load_seen > SLOTS);
    if (took <= AIM_MS) {
        sim->in_aim++;
        sim->in_aim_of[region]++;
    } else if (took <= PATIENCE_MS) {
        sim->late++;
    }
}

/* Moves one request on; true if it is over. */
static bool
advance(sim_t *sim, request_t *request)
{
    upstream_t *upstream = &sim->upstreams[request->upstream];
    if (request->state == WAITING || sim->now_ms < request->event_ms)
        return false;
    if (request->state == GOING) {
        if (upstream->running < SLOTS) {
            start_run(sim, request);
            return false;
        }
        request->state = WAITING;
        upstream->waiting++;
        return false;
    }
    if (request->state == RUNNING) {
        upstream->running--;
        request->load_seen = upstream->running + upstream->waiting;
        request->state = RETURNING;
        request->event_ms = sim->now_ms + trip_ms(sim, request);
        start_next(sim, request->upstream);
        return false;
    }
    finish(sim, request);
    return true;
}

static void
update_plans(sim_t *sim)
{
    plan_input_t input = {0};
    for (unsigned i = 0; i < UPSTREAMS; i++)
        input.room[sim->upstreams[i].region] += SLOTS;
    for (unsigned i = 0; i < INSTANCES; i++) {
        instance_t *instance = &sim->instances[i];
        unsigned in_flight = 0;
        for (size_t k = 0; k < instance->backends.count; k++)
            in_flight += instance->backends.items[k]->in_flight;
        const double keep = exp(-(double)PLAN_EVERY_MS / DEMAND_TIME_MS);
        instance->demand = keep * instance->demand + (1 - keep) * in_flight;
        input.demand[region_of_instance(i)] += instance->demand;
    }
    for (unsigned i = 0; i < INSTANCES; i++)
        plan_update(&sim->instances[i].plan, &input, REGIONS, region_of_instance(i), sim->now_ms);
}

static void
play(policy_t policy, double per_s, uint64_t seed, uint64_t length_ms)
{
    sim_t *sim = xcalloc(1, sizeof(*sim));
    sim->policy = policy;
    sim->rng.state = seed;
    build(sim);
    for (sim->now_ms = 1; sim->now_ms < length_ms; sim->now_ms += STEP_MS) {
        if (sim->now_ms % PLAN_EVERY_MS == 1)
            update_plans(sim);
        for (unsigned i = 0; i < INSTANCES; i++) {
            if (rng_unit(&sim->rng) < per_s / INSTANCES * STEP_MS / 1000)
                arrive(sim, i);
        }
        for (request_t **slot = &sim->requests; *slot != NULL;) {
            request_t *request = *slot;
            if (!advance(sim, request)) {
                slot = &request->next;
                continue;
            }
            *slot = request->next;
            free(request);
        }
    }
    double worst = 1;
    for (unsigned i = 0; i < REGIONS; i++)
        worst = fmin(worst, (double)sim->in_aim_of[i] / sim->asked_of[i]);
    printf("%-12s %6.0f %4llu  %.3f %.3f %.3f %.3f %.3f\n", policy_names[policy], per_s,
           (unsigned long long)seed, (double)sim->in_aim / sim->asked,
           (double)sim->late / sim->asked, (double)sim->refused / sim->asked,
           (double)sim->cold / sim->runs, worst);
}

int
main(int argc, char **argv)
{
    static const double loads[] = {300, 500, 700};
    unsigned seeds = 5;
    unsigned seconds = 30;
    int option;
    while ((option = getopt(argc, argv, "n:s:h")) != -1) {
        if (option == 'n') {
            seeds = (unsigned)strtoul(optarg, NULL, 10);
        } else if (option == 's') {
            seconds = (unsigned)strtoul(optarg, NULL, 10);
        } else {
            puts("usage: choice-sim [-n SEEDS] [-s SECONDS]");
            return option == 'h' ? EXIT_SUCCESS : 2;
        }
    }
    printf("%-12s %6s %4s  %s\n", "policy", "req/s", "seed",
           "in_aim late refused cold worst_region");
    for (size_t load = 0; load < ALEN(loads); load++) {
        for (policy_t policy = 0; policy < POLICY_COUNT; policy++) {
            for (unsigned seed = 1; seed <= seeds; seed++)
                play(policy, loads[load], seed, (uint64_t)seconds * 1000);
        }
    }
    return EXIT_SUCCESS;
}
