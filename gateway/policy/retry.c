#include "gateway/policy/retry.h"

#include <http_parser.h>

enum {
    UNSENT_BACKENDS_MAX = 4, /* limit of backends tried without sending anything */
    /* Longer than the network delay between regions. */
    RESEND_AFTER_CLOSE_MS = 40,
};

retry_verdict_t
retry_decide(const retry_input_t *input, const retry_context_t *context)
{
    if (input->may_have_run && !input->repeatable)
        return RETRY_MAY_HAVE_RUN;
    if (input->quarantined)
        return RETRY_QUARANTINED;
    if (input->backends_tried >= RETRY_BACKENDS_MAX || input->sends >= input->sends_max)
        return RETRY_ATTEMPTS_EXHAUSTED;
    if (input->left_ms == 0 || (double)input->left_ms < input->run_ms)
        return RETRY_NO_TIME;
    if (input->sends == 0)
        return input->backends_tried < UNSENT_BACKENDS_MAX ? RETRY_YES : RETRY_ATTEMPTS_EXHAUSTED;
    const bool taken =
        retry_budget_take(context->budget, &context->terms, context->random, context->now_ms);
    return taken ? RETRY_YES : RETRY_OVER_BUDGET;
}

uint32_t
retry_after_ms(bool closed)
{
    return closed ? RESEND_AFTER_CLOSE_MS : 0;
}

bool
retry_replaces_answer(int status, bool repeatable, bool passed_on)
{
    return repeatable && !passed_on && status >= HTTP_STATUS_INTERNAL_SERVER_ERROR &&
           status != HTTP_STATUS_GATEWAY_TIMEOUT;
}

retry_verdict_t
retry_decide_overdue(const retry_overdue_t *input, const retry_context_t *context)
{
    if (!input->request.repeatable)
        return RETRY_MAY_HAVE_RUN;
    if (!input->backend_avoided)
        return RETRY_NOT_AVOIDED;
    if (input->waits_in_queue && input->sent)
        return RETRY_REGION_FULL;
    /* The overdue attempt counts like one that has ended: its replacement is an extra send. */
    retry_input_t request = input->request;
    request.sends += input->sent;
    request.may_have_run |= input->sent;
    return retry_decide(&request, context);
}

const char *
retry_verdict_name(retry_verdict_t verdict)
{
    static const char *const names[RETRY_VERDICT_COUNT] = {
        [RETRY_NOT_EVALUATED] = "none",        [RETRY_YES] = "yes",
        [RETRY_MAY_HAVE_RUN] = "may_have_run", [RETRY_ATTEMPTS_EXHAUSTED] = "used_up",
        [RETRY_NO_TIME] = "no_time",           [RETRY_OVER_BUDGET] = "over_budget",
        [RETRY_QUARANTINED] = "held",          [RETRY_NOT_AVOIDED] = "not_avoided",
        [RETRY_REGION_FULL] = "region_full",
    };
    return names[verdict];
}
