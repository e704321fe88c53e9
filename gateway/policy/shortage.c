#include "gateway/policy/shortage.h"

#include <math.h>

enum { MS_PER_S = 1000 };

/* A region is short until less than this part of its room is asked for. */
#define SHORT_UNTIL 0.9
/* Share of a level, as a part of the most urgent one's; at least a quarter must be kept. */
#define SHARE_MIN_PART 0.3
/* Share that each request keeps, as a part of the share of all; at least a quarter is required. */
#define ANY_MIN_PART 0.27
/* Bounds on the factor by which the order within an urgency changes the share of an account: it
 * neither lifts an account far above its part nor takes that away. */
#define RANK_FACTOR_MIN 0.4
#define RANK_FACTOR_MAX 2.0
/* Least divisor of a share. */
#define SHARE_MIN 0.01
/* Greatest changes of shares, per second. */
#define FALL_PER_S 0.5
#define RISE_PER_S 0.2
/* The room is not corrected where less than this part of it is asked for, or on fewer attempts a
 * second: single backend servers are full then, while others have room. */
#define CORRECTED_FROM 0.8
#define CORRECTED_ATTEMPTS_MIN 5.0
/* Part of the room that grows back, per second; also the greatest change, and its limit. */
#define CORRECTION_PER_S 0.05
#define CORRECTION_MAX 0.5

static double
clamp(double value, double low, double high)
{
    return fmin(fmax(value, low), high);
}

double
shortage_room(const shortage_t *shortage, size_t region, double slots)
{
    return slots * (1 - shortage->withheld[region]);
}

static void
correct_room(shortage_t *shortage, const shortage_input_t *input, size_t region, double passed_s)
{
    const double attempts = input->work->attempts[region];
    const double rejected = attempts > 0 ? input->work->rejected[region] / attempts : 0;
    const bool is_loaded =
        attempts >= CORRECTED_ATTEMPTS_MIN &&
        offered_totals_slots(input->work, region) >= CORRECTED_FROM * input->slots[region];
    const double excess = is_loaded ? rejected : 0;
    const double change = fmin(excess - CORRECTION_PER_S, CORRECTION_PER_S) * passed_s;
    shortage->withheld[region] = clamp(shortage->withheld[region] + change, 0, CORRECTION_MAX);
}

/* Fills `room` with the offered work: the least share of each level first, then in order. */
static void
fill_room(const double *work, double room, double least, double *shares)
{
    double left = room;
    for (size_t i = 0; i < URGENCY_LEVELS; i++)
        left -= least * work[i];
    for (size_t i = 0; i < URGENCY_LEVELS; i++) {
        const double given = clamp(left, 0, (1 - least) * work[i]);
        shares[i] = work[i] > 0 ? least + given / work[i] : 1;
        left -= given;
    }
}

/* The most urgent level that is offered. */
static unsigned
first_level(const double *work)
{
    unsigned level = 0;
    while (level + 1 < URGENCY_LEVELS && work[level] <= 0)
        level++;
    return level;
}

/* Share that each level keeps. */
static double
least_share(const double *work, double room)
{
    double others = 0;
    for (size_t i = 1; i < URGENCY_LEVELS; i++)
        others += work[i];
    const double needed = work[0] + SHARE_MIN_PART * others;
    return SHARE_MIN_PART * (needed > room ? room / needed : 1);
}

static void
update_region(shortage_t *shortage, const shortage_input_t *input, size_t region, double passed_s)
{
    double shares[URGENCY_LEVELS] = {1, 1, 1, 1};
    const double *work = input->work->slots[region];
    const double room = shortage_room(shortage, region, input->slots[region]);
    const double offered = offered_totals_slots(input->work, region);
    const double limit = shortage->is_short[region] ? SHORT_UNTIL * room : room;
    shortage->is_short[region] = input->slots[region] > 0 && offered > limit;
    if (shortage->is_short[region] && offered > room) {
        const double least = input->has_accounts ? least_share(work, room) : SHARE_MIN_PART;
        fill_room(work, room, least, shares);
        if (!input->has_accounts)
            shares[first_level(work)] = 1;
    }
    for (size_t i = 0; i < URGENCY_LEVELS; i++) {
        double *held = &shortage->held[region][i];
        *held += clamp(1 - shares[i] - *held, -RISE_PER_S * passed_s, FALL_PER_S * passed_s);
    }
}

void
shortage_update(shortage_t *shortage, const shortage_input_t *input, uint64_t now_ms)
{
    const bool is_first = shortage->updated_ms == 0;
    const double passed_s = is_first ? 0 : (double)(now_ms - shortage->updated_ms) / MS_PER_S;
    shortage->updated_ms = now_ms;
    for (size_t i = 0; i < input->region_count; i++) {
        correct_room(shortage, input, i, passed_s);
        update_region(shortage, input, i, passed_s);
    }
}

double
shortage_least_share(const shortage_t *shortage, const offered_totals_t *work, size_t region)
{
    double admitted = 0;
    const double offered = offered_totals_slots(work, region);
    for (unsigned k = 0; k < URGENCY_LEVELS; k++)
        admitted += work->slots[region][k] * shortage_admitted_share(shortage, region, k);
    return offered > 0 ? ANY_MIN_PART * admitted / offered : 0;
}

double
shortage_admitted_share(const shortage_t *shortage, size_t region, unsigned urgency)
{
    const bool known =
        shortage != NULL && region < TOPOLOGY_REGIONS_MAX && urgency < URGENCY_LEVELS;
    return known ? 1 - shortage->held[region][urgency] : 1;
}

bool
shortage_is_short(const shortage_t *shortage, size_t region)
{
    return shortage != NULL && region < TOPOLOGY_REGIONS_MAX && shortage->is_short[region];
}

double
shortage_share_of_rank(const offered_mix_t *mix, const shortage_rank_t *rank, double share)
{
    const double *work = mix->slots[rank->urgency];
    double shares[URGENCY_LEVELS];
    double all = 0;
    for (size_t i = 0; i < URGENCY_LEVELS; i++)
        all += work[i];
    if (work[rank->route_urgency] <= 0)
        return share;
    fill_room(work, share * all, SHARE_MIN_PART * share, shares);
    return shares[rank->route_urgency];
}

double
shortage_share_of_request(const offered_mix_t *mix, const shortage_rank_t *rank,
                          const shortage_shares_t *shares)
{
    const double of_rank = shortage_share_of_rank(mix, rank, shares->urgency);
    const double factor = of_rank / fmax(shares->urgency, SHARE_MIN);
    return fmax(shares->least, shares->account * clamp(factor, RANK_FACTOR_MIN, RANK_FACTOR_MAX));
}
