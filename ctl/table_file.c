#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "ctl/table_file.h"

enum { LINE_MAX_LEN = 512, FILE_COLUMN_COUNT = 6 };

/* Marks a row as exported, so that an import can detect concurrent changes. */
static const char seen_prefix[] = "#seen,";

static void
print_row(const char *prefix, const table_row_t *row)
{
    printf("%s%s", prefix, row->place.ptr);
    for (size_t c = 0; c < COLUMN_COUNT; c++) {
        char text[EDIT_VALUE_MAX];
        column_format(row, (column_t)c, text);
        printf(",%s", text);
    }
    putchar('\n');
}

void
table_file_print(const table_t *table)
{
    printf("#service,%s\nplace,weight,limit,rate,cap,state\n", table->service.ptr);
    for (size_t i = 0; i < table->row_count; i++)
        print_row("", &table->rows[i]);
    for (size_t i = 0; i < table->row_count; i++)
        print_row(seen_prefix, &table->rows[i]);
}

/* A row of an exported file: the place and the text of each column. */
typedef struct {
    char cell[FILE_COLUMN_COUNT][EDIT_VALUE_MAX];
} file_row_t;

static bool
split_row(const char *line, file_row_t *row)
{
    size_t column = 0;
    size_t len = 0;
    *row = (file_row_t){0};
    for (const char *at = line; *at != '\0' && *at != '\n' && *at != '\r'; at++) {
        if (*at == ',') {
            column++;
            len = 0;
        } else if (column < FILE_COLUMN_COUNT && len < EDIT_VALUE_MAX - 1) {
            row->cell[column][len++] = *at;
        } else {
            return false;
        }
    }
    return column == FILE_COLUMN_COUNT - 1;
}

typedef struct {
    file_row_t *rows;
    size_t count;
} file_rows_t;

struct table_file {
    file_rows_t wanted; /* rows as edited by the operator */
    file_rows_t seen;   /* rows as exported */
};

static void
add_file_row(file_rows_t *rows, const file_row_t *row)
{
    rows->rows = xrealloc(rows->rows, (rows->count + 1) * sizeof(*row));
    rows->rows[rows->count++] = *row;
}

static bool
read_rows(const char *path, table_file_t *out, err_t *err)
{
    FILE *file = fopen(path, "re");
    if (file == NULL) {
        err_set(err, ERR_SYSTEM, "%s: %s", path, strerror(errno));
        return false;
    }
    char line[LINE_MAX_LEN];
    bool ok = true;
    for (unsigned number = 1; ok && fgets(line, sizeof(line), file) != NULL; number++) {
        file_row_t row;
        const bool is_seen = strncmp(line, seen_prefix, sizeof(seen_prefix) - 1) == 0;
        if (!is_seen && (line[0] == '#' || line[0] == '\n' || strncmp(line, "place,", 6) == 0))
            continue;
        ok = split_row(is_seen ? line + sizeof(seen_prefix) - 1 : line, &row);
        if (ok)
            add_file_row(is_seen ? &out->seen : &out->wanted, &row);
        else
            err_set(err, ERR_PARSE, "%s:%u: expected place,weight,limit,rate,cap,state", path,
                    number);
    }
    fclose(file);
    return ok;
}

static const file_row_t *
find_file_row(const file_rows_t *rows, const char *place)
{
    for (size_t i = 0; i < rows->count; i++) {
        if (strcmp(rows->rows[i].cell[0], place) == 0)
            return &rows->rows[i];
    }
    return NULL;
}

/* Adds the cells of `wanted` that differ from the exported row. */
static bool
add_changes(edit_t *edit, const table_t *table, const file_row_t *wanted, const file_row_t *seen,
            err_t *err)
{
    for (size_t c = 0; c < COLUMN_COUNT; c++) {
        const char *value = wanted->cell[c + 1];
        if (seen != NULL && strcmp(seen->cell[c + 1], value) == 0)
            continue;
        char assignment[LINE_MAX_LEN];
        snprintf(assignment, sizeof(assignment), "%s=%s", column_name((column_t)c), value);
        if (!edit_add_cell(edit, table, str_from(wanted->cell[0]), str_from(assignment), err))
            return false;
        if (seen != NULL)
            snprintf(edit->changes[edit->count - 1].seen, EDIT_VALUE_MAX, "%s", seen->cell[c + 1]);
    }
    return true;
}

table_file_t *
table_file_read(const char *path, err_t *err)
{
    table_file_t *file = xcalloc(1, sizeof(*file));
    if (read_rows(path, file, err))
        return file;
    table_file_free(file);
    return NULL;
}

bool
table_file_add_changes(const table_file_t *file, const table_t *table, edit_t *edit, err_t *err)
{
    for (size_t i = 0; i < file->wanted.count; i++) {
        const file_row_t *wanted = &file->wanted.rows[i];
        if (!add_changes(edit, table, wanted, find_file_row(&file->seen, wanted->cell[0]), err))
            return false;
    }
    return true;
}

void
table_file_free(table_file_t *file)
{
    free(file->wanted.rows);
    free(file->seen.rows);
    free(file);
}
