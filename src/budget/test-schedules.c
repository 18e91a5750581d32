/* Random schedules of all faults over the records, ledgers and witnesses of one budget: writes that
 * take effect late, lost answers, messages lost, repeated and reordered, crashes, instances taken
 * for dead while they live, top-ups and corrections. After each step the tokens that can have been
 * consumed are at most those paid in, and nobody has spent more of a grant than the record allows.
 */
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
  MESSAGE_FINISH,
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
  struct sr_loan_answer loan;
  struct sr_record *record; /* WRITE: what is written if the version is still this */
  int64_t version;
  uint64_t operation;
};

struct node
{
  char name[8];
  uint64_t incarnation;
  int64_t started_us; /* by the world's clock: earlier starts had ended by then */
  int64_t behind_us;  /* its steady clock, which stands still in a suspension */
  struct sr_ledger *ledger;
  struct sr_witness *witness;
  GArray *reservations[RESERVATIONS_MAX];
  int64_t sizes[RESERVATIONS_MAX];
  uint64_t operation;           /* the one update in progress, 0 for none */
  struct sr_record *recovering; /* read for a take-back, until the witness has answered */
  int64_t recovering_version;
  struct sr_holder_id recovered;
};

/* What an ended process had used, reserved and lent of a record. */
struct ended
{
  struct sr_holder_id id;
  int64_t committed;
  int64_t end_ms;
};

struct world
{
  GRand *random;
  GArray *ended; /* struct ended */
  struct node nodes[INSTANCES];
  GPtrArray *messages;
  struct sr_record *record;
  int64_t version;
  int64_t paid;     /* the most that was ever prepaid */
  int64_t consumed; /* used, or still reserved, also by crashed incarnations */
  int64_t now_us;
  uint64_t operations;
  unsigned top_ups;
  bool witnessed;
  bool limited; /* holders promise how fast they spend, and the dead are written off by that */
  bool corrections;
};

static int
pick_ (struct world *world, int count)
{
  return g_rand_int_range (world->random, 0, count);
}

static int64_t
steady_us_ (const struct world *world, const struct node *node)
{
  return world->now_us - node->behind_us;
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
  node->behind_us = 0;
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
  sr_record_delete (node->recovering);
  node->recovering = NULL;
  sr_ledger_delete (node->ledger);
  sr_witness_delete (node->witness);
}

static struct message *
message_new_ (struct world *world, enum message_kind kind, unsigned from, unsigned to)
{
  struct message *message = g_new0 (struct message, 1);

  message->kind = kind;
  message->from = from;
  message->to = to;
  message->to_incarnation = world->nodes[to].incarnation;
  g_ptr_array_add (world->messages, message);
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
send_write_ (struct world *world, unsigned from, struct sr_record *record, int64_t version)
{
  struct message *message = message_new_ (world, MESSAGE_WRITE, from, from);

  message->record = record;
  message->version = version;
  message->operation = world->nodes[from].operation = ++world->operations;
}

/* Every ODDS-th update closes, half of these only what is returned. */
static enum sr_ledger_ending
pick_ending_ (struct world *world, int odds)
{
  if (pick_ (world, odds) != 0)
    return SR_LEDGER_KEEP_OPEN;
  return pick_ (world, 2) == 0 ? SR_LEDGER_CLOSE : SR_LEDGER_CLOSE_RETURNED;
}

/* The real time of a promise is known to be no later than this. */
static void
promise_ (struct world *world, struct node *node, struct sr_record *record)
{
  const struct sr_spend_limit limit = { .is_set = pick_ (world, 4) > 0,
                                        .at_ms = world->now_us / US_PER_MS - pick_ (world, 200),
                                        .since_us = steady_us_ (world, node),
                                        .base = pick_ (world, 40),
                                        .after_us = pick_ (world, 3) * 4 * STEP_US,
                                        .per_s = pick_ (world, 200) };

  sr_ledger_promise (node->ledger, record, &limit);
}

/* Writes off a holder whose process has ended. Its end is known to be no later than this. */
static void
write_off_ (struct world *world, unsigned from)
{
  struct sr_record *record = copy_ (world->record);
  const struct sr_record_holder *holder;
  const struct node *dead;
  struct sr_holder_id id;

  if (record->holders->len == 0)
    goto out;
  holder = &g_array_index (record->holders, struct sr_record_holder,
                           pick_ (world, (int)record->holders->len));
  id = holder->id;
  dead = &world->nodes[index_of_ (id.instance)];
  if (id.incarnation == dead->incarnation)
    goto out;
  sr_record_write_off (record, &id, dead->started_us / US_PER_MS + 1 + pick_ (world, 200));
  send_write_ (world, from, record, world->version);
  return;

out:
  sr_record_delete (record);
}

static void
update_ (struct world *world, unsigned from)
{
  struct node *node = &world->nodes[from];
  struct sr_ledger *ledger = node->ledger;
  struct sr_record *record = copy_ (world->record);
  unsigned other = (from + 1 + (unsigned)pick_ (world, INSTANCES - 1)) % INSTANCES;
  bool changed;

  sr_ledger_read (ledger, record, world->version);
  changed = sr_ledger_close_left_over (ledger, record, pick_ending_ (world, 8));
  switch (pick_ (world, 4))
    {
    case 0:
      changed = sr_ledger_give_back (ledger, record, world->version, pick_ (world, 50),
                                     pick_ending_ (world, 2))
                || changed;
      break;
    default:
      if (sr_record_remaining (record) <= 0)
        break;
      sr_ledger_draw (ledger, record, world->version, pick_ (world, 200), pick_ (world, 400),
                      world->witnessed ? world->nodes[other].name : NULL,
                      world->nodes[other].incarnation);
      changed = true;
    }
  if (changed && world->limited)
    promise_ (world, node, record);
  if (changed)
    send_write_ (world, from, record, world->version);
  else
    sr_record_delete (record);
}

static void
recover_ (struct world *world, unsigned from)
{
  struct node *node = &world->nodes[from];
  struct sr_record *record = copy_ (world->record);
  const struct sr_record_holder *holder;
  struct message *message;
  const struct node *witness;

  if (record->holders->len == 0)
    goto out;
  holder = &g_array_index (record->holders, struct sr_record_holder,
                           pick_ (world, (int)record->holders->len));
  if (strcmp (holder->id.instance, node->name) == 0 || holder->witness[0] == '\0')
    goto out;
  witness = &world->nodes[index_of_ (holder->witness)];
  if (witness->incarnation != holder->witness_incarnation)
    {
      struct sr_holder_id id = holder->id;

      sr_record_write_off (record, &id, SR_TIME_UNKNOWN);
      send_write_ (world, from, record, world->version);
      return;
    }
  message = message_new_ (world, MESSAGE_SEAL, from, index_of_ (holder->witness));
  message->id = holder->id;
  sr_record_delete (node->recovering);
  node->recovering = record;
  node->recovering_version = world->version;
  node->recovered = holder->id;
  return;

out:
  sr_record_delete (record);
}

static void
deliver_ (struct world *world, const struct message *message)
{
  struct node *to = &world->nodes[message->to];
  struct message *answer;

  if (message->kind == MESSAGE_WRITE)
    {
      if (world->version != message->version)
        return;
      sr_record_delete (world->record);
      world->record = copy_ (message->record);
      world->version++;
      answer = message_new_ (world, MESSAGE_WRITTEN, message->from, message->from);
      answer->record = copy_ (message->record);
      answer->operation = message->operation;
      answer->to_incarnation = message->to_incarnation;
      return;
    }
  if (to->incarnation != message->to_incarnation)
    return;
  switch (message->kind)
    {
    case MESSAGE_RAISE:
      answer = message_new_ (world, MESSAGE_RAISED, message->to, message->from);
      answer->id = message->id;
      answer->ceiling
          = sr_witness_raise (to->witness, "b", &message->id, message->ceiling, &answer->sealed);
      break;
    case MESSAGE_FINISH:
      sr_witness_finalize (to->witness, "b", &message->id, message->ceiling);
      break;
    case MESSAGE_RAISED:
      sr_ledger_apply_raise (to->ledger, &message->id, message->ceiling, message->sealed);
      break;
    case MESSAGE_SEAL:
      answer = message_new_ (world, MESSAGE_SEALED, message->to, message->from);
      answer->id = message->id;
      answer->ceiling = sr_witness_seal (to->witness, "b", &message->id);
      break;
    case MESSAGE_SEALED:
      if (to->recovering != NULL && sr_holder_id_equal (&to->recovered, &message->id)
          && to->operation == 0)
        {
          sr_record_close (to->recovering, &message->id, message->ceiling);
          send_write_ (world, message->to, to->recovering, to->recovering_version);
          to->recovering = NULL;
        }
      break;
    case MESSAGE_BORROW:
      answer = message_new_ (world, MESSAGE_BORROWED, message->to, message->from);
      sr_ledger_lend (to->ledger, &message->id, world->nodes[message->from].name,
                      message->incarnation, message->returned, message->need, message->need + 50,
                      world->now_us, &answer->loan);
      answer->to_incarnation = message->incarnation;
      break;
    case MESSAGE_BORROWED:
      sr_ledger_borrowed (to->ledger, &message->loan);
      break;
    case MESSAGE_WRITTEN:
      if (to->operation == message->operation)
        {
          sr_ledger_written (to->ledger, message->record);
          to->operation = 0;
        }
      break;
    default:
      break;
    }
}

static void
raise_ (struct world *world, unsigned from)
{
  struct sr_ledger *ledger = world->nodes[from].ledger;
  int64_t ceiling = sr_ledger_ceiling_wanted (ledger, pick_ (world, 100), world->now_us);
  struct message *message;

  if (ceiling == 0)
    return;
  message = message_new_ (world, MESSAGE_RAISE, from, index_of_ (ledger->own->witness));
  message->to_incarnation = ledger->own->witness_incarnation;
  message->id = ledger->own->id;
  message->ceiling = ceiling;
}

static void
finish_ (struct world *world, unsigned from)
{
  struct sr_ledger *ledger = world->nodes[from].ledger;
  struct message *message;

  if (ledger->own == NULL || ledger->own->witness[0] == '\0')
    return;
  message = message_new_ (world, MESSAGE_FINISH, from, index_of_ (ledger->own->witness));
  message->to_incarnation = ledger->own->witness_incarnation;
  message->id = ledger->own->id;
  message->ceiling = sr_ledger_finalize (ledger);
}

static void
borrow_ (struct world *world, unsigned from)
{
  unsigned to = (from + 1 + (unsigned)pick_ (world, INSTANCES - 1)) % INSTANCES;
  struct node *node = &world->nodes[from];
  const struct sr_source *source = sr_ledger_loan_from (node->ledger, world->nodes[to].name);
  struct message *message = message_new_ (world, MESSAGE_BORROW, from, to);
  int64_t need = pick_ (world, 100);

  message->incarnation = node->incarnation;
  if (source != NULL)
    {
      message->id = source->id;
      message->need = source->granted + need;
      if (pick_ (world, 2) == 0)
        sr_ledger_return_loan (node->ledger, &source->id, pick_ (world, 20));
      message->returned = source->given;
    }
  else
    message->need = need;
}

static void
spend_ (struct world *world, unsigned index)
{
  struct node *node = &world->nodes[index];
  unsigned slot = (unsigned)pick_ (world, RESERVATIONS_MAX);
  int64_t used;

  if (node->reservations[slot] == NULL)
    {
      node->sizes[slot] = 1 + pick_ (world, 60);
      node->reservations[slot] = sr_ledger_reserve (node->ledger, node->sizes[slot], world->now_us);
      if (node->reservations[slot] != NULL)
        world->consumed += node->sizes[slot];
      return;
    }
  if (pick_ (world, 2) == 0)
    used = pick_ (world, (int)node->sizes[slot] + 1);
  else
    used = node->sizes[slot];
  sr_ledger_settle (node->ledger, node->reservations[slot], used);
  node->reservations[slot] = NULL;
  world->consumed -= node->sizes[slot] - used;
}

static void
pay_ (struct world *world)
{
  char id[16];
  bool correction = world->corrections && pick_ (world, 3) == 0;
  int64_t tokens = correction ? -1 - pick_ (world, 300) : 1 + pick_ (world, 500);

  g_snprintf (id, sizeof id, "t%u", world->top_ups++);
  if (sr_record_top_up (world->record, id, tokens, "w", 0) == SR_TOP_UP_APPLIED)
    world->version++;
  world->paid = MAX (world->paid, world->record->prepaid);
}

static void
pass_message_ (struct world *world)
{
  unsigned index;
  struct message *message;
  int fate = pick_ (world, 10);

  if (world->messages->len == 0)
    return;
  index = (unsigned)pick_ (world, (int)world->messages->len);
  message = world->messages->pdata[index];
  if (fate > 0)
    deliver_ (world, message);
  if (fate != 1)
    g_ptr_array_remove_fast (world->messages, message);
}

static int64_t
committed_ (const struct sr_source *source)
{
  return source->used + source->reserved + source->given;
}

static void
crash_ (struct world *world, unsigned index)
{
  struct node *node = &world->nodes[index];

  for (unsigned i = 0; i < node->ledger->sources->len; i++)
    {
      const struct sr_source *source = node->ledger->sources->pdata[i];
      const struct ended ended = { source->id, committed_ (source), world->now_us / US_PER_MS };

      if (source->own)
        g_array_append_val (world->ended, ended);
    }

  node_stop_ (node);
  node_start_ (node, index, world->now_us);
}

/* Many reservations and crashes of a budget that is rarely topped up, so that what is written off
 * too low is granted and consumed once more. */
static void
step_limited_ (struct world *world, unsigned index, int choice)
{
  struct node *node = &world->nodes[index];

  if (choice < 300)
    pass_message_ (world);
  else if (choice < 700)
    spend_ (world, index);
  else if (choice < 740)
    borrow_ (world, index);
  else if (choice < 742)
    pay_ (world);
  else if (choice < 762)
    crash_ (world, index);
  else if (choice < 790)
    node->operation = 0; /* gives up waiting for an answer */
  else if (node->operation == 0 && choice < 870)
    write_off_ (world, index);
  else if (node->operation == 0)
    update_ (world, index);
}

static void
step_ (struct world *world)
{
  unsigned index = (unsigned)pick_ (world, INSTANCES);
  struct node *node = &world->nodes[index];
  int choice = pick_ (world, 1000);

  world->now_us += STEP_US;
  if (world->limited && pick_ (world, 50) == 0)
    world->nodes[pick_ (world, INSTANCES)].behind_us += pick_ (world, 40) * STEP_US;
  for (unsigned i = 0; i < INSTANCES; i++)
    sr_ledger_pass_time (world->nodes[i].ledger, steady_us_ (world, &world->nodes[i]));
  if (world->limited)
    step_limited_ (world, index, choice);
  else if (choice < 300)
    pass_message_ (world);
  else if (choice < 550)
    spend_ (world, index);
  else if (choice < 650)
    raise_ (world, index);
  else if (choice < 730)
    borrow_ (world, index);
  else if (choice < 740)
    pay_ (world);
  else if (choice < 750)
    crash_ (world, index);
  else if (choice < 780)
    recover_ (world, index);
  else if (choice < 785)
    finish_ (world, index);
  else if (choice < 830)
    node->operation = 0; /* gives up waiting for an answer */
  else if (node->operation == 0)
    update_ (world, index);
}

/* Returns how much more is committed of HOLDER's record than the record itself allows by now. */
static int64_t
beyond_record_ (const struct world *world, const struct sr_record_holder *holder)
{
  const struct node *node = &world->nodes[index_of_ (holder->id.instance)];

  for (unsigned i = 0; i < node->ledger->sources->len; i++)
    {
      const struct sr_source *source = node->ledger->sources->pdata[i];

      if (source->own && sr_holder_id_equal (&source->id, &holder->id))
        return committed_ (source) - sr_record_spent_at_most (holder, world->now_us / US_PER_MS);
    }
  for (unsigned i = 0; i < world->ended->len; i++)
    {
      const struct ended *ended = &g_array_index (world->ended, struct ended, i);

      if (sr_holder_id_equal (&ended->id, &holder->id))
        return ended->committed - sr_record_spent_at_most (holder, ended->end_ms);
    }
  return 0;
}

/* Runs one schedule. Returns by how much consumption went beyond what was paid in, at worst, and
 * adds to LEFT the tokens that are neither consumed nor can be granted at the end. */
static int64_t
run_ (uint32_t seed, enum mode mode, int64_t *left)
{
  struct world world = { .random = g_rand_new_with_seed (seed),
                         .witnessed = mode == MODE_WITNESSED,
                         .limited = mode == MODE_LIMITED,
                         .corrections = seed % 2 == 1 };
  int64_t worst = INT64_MIN;

  world.record = sr_record_new ();
  world.messages = g_ptr_array_new_with_free_func (message_free_);
  world.ended = g_array_new (FALSE, FALSE, sizeof (struct ended));
  for (unsigned i = 0; i < INSTANCES; i++)
    node_start_ (&world.nodes[i], i, world.now_us);
  pay_ (&world);
  for (unsigned step = 0; step < STEPS; step++)
    {
      step_ (&world);
      worst = MAX (worst, world.consumed - world.paid);
      for (unsigned i = 0; mode == MODE_LIMITED && i < world.record->holders->len; i++)
        worst = MAX (worst, beyond_record_ (&world, &g_array_index (world.record->holders,
                                                                    struct sr_record_holder, i)));
    }
  *left += world.record->prepaid - world.consumed - MAX (sr_record_remaining (world.record), 0);
  for (unsigned i = 0; i < INSTANCES; i++)
    node_stop_ (&world.nodes[i]);
  g_ptr_array_unref (world.messages);
  g_array_unref (world.ended);
  sr_record_delete (world.record);
  g_rand_free (world.random);
  return worst;
}

static void
run_all_ (enum mode mode)
{
  int64_t left = 0;

  for (uint32_t seed = 1; seed <= RUNS; seed++)
    {
      int64_t beyond = run_ (seed, mode, &left);

      if (beyond > 0)
        fail_msg ("seed %u: %" G_GINT64_FORMAT " tokens beyond the prepaid ones", seed, beyond);
    }
  print_message ("%d schedules, %" G_GINT64_FORMAT " tokens held or stranded at their ends\n", RUNS,
                 left);
}

/* A crashed holder's record can only be written off. */
static void
test_never_overspent_without_witness (void **state)
{
  run_all_ (MODE_PLAIN);
}

/* Any holder, dead or not, is sealed and closed at any moment. */
static void
test_never_overspent_with_witness (void **state)
{
  run_all_ (MODE_WITNESSED);
}

/* Holders promise how fast they spend, and are written off by that once their process has ended:
 * with steady clocks that stand still, and times that are only known within bounds. */
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
