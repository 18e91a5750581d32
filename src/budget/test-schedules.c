/* Simulates the records, ledgers and witnesses of one budget with random schedules of faults:
 * writes that take effect late, lost responses, messages lost, repeated and reordered, crashes,
 * live instances assumed dead, top-ups and corrections. After each step, no more tokens may have
 * been consumed than were paid in, and no holder may have spent more of a grant than the record
 * allows. */
#include "budget/ledger.h"
#include "budget/witness.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

enum mode
{
  MODE_PLAIN,
  MODE_WITNESSED,
  MODE_LIMITED
};

enum
{
  US_PER_MS = 1000,
  INSTANCES = 5,
  STEPS = 400,
  RUNS = 600,
  STEP_US = 50000,
  WITNESS_MAX = 1000,
  RESERVATIONS_MAX = 8
};

enum message_kind
{
  MESSAGE_RAISE,
  MESSAGE_RAISED,
  MESSAGE_FINALIZE,
  MESSAGE_SEAL,
  MESSAGE_SEALED,
  MESSAGE_BORROW,
  MESSAGE_BORROWED,
  MESSAGE_WRITE,
  MESSAGE_WRITTEN,
  MESSAGE_KINDS
};

struct message
{
  enum message_kind kind;
  unsigned from;
  unsigned to;
  uint64_t to_incarnation;
  struct sr_holder_id id;
  int64_t ceiling;
  bool sealed;
  uint64_t incarnation; /* BORROW: of the borrower */
  int64_t returned;
  int64_t need;
  struct sr_loan_reply loan;
  struct sr_record *record; /* WRITE: applied if the version is still the one below */
  int64_t version;
  uint64_t operation;
};

struct node
{
  char name[8];
  uint64_t incarnation;
  int64_t started_us;   /* simulated time; earlier incarnations had ended by then */
  int64_t clock_lag_us; /* lag of its monotonic clock, which stops while it is suspended */
  struct sr_ledger *ledger;
  struct sr_witness *witness;
  GArray *reservations[RESERVATIONS_MAX];
  int64_t sizes[RESERVATIONS_MAX];
  uint64_t operation;           /* the one update in progress, 0 for none */
  struct sr_record *reclaiming; /* read to reclaim a holder, until its witness has responded */
  int64_t reclaiming_version;
  struct sr_holder_id reclaimed;
};

/* The tokens that an ended process had used, reserved and lent of a record. */
struct ended
{
  struct sr_holder_id id;
  int64_t committed;
  int64_t end_ms;
};

struct simulation
{
  GRand *random;
  GArray *ended; /* struct ended */
  struct node nodes[INSTANCES];
  GPtrArray *messages;
  struct sr_record *record;
  int64_t version;
  int64_t paid;     /* highest prepaid sum so far */
  int64_t consumed; /* tokens used or reserved, also by crashed incarnations */
  int64_t now_us;
  uint64_t operations;
  unsigned top_ups;
  bool witnessed;
  bool limited; /* holders set spend limits, by which dead ones are written off */
  bool corrections;
};

static int
pick_ (struct simulation *simulation, int count)
{
  return g_rand_int_range (simulation->random, 0, count);
}

static int64_t
monotonic_us_ (const struct simulation *simulation, const struct node *node)
{
  return simulation->now_us - node->clock_lag_us;
}

static void
node_start_ (struct node *node, unsigned index, int64_t now_us)
{
  struct sr_ledger_options options = {
    .data_centre = "kikuyu", .cover_us = 2000000, .ceiling_cover_us = 500000, .idle_us = 300000
  };

  g_snprintf (node->name, sizeof node->name, "n%u", index);
  node->incarnation++;
  node->started_us = now_us;
  node->clock_lag_us = 0;
  options.instance = node->name;
  options.incarnation = node->incarnation;
  node->ledger = sr_ledger_new (&options);
  node->witness = sr_witness_new (WITNESS_MAX);
  node->operation = 0;
}

static void
node_stop_ (struct node *node)
{
  for (unsigned i = 0; i < RESERVATIONS_MAX; i++)
    if (node->reservations[i] != NULL)
      {
        g_array_unref (node->reservations[i]);
        node->reservations[i] = NULL;
      }
  sr_record_delete (node->reclaiming);
  node->reclaiming = NULL;
  sr_ledger_delete (node->ledger);
  sr_witness_delete (node->witness);
}

static struct message *
message_new_ (struct simulation *simulation, enum message_kind kind, unsigned from, unsigned to)
{
  struct message *message = g_new0 (struct message, 1);

  message->kind = kind;
  message->from = from;
  message->to = to;
  message->to_incarnation = simulation->nodes[to].incarnation;
  g_ptr_array_add (simulation->messages, message);
  return message;
}

static void
message_free_ (void *data)
{
  struct message *message = data;

  sr_record_delete (message->record);
  g_free (message);
}

static struct sr_record *
copy_ (const struct sr_record *record)
{
  GString *text = g_string_new (NULL);
  struct sr_record *copy;

  sr_record_print (record, text);
  copy = sr_record_parse (text->str, text->len);
  g_string_free (text, TRUE);
  return copy;
}

static unsigned
index_of_ (const char *name)
{
  return (unsigned)(name[1] - '0');
}

static void
send_write_ (struct simulation *simulation,
             unsigned from,
             struct sr_record *record,
             int64_t version)
{
  struct message *message = message_new_ (simulation, MESSAGE_WRITE, from, from);

  message->record = record;
  message->version = version;
  message->operation = simulation->nodes[from].operation = ++simulation->operations;
}

/* Closes in one of ODDS cases, in half of these only if all loans are returned. */
static enum sr_ledger_close_mode
pick_close_mode_ (struct simulation *simulation, int odds)
{
  if (pick_ (simulation, odds) != 0)
    return SR_LEDGER_KEEP_OPEN;
  return pick_ (simulation, 2) == 0 ? SR_LEDGER_CLOSE : SR_LEDGER_CLOSE_RETURNED;
}

/* Sets a random spend limit, whose at_ms is up to 200 ms too early. */
static void
set_limit_ (struct simulation *simulation, struct node *node, struct sr_record *record)
{
  const struct sr_spend_limit limit
      = { .is_set = pick_ (simulation, 4) > 0,
          .at_ms = simulation->now_us / US_PER_MS - pick_ (simulation, 200),
          .since_us = monotonic_us_ (simulation, node),
          .base = pick_ (simulation, 40),
          .after_us = pick_ (simulation, 3) * 4 * STEP_US,
          .per_s = pick_ (simulation, 200) };

  sr_ledger_set_spend_limit (node->ledger, record, &limit);
}

/* Writes off a random holder whose process has ended, with an upper bound of the time of its end.
 */
static void
write_off_ (struct simulation *simulation, unsigned from)
{
  struct sr_record *record = copy_ (simulation->record);
  const struct sr_record_holder *holder;
  const struct node *dead;
  struct sr_holder_id id;

  if (record->holders->len == 0)
    goto out;
  holder = &g_array_index (record->holders, struct sr_record_holder,
                           pick_ (simulation, (int)record->holders->len));
  id = holder->id;
  dead = &simulation->nodes[index_of_ (id.instance)];
  if (id.incarnation == dead->incarnation)
    goto out;
  sr_record_write_off (record, &id, dead->started_us / US_PER_MS + 1 + pick_ (simulation, 200));
  send_write_ (simulation, from, record, simulation->version);
  return;

out:
  sr_record_delete (record);
}

static void
update_ (struct simulation *simulation, unsigned from)
{
  struct node *node = &simulation->nodes[from];
  struct sr_ledger *ledger = node->ledger;
  struct sr_record *record = copy_ (simulation->record);
  unsigned other = (from + 1 + (unsigned)pick_ (simulation, INSTANCES - 1)) % INSTANCES;
  bool changed;

  sr_ledger_apply_read (ledger, record, simulation->version);
  changed = sr_ledger_close_retired (ledger, record, pick_close_mode_ (simulation, 8));
  switch (pick_ (simulation, 4))
    {
    case 0:
      changed = sr_ledger_give_back (ledger, record, simulation->version, pick_ (simulation, 50),
                                     pick_close_mode_ (simulation, 2))
                || changed;
      break;
    default:
      if (sr_record_remaining (record) <= 0)
        break;
      sr_ledger_draw (ledger, record, simulation->version, pick_ (simulation, 200),
                      pick_ (simulation, 400),
                      simulation->witnessed ? simulation->nodes[other].name : NULL,
                      simulation->nodes[other].incarnation);
      changed = true;
    }
  if (changed && simulation->limited)
    set_limit_ (simulation, node, record);
  if (changed)
    send_write_ (simulation, from, record, simulation->version);
  else
    sr_record_delete (record);
}

static void
reclaim_ (struct simulation *simulation, unsigned from)
{
  struct node *node = &simulation->nodes[from];
  struct sr_record *record = copy_ (simulation->record);
  const struct sr_record_holder *holder;
  struct message *message;
  const struct node *witness;

  if (record->holders->len == 0)
    goto out;
  holder = &g_array_index (record->holders, struct sr_record_holder,
                           pick_ (simulation, (int)record->holders->len));
  if (strcmp (holder->id.instance, node->name) == 0 || holder->witness[0] == '\0')
    goto out;
  witness = &simulation->nodes[index_of_ (holder->witness)];
  if (witness->incarnation != holder->witness_incarnation)
    {
      struct sr_holder_id id = holder->id;

      sr_record_write_off (record, &id, SR_TIME_UNKNOWN);
      send_write_ (simulation, from, record, simulation->version);
      return;
    }
  message = message_new_ (simulation, MESSAGE_SEAL, from, index_of_ (holder->witness));
  message->id = holder->id;
  sr_record_delete (node->reclaiming);
  node->reclaiming = record;
  node->reclaiming_version = simulation->version;
  node->reclaimed = holder->id;
  return;

out:
  sr_record_delete (record);
}

static void
deliver_ (struct simulation *simulation, const struct message *message)
{
  struct node *to = &simulation->nodes[message->to];
  struct message *reply;

  if (message->kind == MESSAGE_WRITE)
    {
      if (simulation->version != message->version)
        return;
      sr_record_delete (simulation->record);
      simulation->record = copy_ (message->record);
      simulation->version++;
      reply = message_new_ (simulation, MESSAGE_WRITTEN, message->from, message->from);
      reply->record = copy_ (message->record);
      reply->operation = message->operation;
      reply->to_incarnation = message->to_incarnation;
      return;
    }
  if (to->incarnation != message->to_incarnation)
    return;
  switch (message->kind)
    {
    case MESSAGE_RAISE:
      reply = message_new_ (simulation, MESSAGE_RAISED, message->to, message->from);
      reply->id = message->id;
      reply->ceiling
          = sr_witness_raise (to->witness, "b", &message->id, message->ceiling, &reply->sealed);
      break;
    case MESSAGE_FINALIZE:
      sr_witness_finalize (to->witness, "b", &message->id, message->ceiling);
      break;
    case MESSAGE_RAISED:
      sr_ledger_apply_raise (to->ledger, &message->id, message->ceiling, message->sealed);
      break;
    case MESSAGE_SEAL:
      reply = message_new_ (simulation, MESSAGE_SEALED, message->to, message->from);
      reply->id = message->id;
      reply->ceiling = sr_witness_seal (to->witness, "b", &message->id);
      break;
    case MESSAGE_SEALED:
      if (to->reclaiming != NULL && sr_holder_id_equal (&to->reclaimed, &message->id)
          && to->operation == 0)
        {
          sr_record_close (to->reclaiming, &message->id, message->ceiling);
          send_write_ (simulation, message->to, to->reclaiming, to->reclaiming_version);
          to->reclaiming = NULL;
        }
      break;
    case MESSAGE_BORROW:
      reply = message_new_ (simulation, MESSAGE_BORROWED, message->to, message->from);
      sr_ledger_lend (to->ledger, &message->id, simulation->nodes[message->from].name,
                      message->incarnation, message->returned, message->need, message->need + 50,
                      simulation->now_us, &reply->loan);
      reply->to_incarnation = message->incarnation;
      break;
    case MESSAGE_BORROWED:
      sr_ledger_apply_loan_reply (to->ledger, &message->loan);
      break;
    case MESSAGE_WRITTEN:
      if (to->operation == message->operation)
        {
          sr_ledger_apply_write (to->ledger, message->record);
          to->operation = 0;
        }
      break;
    default:
      break;
    }
}

static void
raise_ (struct simulation *simulation, unsigned from)
{
  struct sr_ledger *ledger = simulation->nodes[from].ledger;
  int64_t ceiling = sr_ledger_ceiling_wanted (ledger, pick_ (simulation, 100), simulation->now_us);
  struct message *message;

  if (ceiling == 0)
    return;
  message = message_new_ (simulation, MESSAGE_RAISE, from, index_of_ (ledger->own->witness));
  message->to_incarnation = ledger->own->witness_incarnation;
  message->id = ledger->own->id;
  message->ceiling = ceiling;
}

static void
finalize_ (struct simulation *simulation, unsigned from)
{
  struct sr_ledger *ledger = simulation->nodes[from].ledger;
  struct message *message;

  if (ledger->own == NULL || ledger->own->witness[0] == '\0')
    return;
  message = message_new_ (simulation, MESSAGE_FINALIZE, from, index_of_ (ledger->own->witness));
  message->to_incarnation = ledger->own->witness_incarnation;
  message->id = ledger->own->id;
  message->ceiling = sr_ledger_finalize (ledger);
}

static void
borrow_ (struct simulation *simulation, unsigned from)
{
  unsigned to = (from + 1 + (unsigned)pick_ (simulation, INSTANCES - 1)) % INSTANCES;
  struct node *node = &simulation->nodes[from];
  const struct sr_source *source = sr_ledger_loan_from (node->ledger, simulation->nodes[to].name);
  struct message *message = message_new_ (simulation, MESSAGE_BORROW, from, to);
  int64_t need = pick_ (simulation, 100);

  message->incarnation = node->incarnation;
  if (source != NULL)
    {
      message->id = source->id;
      message->need = source->granted + need;
      if (pick_ (simulation, 2) == 0)
        sr_ledger_return_loan (node->ledger, &source->id, pick_ (simulation, 20));
      message->returned = source->transferred;
    }
  else
    message->need = need;
}

static void
spend_ (struct simulation *simulation, unsigned index)
{
  struct node *node = &simulation->nodes[index];
  unsigned slot = (unsigned)pick_ (simulation, RESERVATIONS_MAX);
  int64_t used;

  if (node->reservations[slot] == NULL)
    {
      node->sizes[slot] = 1 + pick_ (simulation, 60);
      node->reservations[slot]
          = sr_ledger_reserve (node->ledger, node->sizes[slot], simulation->now_us);
      if (node->reservations[slot] != NULL)
        simulation->consumed += node->sizes[slot];
      return;
    }
  if (pick_ (simulation, 2) == 0)
    used = pick_ (simulation, (int)node->sizes[slot] + 1);
  else
    used = node->sizes[slot];
  sr_ledger_settle (node->ledger, node->reservations[slot], used);
  node->reservations[slot] = NULL;
  simulation->consumed -= node->sizes[slot] - used;
}

static void
top_up_ (struct simulation *simulation)
{
  char id[16];
  bool correction = simulation->corrections && pick_ (simulation, 3) == 0;
  int64_t tokens = correction ? -1 - pick_ (simulation, 300) : 1 + pick_ (simulation, 500);

  g_snprintf (id, sizeof id, "t%u", simulation->top_ups++);
  if (sr_record_top_up (simulation->record, id, tokens, "w", 0) == SR_TOP_UP_APPLIED)
    simulation->version++;
  simulation->paid = MAX (simulation->paid, simulation->record->prepaid);
}

static void
deliver_or_drop_ (struct simulation *simulation)
{
  unsigned index;
  struct message *message;
  int outcome = pick_ (simulation, 10);

  if (simulation->messages->len == 0)
    return;
  index = (unsigned)pick_ (simulation, (int)simulation->messages->len);
  message = simulation->messages->pdata[index];
  if (outcome > 0)
    deliver_ (simulation, message);
  if (outcome != 1)
    g_ptr_array_remove_fast (simulation->messages, message);
}

static int64_t
committed_ (const struct sr_source *source)
{
  return source->used + source->reserved + source->transferred;
}

static void
crash_ (struct simulation *simulation, unsigned index)
{
  struct node *node = &simulation->nodes[index];

  for (unsigned i = 0; i < node->ledger->sources->len; i++)
    {
      const struct sr_source *source = node->ledger->sources->pdata[i];
      const struct ended ended
          = { source->id, committed_ (source), simulation->now_us / US_PER_MS };

      if (source->is_own)
        g_array_append_val (simulation->ended, ended);
    }

  node_stop_ (node);
  node_start_ (node, index, simulation->now_us);
}

/* Steps with many reservations and crashes and few top-ups, so that tokens that are wrongly not
 * written off are granted and consumed a second time. */
static void
step_limited_ (struct simulation *simulation, unsigned index, int choice)
{
  struct node *node = &simulation->nodes[index];

  if (choice < 300)
    deliver_or_drop_ (simulation);
  else if (choice < 700)
    spend_ (simulation, index);
  else if (choice < 740)
    borrow_ (simulation, index);
  else if (choice < 742)
    top_up_ (simulation);
  else if (choice < 762)
    crash_ (simulation, index);
  else if (choice < 790)
    node->operation = 0; /* stops waiting for a response */
  else if (node->operation == 0 && choice < 870)
    write_off_ (simulation, index);
  else if (node->operation == 0)
    update_ (simulation, index);
}

static void
step_ (struct simulation *simulation)
{
  unsigned index = (unsigned)pick_ (simulation, INSTANCES);
  struct node *node = &simulation->nodes[index];
  int choice = pick_ (simulation, 1000);

  simulation->now_us += STEP_US;
  if (simulation->limited && pick_ (simulation, 50) == 0)
    simulation->nodes[pick_ (simulation, INSTANCES)].clock_lag_us
        += pick_ (simulation, 40) * STEP_US;
  for (unsigned i = 0; i < INSTANCES; i++)
    sr_ledger_advance_time (simulation->nodes[i].ledger,
                            monotonic_us_ (simulation, &simulation->nodes[i]));
  if (simulation->limited)
    step_limited_ (simulation, index, choice);
  else if (choice < 300)
    deliver_or_drop_ (simulation);
  else if (choice < 550)
    spend_ (simulation, index);
  else if (choice < 650)
    raise_ (simulation, index);
  else if (choice < 730)
    borrow_ (simulation, index);
  else if (choice < 740)
    top_up_ (simulation);
  else if (choice < 750)
    crash_ (simulation, index);
  else if (choice < 780)
    reclaim_ (simulation, index);
  else if (choice < 785)
    finalize_ (simulation, index);
  else if (choice < 830)
    node->operation = 0; /* stops waiting for a response */
  else if (node->operation == 0)
    update_ (simulation, index);
}

/* Returns by how many tokens the committed ones of HOLDER exceed the number that the record allows.
 */
static int64_t
excess_over_record_ (const struct simulation *simulation, const struct sr_record_holder *holder)
{
  const struct node *node = &simulation->nodes[index_of_ (holder->id.instance)];

  for (unsigned i = 0; i < node->ledger->sources->len; i++)
    {
      const struct sr_source *source = node->ledger->sources->pdata[i];

      if (source->is_own && sr_holder_id_equal (&source->id, &holder->id))
        return committed_ (source) - sr_record_max_spent (holder, simulation->now_us / US_PER_MS);
    }
  for (unsigned i = 0; i < simulation->ended->len; i++)
    {
      const struct ended *ended = &g_array_index (simulation->ended, struct ended, i);

      if (sr_holder_id_equal (&ended->id, &holder->id))
        return ended->committed - sr_record_max_spent (holder, ended->end_ms);
    }
  return 0;
}

/* Runs one schedule. Returns the largest excess of consumed tokens over paid ones, negative if
 * there was none, and adds to LEFT the tokens that at the end are neither consumed nor can be
 * granted. */
static int64_t
run_ (uint32_t seed, enum mode mode, int64_t *left)
{
  struct simulation simulation = { .random = g_rand_new_with_seed (seed),
                                   .witnessed = mode == MODE_WITNESSED,
                                   .limited = mode == MODE_LIMITED,
                                   .corrections = seed % 2 == 1 };
  int64_t worst = INT64_MIN;

  simulation.record = sr_record_new ();
  simulation.messages = g_ptr_array_new_with_free_func (message_free_);
  simulation.ended = g_array_new (FALSE, FALSE, sizeof (struct ended));
  for (unsigned i = 0; i < INSTANCES; i++)
    node_start_ (&simulation.nodes[i], i, simulation.now_us);
  top_up_ (&simulation);
  for (unsigned step = 0; step < STEPS; step++)
    {
      step_ (&simulation);
      worst = MAX (worst, simulation.consumed - simulation.paid);
      for (unsigned i = 0; mode == MODE_LIMITED && i < simulation.record->holders->len; i++)
        worst = MAX (
            worst, excess_over_record_ (&simulation, &g_array_index (simulation.record->holders,
                                                                     struct sr_record_holder, i)));
    }
  *left += simulation.record->prepaid - simulation.consumed
           - MAX (sr_record_remaining (simulation.record), 0);
  for (unsigned i = 0; i < INSTANCES; i++)
    node_stop_ (&simulation.nodes[i]);
  g_ptr_array_unref (simulation.messages);
  g_array_unref (simulation.ended);
  sr_record_delete (simulation.record);
  g_rand_free (simulation.random);
  return worst;
}

static void
run_all_ (enum mode mode)
{
  int64_t left = 0;

  for (uint32_t seed = 1; seed <= RUNS; seed++)
    {
      int64_t excess = run_ (seed, mode, &left);

      if (excess > 0)
        fail_msg ("seed %u: %" G_GINT64_FORMAT " tokens consumed in excess of the paid ones", seed,
                  excess);
    }
  print_message ("%d schedules, %" G_GINT64_FORMAT " tokens held or unreclaimable at the end\n",
                 RUNS, left);
}

/* Without witnesses and limits, the record of a crashed holder stays open. */
static void
test_never_overspent_without_witness (void **state)
{
  run_all_ (MODE_PLAIN);
}

/* Any holder, dead or alive, can be sealed and closed at any step. */
static void
test_never_overspent_with_witness (void **state)
{
  run_all_ (MODE_WITNESSED);
}

/* Holders set spend limits, by which they are written off once their process has ended: with
 * monotonic clocks that stop in suspensions, and times known only within bounds. */
static void
test_never_overspent_with_spend_limits (void **state)
{
  run_all_ (MODE_LIMITED);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_never_overspent_without_witness),
    cmocka_unit_test (test_never_overspent_with_witness),
    cmocka_unit_test (test_never_overspent_with_spend_limits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
