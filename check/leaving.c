/*
 * Rule for leaving backend servers: no new requests after LEAVING_LIMIT_S.
 *
 * The time runs from the first source that marks the server as leaving. If a platform outage kept
 * instances from reading the platform's list, the list counts from the end of the outage or from
 * its first adoption by an instance, whichever is earlier.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "check/rules.h"

enum {
    SERVERS_MAX = 4096,
    US_PER_S = 1000000,
    /* A list published longer than this before an outage counts as readable. */
    UNREAD_MAX_US = 100000,
};

typedef enum { LEAVING_BY_SERVER, LEAVING_BY_LIST, LEAVING_BY_TABLE, SOURCE_COUNT } source_t;

typedef struct {
    index_t servers;
    uint64_t since[SERVERS_MAX][SOURCE_COUNT]; /* 0: not marked as leaving */
    uint64_t version[SERVERS_MAX];             /* of the list that marks it as leaving */
    bool adopted[SERVERS_MAX];                 /* an instance adopted that list or a later one */
    bool unread[SERVERS_MAX];                  /* the list marks it, but could not be read so far */
    bool outage;
} leaving_t;

static void
set_leaving(leaving_t *leaving, const char *server, source_t source, bool is_leaving, uint64_t t)
{
    const size_t at = index_intern(&leaving->servers, server);
    if (at >= SERVERS_MAX)
        return;
    uint64_t *since = &leaving->since[at][source];
    if (!is_leaving)
        *since = 0;
    else if (*since == 0)
        *since = t;
}

static void
apply_instance(leaving_t *leaving, const event_t *event)
{
    const bool is_leaving = strcmp(event->result, "live") != 0;
    const size_t at = index_intern(&leaving->servers, event->name);
    if (at >= SERVERS_MAX || (is_leaving && leaving->since[at][LEAVING_BY_LIST] != 0))
        return;
    set_leaving(leaving, event->name, LEAVING_BY_LIST, is_leaving, event->t);
    leaving->version[at] = event->version;
    leaving->adopted[at] = false;
    leaving->unread[at] = is_leaving && leaving->outage;
}

static size_t
server_count(const leaving_t *leaving)
{
    return leaving->servers.count < SERVERS_MAX ? leaving->servers.count : SERVERS_MAX;
}

/* Handles an instance's adoption of a list. Changes recorded without a version are in every list.
 */
static void
apply_adoption(leaving_t *leaving, const event_t *event)
{
    for (size_t i = 0; i < server_count(leaving); i++) {
        if (event->version < leaving->version[i])
            continue;
        leaving->adopted[i] = true;
        if (leaving->unread[i])
            leaving->since[i][LEAVING_BY_LIST] = event->t;
        leaving->unread[i] = false;
    }
}

/* Tracks outages of the platform and which lists could not be read because of one. */
static void
set_outage(leaving_t *leaving, bool outage, uint64_t t)
{
    if (outage == leaving->outage)
        return;
    leaving->outage = outage;
    for (size_t i = 0; i < server_count(leaving); i++) {
        uint64_t *since = &leaving->since[i][LEAVING_BY_LIST];
        if (outage)
            leaving->unread[i] = *since != 0 && !leaving->adopted[i] && t - *since <= UNREAD_MAX_US;
        else if (leaving->unread[i])
            *since = t;
        leaving->unread[i] &= outage;
    }
}

static bool
array_contains(const json_t *list, const char *name)
{
    for (size_t i = 0; i < json_array_size(list); i++) {
        if (strcmp(json_string_value(json_array_get(list, i)), name) == 0)
            return true;
    }
    return false;
}

/* A table covers only the servers of its service, whose names start with the service's name. */
static void
apply_table(leaving_t *leaving, const event_t *event)
{
    const json_t *list = json_object_get(event->value, "draining");
    for (size_t i = 0; i < json_array_size(list); i++)
        index_intern(&leaving->servers, json_string_value(json_array_get(list, i)));
    const char *server;
    json_t *unused;
    json_object_foreach(leaving->servers.map, server, unused)
    {
        if (strncmp(server, event->name, strlen(event->name)) == 0)
            set_leaving(leaving, server, LEAVING_BY_TABLE, array_contains(list, server), event->t);
    }
}

static uint64_t
leaving_since(const leaving_t *leaving, size_t server)
{
    uint64_t first = 0;
    for (size_t s = 0; s < SOURCE_COUNT; s++) {
        const uint64_t since = leaving->since[server][s];
        if (s == LEAVING_BY_LIST && leaving->unread[server])
            continue;
        if (since != 0 && (first == 0 || since < first))
            first = since;
    }
    return first;
}

void
rule_leaving(const events_t *events, verdict_t *verdict)
{
    verdict->guarantee = "a leaving backend server gets no new work after 5 s";
    leaving_t *leaving = xcalloc(1, sizeof(*leaving));
    uint64_t latest = 0;
    for (size_t i = 0; i < events->count; i++) {
        const event_t *event = &events->items[i];
        if (event->type == EV_UPSTREAM) {
            set_leaving(leaving, event->upstream, LEAVING_BY_SERVER, event->number != 0, event->t);
        } else if (event->type == EV_INSTANCE) {
            apply_instance(leaving, event);
        } else if (event->type == EV_ADOPT && strcmp(event->kind, "instances") == 0) {
            apply_adoption(leaving, event);
        } else if (event->type == EV_STORE_WRITE && strcmp(event->kind, "table") == 0) {
            apply_table(leaving, event);
        } else if (event->type == EV_STORE_CONTROL) {
            set_outage(leaving, event->number != 0, event->t);
        } else if (event->type == EV_ENTER) {
            const size_t at = index_intern(&leaving->servers, event->upstream);
            const uint64_t since = at < SERVERS_MAX ? leaving_since(leaving, at) : 0;
            if (since == 0)
                continue;
            verdict->examined++;
            const uint64_t after = event->t - since;
            latest = after > latest ? after : latest;
            if (after > (uint64_t)LEAVING_LIMIT_S * US_PER_S)
                verdict_add_violation(verdict, "%s got request %s %.1f s after it began to leave",
                                      event->upstream, event->id, (double)after / US_PER_S);
        }
    }
    snprintf(verdict->note, sizeof(verdict->note), "latest new work after %.2f s",
             (double)latest / US_PER_S);
    index_free(&leaving->servers);
    free(leaving);
}
