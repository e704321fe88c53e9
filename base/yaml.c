#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <yaml.h>

#include "base/xmalloc.h"
#include "base/yaml.h"

size_t
yaml_line_of(const char *path, const char *key)
{
    FILE *file = fopen(path, "re");
    if (file == NULL)
        return 0;
    yaml_parser_t parser;
    yaml_token_t token;
    size_t line = 0;
    bool key_next = false;
    yaml_parser_initialize(&parser);
    yaml_parser_set_input_file(&parser, file);
    for (bool more = true; more;) {
        if (!yaml_parser_scan(&parser, &token))
            break;
        if (key_next && token.type == YAML_SCALAR_TOKEN &&
            strcmp((const char *)token.data.scalar.value, key) == 0)
            line = token.start_mark.line + 1;
        key_next = token.type == YAML_KEY_TOKEN;
        more = token.type != YAML_STREAM_END_TOKEN;
        yaml_token_delete(&token);
    }
    yaml_parser_delete(&parser);
    fclose(file);
    return line;
}

typedef struct {
    char text[200];
    size_t len;
    size_t shown_len; /* length before libcyaml's backtrace, 0: all */
} messages_t;

static void
collect_message(cyaml_log_t level, void *ctx, const char *fmt, va_list args)
{
    messages_t *messages = ctx;
    if (level < CYAML_LOG_ERROR || messages->len >= sizeof(messages->text) - 1)
        return;
    char line[160];
    vsnprintf(line, sizeof(line), fmt, args);
    /* libcyaml's backtrace is not shown; it is collected because it names the key. */
    if (strstr(line, "Backtrace") != NULL && messages->shown_len == 0)
        messages->shown_len = messages->len;
    line[strcspn(line, "\n")] = '\0';
    const int n = snprintf(messages->text + messages->len, sizeof(messages->text) - messages->len,
                           "%s%s", messages->len > 0 ? "; " : "", line);
    messages->len += n > 0 ? (size_t)n : 0;
}

/* Reports libcyaml's message, with line and key if it names a key. */
static void
report_parse_error(const char *path, cyaml_err_t rc, const messages_t *messages, err_t *err)
{
    const char *text = messages->text;
    const int shown = (int)(messages->shown_len > 0 ? messages->shown_len : messages->len);
    static const char *const prefixes[] = {"Unexpected key: ", "already seen: ", "mapping field '"};
    for (size_t i = 0; i < ALEN(prefixes); i++) {
        const char *at = strstr(text, prefixes[i]);
        if (at == NULL)
            continue;
        at += strlen(prefixes[i]);
        char key[64];
        snprintf(key, sizeof(key), "%.*s", (int)strcspn(at, ";' "), at);
        err_set(err, ERR_PARSE, "%s:%zu: %s: %s: %.*s", path, yaml_line_of(path, key), key,
                cyaml_strerror(rc), shown, text);
        return;
    }
    err_set(err, ERR_PARSE, "%s: %s: %.*s", path, cyaml_strerror(rc), shown, text);
}

bool
yaml_load(const char *path, const cyaml_schema_value_t *schema, void **out, err_t *err)
{
    messages_t messages = {.len = 0};
    const cyaml_config_t config = {.log_fn = collect_message,
                                   .log_ctx = &messages,
                                   .mem_fn = cyaml_mem,
                                   .log_level = CYAML_LOG_ERROR};
    const cyaml_err_t rc = cyaml_load_file(path, &config, schema, out, NULL);
    if (rc == CYAML_OK)
        return true;
    report_parse_error(path, rc, &messages, err);
    return false;
}

void
yaml_unload(const cyaml_schema_value_t *schema, void *data)
{
    const cyaml_config_t config = {.mem_fn = cyaml_mem, .log_level = CYAML_LOG_ERROR};
    cyaml_free(&config, schema, data, 0);
}
