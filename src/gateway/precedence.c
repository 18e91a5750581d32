#include "gateway/precedence.h"

#include <math.h>
#include <string.h>

/* A result beyond this part of its objective, from a server with a queue, is a late one: the limit
 * has to fall before callers miss the objective. */
static const double OBJECTIVE_PART = 0.7;
/* If a larger share of the results of any rank is late, the servers have more work than they can
 * do. The least urgent rank that is admitted is the first to be late, hardly any other one is. */
static const double LATE_SHARE_MAX = 0.25;
/* Punctual results assumed in addition, as a single late one proves nothing. */
static const double PUNCTUAL_ASSUMED = 3;
/* The limit falls by this part of the share of late results. */
static const double CUT_PER_LATE_SHARE = 0.2;
/* Growth of the limit in each second without late results. */
static const double GROWTH_PER_S = 0.04;
/* The same while servers have room, or below FAST_BELOW of the capacity known, as after an outage.
 */
static const double FAST_GROWTH_PER_S = 0.3;
/* Servers have room if at most this share of ROOM_RESULTS results had a queue. */
static const double ROOM_QUEUED_SHARE = 0.1;
static const double ROOM_RESULTS = 2;
static const double FAST_BELOW = 0.8;
/* Part of the capacity known that is always admitted: nothing is learned about servers that get
 * nothing. */
static const double PROBE_PART = 0.1;
/* Bound of the growth: the limit has no effect above the arrivals, and a later cut must have one at
 * once. */
static const double LIMIT_MAX_PER_ARRIVALS = 1.5;
/* Part of the work done lately that the limit always allows. Results of requests that were already
 * in the queue stay late for some time after a cut. */
static const double LIMIT_MIN_PER_SERVED = 0.7;
/* A team's volume up to this multiple of its usual one is not surplus. */
static const double USUAL_MULTIPLE = 2.5;
/* Nor is one up to this multiple of the usual one that most teams exceed as well: callers that are
 * refused come back, and all teams may have more work than usual. */
static const double RISE_MULTIPLE = 1.5;
/* Requests of mean cost that a team may have in any case, as small counts vary by chance. */
static const double SURPLUS_SLACK = 1;

/* Fastest growth of a team's usual volume: a flood counts as usual after minutes. */
static const double USUAL_GROWTH_PER_S = 0.01;

enum
{
  LEARN_US = 15000000, /* usual volumes are learned without that bound this long after the start */
  RANKS = 10,          /* higher ranks count as the last one */
  RATE_US = 2000000,   /* time constant of the rates of arrivals and of work done */
  TEAM_US = 5000000, /* time constant of a team's present volume; long enough for a few requests */
  CAPACITY_US = 60000000,       /* time constant of the capacity known */
  LOST_CAPACITY_US = 300000000, /* the same while far less is served */
  USUAL_US = 60000000,          /* time constant of a team's usual volume */
  JUDGE_US = 200000,            /* results are judged together for this long at least */
  RESULTS_US = 4000000,         /* time constant of the counts of results */
  GROWTH_SPAN_MAX_US = 2000000, /* between two results */
  CONTENTION_US = 5000000, /* the limit remains at least this long after the last late result */
  RETRY_BASE_MS = 500,
  RETRY_MAX_MS = 4000
};

enum tier_
{
  TIER_SHARE,   /* within the team's volume */
  TIER_SURPLUS, /* beyond it */
  TIERS
};

struct team_
{
  uint64_t hash; /* the key of the table */
  double volume; /* cost of its requests, decaying with TEAM_US */
  double usual;  /* its usual volume, in the same unit */
  int64_t updated_us;
};

struct gw_precedence
{
  int64_t started_us;
  int64_t updated_us;           /* of the sums below, which decay with RATE_US */
  double arrived[TIERS][RANKS]; /* cost of all requests */
  double capacity;              /* most that was served, decaying with CAPACITY_US */
  double served;                /* cost of requests with a result that is a response */
  double mean_cost;
  double limit;       /* of the cost of requests admitted; INFINITY: none */
  int64_t limited_us; /* when the limit was last reduced */
  int64_t late_us;    /* last late result */
  int64_t judged_us;  /* when results were last judged */
  /* Results of requests admitted since the limit was last reduced. */
  double results[RANKS];
  double late[RANKS];
  double queued; /* of servers that had a queue */
  unsigned active_teams;
  double rise;       /* present volume of the median team relative to its usual one */
  GHashTable *teams; /* hash (uint64_t): struct team_ */
};

static void learn_capacity_ (struct gw_precedence *precedence, int64_t now_us);
static bool servers_have_room_ (const struct gw_precedence *precedence);
static void decay_ (struct gw_precedence *precedence, int64_t now_us);
static void
update_team_ (const struct gw_precedence *precedence, struct team_ *team, int64_t now_us);
static struct team_ *team_ (struct gw_precedence *precedence, uint64_t hash, int64_t now_us);
static double surplus_share_ (const struct gw_precedence *precedence, const struct team_ *team);
static double arrived_ (const struct gw_precedence *precedence);
static double
admitted_part_ (const struct gw_precedence *precedence, enum tier_ tier, unsigned rank);
static void judge_ (struct gw_precedence *precedence, int64_t now_us);
static void survey_teams_ (struct gw_precedence *precedence, int64_t now_us);
static int compare_doubles_ (const void *left, const void *right);

struct gw_precedence *
gw_precedence_new (int64_t now_us)
{
  struct gw_precedence *precedence = g_new0 (struct gw_precedence, 1);

  precedence->started_us = precedence->updated_us = precedence->judged_us = now_us;
  precedence->limit = INFINITY;
  precedence->late_us = INT64_MIN / 2;
  precedence->limited_us = INT64_MIN / 2;
  precedence->teams = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return precedence;
}

void
gw_precedence_delete (struct gw_precedence *precedence)
{
  g_hash_table_unref (precedence->teams);
  g_free (precedence);
}

/* Counts REQUEST as arrived. Returns true if it may be sent, false if it is to be refused so that
 * others are served in time. */
bool
gw_precedence_admits (struct gw_precedence *precedence,
                      const struct gw_precedence_request *request,
                      GRand *random,
                      int64_t now_us)
{
  unsigned rank = MIN (request->rank, RANKS - 1U);
  struct team_ *team = team_ (precedence, request->team_hash, now_us);
  double surplus;
  enum tier_ tier;

  decay_ (precedence, now_us);
  judge_ (precedence, now_us);
  surplus = surplus_share_ (precedence, team);
  tier = g_rand_double (random) < surplus ? TIER_SURPLUS : TIER_SHARE;
  precedence->mean_cost
      += ((precedence->mean_cost == 0 ? request->cost * 50 : request->cost) - precedence->mean_cost)
         / 50;
  precedence->arrived[tier][rank] += request->cost;
  team->volume += request->cost;
  return g_rand_double (random) < admitted_part_ (precedence, tier, rank);
}

/* Returns true if requests are being refused, but none of RANK, and others give way to them. */
bool
gw_precedence_outranks_others (const struct gw_precedence *precedence, unsigned rank)
{
  unsigned own = MIN (rank, RANKS - 1U);
  double others = 0;

  for (unsigned i = own + 1; i < RANKS; i++)
    others += precedence->arrived[TIER_SHARE][i] + precedence->arrived[TIER_SURPLUS][i];
  return isfinite (precedence->limit) && others > 0
         && admitted_part_ (precedence, TIER_SHARE, own) >= 1;
}

/* Takes the result of a request into account. A late result counts only if its server had a queue,
 * as it is otherwise a fault of that server. Those of requests from before the last cut of the
 * limit only keep the limit from growing. */
void
gw_precedence_note_result (struct gw_precedence *precedence,
                           const struct gw_precedence_result *result,
                           int64_t now_us)
{
  unsigned rank = MIN (result->rank, RANKS - 1U);
  bool is_slow = result->objective_part > OBJECTIVE_PART;

  decay_ (precedence, now_us);
  if (is_slow && !result->server_has_queue)
    return;
  if (is_slow)
    precedence->late_us = now_us;
  if (result->admitted_us < precedence->limited_us)
    return;
  precedence->results[rank]++;
  precedence->late[rank] += is_slow;
  precedence->queued += result->server_has_queue;
  judge_ (precedence, now_us);
}

/* Counts work of COST as done: the first byte of its response was received. */
void
gw_precedence_note_served (struct gw_precedence *precedence, double cost, int64_t now_us)
{
  decay_ (precedence, now_us);
  precedence->served += cost;
}

/* Returns the time after which refused callers should come back at the earliest: the longer, the
 * more requests are refused. */
int64_t
gw_precedence_retry_ms (const struct gw_precedence *precedence)
{
  double share = gw_precedence_admitted_share (precedence);

  return (int64_t)MIN (RETRY_BASE_MS / MAX (share, 0.01), RETRY_MAX_MS);
}

/* Returns the share of the present work that the limit allows, at most 1. */
double
gw_precedence_admitted_share (const struct gw_precedence *precedence)
{
  double arrived = arrived_ (precedence);

  return arrived <= precedence->limit ? 1 : precedence->limit / arrived;
}

/* Reduces the limit if too many results are late, or lets it grow if none was for some time. */
static void
judge_ (struct gw_precedence *precedence, int64_t now_us)
{
  int64_t span_us = now_us - precedence->judged_us;
  double late = 0;

  if (span_us < JUDGE_US)
    return;
  for (unsigned rank = 0; rank < RANKS; rank++)
    late = MAX (late, precedence->late[rank] / (precedence->results[rank] + PUNCTUAL_ASSUMED));
  if (late > LATE_SHARE_MAX)
    {
      precedence->limit
          = MAX (MIN (precedence->limit, precedence->served) * (1 - late * CUT_PER_LATE_SHARE),
                 precedence->served * LIMIT_MIN_PER_SERVED);
      precedence->limit
          = MAX (precedence->limit, MAX (precedence->capacity * PROBE_PART, precedence->mean_cost));
      precedence->limited_us = now_us;
      precedence->queued = 0;
      memset (precedence->results, 0, sizeof precedence->results);
      memset (precedence->late, 0, sizeof precedence->late);
    }
  else if (isfinite (precedence->limit) && now_us - precedence->late_us > JUDGE_US)
    {
      bool has_room = precedence->limit < FAST_BELOW * precedence->capacity
                      || servers_have_room_ (precedence);
      double growth = has_room ? FAST_GROWTH_PER_S : GROWTH_PER_S;

      precedence->limit *= 1 + growth * (double)MIN (span_us, GROWTH_SPAN_MAX_US) / G_USEC_PER_SEC;
      if (precedence->limit > arrived_ (precedence) * LIMIT_MAX_PER_ARRIVALS
          && now_us - precedence->late_us > CONTENTION_US)
        precedence->limit = INFINITY;
    }
  precedence->judged_us = now_us;
  survey_teams_ (precedence, now_us);
}

/* Returns whether hardly any of the servers that responded lately had a queue. */
static bool
servers_have_room_ (const struct gw_precedence *precedence)
{
  double results = 0;

  for (unsigned rank = 0; rank < RANKS; rank++)
    results += precedence->results[rank];
  return results >= ROOM_RESULTS && precedence->queued < results * ROOM_QUEUED_SHARE;
}

/* Returns the part of the requests of RANK in TIER that the limit leaves room for after all that
 * take precedence over them. */
static double
admitted_part_ (const struct gw_precedence *precedence, enum tier_ tier, unsigned rank)
{
  double room = precedence->limit;

  if (isinf (room))
    return 1;
  for (unsigned t = 0; t <= tier; t++)
    for (unsigned r = 0; r < (t < tier ? (unsigned)RANKS : rank); r++)
      room -= precedence->arrived[t][r];
  if (precedence->arrived[tier][rank] <= 0)
    return room > 0 ? 1 : 0;
  return CLAMP (room / precedence->arrived[tier][rank], 0, 1);
}

/* Returns the part of TEAM's present volume that is surplus: beyond a multiple of its usual volume
 * and beyond an equal share of what is admitted. */
static double
surplus_share_ (const struct gw_precedence *precedence, const struct team_ *team)
{
  double equal = precedence->limit * TEAM_US / RATE_US / MAX (precedence->active_teams, 1U);
  double share;

  if (isinf (precedence->limit))
    return 0;
  share = MAX (MAX (USUAL_MULTIPLE, RISE_MULTIPLE * precedence->rise) * team->usual, equal)
          + SURPLUS_SLACK * precedence->mean_cost;
  return team->volume > share ? 1 - share / team->volume : 0;
}

static double
arrived_ (const struct gw_precedence *precedence)
{
  double sum = 0;

  for (unsigned tier = 0; tier < TIERS; tier++)
    for (unsigned rank = 0; rank < RANKS; rank++)
      sum += precedence->arrived[tier][rank];
  return sum;
}

/* Follows the work that is served, more slowly while far less is served: servers that fail for some
 * time have the same capacity afterwards. */
static void
learn_capacity_ (struct gw_precedence *precedence, int64_t now_us)
{
  double age_us = (double)(now_us - precedence->started_us);
  double elapsed_us = (double)(now_us - precedence->updated_us);
  double constant_us = precedence->served < precedence->capacity * FAST_BELOW
                           ? LOST_CAPACITY_US
                           : CLAMP (age_us, RATE_US, CAPACITY_US);

  precedence->capacity
      += (precedence->served - precedence->capacity) * (1 - exp (-elapsed_us / constant_us));
}

static void
decay_ (struct gw_precedence *precedence, int64_t now_us)
{
  double factor = exp (-(double)(now_us - precedence->updated_us) / RATE_US);

  for (unsigned tier = 0; tier < TIERS; tier++)
    for (unsigned rank = 0; rank < RANKS; rank++)
      precedence->arrived[tier][rank] *= factor;
  precedence->served *= factor;
  learn_capacity_ (precedence, now_us);
  factor = exp (-(double)(now_us - precedence->updated_us) / RESULTS_US);
  precedence->queued *= factor;
  for (unsigned rank = 0; rank < RANKS; rank++)
    {
      precedence->results[rank] *= factor;
      precedence->late[rank] *= factor;
    }
  precedence->updated_us = now_us;
}

/* Brings the volumes of TEAM to NOW_US. The usual one follows the present one slowly: a flood
 * begins before the servers have queues, and may last long. While requests are refused it does not
 * grow. */
static void
update_team_ (const struct gw_precedence *precedence, struct team_ *team, int64_t now_us)
{
  double elapsed_us = (double)(now_us - team->updated_us);
  double age_us = (double)(now_us - precedence->started_us);
  double change;

  team->volume *= exp (-elapsed_us / TEAM_US);
  change = (team->volume - team->usual) * (1 - exp (-elapsed_us / USUAL_US));
  if (isfinite (precedence->limit))
    change = MIN (change, 0);
  else if (age_us < LEARN_US)
    change = team->volume / (1 - exp (-MAX (age_us, JUDGE_US) / TEAM_US)) - team->usual;
  else
    change = MIN (change, MAX (team->usual, precedence->mean_cost) * USUAL_GROWTH_PER_S * elapsed_us
                              / G_USEC_PER_SEC);
  team->usual += change;
  team->updated_us = now_us;
}

/* Returns the team HASH with its volumes as of NOW_US. */
static struct team_ *
team_ (struct gw_precedence *precedence, uint64_t hash, int64_t now_us)
{
  struct team_ *team = g_hash_table_lookup (precedence->teams, &hash);

  if (team == NULL)
    {
      team = g_new0 (struct team_, 1);
      team->hash = hash;
      team->updated_us = now_us;
      g_hash_table_insert (precedence->teams, &team->hash, team);
      precedence->active_teams++;
    }
  update_team_ (precedence, team, now_us);
  return team;
}

/* Counts the teams with recent requests, determines by how much their volume has risen, and forgets
 * those without any request for several USUAL_US. */
static void
survey_teams_ (struct gw_precedence *precedence, int64_t now_us)
{
  g_autoptr (GArray) rises = g_array_new (FALSE, FALSE, sizeof (double));
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, precedence->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct team_ *team = value;
      double rise = team->volume / MAX (team->usual, precedence->mean_cost);

      if (now_us - team->updated_us > 5LL * USUAL_US)
        g_hash_table_iter_remove (&iter);
      else if (now_us - team->updated_us < 2LL * TEAM_US)
        g_array_append_val (rises, rise);
    }
  g_array_sort (rises, compare_doubles_);
  precedence->active_teams = rises->len;
  precedence->rise = rises->len == 0 ? 1 : g_array_index (rises, double, (rises->len - 1) / 2);
}

static int
compare_doubles_ (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;

  return (a > b) - (a < b);
}
