#include "bill/bill.h"

#include "base/counters.h"
#include "base/log.h"
#include "base/thread.h"
#include "bill/bill_xdr.h"
#include "bill/book.h"

#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

enum
{
  WRITE_INTERVAL_DEFAULT_MS = 5000,
  KEEP_TIMEOUT_MS = 200,
  KEEPERS_MAX = 2, /* peers tried for a copy before the platform is */
  US_PER_MS = 1000,
  HAND_OVER_POLL_US = 50000,
  SECOND_PLACE_WAIT_US = 3000000,  /* longest wait for a second place */
  SECOND_PLACE_STUCK_US = 1000000, /* after it, new requests are not worth starting */
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
  struct sr_book *book;
  pthread_t writer;
  bool writing;           /* a batch is on its way to the platform */
  int64_t stuck_since_us; /* no second place has taken a bill since; 0: the last one was taken */
  bool started;
  bool stopping;
};

static struct sr_counter recorded_total = { .name = "bills_total", .help = "Bills recorded." };
static struct sr_counter waiting_bills
    = { .name = "bills_waiting", .help = "Bills that are not on the platform yet." };
static struct sr_counter adopted_total
    = { .name = "bills_adopted_total", .help = "Bills written for instances believed dead." };

static void *writer_run_ (void *data);
static bool wait_for_platform_ (struct sr_bills *bills, uint64_t number, int64_t deadline_us);
static void note_taken_ (struct sr_bills *bills);
static bool write_batch_ (struct sr_bills *bills);
static GHashTable *read_taken_ (struct sr_bills *bills, const char *name);
static void copy_again_ (struct sr_bills *bills);
static void adopt_ (struct sr_bills *bills);
static void tell_written_ (struct sr_bills *bills);
static bool copy_to_a_peer_ (struct sr_bills *bills, uint64_t number);
static bool keep_at_ (struct sr_bills *bills, const struct sr_member *member, uint64_t number);
static GPtrArray *keepers_ (struct sr_bills *bills, const struct sr_member_view *view);
static struct sr_member_view *view_ (struct sr_bills *bills);
static bool handle_keep_ (void *in, void *out, void *data);
static void read_name_ (char *name, const char *field);

static const struct sr_peer_procedure procedures[] = {
  { PROCEDURE_KEEP, (xdrproc_t)xdr_sr_bill_keep_msg, sizeof (sr_bill_keep_msg),
    (xdrproc_t)xdr_sr_bill_kept_msg, sizeof (sr_bill_kept_msg), handle_keep_ },
};

/* Creates the bills of one instance, to be freed with sr_bills_delete. */
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
  bills->book = sr_book_new (&bills->self);
  sr_counter_register (&recorded_total);
  sr_counter_register (&waiting_bills);
  sr_counter_register (&adopted_total);
  return bills;
}

/* Starts the thread that writes batches to the platform. Returns false when there is none. */
bool
sr_bills_start (struct sr_bills *bills)
{
  bills->started = sr_thread_start (&bills->writer, 0, writer_run_, bills);
  return bills->started;
}

/* Ends that thread. Bills not yet written stay with the peers that keep copies. */
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
  sr_book_delete (bills->book);
  pthread_cond_destroy (&bills->changed);
  pthread_mutex_destroy (&bills->mutex);
  g_free (bills->data_centre);
  g_free (bills);
}

/* Adds the messages of this slice to SERVER, before it is started. */
void
sr_bills_add_to_server (struct sr_bills *bills, struct sr_peer_server *server)
{
  sr_peer_server_add (server, SR_PEER_PROGRAM_BILL, procedures, G_N_ELEMENTS (procedures), bills);
}

/* Records BILL. Returns true once a second place has it: a peer's memory, else the platform; false
 * when neither had it by the monotonic DEADLINE_US or within 3 s, or this instance has no room. The
 * bill is written even then, as soon as that can be done: its request was run. */
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
  number = sr_book_add (bills->book, line);
  sr_counter_set (&waiting_bills, sr_book_length (bills->book));
  pthread_mutex_unlock (&bills->mutex);
  sr_counter_add (&recorded_total, 1);
  kept = number > 0 && copy_to_a_peer_ (bills, number);
  if (kept)
    note_taken_ (bills);
  else if (number > 0)
    kept = wait_for_platform_ (bills, number, deadline_us);
  free (line);
  json_decref (root);
  return kept;
}

/* Tells whether no second place has taken a bill for some time, so that the answer of a new request
 * could not leave. Bills that wait are tried again all the while. */
bool
sr_bills_is_stuck (struct sr_bills *bills, int64_t now_us)
{
  bool stuck;

  pthread_mutex_lock (&bills->mutex);
  stuck = bills->stuck_since_us != 0 && now_us - bills->stuck_since_us > SECOND_PLACE_STUCK_US;
  pthread_mutex_unlock (&bills->mutex);
  return stuck;
}

/* Writes what is left to the platform, at most until the monotonic DEADLINE_US. Returns true when
 * every bill is there or in a peer's memory. */
bool
sr_bills_hand_over (struct sr_bills *bills, int64_t deadline_us)
{
  bool written = false;
  bool copied;

  while (!written && g_get_monotonic_time () < deadline_us)
    {
      write_batch_ (bills);
      pthread_mutex_lock (&bills->mutex);
      written = sr_book_length (bills->book) == 0;
      pthread_mutex_unlock (&bills->mutex);
      if (!written)
        g_usleep (HAND_OVER_POLL_US);
    }
  tell_written_ (bills);
  pthread_mutex_lock (&bills->mutex);
  copied = sr_book_without_copy (bills->book) == 0;
  pthread_mutex_unlock (&bills->mutex);
  return written || copied;
}

/* Waits until the own line NUMBER is on the platform: writes it, or waits for the thread that does.
 */
static bool
wait_for_platform_ (struct sr_bills *bills, uint64_t number, int64_t deadline_us)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t end_us = MIN (deadline_us, now_us + SECOND_PLACE_WAIT_US);
  bool kept = false;

  pthread_mutex_lock (&bills->mutex);
  if (bills->stuck_since_us == 0)
    bills->stuck_since_us = now_us;
  while (!kept && now_us < end_us)
    {
      bool written = false;

      if (!bills->writing)
        {
          pthread_mutex_unlock (&bills->mutex);
          written = write_batch_ (bills);
          pthread_mutex_lock (&bills->mutex);
        }
      kept = sr_book_written_up_to (bills->book) >= number;
      if (!kept && !written)
        sr_cond_wait_until (&bills->changed, &bills->mutex, now_us + HAND_OVER_POLL_US);
      kept = sr_book_written_up_to (bills->book) >= number;
      now_us = g_get_monotonic_time ();
    }
  pthread_mutex_unlock (&bills->mutex);
  return kept;
}

static void
note_taken_ (struct sr_bills *bills)
{
  pthread_mutex_lock (&bills->mutex);
  bills->stuck_since_us = 0;
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
      adopt_ (bills);
      while (write_batch_ (bills))
        continue;
      tell_written_ (bills);
      copy_again_ (bills);
      pthread_mutex_lock (&bills->mutex);
    }
  pthread_mutex_unlock (&bills->mutex);
  return NULL;
}

/* Writes one batch as an object of its own, created once. Who takes the origin of its lines for
 * dead writes them under the same numbers, so that whoever comes second finds the object and leaves
 * out what stands in it: no line is written twice. Returns whether there may be more to write. */
static bool
write_batch_ (struct sr_bills *bills)
{
  GString *body = g_string_new (NULL);
  struct sr_bill_batch batch = { .length = 0 };
  enum sr_platform_status status;
  GHashTable *taken = NULL;
  char *name = NULL;
  int64_t version;
  bool written = false;
  unsigned found;

  pthread_mutex_lock (&bills->mutex);
  if (!bills->writing)
    sr_book_batch (bills->book, body, &batch);
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
        taken = read_taken_ (bills, name);
      pthread_mutex_lock (&bills->mutex);
      bills->writing = false;
      written = status == SR_PLATFORM_OK || taken != NULL;
      if (status == SR_PLATFORM_OK)
        sr_book_batch_written (bills->book);
      else if (taken != NULL)
        {
          found = sr_book_batch_taken (bills->book, taken);
          sr_log (G_LOG_LEVEL_MESSAGE, "bills", "%s was there already, with %u lines kept here",
                  name, found);
        }
      if (written)
        bills->stuck_since_us = 0;
      pthread_cond_broadcast (&bills->changed);
      sr_counter_set (&waiting_bills, sr_book_length (bills->book));
      pthread_mutex_unlock (&bills->mutex);
    }
  if (taken != NULL)
    g_hash_table_unref (taken);
  g_free (name);
  g_string_free (body, TRUE);
  return written;
}

/* Returns the lines of the batch NAME as they were written (char *, a set that the caller frees),
 * or NULL when it can't be read now. */
static GHashTable *
read_taken_ (struct sr_bills *bills, const char *name)
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

/* Copies to another peer what the first keeper lost, as long as the platform does not have it. */
static void
copy_again_ (struct sr_bills *bills)
{
  struct sr_member_view *view = view_ (bills);
  struct sr_bill_instance keeper = { 0 };
  const struct sr_member *member;
  GPtrArray *keepers;
  uint64_t after = 0;
  bool kept = true;

  if (view == NULL)
    return;
  keepers = keepers_ (bills, view);
  member = keepers->len == 0 ? NULL : sr_member_view_find (view, keepers->pdata[0]);
  while (member != NULL && kept)
    {
      const struct sr_bill_line *line;

      g_strlcpy (keeper.name, member->name, sizeof keeper.name);
      keeper.incarnation = member->incarnation;
      pthread_mutex_lock (&bills->mutex);
      line = sr_book_next_without (bills->book, &keeper, after);
      after = line == NULL ? 0 : line->number;
      pthread_mutex_unlock (&bills->mutex);
      if (after == 0)
        break;
      kept = keep_at_ (bills, member, after);
      if (kept)
        note_taken_ (bills);
    }
  g_ptr_array_unref (keepers);
  sr_member_view_unref (view);
}

/* Takes over the bills of instances that are believed dead. */
static void
adopt_ (struct sr_bills *bills)
{
  struct sr_member_view *view = view_ (bills);
  GPtrArray *owners;

  if (view == NULL)
    return;
  pthread_mutex_lock (&bills->mutex);
  owners = sr_book_owners (bills->book);
  for (unsigned i = 0; i < owners->len; i++)
    {
      const struct sr_bill_instance *owner = owners->pdata[i];
      const struct sr_member *member = sr_member_view_find (view, owner->name);

      if (member != NULL && member->state != SR_MEMBER_DEAD
          && member->incarnation <= owner->incarnation)
        continue;
      sr_log (G_LOG_LEVEL_MESSAGE, "bills", "writing the bills of %s", owner->name);
      sr_counter_add (&adopted_total, sr_book_adopt (bills->book, owner));
    }
  pthread_mutex_unlock (&bills->mutex);
  g_ptr_array_unref (owners);
  sr_member_view_unref (view);
}

/* Lets the peers that keep copies forget what the platform has. Who can't be told now is told when
 * more has been written. */
static void
tell_written_ (struct sr_bills *bills)
{
  struct sr_member_view *view = view_ (bills);
  GPtrArray *owed;

  if (view == NULL)
    return;
  pthread_mutex_lock (&bills->mutex);
  owed = sr_book_owed (bills->book);
  pthread_mutex_unlock (&bills->mutex);
  for (unsigned i = 0; i < owed->len; i++)
    {
      const struct sr_member *member = sr_member_view_find (view, owed->pdata[i]);

      if (member != NULL && member->state != SR_MEMBER_DEAD)
        keep_at_ (bills, member, 0);
    }
  g_ptr_array_unref (owed);
  sr_member_view_unref (view);
}

static bool
copy_to_a_peer_ (struct sr_bills *bills, uint64_t number)
{
  struct sr_member_view *view = view_ (bills);
  GPtrArray *keepers;
  bool kept = false;

  if (view == NULL)
    return false;
  keepers = keepers_ (bills, view);
  for (unsigned i = 0; i < keepers->len && i < KEEPERS_MAX && !kept; i++)
    kept = keep_at_ (bills, sr_member_view_find (view, keepers->pdata[i]), number);
  g_ptr_array_unref (keepers);
  sr_member_view_unref (view);
  return kept;
}

/* Sends the own line NUMBER (0: none) to MEMBER to be kept, and up to where lines are written.
 * Returns whether MEMBER has it, or it is written meanwhile. */
static bool
keep_at_ (struct sr_bills *bills, const struct sr_member *member, uint64_t number)
{
  sr_bill_keep_msg request = { .incarnation = bills->self.incarnation, .number = number };
  sr_bill_kept_msg reply = { 0 };
  struct sr_bill_instance keeper = { 0 };
  const struct sr_bill_line *line = NULL;
  char *padded = NULL;
  bool kept = false;
  size_t length = 0;

  pthread_mutex_lock (&bills->mutex);
  request.written_up_to = sr_book_written_up_to (bills->book);
  if (number > 0)
    line = sr_book_find (bills->book, number);
  if (line != NULL)
    {
      length = strlen (line->text);
      length = (length + XDR_UNIT_BYTES - 1) / XDR_UNIT_BYTES * XDR_UNIT_BYTES;
      padded = g_strdup_printf ("%-*s", (int)length, line->text);
      g_strlcpy (request.origin, line->origin.name, sizeof request.origin);
      request.origin_incarnation = line->origin.incarnation;
      request.first_batch = line->first_batch;
      if (length <= SR_BILL_LINE_BYTES)
        sr_book_owe (bills->book, member->name, number);
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
    sr_book_set_keeper (bills->book, number, &keeper);
  sr_book_told (bills->book, member->name, request.written_up_to);
  pthread_mutex_unlock (&bills->mutex);
  kept = true;

out:
  g_free (padded);
  return kept;
}

/* Returns the names of the alive peers in the order in which they are asked to keep copies: those
 * of the own data centre first. */
static GPtrArray *
keepers_ (struct sr_bills *bills, const struct sr_member_view *view)
{
  GPtrArray *near = sr_member_view_order (view, bills->self.name, bills->data_centre);
  GPtrArray *all = sr_member_view_order (view, bills->self.name, NULL);

  for (unsigned i = 0; i < all->len; i++)
    if (!g_ptr_array_find_with_equal_func (near, all->pdata[i], g_str_equal, NULL))
      g_ptr_array_add (near, all->pdata[i]);
  for (unsigned i = near->len; i > 0; i--)
    if (strcmp (near->pdata[i - 1], bills->self.name) == 0)
      g_ptr_array_remove_index (near, i - 1);
  g_ptr_array_unref (all);
  return near;
}

static struct sr_member_view *
view_ (struct sr_bills *bills)
{
  if (bills->options.peers == NULL)
    return NULL;
  if (bills->options.view != NULL)
    return bills->options.view (bills->options.view_data);
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
  reply->kept = !bills->stopping
                && sr_book_keep (bills->book, &owner, line.text == NULL ? NULL : &line,
                                 request->written_up_to);
  pthread_mutex_unlock (&bills->mutex);
  g_free (line.text);
  reply->incarnation = bills->self.incarnation;
  return true;
}

/* The name on the wire fills its field and need not end in a NUL. */
static void
read_name_ (char *name, const char *field)
{
  memcpy (name, field, SR_BILL_NAME_MAX_BYTES);
  name[SR_BILL_NAME_MAX_BYTES - 1] = '\0';
}
