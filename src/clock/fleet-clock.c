#include "clock/fleet-clock.h"

enum
{
  US_PER_MS = 1000,
  QUORUM_MAX = 5, /* clocks, the own one included, that are enough in a fleet of any size */
  MEMORY_US
  = 15000000,    /* for which an answer counts: steady clocks differ by less than 2 ms in it */
  MARGIN_MS = 50 /* by which sound clocks differ */
};

/* What another instance's clock is ahead of the own steady clock. */
struct reading_
{
  int64_t least_ms;
  int64_t most_ms;
  int64_t answered_us;
};

struct fleet_clock
{
  GHashTable *readings; /* name of an instance: struct reading_ */
  unsigned instances;   /* that there are, this one included; 0: not known */
};

static gboolean is_old_ (gpointer key, gpointer value, gpointer data);
static unsigned quorum_ (const struct fleet_clock *clock);

/* Creates a clock that does not know yet how many instances there are. */
struct fleet_clock *
fleet_clock_new (void)
{
  struct fleet_clock *clock = g_new0 (struct fleet_clock, 1);

  clock->readings = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return clock;
}

/* Frees CLOCK. */
void
fleet_clock_delete (struct fleet_clock *clock)
{
  g_hash_table_unref (clock->readings);
  g_free (clock);
}

/* Says how many INSTANCES there are, this one included. */
void
fleet_clock_set_instances (struct fleet_clock *clock, unsigned instances)
{
  clock->instances = instances;
}

/* INSTANCE, asked at ASKED_US on the own steady clock, has answered by ANSWERED_US that it is
 * REAL_MS. */
void
fleet_clock_note (struct fleet_clock *clock,
                  const char *instance,
                  int64_t real_ms,
                  int64_t asked_us,
                  int64_t answered_us)
{
  struct reading_ reading = { .least_ms = real_ms - answered_us / US_PER_MS - 1,
                              .most_ms = real_ms - asked_us / US_PER_MS + 1,
                              .answered_us = answered_us };

  g_assert (asked_us <= answered_us);
  g_hash_table_replace (clock->readings, g_strdup (instance), g_memdup2 (&reading, sizeof reading));
}

/* Tells whether enough clocks are known at STEADY_US. */
bool
fleet_clock_has_quorum (struct fleet_clock *clock, int64_t steady_us)
{
  if (clock->instances == 0)
    return false;
  g_hash_table_foreach_remove (clock->readings, is_old_, &steady_us);
  return g_hash_table_size (clock->readings) + 1 >= quorum_ (clock);
}

/* Sets *EARLIEST_MS and *LATEST_MS, between which the real time is as long as one of the known
 * clocks is right. Returns false when too few are known. */
bool
fleet_clock_bounds (struct fleet_clock *clock,
                    const struct fleet_instant *now,
                    int64_t *earliest_ms,
                    int64_t *latest_ms)
{
  int64_t steady_ms = now->steady_us / US_PER_MS;
  GHashTableIter iter;
  void *value;

  if (!fleet_clock_has_quorum (clock, now->steady_us))
    return false;
  *earliest_ms = now->real_ms;
  *latest_ms = now->real_ms;
  g_hash_table_iter_init (&iter, clock->readings);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct reading_ *reading = value;

      *earliest_ms = MIN (*earliest_ms, reading->least_ms + steady_ms);
      *latest_ms = MAX (*latest_ms, reading->most_ms + steady_ms);
    }
  *earliest_ms -= MARGIN_MS;
  *latest_ms += MARGIN_MS;
  return true;
}

static gboolean
is_old_ (gpointer key, gpointer value, gpointer data)
{
  const struct reading_ *reading = value;
  const int64_t *now_us = data;

  return *now_us - reading->answered_us > MEMORY_US;
}

/* Returns how many clocks have to be known, the own one included: a majority, or enough that not
 * all of them jump at once. */
static unsigned
quorum_ (const struct fleet_clock *clock)
{
  return MIN (clock->instances / 2 + 1, (unsigned)QUORUM_MAX);
}
