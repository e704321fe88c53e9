#include "wire/body.h"

#include "wire/head.h"

enum {
    SIZE_DIGITS_MAX = 15, /* hexadecimal; a size fits into 60 bits */
    EXTENSION_MAX = 4096, /* bytes, for each chunk */
    TRAILER_MAX = 16384,  /* bytes of all trailer fields */
    HEX_BITS = 4,
};

void
wire_body_begin(wire_body_t *body, int64_t length)
{
    *body = (wire_body_t){.chunked = length == WIRE_CHUNKED};
    if (length == WIRE_CHUNKED)
        body->state = BODY_CHUNK_SIZE;
    else if (length == WIRE_UNTIL_CLOSE)
        body->state = BODY_UNTIL_CLOSE;
    else
        body->state = length > 0 ? BODY_DATA : BODY_ENDED;
    body->left = length > 0 ? (uint64_t)length : 0;
}

bool
wire_body_ends_with_close(const wire_body_t *body)
{
    return body->state == BODY_UNTIL_CLOSE || body->state == BODY_ENDED;
}

/* Returns -1 if the byte is no hexadecimal digit. */
static int
hex_value(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

/* True for bytes of a field value or chunk extension. */
static bool
is_text(char c)
{
    return c == '\t' || ((unsigned char)c >= ' ' && c != 0x7f);
}

static bool
add_size_digit(wire_body_t *body, char c)
{
    const int value = hex_value(c);
    if (value < 0 || ++body->digits > SIZE_DIGITS_MAX)
        return false;
    body->left = body->left << HEX_BITS | (unsigned)value;
    body->state = BODY_SIZE_DIGITS;
    return true;
}

static bool
end_size(wire_body_t *body, char c)
{
    body->skipped = 0;
    if (c == '\r')
        body->state = BODY_SIZE_LF;
    else if (c == ';' || c == ' ' || c == '\t')
        body->state = BODY_EXTENSION;
    else
        return false;
    return true;
}

/* Skips a byte of a line whose content is not used. */
static bool
skip_byte(wire_body_t *body, char c, body_state_t line_end, size_t max)
{
    if (c == '\r')
        body->state = line_end;
    else if (!is_text(c) || ++body->skipped > max)
        return false;
    return true;
}

static bool
expect(wire_body_t *body, char c, char expected, body_state_t next)
{
    body->state = next;
    return c == expected;
}

static bool
begin_chunk(wire_body_t *body, char c)
{
    body->skipped = 0;
    return expect(body, c, '\n', body->left > 0 ? BODY_DATA : BODY_TRAILER_LINE);
}

static bool
begin_size(wire_body_t *body, char c)
{
    body->left = 0;
    body->digits = 0;
    return add_size_digit(body, c);
}

static bool
begin_trailer_line(wire_body_t *body, char c)
{
    if (c == '\r') {
        body->state = BODY_LAST_LF;
        return true;
    }
    body->state = BODY_TRAILER;
    return c != ' ' && c != '\t' && skip_byte(body, c, BODY_TRAILER_LF, TRAILER_MAX);
}

/* Reads a byte of the chunked coding; false if it is invalid. */
static bool
read_coding(wire_body_t *body, char c)
{
    switch (body->state) {
    case BODY_CHUNK_SIZE:
        return begin_size(body, c);
    case BODY_SIZE_DIGITS:
        return hex_value(c) >= 0 ? add_size_digit(body, c) : end_size(body, c);
    case BODY_EXTENSION:
        return skip_byte(body, c, BODY_SIZE_LF, EXTENSION_MAX);
    case BODY_SIZE_LF:
        return begin_chunk(body, c);
    case BODY_CHUNK_CR:
        return expect(body, c, '\r', BODY_CHUNK_LF);
    case BODY_CHUNK_LF:
        return expect(body, c, '\n', BODY_CHUNK_SIZE);
    case BODY_TRAILER_LINE:
        return begin_trailer_line(body, c);
    case BODY_TRAILER:
        return skip_byte(body, c, BODY_TRAILER_LF, TRAILER_MAX);
    case BODY_TRAILER_LF:
        return expect(body, c, '\n', BODY_TRAILER_LINE);
    case BODY_LAST_LF:
        return expect(body, c, '\n', BODY_ENDED);
    case BODY_DATA:
    case BODY_UNTIL_CLOSE:
    case BODY_ENDED:
        break;
    }
    return false;
}

static void
end_data(wire_body_t *body)
{
    if (body->left == 0)
        body->state = body->chunked ? BODY_CHUNK_CR : BODY_ENDED;
}

wire_body_result_t
wire_body_read(wire_body_t *body, const char *ptr, size_t len, size_t *used, wire_body_cb_t cb,
               void *ctx)
{
    *used = 0;
    while (body->state != BODY_ENDED && *used < len) {
        const char *at = ptr + *used;
        size_t count = len - *used;
        if (body->state != BODY_DATA && body->state != BODY_UNTIL_CLOSE) {
            if (!read_coding(body, *at))
                return WIRE_BODY_INVALID;
            (*used)++;
            continue;
        }
        if (body->state == BODY_DATA) {
            count = count < body->left ? count : (size_t)body->left;
            body->left -= count;
            end_data(body);
        }
        *used += count;
        if (!cb(ctx, at, count))
            return WIRE_BODY_STOPPED;
    }
    return body->state == BODY_ENDED ? WIRE_BODY_COMPLETE : WIRE_BODY_INCOMPLETE;
}
