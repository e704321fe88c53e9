#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "standin/soak/answer.h"

static void
append(char *out, size_t *out_len, const char *ptr, size_t len)
{
    for (size_t i = 0; i < len && *out_len < ANSWER_FIELD_MAX - 1; i++)
        out[(*out_len)++] = ptr[i];
    out[*out_len] = '\0';
}

static answer_field_t
field_of(const answer_t *answer)
{
    if (strcasecmp(answer->name, "Attempt-Id") == 0)
        return FIELD_ID;
    if (strcasecmp(answer->name, "Keep-Alive") == 0)
        return FIELD_KEEP_ALIVE;
    return strcasecmp(answer->name, "Response-Signature") == 0 ? FIELD_SIGNATURE : FIELD_OTHER;
}

static int
on_name(http_parser *parser, const char *ptr, size_t len)
{
    answer_t *answer = parser->data;
    if (answer->in_value)
        answer->name_len = 0;
    answer->in_value = false;
    append(answer->name, &answer->name_len, ptr, len);
    return 0;
}

static int
on_value(http_parser *parser, const char *ptr, size_t len)
{
    answer_t *answer = parser->data;
    if (!answer->in_value)
        answer->field = field_of(answer);
    answer->in_value = true;
    if (answer->field == FIELD_ID)
        append(answer->id, &answer->id_len, ptr, len);
    else if (answer->field == FIELD_SIGNATURE)
        append(answer->signature, &answer->signature_len, ptr, len);
    else if (answer->field == FIELD_KEEP_ALIVE)
        append(answer->keep_alive, &answer->keep_alive_len, ptr, len);
    return 0;
}

static int
on_body(http_parser *parser, const char *ptr, size_t len)
{
    answer_t *answer = parser->data;
    if (parser->status_code == HTTP_STATUS_OK)
        answer->wrong_body |= !requests_holds(answer->number, answer->body_len, ptr, len);
    answer->body_len += len;
    return 0;
}

static int
on_whole(http_parser *parser)
{
    answer_t *answer = parser->data;
    answer->whole = true;
    answer->keep = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings callbacks = {
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_body = on_body,
    .on_message_complete = on_whole,
};

void
answer_expect(answer_t *answer, uint64_t number)
{
    *answer = (answer_t){.number = number};
    http_parser_init(&answer->parser, HTTP_RESPONSE);
    answer->parser.data = answer;
}

void
answer_feed(answer_t *answer, const char *ptr, size_t len)
{
    answer->begun |= len > 0;
    if (answer->whole) {
        answer->surplus |= len > 0;
        return;
    }
    if (answer->garbage)
        return;
    const size_t used = http_parser_execute(&answer->parser, &callbacks, ptr, len);
    if (answer->whole)
        answer->surplus |= used < len;
    else
        answer->garbage = HTTP_PARSER_ERRNO(&answer->parser) != HPE_OK;
}

void
answer_end(answer_t *answer)
{
    if (!answer->begun || answer->whole || answer->garbage)
        return;
    http_parser_execute(&answer->parser, &callbacks, NULL, 0);
}

int
answer_status(const answer_t *answer)
{
    return answer->parser.status_code;
}

uint64_t
answer_rest_ms(const answer_t *answer)
{
    enum { MS_PER_S = 1000 };
    static const char timeout[] = "timeout=";
    const char *at = strstr(answer->keep_alive, timeout);
    return at != NULL ? strtoull(at + strlen(timeout), NULL, 10) * MS_PER_S : UINT64_MAX;
}
