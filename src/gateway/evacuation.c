#include "gateway/evacuation.h"

#include <glib.h>

struct evacuation
{
  struct evacuation_options options;
  GHashTable *entries; /* data centre: struct entry_ */
  bool is_known;
  bool is_listing;
  int64_t hold_until_us; /* entries missing in a list stay until then; 0: no restore yet */
};

/* An evacuated data centre. */
struct entry_
{
  char *data_centre; /* the key of the table */
  int64_t since_us;  /* when this instance learned of the evacuation */
  bool is_missing;   /* in the current or last list */
};

static void entry_free_ (void *data);
static void remove_missing_ (struct evacuation *evacuation);

/* Creates a set that is not known yet. OPTIONS are copied. */
struct evacuation *
evacuation_new (const struct evacuation_options *options)
{
  struct evacuation *evacuation = g_new0 (struct evacuation, 1);

  evacuation->options = *options;
  evacuation->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free_);
  return evacuation;
}

void
evacuation_delete (struct evacuation *evacuation)
{
  g_hash_table_unref (evacuation->entries);
  g_free (evacuation);
}

/* Begins a full list: call evacuation_put for each of its data centres, then
 * evacuation_end_list. */
void
evacuation_begin_list (struct evacuation *evacuation)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, evacuation->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct entry_ *)value)->is_missing = true;
  evacuation->is_listing = true;
}

/* Ends a full list. Data centres that it did not have are no longer evacuated; shortly after a
 * restore of the store they stay so until evacuation_end_hold. */
void
evacuation_end_list (struct evacuation *evacuation, int64_t now_us)
{
  g_assert (evacuation->is_listing);
  evacuation->is_listing = false;
  evacuation->is_known = true;
  if (now_us >= evacuation->hold_until_us)
    remove_missing_ (evacuation);
}

/* The store has an object that requests the evacuation of DATA_CENTRE. */
void
evacuation_put (struct evacuation *evacuation, const char *data_centre, int64_t now_us)
{
  struct entry_ *entry = g_hash_table_lookup (evacuation->entries, data_centre);

  if (entry != NULL)
    {
      entry->is_missing = false;
      return;
    }
  entry = g_new0 (struct entry_, 1);
  entry->data_centre = g_strdup (data_centre);
  entry->since_us = now_us;
  g_hash_table_insert (evacuation->entries, entry->data_centre, entry);
  evacuation->options.changed (entry->data_centre, true, evacuation->options.data);
}

/* The object for DATA_CENTRE was removed: the evacuation has ended. */
void
evacuation_remove (struct evacuation *evacuation, const char *data_centre)
{
  if (g_hash_table_remove (evacuation->entries, data_centre))
    evacuation->options.changed (data_centre, false, evacuation->options.data);
}

/* The store was restored from an older copy, which may lack evacuations that were requested since.
 * Nobody has withdrawn these, so they stay in force for the time in which they are requested
 * again. */
void
evacuation_note_restore (struct evacuation *evacuation, int64_t now_us)
{
  evacuation->hold_until_us = now_us + evacuation->options.hold_us;
}

/* Ends the evacuations that are missing since the last restore, if the time for them to be
 * requested again is over; else does nothing. */
void
evacuation_end_hold (struct evacuation *evacuation, int64_t now_us)
{
  if (now_us >= evacuation->hold_until_us && !evacuation->is_listing)
    remove_missing_ (evacuation);
}

/* Returns whether a list has been received. */
bool
evacuation_is_known (const struct evacuation *evacuation)
{
  return evacuation->is_known;
}

/* Returns whether backend servers in DATA_CENTRE must get no new request. EVACUATION is NULL where
 * evacuations are not followed. */
bool
evacuation_excludes (const struct evacuation *evacuation, const char *data_centre)
{
  return evacuation != NULL
         && (!evacuation->is_known || g_hash_table_contains (evacuation->entries, data_centre));
}

/* Returns the number of evacuated data centres. */
unsigned
evacuation_count (const struct evacuation *evacuation)
{
  return g_hash_table_size (evacuation->entries);
}

/* Returns when the latest of the evacuations in force began; 0: none is in force. */
int64_t
evacuation_latest_us (const struct evacuation *evacuation)
{
  int64_t latest_us = 0;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, evacuation->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    latest_us = MAX (latest_us, ((struct entry_ *)value)->since_us);
  return latest_us;
}

static void
entry_free_ (void *data)
{
  struct entry_ *entry = data;

  g_free (entry->data_centre);
  g_free (entry);
}

/* Ends the evacuations that the last list did not have. The table is complete again when the user
 * is told, as the user may ask what is excluded. */
static void
remove_missing_ (struct evacuation *evacuation)
{
  g_autoptr (GPtrArray) ended = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, evacuation->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct entry_ *)value)->is_missing)
      {
        g_ptr_array_add (ended, g_strdup (((struct entry_ *)value)->data_centre));
        g_hash_table_iter_remove (&iter);
      }
  for (unsigned i = 0; i < ended->len; i++)
    evacuation->options.changed (ended->pdata[i], false, evacuation->options.data);
}
