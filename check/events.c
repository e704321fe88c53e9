#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "check/events.h"

static const struct {
    const char *name;
    event_type_t type;
} types[] = {
    {"send", EV_SEND},
    {"recv", EV_RECV},
    {"lookup", EV_LOOKUP},
    {"admit", EV_ADMIT},
    {"answer", EV_ANSWER},
    {"adopt", EV_ADOPT},
    {"entry_start", EV_ENTRY_START},
    {"entry_leave", EV_ENTRY_LEAVE},
    {"entry_stopped", EV_ENTRY_STOPPED},
    {"enter", EV_ENTER},
    {"run_start", EV_RUN_START},
    {"run_end", EV_RUN_END},
    {"leave", EV_LEAVE},
    {"upstream_control", EV_UPSTREAM},
    {"store_write", EV_STORE_WRITE},
    {"store_control", EV_STORE_CONTROL},
    {"instance", EV_INSTANCE},
    {"edit", EV_EDIT},
    {"pause", EV_PAUSE},
};

static event_type_t
event_type_from_name(const char *name)
{
    for (size_t i = 0; name != NULL && i < ALEN(types); i++) {
        if (strcmp(types[i].name, name) == 0)
            return types[i].type;
    }
    return EV_OTHER;
}

/* Returns the shared copy of a member's string, "" if it is absent. */
static const char *
intern(events_t *events, const json_t *root, const char *key)
{
    const char *text = json_string_value(json_object_get(root, key));
    if (text == NULL || text[0] == '\0')
        return "";
    json_t *known = json_object_get(events->strings, text);
    if (known == NULL) {
        json_object_set_new(events->strings, text, json_string(text));
        known = json_object_get(events->strings, text);
    }
    return json_string_value(known);
}

static uint64_t
number(const json_t *root, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(root, key));
}

static const char *
number_key(event_type_t type)
{
    if (type == EV_UPSTREAM)
        return "draining";
    return type == EV_STORE_CONTROL ? "outage" : "moved";
}

static void
add_event(events_t *events, const json_t *root)
{
    if ((events->count & (events->count - 1)) == 0) {
        const size_t capacity = events->count == 0 ? 1 : events->count * 2;
        events->items = xrealloc(events->items, capacity * sizeof(*events->items));
    }
    event_t *event = &events->items[events->count];
    *event = (event_t){.t = number(root, "t"),
                       .order = events->count,
                       .type = event_type_from_name(json_string_value(json_object_get(root, "ev"))),
                       .id = intern(events, root, "id"),
                       .key = intern(events, root, "key"),
                       .class_ = intern(events, root, "class"),
                       .service = intern(events, root, "service"),
                       .place = intern(events, root, "place"),
                       .region = intern(events, root, "region"),
                       .entry = intern(events, root, "entry"),
                       .upstream = intern(events, root, "upstream"),
                       .name = intern(events, root, "name"),
                       .kind = intern(events, root, "kind"),
                       .result = intern(events, root, "result"),
                       .version = number(root, "version"),
                       .incarnation = number(root, "incarnation")};
    if (event->type == EV_INSTANCE)
        event->result = intern(events, root, "state");
    event->number = (int64_t)number(root, number_key(event->type));
    if (event->type == EV_STORE_WRITE)
        event->value = json_deep_copy(json_object_get(root, "value"));
    events->count++;
}

bool
events_read(events_t *events, const char *path, err_t *err)
{
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        err_set(err, ERR_SYSTEM, "%s: %s", path, strerror(errno));
        return false;
    }
    if (events->strings == NULL)
        events->strings = json_object();
    char *line = NULL;
    size_t size = 0;
    while (getline(&line, &size, file) > 0) {
        json_t *root = json_loads(line, 0, NULL);
        if (root != NULL)
            add_event(events, root);
        else
            events->bad_lines++;
        json_decref(root);
    }
    free(line);
    fclose(file);
    return true;
}

static int
compare_by_time(const void *a, const void *b)
{
    const event_t *left = a;
    const event_t *right = b;
    if (left->t != right->t)
        return left->t < right->t ? -1 : 1;
    return left->order < right->order ? -1 : left->order > right->order;
}

void
events_sort(events_t *events)
{
    if (events->count > 0)
        qsort(events->items, events->count, sizeof(*events->items), compare_by_time);
}

void
events_free(events_t *events)
{
    for (size_t i = 0; i < events->count; i++)
        json_decref(events->items[i].value);
    free(events->items);
    json_decref(events->strings);
}
