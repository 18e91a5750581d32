#include "clock/fleet-clock.h"

enum
{
  US_PER_MS = 1000,
  QUORUM_MAX = 5, /* clocks, this instance's included, that are enough in a fleet of any size */
  /* How long a reading is used: steady clocks drift apart by less than 2 ms in this time. */
  READING_LIFETIME_US = 15000000,
  MARGIN_MS = 50 /* by which correct clocks may differ */
};

/* Bounds of the difference between a peer's real time and this machine's steady clock. */
struct reading_
{
  int64_t least_ms;
  int64_t most_ms;
  int64_t received_us; /* steady clock */
};

struct fleet_clock
{
  GHashTable *readings; /* instance name to struct reading_ */
  unsigned instances;   /* fleet size, this instance included; 0 while unknown */
};

static gboolean is_expired_ (gpointer key, gpointer value, gpointer data);
static unsigned quorum_ (const struct fleet_clock *clock);

/* Creates a clock that gives no bounds until fleet_clock_set_instances has been called. */
struct fleet_clock *
fleet_clock_new (void)
{
  struct fleet_clock *clock = g_new0 (struct fleet_clock, 1);

  clock->readings = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return clock;
}

void
fleet_clock_delete (struct fleet_clock *clock)
{
  g_hash_table_unref (clock->readings);
  g_free (clock);
}

/* Sets the fleet size, this instance included; it determines the quorum. */
void
fleet_clock_set_instances (struct fleet_clock *clock, unsigned instances)
{
  clock->instances = instances;
}

/* Records the real time REAL_MS that INSTANCE reported, replacing its previous reading. The request
 * was sent at SENT_US and the reply received at RECEIVED_US, both on this machine's steady
 * clock. */
void
fleet_clock_add_reading (struct fleet_clock *clock,
                         const char *instance,
                         int64_t real_ms,
                         int64_t sent_us,
                         int64_t received_us)
{
  struct reading_ reading = { .least_ms = real_ms - received_us / US_PER_MS - 1,
                              .most_ms = real_ms - sent_us / US_PER_MS + 1,
                              .received_us = received_us };

  g_assert (sent_us <= received_us);
  g_hash_table_replace (clock->readings, g_strdup (instance), g_memdup2 (&reading, sizeof reading));
}

/* Returns whether there are enough readings at STEADY_US to give bounds. Drops expired readings. */
bool
fleet_clock_has_quorum (struct fleet_clock *clock, int64_t steady_us)
{
  if (clock->instances == 0)
    return false;
  g_hash_table_foreach_remove (clock->readings, is_expired_, &steady_us);
  return g_hash_table_size (clock->readings) + 1 >= quorum_ (clock);
}

/* Sets *EARLIEST_MS and *LATEST_MS, which enclose the real time provided that at least one of the
 * clocks in use, this machine's included, is right. Returns false and sets nothing without a
 * quorum. */
bool
fleet_clock_bounds (struct fleet_clock *clock,
                    const struct fleet_time *now,
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
is_expired_ (gpointer key, gpointer value, gpointer data)
{
  const struct reading_ *reading = value;
  const int64_t *now_us = data;

  return *now_us - reading->received_us > READING_LIFETIME_US;
}

/* Returns the number of clocks required, this instance's included: a majority of the fleet, or
 * QUORUM_MAX, which are assumed not to jump all at the same time. */
static unsigned
quorum_ (const struct fleet_clock *clock)
{
  return MIN (clock->instances / 2 + 1, (unsigned)QUORUM_MAX);
}
