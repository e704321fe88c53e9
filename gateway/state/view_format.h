/*
 * Encodings of a view update that an instance accepts. Older instances accept fewer.
 */
#pragma once

/* Each value includes the encodings before it. */
typedef enum {
    VIEW_FORMAT_PLAIN,         /* objects uncompressed */
    VIEW_FORMAT_PACKED_BODIES, /* large bodies compressed individually */
    VIEW_FORMAT_PACKED_LIST,   /* objects compressed together; also takes departures */
    VIEW_FORMAT_COUNT,
} view_format_t;
