/* How much of a budget an instance holds, and how fast it promises to spend it. The home of a team
 * holds the demand of a long cut from the store. While much is left it may spend a part of that at
 * any time, which a crash may lose. Of a scarce budget it may spend little at once, and the rest
 * only when it has not reached the store for a while: by the time of the next start after a crash
 * that has not begun, so that nearly all of it is known to be unspent. Answers cuts of ten seconds
 * together with crashes of all instances. */
#include "allotment/book-private.h"

enum
{
  US_PER_S = 1000000,
  PRIMARY_COVER_US
  = 12000000, /* demand a home holds: the longest cut that is expected, and bursts */
  SUBSTITUTE_COVER_US = 2000000, /* demand of a draw in place of the home: a write a second */
  INITIAL_SHARE_DIVISOR = 5,     /* of an untouched budget, until demand is known */
  MIN_SHARE_DIVISOR = 40,        /* of any budget, until demand is known: the largest of requests */
  FIRST_DRAW_DELAY_US = 1500000, /* all instances have announced themselves by then */
  SPARE_PERCENT = 33, /* of the total: while more is left, a crash may lose what is beyond */
  SPARE_COVER_US
  = 6000000, /* demand of it that may be spent at once: until the reserve opens, with room */
  BURST_US = 350000, /* demand that may be spent at once: a write that is late */
  RESERVE_AFTER_US
  = 2500000,             /* without contact the rest may be spent: a start after a crash is up */
  RESERVE_PERCENT = 250, /* of the demand: how fast, as that rises in a cut with repeats */
  LIMIT_INTERVAL_US = 500000,    /* between renewals of a limit */
  LIMIT_MIN_INTERVAL_US = 100000 /* the same while it is reached again and again */
};

static int64_t known_remaining_ (const struct allotment_team *team);
static int64_t burst_tokens_ (struct allotment_team *team, int64_t now_us);
static int64_t
spendable_at_once_ (struct allotment_book *manager, struct allotment_team *team, int64_t now_us);
static int64_t reserve_rate_per_s_ (struct allotment_team *team, int64_t now_us);

/* Returns the tokens that this instance, as the home of TEAM, should have available. */
int64_t
allotment_primary_target_ (const struct allotment_book *manager,
                           struct allotment_team *team,
                           int64_t now_us)
{
  int64_t target = allotment_demand_in_ (&team->demand, PRIMARY_COVER_US, now_us);
  const struct sr_record *record = team->record;
  bool untouched = record == NULL || (record->holders->len == 0 && record->settled == 0);

  if (manager->peers_since_us == 0
      || (untouched && now_us - manager->peers_since_us < FIRST_DRAW_DELAY_US))
    return 0;
  target = MAX (target,
                team->prepaid_tokens / (untouched ? INITIAL_SHARE_DIVISOR : MIN_SHARE_DIVISOR));
  return record == NULL ? target : MIN (target, known_remaining_ (team));
}

/* Returns the tokens that this instance should have available while it serves TEAM in place of a
 * home that can't: enough that not each request costs a write. */
int64_t
allotment_substitute_target_ (const struct allotment_book *manager,
                              struct allotment_team *team,
                              int64_t now_us)
{
  return MIN (allotment_demand_in_ (&team->demand, SUBSTITUTE_COVER_US, now_us),
              allotment_primary_target_ (manager, team, now_us));
}

/* Returns the tokens of the own record that its spend limit does not allow yet. */
int64_t
allotment_held_back_ (const struct allotment_team *team)
{
  return team->ledger->own == NULL ? 0 : sr_source_held_back (team->ledger->own);
}

/* Returns when more of what is held here may be spent although the store is away, or 0. */
int64_t
allotment_limit_opens_us_ (const struct allotment_team *team, int64_t now_us)
{
  int64_t opens_us = allotment_held_back_ (team) > 0 ? sr_source_opens_us (team->ledger->own) : 0;

  return opens_us > now_us ? opens_us : 0;
}

/* Puts the spend limit of the own record into RECORD, which is about to be written. It allows NEED
 * beyond what is available. There is none where nothing would be kept back by it, or where the time
 * is not known. */
void
allotment_set_spend_limit_ (struct allotment_book *manager,
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
  sr_ledger_promise (team->ledger, record, &limit);
  team->limit_written_us = now_us;
  team->is_limited = limit.is_set;
  team->limit_per_s = limit.per_s;
  team->limit_committed = committed;
}

/* Tells whether it is time to write the spend limit anew: it will soon be reached, was written a
 * while ago, or allows far more than the demand; or there is none yet though one is needed. There
 * must be an own record. */
bool
allotment_spend_limit_is_due_ (struct allotment_book *manager,
                               struct allotment_team *team,
                               int64_t now_us)
{
  const struct sr_source *own = team->ledger->own;
  int64_t held_back = sr_source_held_back (own);
  int64_t spent = sr_ledger_committed (team->ledger) - team->limit_committed;

  if (now_us - team->limit_written_us < LIMIT_MIN_INTERVAL_US)
    return false;
  /* What is left is known after a read, as after a cut. */
  if (team->record == NULL)
    return now_us - team->limit_written_us >= LIMIT_INTERVAL_US;
  if (!team->is_limited)
    return sr_source_available (own) > spendable_at_once_ (manager, team, now_us);
  if (held_back > 0 && sr_source_available (own) < burst_tokens_ (team, now_us) / 2)
    return true;
  if (reserve_rate_per_s_ (team, now_us) < team->limit_per_s / 2)
    return true;
  return now_us - team->limit_written_us >= LIMIT_INTERVAL_US
         && spent >= team->prepaid_tokens / ALLOTMENT_MIN_DRAW_DIVISOR_;
}

/* Returns the tokens of TEAM that are left as far as is known: here and on the record. */
static int64_t
known_remaining_ (const struct allotment_team *team)
{
  return sr_ledger_available (team->ledger) + allotment_held_back_ (team)
         + MAX (sr_record_remaining (team->record), 0)
         + MAX (team->prepaid_tokens - team->record->prepaid, 0);
}

/* Returns the tokens that are in demand until a limit can be written anew. */
static int64_t
burst_tokens_ (struct allotment_team *team, int64_t now_us)
{
  return MAX (allotment_demand_in_ (&team->demand, BURST_US, now_us),
              allotment_demand_largest_ (&team->demand));
}

/* Returns the tokens beyond those in use that a crash may lose: INT64_MAX for who draws little in
 * place of the home. */
static int64_t
spendable_at_once_ (struct allotment_book *manager, struct allotment_team *team, int64_t now_us)
{
  int64_t spare = known_remaining_ (team) - team->prepaid_tokens * SPARE_PERCENT / 100;
  int64_t cover = MAX (allotment_demand_in_ (&team->demand, SPARE_COVER_US, now_us),
                       team->prepaid_tokens / MIN_SHARE_DIVISOR);

  if (allotment_primary_ (manager, team, now_us) != NULL)
    return INT64_MAX;
  return MAX (burst_tokens_ (team, now_us), MIN (cover, spare));
}

/* Returns the tokens a second that the rest of a grant is spent with. */
static int64_t
reserve_rate_per_s_ (struct allotment_team *team, int64_t now_us)
{
  return allotment_demand_in_ (&team->demand, US_PER_S, now_us) * RESERVE_PERCENT / 100;
}
