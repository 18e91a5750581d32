#include "gateway/cold-start.h"

#include <string.h>
#include <xxhash.h>

enum
{
  WINDOW_US = 1250000,      /* the second of the limit, and a quarter for requests that are delayed
                             * differently on their way */
  REMAINING_MAX_MS = 60000, /* limit for a stated cold time, twenty times a usual one */
  US_PER_MS = 1000
};

/* The shares of all instances add up to this part of the limit at most. The other half is reserved
 * for instances whose list lacks an addition because a watch has missed it. */
static const double LIMIT_PART = 0.5;

/* Another instance of the fleet. */
struct member_
{
  char *name; /* the key of the table */
  uint64_t hash;
  int64_t removed_us; /* 0: listed */
};

struct gw_cold_start
{
  double overage; /* 0: the limit is off */
  unsigned slack;
  uint64_t own_hash;
  GHashTable *members;  /* name: struct member_, without this instance */
  int64_t listed_us;    /* of the first complete list; 0: none yet */
  int64_t confirmed_us; /* the list showed all additions up to this time; 0: no list yet */
};

static void member_free_ (struct member_ *member);
static uint64_t name_hash_ (const char *name);
static uint64_t rank_ (uint64_t name_hash, uint64_t server_key);
static bool is_counted_ (const struct member_ *member, int64_t now_us);

/* Creates the limit, which is off. OWN_NAME is the name of this instance. */
struct gw_cold_start *
gw_cold_start_new (const char *own_name)
{
  struct gw_cold_start *cold = g_new0 (struct gw_cold_start, 1);

  cold->own_hash = name_hash_ (own_name);
  cold->members
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify)member_free_);
  return cold;
}

/* COLD may be NULL. */
void
gw_cold_start_delete (struct gw_cold_start *cold)
{
  if (cold == NULL)
    return;
  g_hash_table_unref (cold->members);
  g_free (cold);
}

/* A cold server may get OVERAGE times what it sustains and SLACK requests in any second. OVERAGE 0
 * turns the limit off. */
void
gw_cold_start_set_limits (struct gw_cold_start *cold, double overage, unsigned slack)
{
  cold->overage = overage;
  cold->slack = slack;
}

/* COLD may be NULL: off. */
bool
gw_cold_start_is_on (const struct gw_cold_start *cold)
{
  return cold != NULL && cold->overage > 0;
}

/* The list of instances has another instance NAME. */
void
gw_cold_start_add_instance (struct gw_cold_start *cold, const char *name)
{
  struct member_ *member = g_hash_table_lookup (cold->members, name);

  if (member == NULL)
    {
      member = g_new0 (struct member_, 1);
      member->name = g_strdup (name);
      member->hash = name_hash_ (name);
      g_hash_table_insert (cold->members, member->name, member);
    }
  member->removed_us = 0;
}

/* The list no longer has NAME. It keeps its rank for GW_COLD_SETTLE_US, as it may not have noticed
 * yet, or have sent requests just before it ended. */
void
gw_cold_start_remove_instance (struct gw_cold_start *cold, const char *name, int64_t now_us)
{
  struct member_ *removed = g_hash_table_lookup (cold->members, name);
  GHashTableIter iter;
  void *value;

  if (removed != NULL && removed->removed_us == 0)
    removed->removed_us = now_us;
  g_hash_table_iter_init (&iter, cold->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_counted_ (value, now_us))
      g_hash_table_iter_remove (&iter);
}

/* All instances that were added up to AS_OF_US are known. */
void
gw_cold_start_confirm_list (struct gw_cold_start *cold, int64_t as_of_us)
{
  if (cold->listed_us == 0)
    cold->listed_us = as_of_us;
  cold->confirmed_us = MAX (cold->confirmed_us, as_of_us);
}

/* Returns how many requests this instance may send to the cold server SERVER_KEY, which sustains
 * COLD_PER_S requests per second, in a window; 0: none. The requests of a window are dealt to the
 * instances one by one, in the order of their ranks. Only instances send that were added
 * GW_COLD_SETTLE_US ago or earlier, and each list in use has all of these. Further instances in a
 * list only make the share of this one smaller, so that the shares of all instances add up to the
 * requests of a window at most, although their lists differ. */
unsigned
gw_cold_start_share (const struct gw_cold_start *cold,
                     uint64_t server_key,
                     double cold_per_s,
                     int64_t now_us)
{
  double limit = cold_per_s * cold->overage + cold->slack;
  unsigned requests = (unsigned)MIN (limit * LIMIT_PART, cold_per_s);
  uint64_t own_rank = rank_ (cold->own_hash, server_key);
  unsigned members = 1;
  unsigned before = 0;
  GHashTableIter iter;
  void *value;

  if (requests == 0 || cold->listed_us == 0 || now_us - cold->listed_us < GW_COLD_SETTLE_US
      || now_us - cold->confirmed_us > GW_COLD_STALE_US)
    return 0;
  g_hash_table_iter_init (&iter, cold->members);
  while (before < requests && g_hash_table_iter_next (&iter, NULL, &value))
    if (is_counted_ (value, now_us))
      {
        members++;
        before += rank_ (((struct member_ *)value)->hash, server_key) > own_rank;
      }
  return before >= requests ? 0 : (requests - before + members - 1) / members;
}

/* Returns the time until this instance may send a request to SERVER, as far as that is known; 0:
 * now. */
int64_t
gw_cold_start_wait_us (const struct gw_cold_start *cold,
                       const struct gw_cold_server *server,
                       uint64_t server_key,
                       double cold_per_s,
                       int64_t now_us)
{
  int64_t warm_in_us = server->cold_until_us - now_us;
  unsigned share;
  int64_t oldest_us;

  if (!gw_cold_start_is_on (cold) || cold_per_s <= 0 || warm_in_us <= 0)
    return 0;
  share = gw_cold_start_share (cold, server_key, cold_per_s, now_us);
  if (share == 0)
    return warm_in_us;
  if (server->sent_us == NULL || server->sent_us->len < share)
    return 0;
  /* The request that must leave the window before another one fits. */
  oldest_us = g_array_index (server->sent_us, int64_t, server->sent_us->len - share);
  return CLAMP (oldest_us + WINDOW_US - now_us, 0, warm_in_us);
}

/* The entry of SERVER, of REVISION in ERA, gives the remaining cold time as of its writing. Lists
 * repeat an entry, so it counts only once, from now. Returns whether the server became cold. */
bool
gw_cold_server_note_entry (struct gw_cold_server *server,
                           int64_t era,
                           int64_t revision,
                           int64_t remaining_ms,
                           int64_t now_us)
{
  if (era == server->entry_era && revision == server->entry_revision)
    return false;
  server->entry_era = era;
  server->entry_revision = revision;
  return gw_cold_server_note_remaining (server, remaining_ms, now_us);
}

/* SERVER stays cold for REMAINING_MS; the longest such time applies. Returns whether it became
 * cold. */
bool
gw_cold_server_note_remaining (struct gw_cold_server *server, int64_t remaining_ms, int64_t now_us)
{
  bool was_cold = gw_cold_server_is_cold (server, now_us);

  if (remaining_ms <= 0)
    return false;
  server->cold_until_us = MAX (server->cold_until_us,
                               now_us + MIN (remaining_ms, (int64_t)REMAINING_MAX_MS) * US_PER_MS);
  return !was_cold;
}

bool
gw_cold_server_is_cold (const struct gw_cold_server *server, int64_t now_us)
{
  return server->cold_until_us > now_us;
}

/* A request was sent to SERVER. Call this whether or not it is cold, as it may be known to be cold
 * only later in the same window. */
void
gw_cold_server_note_sent (struct gw_cold_server *server, int64_t now_us)
{
  unsigned expired = 0;

  if (server->sent_us == NULL)
    server->sent_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  while (expired < server->sent_us->len
         && g_array_index (server->sent_us, int64_t, expired) <= now_us - WINDOW_US)
    expired++;
  if (expired > 0)
    g_array_remove_range (server->sent_us, 0, expired);
  g_array_append_val (server->sent_us, now_us);
}

/* Frees what SERVER holds, but not SERVER. */
void
gw_cold_server_clear (struct gw_cold_server *server)
{
  if (server->sent_us != NULL)
    g_array_unref (server->sent_us);
  server->sent_us = NULL;
}

static void
member_free_ (struct member_ *member)
{
  g_free (member->name);
  g_free (member);
}

static uint64_t
name_hash_ (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

static uint64_t
rank_ (uint64_t name_hash, uint64_t server_key)
{
  return XXH3_64bits_withSeed (&name_hash, sizeof name_hash, server_key);
}

static bool
is_counted_ (const struct member_ *member, int64_t now_us)
{
  return member->removed_us == 0 || now_us - member->removed_us < GW_COLD_SETTLE_US;
}
