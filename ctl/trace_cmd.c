#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "ctl/table_cmd.h"
#include "ctl/trace_cmd.h"

enum { LINE_MAX_LEN = 4096 };

typedef struct {
    char *source; /* the instance name that prefixes the line, else the file */
    char *text;   /* the line from "v=" on */
    char timestamp[32];
    size_t order; /* input order, to break ties of equal timestamps */
} line_t;

typedef struct {
    line_t *items;
    size_t count;
} lines_t;

/* True if the line contains `id` as a whole value. */
static bool
contains_value(const char *text, const char *id)
{
    const size_t len = strlen(id);
    for (const char *at = strstr(text, id); at != NULL; at = strstr(at + 1, id)) {
        const char after = at[len];
        const bool whole = after == '\0' || after == ' ' || after == '\n' || after == '"';
        if (at > text && at[-1] == '=' && whole)
            return true;
    }
    return false;
}

static void
add_line(lines_t *lines, const char *file, const char *line, const char *text)
{
    static const char *const key = "ts=";
    lines->items = xrealloc(lines->items, (lines->count + 1) * sizeof(*lines->items));
    line_t *item = &lines->items[lines->count];
    *item = (line_t){.order = lines->count};
    lines->count++;
    const char *timestamp = strstr(text, key);
    if (timestamp != NULL)
        snprintf(item->timestamp, sizeof(item->timestamp), "%.*s",
                 (int)strcspn(timestamp + strlen(key), " "), timestamp + strlen(key));
    /* Some log collectors prefix each line with the instance's name. */
    const char *end = text;
    while (end > line && end[-1] == ' ')
        end--;
    const char *start = end;
    while (start > line && start[-1] != ' ')
        start--;
    item->source =
        end > start ? xmemdup0(start, (size_t)(end - start)) : xmemdup0(file, strlen(file));
    item->text = xmemdup0(text, strcspn(text, "\n"));
}

static bool
read_file(lines_t *lines, const char *path, const char *id)
{
    char line[LINE_MAX_LEN];
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
    if (file == NULL)
        return false;
    while (fgets(line, sizeof(line), file) != NULL) {
        const char *text = strstr(line, "v=1 ");
        if (text != NULL && contains_value(text, id))
            add_line(lines, path, line, text);
    }
    if (file != stdin)
        fclose(file);
    return true;
}

static int
compare_by_time(const void *left, const void *right)
{
    const line_t *a = left;
    const line_t *b = right;
    const int order = strcmp(a->timestamp, b->timestamp);
    return order != 0 ? order : (a->order > b->order) - (a->order < b->order);
}

static void
print_line(const line_t *line)
{
    const char *level = strstr(line->text, "level=");
    printf("%s %-24s %s\n", line->timestamp, line->source, level != NULL ? level : line->text);
}

int
trace_cmd(int argc, char **argv)
{
    lines_t lines = {0};
    if (argc < 2) {
        fputs("irisctl: trace needs an id and files with logs\n", stderr);
        return CTL_USAGE;
    }
    for (int i = 1; i < argc; i++) {
        if (!read_file(&lines, argv[i], argv[0])) {
            fprintf(stderr, "irisctl: cannot read %s\n", argv[i]);
            return CTL_USAGE;
        }
    }
    if (lines.count > 0)
        qsort(lines.items, lines.count, sizeof(*lines.items), compare_by_time);
    for (size_t i = 0; i < lines.count; i++) {
        print_line(&lines.items[i]);
        free(lines.items[i].source);
        free(lines.items[i].text);
    }
    free(lines.items);
    if (lines.count == 0)
        fprintf(stderr, "irisctl: nothing about %s\n", argv[0]);
    return lines.count > 0 ? CTL_OK : CTL_REFUSED;
}
