/*
 * How well an upstream does, judged by the outcomes of attempts at it.
 *
 * In a large fleet an instance alone sends an upstream too little to tell, so that instances tell
 * each other their outcomes in heartbeats. That also makes them agree: they leave a failing
 * upstream together and its objects move to the same replica.
 * Pure state; time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    double failure_rate; /* moving average over attempts, forgotten with time */
    double weight;       /* outcomes that the average stands for */
    uint64_t at_ms;      /* when both were brought up to date */
    bool impaired;
    uint32_t good; /* own outcomes that the others were not told of yet */
    uint32_t bad;
} health_t;

/* An own attempt went well, or failed, or takes far longer than usual. */
void health_record(health_t *health, bool failed, uint64_t now_ms);
/* Outcomes of another instance's attempts. */
void health_take_report(health_t *health, uint32_t good, uint32_t bad, uint64_t now_ms);
/* True if the others should be told of the own outcomes. */
bool health_has_news(const health_t *health, uint64_t now_ms);
/* The others were told, or there was nothing to tell. */
void health_told(health_t *health);
/* So many attempts failed lately that others are preferred. */
bool health_is_impaired(const health_t *health, uint64_t now_ms);
