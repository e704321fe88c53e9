/*
 * The forms of a view update that an instance takes; older instances take fewer.
 */
#pragma once

/* Each in addition to those before it. */
typedef enum {
    VIEW_FORMAT_PLAIN,         /* objects as they are */
    VIEW_FORMAT_PACKED_BODIES, /* large bodies packed, each alone */
    VIEW_FORMAT_PACKED_LIST,   /* the objects packed together, and departures ahead of a change */
    VIEW_FORMAT_COUNT,
} view_format_t;
