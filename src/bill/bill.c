#include "bill/bill.h"

#include "base/counters.h"
#include "base/log.h"
#include "base/thread.h"
#include "bill/bill_xdr.h"
#include "bill/bill-journal.h"

#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum
{
  WRITE_INTERVAL_DEFAULT_MS = 5000,
  KEEP_TIMEOUT_MS = 200,
  KEEPERS_MAX = 2, /* peers tried for a copy before the bill is written to the platform */
  US_PER_MS = 1000,
  WRITE_POLL_US = 50000,
  SECOND_COPY_WAIT_US = 3000000,    /* longest wait for a second copy */
  SECOND_COPY_STALLED_US = 1000000, /* without a second copy, until new requests are refused */
  PROCEDURE_KEEP = 1,
  XDR_UNIT_BYTES = 4
};

struct sr_bills
{
  struct sr_bills_options options;
  struct sr_bill_instance self;
  char *data_centre;
  pthread_mutex_t mutex;
  pthread_cond_t changed;
  struct sr_bill_journal *journal;
  pthread_t writer;
  bool writing; /* a batch is being written to the platform */
  /* Start of failed copying and writing; 0: the last bill was copied or written. */
  int64_t stalled_since_us;
  bool started;
  bool stopping;
};

static struct sr_counter recorded_total = { .name = "bills_total", .help = "Bills recorded." };
static struct sr_counter unwritten_bills
    = { .name = "bills_waiting", .help = "Bills that are not on the platform yet." };
static struct sr_counter adopted_total
    = { .name = "bills_adopted_total", .help = "Bills written for instances believed dead." };

static void *writer_run_ (void *data);
static bool wait_for_platform_ (struct sr_bills *bills, uint64_t number, int64_t deadline_us);
static void note_copied_ (struct sr_bills *bills);
static bool write_batch_ (struct sr_bills *bills);
static GHashTable *read_batch_lines_ (struct sr_bills *bills, const char *name);
static void copy_to_current_keeper_ (struct sr_bills *bills);
static void adopt_from_dead_ (struct sr_bills *bills);
static void notify_written_ (struct sr_bills *bills);
static bool copy_to_peer_ (struct sr_bills *bills, uint64_t number);
static bool send_copy_ (struct sr_bills *bills, const struct sr_member *member, uint64_t number);
static GPtrArray *keeper_order_ (struct sr_bills *bills, const struct sr_member_view *view);
static struct sr_member_view *view_ (struct sr_bills *bills);
static bool handle_keep_ (void *in, void *out, void *data);
static void read_name_ (char *name, const char *field);

static const struct sr_peer_procedure procedures[] = {
  { PROCEDURE_KEEP, (xdrproc_t)xdr_sr_bill_keep_msg, sizeof (sr_bill_keep_msg),
    (xdrproc_t)xdr_sr_bill_kept_msg, sizeof (sr_bill_kept_msg), handle_keep_ },
};

/* OPTIONS are copied, except for the objects they point to. The result is to be freed with
 * sr_bills_delete. */
struct sr_bills *
sr_bills_new (const struct sr_bills_options *options)
{
  struct sr_bills *bills = g_new0 (struct sr_bills, 1);

  bills->options = *options;
  if (options->write_interval_ms == 0)
    bills->options.write_interval_ms = WRITE_INTERVAL_DEFAULT_MS;
  g_strlcpy (bills->self.name, options->instance, sizeof bills->self.name);
  bills->self.incarnation = options->incarnation;
  bills->data_centre = g_strdup (options->data_centre);
  pthread_mutex_init (&bills->mutex, NULL);
  sr_cond_init (&bills->changed);
  bills->journal = sr_bill_journal_new (&bills->self);
  sr_counter_register (&recorded_total);
  sr_counter_register (&unwritten_bills);
  sr_counter_register (&adopted_total);
  return bills;
}

/* Starts the thread that writes batches to the platform. Returns false when the thread can't be
 * started. */
bool
sr_bills_start (struct sr_bills *bills)
{
  bills->started = sr_thread_start (&bills->writer, 0, writer_run_, bills);
  return bills->started;
}

/* Stops the writing thread. Bills that are not written yet remain with the peers that keep
 * copies. */
void
sr_bills_stop (struct sr_bills *bills)
{
  pthread_mutex_lock (&bills->mutex);
  bills->stopping = true;
  pthread_cond_broadcast (&bills->changed);
  pthread_mutex_unlock (&bills->mutex);
  if (bills->started)
    pthread_join (bills->writer, NULL);
  bills->started = false;
}

/* Stops and frees BILLS. NULL is allowed. */
void
sr_bills_delete (struct sr_bills *bills)
{
  if (bills == NULL)
    return;
  sr_bills_stop (bills);
  sr_bill_journal_delete (bills->journal);
  pthread_cond_destroy (&bills->changed);
  pthread_mutex_destroy (&bills->mutex);
  g_free (bills->data_centre);
  g_free (bills);
}

/* Registers the bill procedures with SERVER. Call it before SERVER is started. */
void
sr_bills_add_to_server (struct sr_bills *bills, struct sr_peer_server *server)
{
  sr_peer_server_add (server, SR_PEER_PROGRAM_BILL, procedures, G_N_ELEMENTS (procedures), bills);
}

/* Records BILL. Returns true once a second copy exists, in the memory of a peer or else on the
 * platform; false when neither was reached by the monotonic DEADLINE_US or within 3 s, or the
 * journal is full. Unless the journal is full, the bill is still written later, as its request
 * was run. */
bool
sr_bills_record (struct sr_bills *bills, const struct sr_bill *bill, int64_t deadline_us)
{
  json_t *root = json_pack ("{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I}", "team", bill->team, "budget",
                            bill->budget, "request", bill->request, "service", bill->service,
                            "prompt_tokens", (json_int_t)bill->prompt_tokens, "output_tokens",
                            (json_int_t)bill->output_tokens, "billed_tokens",
                            (json_int_t)bill->billed_tokens, "time_ms", (json_int_t)bill->time_ms);
  char *line = json_dumps (root, JSON_COMPACT);
  uint64_t number;
  bool kept;

  pthread_mutex_lock (&bills->mutex);
  number = sr_bill_journal_append (bills->journal, line);
  sr_counter_set (&unwritten_bills, sr_bill_journal_length (bills->journal));
  pthread_mutex_unlock (&bills->mutex);
  sr_counter_add (&recorded_total, 1);
  kept = number > 0 && copy_to_peer_ (bills, number);
  if (kept)
    note_copied_ (bills);
  else if (number > 0)
    kept = wait_for_platform_ (bills, number, deadline_us);
  free (line);
  json_decref (root);
  return kept;
}

/* Returns whether no bill could be copied or written for more than a second, so that the
 * response to a new request would be held back. Waiting bills are retried meanwhile. */
bool
sr_bills_are_stalled (struct sr_bills *bills, int64_t now_us)
{
  bool stalled;

  pthread_mutex_lock (&bills->mutex);
  stalled
      = bills->stalled_since_us != 0 && now_us - bills->stalled_since_us > SECOND_COPY_STALLED_US;
  pthread_mutex_unlock (&bills->mutex);
  return stalled;
}

/* Writes the remaining bills to the platform until the monotonic DEADLINE_US. Returns true when
 * every bill is on the platform or has a copy at a peer. */
bool
sr_bills_flush (struct sr_bills *bills, int64_t deadline_us)
{
  bool written = false;
  bool copied;

  while (!written && g_get_monotonic_time () < deadline_us)
    {
      write_batch_ (bills);
      pthread_mutex_lock (&bills->mutex);
      written = sr_bill_journal_length (bills->journal) == 0;
      pthread_mutex_unlock (&bills->mutex);
      if (!written)
        g_usleep (WRITE_POLL_US);
    }
  notify_written_ (bills);
  pthread_mutex_lock (&bills->mutex);
  copied = sr_bill_journal_uncopied_lines (bills->journal) == 0;
  pthread_mutex_unlock (&bills->mutex);
  return written || copied;
}

/* Waits until line NUMBER is on the platform: writes it, or waits for the thread that is
 * writing. */
static bool
wait_for_platform_ (struct sr_bills *bills, uint64_t number, int64_t deadline_us)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t end_us = MIN (deadline_us, now_us + SECOND_COPY_WAIT_US);
  bool kept = false;

  pthread_mutex_lock (&bills->mutex);
  if (bills->stalled_since_us == 0)
    bills->stalled_since_us = now_us;
  while (!kept && now_us < end_us)
    {
      bool written = false;

      if (!bills->writing)
        {
          pthread_mutex_unlock (&bills->mutex);
          written = write_batch_ (bills);
          pthread_mutex_lock (&bills->mutex);
        }
      kept = sr_bill_journal_written_up_to (bills->journal) >= number;
      if (!kept && !written)
        sr_cond_wait_until (&bills->changed, &bills->mutex, now_us + WRITE_POLL_US);
      kept = sr_bill_journal_written_up_to (bills->journal) >= number;
      now_us = g_get_monotonic_time ();
    }
  pthread_mutex_unlock (&bills->mutex);
  return kept;
}

static void
note_copied_ (struct sr_bills *bills)
{
  pthread_mutex_lock (&bills->mutex);
  bills->stalled_since_us = 0;
  pthread_mutex_unlock (&bills->mutex);
}

static void *
writer_run_ (void *data)
{
  struct sr_bills *bills = data;
  int64_t interval_us = (int64_t)bills->options.write_interval_ms * US_PER_MS;

  pthread_mutex_lock (&bills->mutex);
  while (!bills->stopping)
    {
      int64_t end_us = g_get_monotonic_time () + interval_us;

      while (!bills->stopping && sr_cond_wait_until (&bills->changed, &bills->mutex, end_us))
        continue;
      if (bills->stopping)
        break;
      pthread_mutex_unlock (&bills->mutex);
      adopt_from_dead_ (bills);
      while (write_batch_ (bills))
        continue;
      notify_written_ (bills);
      copy_to_current_keeper_ (bills);
      pthread_mutex_lock (&bills->mutex);
    }
  pthread_mutex_unlock (&bills->mutex);
  return NULL;
}

/* Writes one batch as a new object. A peer that considers the origin dead writes the same lines
 * under the same batch numbers, so the second writer finds the existing object and leaves out
 * the lines in it: no line is written twice. Returns whether there may be more to write. */
static bool
write_batch_ (struct sr_bills *bills)
{
  GString *body = g_string_new (NULL);
  struct sr_bill_batch batch = { .length = 0 };
  enum sr_platform_status status;
  GHashTable *existing = NULL;
  char *name = NULL;
  int64_t version;
  bool written = false;
  unsigned found;

  pthread_mutex_lock (&bills->mutex);
  if (!bills->writing)
    sr_bill_journal_next_batch (bills->journal, body, &batch);
  if (batch.length > 0)
    bills->writing = true;
  pthread_mutex_unlock (&bills->mutex);
  if (batch.length > 0)
    {
      name = g_strdup_printf ("%s-%" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT, batch.origin.name,
                              batch.origin.incarnation, batch.number);
      status = sr_platform_put (bills->options.platform, "bills", name, body->str, body->len, 0,
                                &version);
      if (status == SR_PLATFORM_CONFLICT)
        existing = read_batch_lines_ (bills, name);
      pthread_mutex_lock (&bills->mutex);
      bills->writing = false;
      written = status == SR_PLATFORM_OK || existing != NULL;
      if (status == SR_PLATFORM_OK)
        sr_bill_journal_batch_written (bills->journal);
      else if (existing != NULL)
        {
          found = sr_bill_journal_batch_conflict (bills->journal, existing);
          sr_log (G_LOG_LEVEL_MESSAGE, "bills",
                  "batch %s exists on the platform already and holds %u lines of this journal",
                  name, found);
        }
      if (written)
        bills->stalled_since_us = 0;
      pthread_cond_broadcast (&bills->changed);
      sr_counter_set (&unwritten_bills, sr_bill_journal_length (bills->journal));
      pthread_mutex_unlock (&bills->mutex);
    }
  if (existing != NULL)
    g_hash_table_unref (existing);
  g_free (name);
  g_string_free (body, TRUE);
  return written;
}

/* Returns the lines in the stored batch NAME (a set of char *, which the caller frees), or NULL
 * when the object can't be read now. */
static GHashTable *
read_batch_lines_ (struct sr_bills *bills, const char *name)
{
  GString *body = g_string_new (NULL);
  GHashTable *texts = NULL;
  json_t *lines = NULL;
  json_t *line;
  int64_t version;
  size_t i;

  if (sr_platform_get (bills->options.platform, "bills", name, body, &version) != SR_PLATFORM_OK)
    goto out;
  lines = json_loadb (body->str, body->len, 0, NULL);
  if (!json_is_array (lines))
    g_warning ("bills %s: the platform's object is malformed", name);
  texts = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  json_array_foreach (lines, i, line) g_hash_table_add (texts, json_dumps (line, JSON_COMPACT));

out:
  json_decref (lines);
  g_string_free (body, TRUE);
  return texts;
}

/* Copies unwritten lines to the currently preferred keeper, in place of copies that an earlier
 * keeper may have lost. */
static void
copy_to_current_keeper_ (struct sr_bills *bills)
{
  struct sr_member_view *view = view_ (bills);
  struct sr_bill_instance keeper = { 0 };
  const struct sr_member *member;
  GPtrArray *keepers;
  uint64_t after = 0;
  bool kept = true;

  if (view == NULL)
    return;
  keepers = keeper_order_ (bills, view);
  member = keepers->len == 0 ? NULL : sr_member_view_find (view, keepers->pdata[0]);
  while (member != NULL && kept)
    {
      const struct sr_bill_line *line;

      g_strlcpy (keeper.name, member->name, sizeof keeper.name);
      keeper.incarnation = member->incarnation;
      pthread_mutex_lock (&bills->mutex);
      line = sr_bill_journal_next_not_at (bills->journal, &keeper, after);
      after = line == NULL ? 0 : line->number;
      pthread_mutex_unlock (&bills->mutex);
      if (after == 0)
        break;
      kept = send_copy_ (bills, member, after);
      if (kept)
        note_copied_ (bills);
    }
  g_ptr_array_unref (keepers);
  sr_member_view_unref (view);
}

/* Adopts the bills of peers that are dead or have restarted. */
static void
adopt_from_dead_ (struct sr_bills *bills)
{
  struct sr_member_view *view = view_ (bills);
  GPtrArray *owners;

  if (view == NULL)
    return;
  pthread_mutex_lock (&bills->mutex);
  owners = sr_bill_journal_copy_owners (bills->journal);
  for (unsigned i = 0; i < owners->len; i++)
    {
      const struct sr_bill_instance *owner = owners->pdata[i];
      const struct sr_member *member = sr_member_view_find (view, owner->name);

      if (member != NULL && member->state != SR_MEMBER_DEAD
          && member->incarnation <= owner->incarnation)
        continue;
      sr_log (G_LOG_LEVEL_MESSAGE, "bills",
              "writing the bills kept for %s, which is dead or has restarted", owner->name);
      sr_counter_add (&adopted_total, sr_bill_journal_adopt (bills->journal, owner));
    }
  pthread_mutex_unlock (&bills->mutex);
  g_ptr_array_unref (owners);
  sr_member_view_unref (view);
}

/* Notifies keepers which lines are written, so that they drop their copies. A keeper that can't
 * be reached is notified after later writes. */
static void
notify_written_ (struct sr_bills *bills)
{
  struct sr_member_view *view = view_ (bills);
  GPtrArray *pending;

  if (view == NULL)
    return;
  pthread_mutex_lock (&bills->mutex);
  pending = sr_bill_journal_keepers_to_notify (bills->journal);
  pthread_mutex_unlock (&bills->mutex);
  for (unsigned i = 0; i < pending->len; i++)
    {
      const struct sr_member *member = sr_member_view_find (view, pending->pdata[i]);

      if (member != NULL && member->state != SR_MEMBER_DEAD)
        send_copy_ (bills, member, 0);
    }
  g_ptr_array_unref (pending);
  sr_member_view_unref (view);
}

static bool
copy_to_peer_ (struct sr_bills *bills, uint64_t number)
{
  struct sr_member_view *view = view_ (bills);
  GPtrArray *keepers;
  bool kept = false;

  if (view == NULL)
    return false;
  keepers = keeper_order_ (bills, view);
  for (unsigned i = 0; i < keepers->len && i < KEEPERS_MAX && !kept; i++)
    kept = send_copy_ (bills, sr_member_view_find (view, keepers->pdata[i]), number);
  g_ptr_array_unref (keepers);
  sr_member_view_unref (view);
  return kept;
}

/* Sends MEMBER a copy of line NUMBER (0: none), and the number up to which lines are written.
 * Returns whether MEMBER stored it, or it has been written meanwhile. */
static bool
send_copy_ (struct sr_bills *bills, const struct sr_member *member, uint64_t number)
{
  sr_bill_keep_msg request = { .incarnation = bills->self.incarnation, .number = number };
  sr_bill_kept_msg reply = { 0 };
  struct sr_bill_instance keeper = { 0 };
  const struct sr_bill_line *line = NULL;
  char *padded = NULL;
  bool kept = false;
  size_t length = 0;

  pthread_mutex_lock (&bills->mutex);
  request.written_up_to = sr_bill_journal_written_up_to (bills->journal);
  if (number > 0)
    line = sr_bill_journal_find (bills->journal, number);
  if (line != NULL)
    {
      length = strlen (line->text);
      length = (length + XDR_UNIT_BYTES - 1) / XDR_UNIT_BYTES * XDR_UNIT_BYTES;
      padded = g_strdup_printf ("%-*s", (int)length, line->text);
      g_strlcpy (request.origin, line->origin.name, sizeof request.origin);
      request.origin_incarnation = line->origin.incarnation;
      request.first_batch = line->first_batch;
      if (length <= SR_BILL_LINE_BYTES)
        sr_bill_journal_note_sent (bills->journal, member->name, number);
    }
  pthread_mutex_unlock (&bills->mutex);
  if (number > 0 && line == NULL)
    return true;
  if (length > SR_BILL_LINE_BYTES)
    goto out;
  request.line.line_val = padded;
  request.line.line_len = (u_int)length;
  g_strlcpy (request.owner, bills->self.name, sizeof request.owner);
  if (sr_peer_call (bills->options.peers, &member->peer, SR_PEER_PROGRAM_BILL, PROCEDURE_KEEP,
                    (xdrproc_t)xdr_sr_bill_keep_msg, &request, (xdrproc_t)xdr_sr_bill_kept_msg,
                    &reply, KEEP_TIMEOUT_MS)
          != SR_PEER_OK
      || !reply.kept)
    goto out;
  g_strlcpy (keeper.name, member->name, sizeof keeper.name);
  keeper.incarnation = reply.incarnation;
  pthread_mutex_lock (&bills->mutex);
  if (number > 0)
    sr_bill_journal_set_keeper (bills->journal, number, &keeper);
  sr_bill_journal_note_notified (bills->journal, member->name, request.written_up_to);
  pthread_mutex_unlock (&bills->mutex);
  kept = true;

out:
  g_free (padded);
  return kept;
}

/* Returns the names of the alive peers in the order in which they are tried as keepers, those of
 * this instance's data centre first. */
static GPtrArray *
keeper_order_ (struct sr_bills *bills, const struct sr_member_view *view)
{
  GPtrArray *order = sr_member_view_order (view, bills->self.name, bills->data_centre);
  GPtrArray *all = sr_member_view_order (view, bills->self.name, NULL);

  for (unsigned i = 0; i < all->len; i++)
    if (!g_ptr_array_find_with_equal_func (order, all->pdata[i], g_str_equal, NULL))
      g_ptr_array_add (order, all->pdata[i]);
  for (unsigned i = order->len; i > 0; i--)
    if (strcmp (order->pdata[i - 1], bills->self.name) == 0)
      g_ptr_array_remove_index (order, i - 1);
  g_ptr_array_unref (all);
  return order;
}

static struct sr_member_view *
view_ (struct sr_bills *bills)
{
  if (bills->options.peers == NULL)
    return NULL;
  if (bills->options.get_view != NULL)
    return bills->options.get_view (bills->options.get_view_data);
  return bills->options.members == NULL ? NULL : sr_members_view (bills->options.members);
}

static bool
handle_keep_ (void *in, void *out, void *data)
{
  const sr_bill_keep_msg *request = in;
  sr_bill_kept_msg *reply = out;
  struct sr_bills *bills = data;
  struct sr_bill_instance owner = { .incarnation = request->incarnation };
  struct sr_bill_line line = { .number = request->number,
                               .origin.incarnation = request->origin_incarnation,
                               .first_batch = request->first_batch };

  read_name_ (owner.name, request->owner);
  read_name_ (line.origin.name, request->origin);
  if (request->line.line_len > 0)
    line.text = g_strchomp (g_strndup (request->line.line_val, request->line.line_len));
  pthread_mutex_lock (&bills->mutex);
  reply->kept
      = !bills->stopping
        && sr_bill_journal_store_copy (bills->journal, &owner, line.text == NULL ? NULL : &line,
                                       request->written_up_to);
  pthread_mutex_unlock (&bills->mutex);
  g_free (line.text);
  reply->incarnation = bills->self.incarnation;
  return true;
}

/* The name on the wire fills its field and may lack a terminating NUL. */
static void
read_name_ (char *name, const char *field)
{
  memcpy (name, field, SR_BILL_NAME_MAX_BYTES);
  name[SR_BILL_NAME_MAX_BYTES - 1] = '\0';
}
