#include "member/gossip-table.h"

#include <string.h>

struct sr_gossip_table
{
  GPtrArray *records; /* sorted by name; owns the records */
  GHashTable *by_name;
};

struct sr_gossip_table *
sr_gossip_table_new (void)
{
  struct sr_gossip_table *table = g_new0 (struct sr_gossip_table, 1);

  table->records = g_ptr_array_new_with_free_func (g_free);
  table->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return table;
}

void
sr_gossip_table_delete (struct sr_gossip_table *table)
{
  g_hash_table_unref (table->by_name);
  g_ptr_array_unref (table->records);
  g_free (table);
}

/* Adds a record that is zeroed but for NAME, which must not be in the table and must be shorter
 * than SR_MEMBER_NAME_MAX_BYTES. The pointer stays valid until the record is removed. */
struct sr_gossip_record *
sr_gossip_table_insert (struct sr_gossip_table *table, const char *name)
{
  struct sr_gossip_record *record = g_new0 (struct sr_gossip_record, 1);
  size_t index = sr_gossip_table_index_after (table, name);

  g_assert (sr_gossip_table_find (table, name) == NULL);
  g_strlcpy (record->member.name, name, sizeof record->member.name);
  g_ptr_array_insert (table->records, (int)index, record);
  g_hash_table_insert (table->by_name, record->member.name, record);
  return record;
}

/* Removes and frees the record at INDEX. */
void
sr_gossip_table_remove_at (struct sr_gossip_table *table, size_t index)
{
  struct sr_gossip_record *record = sr_gossip_table_at (table, index);

  g_hash_table_remove (table->by_name, record->member.name);
  g_ptr_array_remove_index (table->records, (guint)index);
}

struct sr_gossip_record *
sr_gossip_table_find (const struct sr_gossip_table *table, const char *name)
{
  return g_hash_table_lookup (table->by_name, name);
}

/* Returns the first record with ADDRESS that is not dead, or NULL. */
struct sr_gossip_record *
sr_gossip_table_find_address (const struct sr_gossip_table *table,
                              const struct sr_peer_address *address)
{
  for (size_t i = 0; i < sr_gossip_table_length (table); i++)
    {
      struct sr_gossip_record *record = sr_gossip_table_at (table, i);

      if (record->member.state != SR_MEMBER_DEAD && record->member.peer.port == address->port
          && strcmp (record->member.peer.ip, address->ip) == 0)
        return record;
    }
  return NULL;
}

size_t
sr_gossip_table_length (const struct sr_gossip_table *table)
{
  return table->records->len;
}

/* Records are indexed in the order of names. */
struct sr_gossip_record *
sr_gossip_table_at (const struct sr_gossip_table *table, size_t index)
{
  g_assert (index < table->records->len);
  return table->records->pdata[index];
}

/* Returns the index of the first record whose name sorts after NAME, or the table's length. */
size_t
sr_gossip_table_index_after (const struct sr_gossip_table *table, const char *name)
{
  size_t low = 0;
  size_t high = table->records->len;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (strcmp (sr_gossip_table_at (table, middle)->member.name, name) <= 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}
