#include "emulator/engine/ledger.h"

#include <glib.h>
#include <string.h>

struct entry_
{
  int64_t runs;
  int64_t tokens;
};

struct ledger
{
  int64_t tokens;
  GHashTable *budgets;  /* name -> struct entry_ */
  GHashTable *requests; /* TEAM/ID -> struct entry_ */
};

static struct entry_ *get_entry_ (GHashTable *table, const char *key);

/* Creates an empty ledger. It is not thread-safe: the caller locks around every call. */
struct ledger *
ledger_new (void)
{
  struct ledger *ledger = g_new0 (struct ledger, 1);

  ledger->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  ledger->requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return ledger;
}

/* Returns TEAM/ID of TEAM/ID/ATTEMPT, or a copy of a REQUEST without attempt; the caller frees it.
 */
char *
ledger_key (const char *request)
{
  const char *last = strrchr (request, '/');

  if (last == NULL || last == strchr (request, '/'))
    return g_strdup (request);
  return g_strndup (request, (gsize)(last - request));
}

void
ledger_add_run (struct ledger *ledger, const char *key)
{
  get_entry_ (ledger->requests, key)->runs++;
}

void
ledger_add_tokens (struct ledger *ledger, const char *budget, const char *key, int64_t tokens)
{
  ledger->tokens += tokens;
  get_entry_ (ledger->budgets, budget)->tokens += tokens;
  get_entry_ (ledger->requests, key)->tokens += tokens;
}

/* Returns {"tokens","budgets","requests"}; the caller owns it. */
json_t *
ledger_to_json (struct ledger *ledger)
{
  json_t *budgets = json_object ();
  json_t *requests = json_object ();
  GHashTableIter iter;
  gpointer key, value;

  g_hash_table_iter_init (&iter, ledger->budgets);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (budgets, key, json_integer (((struct entry_ *)value)->tokens));
  g_hash_table_iter_init (&iter, ledger->requests);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct entry_ *entry = value;

      json_object_set_new (requests, key,
                           json_pack ("{s:I,s:I}", "runs", (json_int_t)entry->runs, "tokens",
                                      (json_int_t)entry->tokens));
    }
  return json_pack ("{s:I,s:o,s:o}", "tokens", (json_int_t)ledger->tokens, "budgets", budgets,
                    "requests", requests);
}

static struct entry_ *
get_entry_ (GHashTable *table, const char *key)
{
  struct entry_ *entry = g_hash_table_lookup (table, key);

  if (entry == NULL)
    {
      entry = g_new0 (struct entry_, 1);
      g_hash_table_insert (table, g_strdup (key), entry);
    }
  return entry;
}
