/*
 * Report on the retry budgets of this process: a log line a service and second while requests need
 * extra sends, and metrics. With `uptime_ms` and `instances` the lines tell what each life of each
 * instance granted, and on what knowledge.
 */
#pragma once

#include "gateway/router.h"

/* Logs the services that needed extra sends since the last report. */
void retry_report_tick(router_t *router);
/* Sets the metrics of all services. */
void retry_report_metrics(const router_t *router);
