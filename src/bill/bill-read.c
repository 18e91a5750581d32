#include "bill/bill.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LIST_LIMIT = 500
};

/* One batch object read from the platform. */
struct batch_
{
  int64_t version;
  json_t *lines;
};

struct reader_
{
  const struct sr_bill_filter *filter;
  sr_bill_callback callback;
  void *data;
  GHashTable *seen; /* "TEAM/REQUEST" */
  bool wants_more;
};

static enum sr_platform_status read_batches_ (struct sr_platform *platform, GArray *batches);
static enum sr_platform_status
read_batch_ (struct sr_platform *platform, const char *name, GArray *batches);
static void read_line_ (struct reader_ *reader, const json_t *line);
static int compare_versions_ (const void *left, const void *right);

/* Calls CALLBACK for each bill on the platform that FILTER (NULL: all) matches, until it returns
 * false. A request that was billed more than once, because it ran on both sides of a network
 * partition, is reported once, from the batch that was written first. */
enum sr_platform_status
sr_bills_read (struct sr_platform *platform,
               const struct sr_bill_filter *filter,
               sr_bill_callback callback,
               void *data)
{
  struct reader_ reader
      = { .filter = filter, .callback = callback, .data = data, .wants_more = true };
  GArray *batches = g_array_new (FALSE, FALSE, sizeof (struct batch_));
  enum sr_platform_status status = read_batches_ (platform, batches);

  reader.seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_array_sort (batches, compare_versions_);
  for (unsigned i = 0; i < batches->len; i++)
    {
      struct batch_ *batch = &g_array_index (batches, struct batch_, i);
      size_t index;
      json_t *line;

      json_array_foreach (batch->lines, index,
                          line) if (status == SR_PLATFORM_OK && reader.wants_more)
          read_line_ (&reader, line);
      json_decref (batch->lines);
    }
  g_hash_table_unref (reader.seen);
  g_array_unref (batches);
  return status;
}

static enum sr_platform_status
read_batches_ (struct sr_platform *platform, GArray *batches)
{
  enum sr_platform_status status = SR_PLATFORM_OK;
  GString *after = g_string_new ("");
  bool more = true;

  while (more && status == SR_PLATFORM_OK)
    {
      GPtrArray *names = g_ptr_array_new_with_free_func (g_free);

      status = sr_platform_list (platform, "bills", "", after->str, LIST_LIMIT, names, &more);
      for (unsigned i = 0; i < names->len && status == SR_PLATFORM_OK; i++)
        status = read_batch_ (platform, names->pdata[i], batches);
      if (names->len > 0)
        g_string_assign (after, names->pdata[names->len - 1]);
      else
        more = false;
      g_ptr_array_unref (names);
    }
  g_string_free (after, TRUE);
  return status;
}

static enum sr_platform_status
read_batch_ (struct sr_platform *platform, const char *name, GArray *batches)
{
  GString *body = g_string_new (NULL);
  struct batch_ batch = { 0 };
  enum sr_platform_status status = sr_platform_get (platform, "bills", name, body, &batch.version);

  if (status == SR_PLATFORM_OK)
    {
      batch.lines = json_loadb (body->str, body->len, 0, NULL);
      if (json_is_array (batch.lines))
        g_array_append_val (batches, batch);
      else
        {
          g_warning ("bills %s: the platform's object is malformed", name);
          json_decref (batch.lines);
        }
    }
  g_string_free (body, TRUE);
  return status == SR_PLATFORM_ABSENT ? SR_PLATFORM_OK : status;
}

static void
read_line_ (struct reader_ *reader, const json_t *line)
{
  const struct sr_bill_filter *filter = reader->filter;
  json_int_t numbers[4];
  struct sr_bill bill;

  if (json_unpack ((json_t *)line, "{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I}", "team", &bill.team,
                   "budget", &bill.budget, "request", &bill.request, "service", &bill.service,
                   "prompt_tokens", &numbers[0], "output_tokens", &numbers[1], "billed_tokens",
                   &numbers[2], "time_ms", &numbers[3])
      != 0)
    return;
  if (!g_hash_table_add (reader->seen, g_strdup_printf ("%s/%s", bill.team, bill.request)))
    return;
  if (filter != NULL && filter->team != NULL && strcmp (filter->team, bill.team) != 0)
    return;
  if (filter != NULL && filter->budget != NULL && strcmp (filter->budget, bill.budget) != 0)
    return;
  bill.prompt_tokens = numbers[0];
  bill.output_tokens = numbers[1];
  bill.billed_tokens = numbers[2];
  bill.time_ms = numbers[3];
  reader->wants_more = reader->callback (&bill, reader->data);
}

static int
compare_versions_ (const void *left, const void *right)
{
  int64_t a = ((const struct batch_ *)left)->version;
  int64_t b = ((const struct batch_ *)right)->version;

  return (a > b) - (a < b);
}
