/* How much of a budget an instance holds, and the spend limit that it puts on its own record. The
 * primary of a team holds enough tokens for the demand of a long store outage. While much of the
 * budget is left, it may spend part of its holding at any time; after a crash that part counts as
 * spent. Of a scarce budget it may spend little at once, and the rest (the reserve) only when it
 * has not reached the store for RESERVE_AFTER_US: an instance that crashed has started again by
 * then, so that nearly all of the reserve is known to be unspent. Designed for store outages of ten
 * seconds together with crashes of all instances. */
#include "allotment/allotment-private.h"

enum
{
  US_PER_S = 1000000,
  PRIMARY_COVER_US
  = 12000000, /* demand that a primary holds: the longest expected outage, and bursts */
  SUBSTITUTE_COVER_US = 2000000, /* demand that a substitute holds: about one write a second */
  INITIAL_SHARE_DIVISOR = 5,     /* 1/5 of an unused budget is drawn before its demand is known */
  MIN_SHARE_DIVISOR = 40, /* at least 1/40 of any budget is held: enough for the largest requests */
  FIRST_DRAW_DELAY_US
  = 1500000, /* by then all instances have announced themselves, so the primary is known */
  SPARE_PERCENT
  = 33, /* of the prepaid total: what is left beyond it is spare, and may be lost in a crash */
  SPARE_COVER_US = 6000000, /* demand that may be spent at once from spare tokens: lasts until the
                               reserve opens, with a margin */
  BURST_US = 350000, /* demand that may be spent at once in any case: lasts while a write is late */
  RESERVE_AFTER_US = 2500000, /* without the store for this long, the reserve may be spent: a
                                 restart after a crash is done */
  RESERVE_PERCENT = 250,      /* of the demand, rate of spending the reserve: callers' retries raise
                                 demand in an outage */
  LIMIT_INTERVAL_US = 500000, /* between renewals of a spend limit */
  LIMIT_MIN_INTERVAL_US = 100000 /* the same while the limit is nearly used up or too high */
};

static int64_t known_remaining_ (const struct allotment_team *team);
static int64_t burst_tokens_ (struct allotment_team *team, int64_t now_us);
static int64_t
spendable_at_once_ (struct allotment_manager *manager, struct allotment_team *team, int64_t now_us);
static int64_t reserve_rate_per_s_ (struct allotment_team *team, int64_t now_us);

/* Returns the tokens that this instance, as the primary of TEAM, should have available: 0 until it
 * knows its peers, or for an unused budget until they have had time to announce themselves. */
int64_t
allotment_primary_target_ (const struct allotment_manager *manager,
                           struct allotment_team *team,
                           int64_t now_us)
{
  int64_t target = allotment_demand_expected_ (&team->demand, PRIMARY_COVER_US, now_us);
  const struct sr_record *record = team->record;
  bool is_unused = record == NULL || (record->holders->len == 0 && record->settled == 0);

  if (manager->peers_since_us == 0
      || (is_unused && now_us - manager->peers_since_us < FIRST_DRAW_DELAY_US))
    return 0;
  target = MAX (target,
                team->prepaid_tokens / (is_unused ? INITIAL_SHARE_DIVISOR : MIN_SHARE_DIVISOR));
  return record == NULL ? target : MIN (target, known_remaining_ (team));
}

/* Returns the tokens that this instance should have available while it is a substitute for the
 * primary of TEAM: enough that not every request costs a write. */
int64_t
allotment_substitute_target_ (const struct allotment_manager *manager,
                              struct allotment_team *team,
                              int64_t now_us)
{
  return MIN (allotment_demand_expected_ (&team->demand, SUBSTITUTE_COVER_US, now_us),
              allotment_primary_target_ (manager, team, now_us));
}

/* Returns the tokens granted on the own record that its spend limit does not allow yet. */
int64_t
allotment_held_back_ (const struct allotment_team *team)
{
  return team->ledger->own == NULL ? 0 : sr_source_held_back (team->ledger->own);
}

/* Returns when the spend limit will allow more without the store, or 0 if it holds nothing back or
 * that time has passed. */
int64_t
allotment_limit_opens_us_ (const struct allotment_team *team, int64_t now_us)
{
  int64_t opens_us
      = allotment_held_back_ (team) > 0 ? sr_source_rise_start_us (team->ledger->own) : 0;

  return opens_us > now_us ? opens_us : 0;
}

/* Sets the spend limit of the own holder in RECORD, which is about to be written, so that NEED
 * tokens beyond what is available may be spent at once. No limit is set where it would hold nothing
 * back, or where the real time is not known. */
void
allotment_set_spend_limit_ (struct allotment_manager *manager,
                            struct allotment_team *team,
                            struct sr_record *record,
                            int64_t need,
                            int64_t now_us)
{
  const struct sr_source *own = team->ledger->own;
  const struct sr_record_holder *holder = own == NULL ? NULL : sr_record_find (record, &own->id);
  struct sr_spend_limit limit = { .since_us = now_us, .after_us = RESERVE_AFTER_US };
  int64_t committed = sr_ledger_committed (team->ledger);
  int64_t latest_ms;

  if (holder == NULL)
    return;
  limit.base = spendable_at_once_ (manager, team, now_us);
  if (need > 0)
    limit.base = MAX (limit.base, sr_source_available (own) + need);
  limit.per_s = reserve_rate_per_s_ (team, now_us);
  limit.is_set
      = holder->granted - committed > limit.base
        && allotment_link_ (manager)->real_time (manager->options.link, &limit.at_ms, &latest_ms);
  sr_ledger_set_spend_limit (team->ledger, record, &limit);
  team->limit_written_us = now_us;
  team->limit_is_set = limit.is_set;
  team->limit_per_s = limit.per_s;
  team->limit_committed = committed;
}

/* Returns whether the spend limit must be written again: it is nearly used up, was written a while
 * ago, or allows a far higher rate than the demand; or one is needed and there is none yet.
 * Requires an own record. */
bool
allotment_spend_limit_is_due_ (struct allotment_manager *manager,
                               struct allotment_team *team,
                               int64_t now_us)
{
  const struct sr_source *own = team->ledger->own;
  int64_t held_back = sr_source_held_back (own);
  int64_t spent = sr_ledger_committed (team->ledger) - team->limit_committed;

  if (now_us - team->limit_written_us < LIMIT_MIN_INTERVAL_US)
    return false;
  /* What is left is unknown until a read, as after an outage. */
  if (team->record == NULL)
    return now_us - team->limit_written_us >= LIMIT_INTERVAL_US;
  if (!team->limit_is_set)
    return sr_source_available (own) > spendable_at_once_ (manager, team, now_us);
  if (held_back > 0 && sr_source_available (own) < burst_tokens_ (team, now_us) / 2)
    return true;
  if (reserve_rate_per_s_ (team, now_us) < team->limit_per_s / 2)
    return true;
  return now_us - team->limit_written_us >= LIMIT_INTERVAL_US
         && spent >= team->prepaid_tokens / ALLOTMENT_MIN_DRAW_DIVISOR_;
}

/* Returns the tokens of TEAM that are known to be left: held here, remaining on the record, and
 * topped up since. Requires a record. */
static int64_t
known_remaining_ (const struct allotment_team *team)
{
  return sr_ledger_available (team->ledger) + allotment_held_back_ (team)
         + MAX (sr_record_remaining (team->record), 0)
         + MAX (team->prepaid_tokens - team->record->prepaid, 0);
}

/* Returns the demand until a spend limit can be renewed, at least the largest recent request. */
static int64_t
burst_tokens_ (struct allotment_team *team, int64_t now_us)
{
  return MAX (allotment_demand_expected_ (&team->demand, BURST_US, now_us),
              allotment_demand_largest_ (&team->demand));
}

/* Returns the tokens beyond those in use that may be spent at once, which a crash may lose.
 * INT64_MAX (no limit) for a substitute, which holds little. */
static int64_t
spendable_at_once_ (struct allotment_manager *manager, struct allotment_team *team, int64_t now_us)
{
  int64_t spare = known_remaining_ (team) - team->prepaid_tokens * SPARE_PERCENT / 100;
  int64_t cover = MAX (allotment_demand_expected_ (&team->demand, SPARE_COVER_US, now_us),
                       team->prepaid_tokens / MIN_SHARE_DIVISOR);

  if (allotment_primary_ (manager, team, now_us) != NULL)
    return INT64_MAX;
  return MAX (burst_tokens_ (team, now_us), MIN (cover, spare));
}

/* Returns the tokens a second at which the reserve may be spent once it opens. */
static int64_t
reserve_rate_per_s_ (struct allotment_team *team, int64_t now_us)
{
  return allotment_demand_expected_ (&team->demand, US_PER_S, now_us) * RESERVE_PERCENT / 100;
}
