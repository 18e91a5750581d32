#include "request/registry.h"

#include <pthread.h>
#include <string.h>

struct registry_entry
{
  char *key;
  uint64_t fingerprint[2];
  struct sr_registry_owner owner;
  int64_t claimed_us;
  GList link; /* in the registry's list, oldest first */
};

struct sr_registry
{
  struct sr_registry_options options;
  pthread_mutex_t mutex;
  GHashTable *entries; /* key to struct registry_entry, which it owns */
  GQueue by_age;
};

static struct registry_entry *add_ (struct sr_registry *registry,
                                    const struct sr_registry_claim *claim);
static void remove_expired_ (struct sr_registry *registry, int64_t now_us);
static void remove_entry_ (struct sr_registry *registry, struct registry_entry *entry);
static void entry_free_ (gpointer data);
static bool is_same_owner_ (const struct sr_registry_owner *a, const struct sr_registry_owner *b);

/* OPTIONS is copied; its entries_max must not be 0. Any thread may use the registry. */
struct sr_registry *
sr_registry_new (const struct sr_registry_options *options)
{
  struct sr_registry *registry = g_new0 (struct sr_registry, 1);

  g_assert (options->entries_max > 0);
  registry->options = *options;
  pthread_mutex_init (&registry->mutex, NULL);
  registry->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free_);
  g_queue_init (&registry->by_age);
  return registry;
}

/* NULL is allowed. */
void
sr_registry_delete (struct sr_registry *registry)
{
  if (registry == NULL)
    return;
  g_hash_table_unref (registry->entries);
  pthread_mutex_destroy (&registry->mutex);
  g_free (registry);
}

/* Claims a request for the owner in CLAIM and sets *OWNER to its owner after the call. A claim on
 * an entry of another owner only succeeds if its instead_of is the incarnation of that owner. */
enum sr_registry_verdict
sr_registry_claim (struct sr_registry *registry,
                   const struct sr_registry_claim *claim,
                   struct sr_registry_owner *owner)
{
  enum sr_registry_verdict verdict = SR_REGISTRY_YOURS;
  struct registry_entry *entry;

  pthread_mutex_lock (&registry->mutex);
  remove_expired_ (registry, claim->now_us);
  entry = g_hash_table_lookup (registry->entries, claim->key);
  if (entry == NULL)
    entry = add_ (registry, claim);
  else if (memcmp (entry->fingerprint, claim->fingerprint, sizeof entry->fingerprint) != 0)
    verdict = SR_REGISTRY_OTHER_BODY;
  else if (claim->instead_of != 0 && claim->instead_of == entry->owner.incarnation)
    entry->owner = claim->owner;
  else if (!is_same_owner_ (&entry->owner, &claim->owner))
    verdict = SR_REGISTRY_ELSEWHERE;
  *owner = entry->owner;
  pthread_mutex_unlock (&registry->mutex);
  return verdict;
}

static struct registry_entry *
add_ (struct sr_registry *registry, const struct sr_registry_claim *claim)
{
  struct registry_entry *entry = g_new0 (struct registry_entry, 1);

  if (registry->by_age.length >= registry->options.entries_max)
    remove_entry_ (registry, g_queue_peek_head (&registry->by_age));
  entry->key = g_strdup (claim->key);
  memcpy (entry->fingerprint, claim->fingerprint, sizeof entry->fingerprint);
  entry->owner = claim->owner;
  entry->claimed_us = claim->now_us;
  entry->link.data = entry;
  g_hash_table_insert (registry->entries, entry->key, entry);
  g_queue_push_tail_link (&registry->by_age, &entry->link);
  return entry;
}

static void
remove_expired_ (struct sr_registry *registry, int64_t now_us)
{
  struct registry_entry *oldest;

  while ((oldest = g_queue_peek_head (&registry->by_age)) != NULL
         && now_us - oldest->claimed_us > registry->options.entry_kept_us)
    remove_entry_ (registry, oldest);
}

static void
remove_entry_ (struct sr_registry *registry, struct registry_entry *entry)
{
  g_queue_unlink (&registry->by_age, &entry->link);
  g_hash_table_remove (registry->entries, entry->key);
}

static void
entry_free_ (gpointer data)
{
  struct registry_entry *entry = data;

  g_free (entry->key);
  g_free (entry);
}

static bool
is_same_owner_ (const struct sr_registry_owner *a, const struct sr_registry_owner *b)
{
  return a->incarnation == b->incarnation && strcmp (a->instance, b->instance) == 0;
}
