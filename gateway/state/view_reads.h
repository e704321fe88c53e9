/*
 * The forms of a view update that an instance takes; older instances take fewer.
 */
#pragma once

/* Each in addition to those before it. */
typedef enum {
    VIEW_READS_PLAIN,  /* objects as they are */
    VIEW_READS_BODIES, /* large bodies packed, each alone */
    VIEW_READS_LISTS,  /* the objects packed together, and departures ahead of a change */
    VIEW_READS_COUNT,
} view_reads_t;
