#include "budget/witness.h"

struct sr_witness
{
  unsigned holders_max;
  GHashTable *acknowledgements; /* key_ () to struct acknowledgement */
};

/* What the witness knows of one holder's record. */
struct acknowledgement
{
  int64_t ceiling;
  bool sealed;
};

static char *key_ (const char *budget, const struct sr_holder_id *holder);

/* Creates a witness for at most HOLDERS_MAX holders' records. */
struct sr_witness *
sr_witness_new (unsigned holders_max)
{
  struct sr_witness *witness = g_new0 (struct sr_witness, 1);

  witness->holders_max = holders_max;
  witness->acknowledgements = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return witness;
}

/* Frees WITNESS. NULL is allowed. */
void
sr_witness_delete (struct sr_witness *witness)
{
  if (witness == NULL)
    return;
  g_hash_table_unref (witness->acknowledgements);
  g_free (witness);
}

/* Raises the ceiling of HOLDER's record of BUDGET to CEILING tokens, unless it is sealed. Returns
 * the ceiling in force, which this function never lowers, and sets SEALED when no raise is
 * acknowledged any more. A new holder at a full witness is treated as sealed with ceiling 0. */
int64_t
sr_witness_raise (struct sr_witness *witness,
                  const char *budget,
                  const struct sr_holder_id *holder,
                  int64_t ceiling,
                  bool *sealed)
{
  char *key = key_ (budget, holder);
  struct acknowledgement *acknowledgement = g_hash_table_lookup (witness->acknowledgements, key);

  *sealed = acknowledgement != NULL ? acknowledgement->sealed
                                    : sr_witness_length (witness) >= witness->holders_max;
  if (*sealed)
    {
      g_free (key);
      return acknowledgement == NULL ? 0 : acknowledgement->ceiling;
    }
  if (acknowledgement == NULL)
    {
      acknowledgement = g_new0 (struct acknowledgement, 1);
      g_hash_table_insert (witness->acknowledgements, key, acknowledgement);
    }
  else
    g_free (key);
  acknowledgement->ceiling = MAX (acknowledgement->ceiling, ceiling);
  return acknowledgement->ceiling;
}

/* Seals HOLDER's record of BUDGET: no later raise is acknowledged. Returns the ceiling, 0 when none
 * was ever requested. Idempotent. The seal is stored even when the witness is full. */
int64_t
sr_witness_seal (struct sr_witness *witness, const char *budget, const struct sr_holder_id *holder)
{
  char *key = key_ (budget, holder);
  struct acknowledgement *acknowledgement = g_hash_table_lookup (witness->acknowledgements, key);

  if (acknowledgement == NULL)
    {
      acknowledgement = g_new0 (struct acknowledgement, 1);
      g_hash_table_insert (witness->acknowledgements, g_strdup (key), acknowledgement);
    }
  acknowledgement->sealed = true;
  g_free (key);
  return acknowledgement->ceiling;
}

/* Seals HOLDER's record of BUDGET and lowers its ceiling to at most CEILING, as the holder reported
 * that it will use no more. Idempotent. */
void
sr_witness_finalize (struct sr_witness *witness,
                     const char *budget,
                     const struct sr_holder_id *holder,
                     int64_t ceiling)
{
  char *key = key_ (budget, holder);
  struct acknowledgement *acknowledgement;

  sr_witness_seal (witness, budget, holder);
  acknowledgement = g_hash_table_lookup (witness->acknowledgements, key);
  acknowledgement->ceiling = MIN (acknowledgement->ceiling, ceiling);
  g_free (key);
}

/* Forgets HOLDER's record of BUDGET, which the holder has closed. A sealed one is kept, as the
 * holder may not know of the seal yet. */
void
sr_witness_forget (struct sr_witness *witness,
                   const char *budget,
                   const struct sr_holder_id *holder)
{
  char *key = key_ (budget, holder);
  const struct acknowledgement *acknowledgement
      = g_hash_table_lookup (witness->acknowledgements, key);

  if (acknowledgement != NULL && !acknowledgement->sealed)
    g_hash_table_remove (witness->acknowledgements, key);
  g_free (key);
}

/* Returns the number of records that the witness keeps. */
unsigned
sr_witness_length (const struct sr_witness *witness)
{
  return g_hash_table_size (witness->acknowledgements);
}

static char *
key_ (const char *budget, const struct sr_holder_id *holder)
{
  return g_strdup_printf ("%s/%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, budget,
                          holder->instance, holder->incarnation, holder->generation);
}
