/*
 * slopes: benchmarks how memory, CPU time and message sizes scale, for docs/CAPACITY.md. Prints
 * tab-separated lines "slope, size, metric, value, unit".
 *
 * With --write-blocks=DIR, writes --count client blocks as stored objects instead.
 */
#include <getopt.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <uv.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "entry/lookup/blocks.h"
#include "entry/lookup/plan.h"
#include "entry/lookup/steer.h"
#include "peer/peer.pb-c.h"
#include "entry/region/credit.h"
#include "entry/request/key.h"
#include "entry/table/ramp.h"
#include "entry/table/table_json.h"

enum {
    CHUNK = 65536,
    LOOKUP_COUNT = 2000000,
    REGIONS = 26,
    HALLS_PER_REGION = 2,
    IPV6_DIVISOR = 5, /* 1 in 5 blocks is IPv6 */
    REPETITIONS = 50,
    PICK_COUNT = 20000,
};

static double
cpu_time_s(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static size_t
heap_bytes(void)
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void
report(const char *slope, size_t size, const char *metric, double value, const char *unit)
{
    printf("%s\t%zu\t%s\t%.4g\t%s\n", slope, size, metric, value, unit);
}

typedef struct {
    uint32_t family;
    size_t count;
    uint64_t *starts;
    uint8_t *areas;
} block_list_t;

/* Generates blocks of random sizes across the family's address space. */
static block_list_t
make_blocks(uint32_t family, size_t count, rng_t *rng)
{
    block_list_t list = {.family = family, .count = count};
    list.starts = xcalloc(count, sizeof(*list.starts));
    list.areas = xcalloc(count, 1);
    const uint64_t space = family == 4 ? 0xdfffffff : 0x3fffffffffffffff;
    const uint64_t step = space / (count + 1);
    uint64_t at = step;
    for (size_t i = 0; i < count; i++) {
        list.starts[i] = at;
        list.areas[i] = (uint8_t)rng_below(rng, REGIONS);
        at += step / 2 + rng_below(rng, step);
        if (at > space)
            at = list.starts[i] + 1;
    }
    return list;
}

static void
block_list_free(block_list_t *list)
{
    free(list->starts);
    free(list->areas);
}

static size_t
chunk_count(const block_list_t *list)
{
    return (list->count + CHUNK - 1) / CHUNK;
}

static char *
pack_chunk(const block_list_t *list, uint64_t set, size_t index, size_t *len)
{
    const size_t from = index * CHUNK;
    const size_t n = list->count - from < CHUNK ? list->count - from : CHUNK;
    return blocks_pack_chunk(list->family, set, (uint32_t)index, (uint32_t)chunk_count(list),
                             list->starts + from, list->areas + from, n, len);
}

/* Loads all chunks of a set; returns the longest time spent on one chunk. */
static double
load_blocks(blocks_t *blocks, const block_list_t *list, uint64_t set)
{
    double longest = 0;
    for (size_t i = 0; i < chunk_count(list); i++) {
        size_t len;
        err_t err = {0};
        char *bytes = pack_chunk(list, set, i, &len);
        const double start = cpu_time_s();
        if (!blocks_add_chunk(blocks, (str_t){bytes, len}, &err))
            BUG(err.detail);
        const double elapsed = cpu_time_s() - start;
        longest = elapsed > longest ? elapsed : longest;
        free(bytes);
    }
    return longest;
}

/* Baseline: binary search over a sorted array. */
static size_t
plain_search(const uint32_t *starts, size_t n, uint32_t key)
{
    size_t low = 0;
    size_t high = n;
    while (low < high) {
        const size_t middle = (low + high) / 2;
        if (starts[middle] <= key)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

static void
time_lookups(const blocks_t *blocks, const block_list_t *list, size_t total)
{
    rng_t rng = {.state = 9};
    uint32_t *flat = xcalloc(list->count, sizeof(*flat));
    uint32_t *keys = xcalloc(LOOKUP_COUNT, sizeof(*keys));
    for (size_t i = 0; i < list->count; i++)
        flat[i] = (uint32_t)list->starts[i];
    for (size_t i = 0; i < LOOKUP_COUNT; i++)
        keys[i] = (uint32_t)rng_below(&rng, 0xdfffffff);
    uint64_t sum = 0;
    double start = cpu_time_s();
    for (size_t i = 0; i < LOOKUP_COUNT; i++)
        sum += plain_search(flat, list->count, keys[i]);
    const double plain_s = (cpu_time_s() - start) / LOOKUP_COUNT;
    start = cpu_time_s();
    for (size_t i = 0; i < LOOKUP_COUNT; i++) {
        const client_addr_t addr = {.family = 4, .key = keys[i]};
        sum += blocks_area(blocks, &addr);
    }
    const double blocks_s = (cpu_time_s() - start) / LOOKUP_COUNT;
    report("blocks", total, "lookup", blocks_s * 1e9, "ns");
    report("blocks", total, "plain_binary_search", plain_s * 1e9, "ns");
    report("blocks", total, "lookup_over_plain", blocks_s / plain_s, "ratio");
    if (sum == 1)
        puts("");
    free(flat);
    free(keys);
}

static void
measure_blocks(size_t total)
{
    rng_t rng = {.state = total};
    block_list_t v6 = make_blocks(6, total / IPV6_DIVISOR, &rng);
    block_list_t v4 = make_blocks(4, total - total / IPV6_DIVISOR, &rng);
    blocks_t *blocks = blocks_new();
    const size_t before = heap_bytes();
    const double start = cpu_time_s();
    load_blocks(blocks, &v4, 1);
    load_blocks(blocks, &v6, 1);
    report("blocks", total, "load_set", (cpu_time_s() - start) * 1e3, "ms");
    report("blocks", total, "memory", (double)(heap_bytes() - before) / (double)total, "B/block");
    time_lookups(blocks, &v4, total);
    report("blocks", total, "longest_pause_of_replacing", load_blocks(blocks, &v4, 2) * 1e3, "ms");
    blocks_free(blocks);
    block_list_free(&v4);
    block_list_free(&v6);
}

static char *
topology_text(size_t regions)
{
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);
    fputs("{\"regions\":[", out);
    for (size_t r = 0; r < regions; r++)
        fprintf(out, "%s{\"name\":\"r%zu\",\"places\":[\"p%zu-a\",\"p%zu-b\"]}", r > 0 ? "," : "",
                r, r, r);
    fputs("]}", out);
    fclose(out);
    return text;
}

static char *
table_text(size_t rows)
{
    char *text = NULL;
    size_t len = 0;
    FILE *out = open_memstream(&text, &len);
    fputs("{\"schema\":1,\"service\":\"s\",\"ramp_start_ms\":1000,\"rows\":[", out);
    for (size_t r = 0; r < rows; r++)
        fprintf(out,
                "%s{\"place\":\"p%zu-%c\",\"weight\":%zu,\"from\":1,\"limit\":100,\"rate\":0,"
                "\"cap\":10,\"state\":\"steered\"}",
                r > 0 ? "," : "", r / 2, r % 2 == 0 ? 'a' : 'b', r % 7 + 1);
    fputs("],\"classes\":[{\"name\":\"c\",\"method\":\"GET\",\"path\":\"/\",\"repeatable\":true,"
          "\"deadline_ms\":100}]}",
          out);
    fclose(out);
    return text;
}

static void
measure_plan(size_t rows)
{
    err_t err = {0};
    char *places = topology_text(rows / HALLS_PER_REGION);
    char *text = table_text(rows);
    topology_t *topology = topology_parse(str_from(places), &err);
    table_t *table = table_parse(str_from(text), &err);
    xassert(topology != NULL && table != NULL);
    double *shares = xcalloc(rows, sizeof(*shares));
    double demand[TOPOLOGY_REGIONS_MAX];
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++)
        demand[i] = 1;
    double start = cpu_time_s();
    for (size_t i = 0; i < REPETITIONS; i++) {
        table_t *parsed = table_parse(str_from(text), &err);
        table_free(parsed);
    }
    report("table", rows, "parse", (cpu_time_s() - start) / REPETITIONS * 1e6, "us");
    report("table", rows, "stored_form", (double)strlen(text), "B");
    start = cpu_time_s();
    steer_plan_t *plan = NULL;
    for (size_t i = 0; i < REPETITIONS; i++) {
        steer_plan_free(plan);
        ramp_shares(table, 30000, shares);
        plan = steer_plan_new(table, shares, topology, demand);
    }
    report("plan", rows, "compute", (cpu_time_s() - start) / REPETITIONS * 1e6, "us");
    report("plan", rows, "memory", (double)(plan->areas * plan->rows * sizeof(double)), "B");
    uint64_t sum = 0;
    start = cpu_time_s();
    for (uint64_t i = 0; i < PICK_COUNT; i++)
        sum += steer_plan_pick(plan, table, i % plan->areas, i * 7919, NULL);
    report("plan", rows, "pick", (cpu_time_s() - start) / PICK_COUNT * 1e9, "ns");
    if (sum == 1)
        puts("");
    steer_plan_free(plan);
    table_free(table);
    free(topology);
    free(places);
    free(text);
    free(shares);
}

static void
measure_heartbeats(size_t members)
{
    Iris__Heartbeat beat = IRIS__HEARTBEAT__INIT;
    Iris__Envelope message = IRIS__ENVELOPE__INIT;
    message.schema = 1;
    message.body_case = IRIS__ENVELOPE__BODY_HEARTBEAT;
    message.heartbeat = &beat;
    beat.instance = "sandusky-hall-entry-17";
    beat.place = "sandusky-hall";
    beat.incarnation = 1796205296733000;
    beat.sent_ms = 123456789;
    beat.echo_ms = 123456000;
    beat.epoch = 77777;
    beat.usable = 100;
    beat.in_flight = 50;
    beat.digest = 0x123456789abcdefu;
    uint8_t bytes[512];
    const size_t len = iris__envelope__pack(&message, bytes);
    const double start = cpu_time_s();
    for (size_t i = 0; i < members * REPETITIONS; i++) {
        iris__envelope__pack(&message, bytes);
        Iris__Envelope *decoded = iris__envelope__unpack(NULL, len, bytes);
        iris__envelope__free_unpacked(decoded, NULL);
    }
    report("heartbeats", members, "codec_a_round", (cpu_time_s() - start) / REPETITIONS * 1e6,
           "us");
    report("heartbeats", members, "bytes_a_round", (double)((len + 4) * members), "B");
}

static void
measure_keys(size_t count)
{
    key_registry_t *book = key_registry_new();
    rng_t rng = {.state = 1};
    name_t name;
    name_set(&name, STR("sandusky-hall-entry-17"));
    const size_t before = heap_bytes();
    const double start = cpu_time_s();
    for (size_t i = 0; i < count; i++) {
        char text[KEY_TEXT_MAX];
        key_mint(&name, 1, 1000, &rng, text);
        key_registry_add(book, str_from(text), 1, 1000);
    }
    report("keys", count, "mint_and_add", (cpu_time_s() - start) / (double)count * 1e9, "ns");
    report("keys", count, "memory", (double)(heap_bytes() - before) / (double)count, "B/key");
    key_registry_free(book);
}

static void
write_chunks(const char *dir, const block_list_t *list)
{
    for (size_t i = 0; i < chunk_count(list); i++) {
        char path[512];
        size_t len;
        char *bytes = pack_chunk(list, 1, i, &len);
        snprintf(path, sizeof(path), "%s/v%u-%03zu", dir, list->family, i);
        FILE *out = fopen(path, "we");
        if (out == NULL || fwrite(bytes, 1, len, out) != len)
            BUG("cannot write blocks");
        fclose(out);
        free(bytes);
    }
}

static int
write_blocks(const char *dir, size_t total)
{
    rng_t rng = {.state = total};
    block_list_t v6 = make_blocks(6, total / IPV6_DIVISOR, &rng);
    block_list_t v4 = make_blocks(4, total - total / IPV6_DIVISOR, &rng);
    write_chunks(dir, &v4);
    write_chunks(dir, &v6);
    block_list_free(&v4);
    block_list_free(&v6);
    return EXIT_SUCCESS;
}

int
main(int argc, char *argv[])
{
    static const struct option options[] = {{"write-blocks", required_argument, NULL, 'w'},
                                            {"count", required_argument, NULL, 'n'},
                                            {NULL, 0, NULL, 0}};
    const char *dir = NULL;
    size_t count = 1300000;
    int opt;
    while ((opt = getopt_long(argc, argv, "", options, NULL)) != -1) {
        if (opt == 'w')
            dir = optarg;
        else if (opt == 'n')
            count = strtoul(optarg, NULL, 10);
        else
            return 2;
    }
    if (dir != NULL)
        return write_blocks(dir, count);
    for (size_t n = 81250; n <= 1300000; n *= 2)
        measure_blocks(n);
    for (size_t rows = 6; rows <= 54; rows += 12)
        measure_plan(rows);
    for (size_t members = 13; members <= 104; members *= 2)
        measure_heartbeats(members);
    for (size_t keys = 5000; keys <= 80000; keys *= 2)
        measure_keys(keys);
    return EXIT_SUCCESS;
}
