/* Random fleets: instances that restart, are cut off from peers and lose messages, servers that end
 * for reasons of their own, and requests of which some have a part that ends servers. */
#include "quarantine/quarantine.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <xxhash.h>

#include <cmocka.h>

enum
{
  MS = 1000,
  SECOND = 1000 * MS,
  STEP_US = 5 * MS,
  DURATION_US = 40 * SECOND,
  FAULT_FROM_US = 5 * SECOND,
  INSTANCES_MAX = 60,
  SERVERS_MAX = 64,
  REQUESTS_MAX = 8192,
  DOWN_US = 3 * SECOND,          /* from the end of a server to its next process */
  NOTICE_US = 30 * MS,           /* until an instance takes closed connections for an end */
  REPEAT_INTERVAL_US = 500 * MS, /* of reports to two peers */
  HEAD_US = 10 * MS,             /* between the head and the first byte of a sound answer */
  BAD_ANSWER_US = 40 * MS,       /* from the beginning of an answer to the end of its server */
  FANOUT = 6,
  TEAMS = 6,
  STABLE_US = 3 * SECOND, /* after which an instance must know what its peers know */
  LATE_SENDS_MAX = 3,
  SMALL_FLEET = 7,
  SMALL_FLEET_ENDS_MAX = 4, /* servers that one part may end */
  LARGE_FLEET_ENDS_MAX = 6,
  PART_BAD = 0xbad,
  PART_FIRST = 0xaaaa,     /* of all sound requests */
  PART_COMPANION = 0xc0c0, /* of all requests with the bad part, and of a few sound ones */
  PART_THINGS = 0x1000,
  THINGS = 80
};

struct options
{
  unsigned instances;
  unsigned servers;
  double requests_per_s;
  double bad_share;
  double message_loss;
  bool with_trouble; /* crashes of servers and instances, and cuts */
};

struct instance
{
  struct fleet *fleet;
  unsigned index;
  struct quarantine *quarantine;
  bool is_cut;
  int64_t repeated_us;
  int64_t disturbed_us; /* when it last started or was cut off */
};

struct server
{
  int64_t started_ms;
  int64_t down_until_us;
};

struct request
{
  struct quarantine_parts parts;
  uint64_t team;
  unsigned instance;
  unsigned server;
  int64_t begins_us;
  bool is_bad;
  enum quarantine_progress progress;
};

struct message
{
  unsigned to;
  int64_t due_us;
  struct quarantine_report reports[QUARANTINE_REPORTS_MAX];
  unsigned n;
};

struct fleet
{
  struct options options;
  GRand *random;
  int64_t now_us;
  struct instance instances[INSTANCES_MAX];
  struct server servers[SERVERS_MAX];
  GArray *requests; /* struct request: those at a server */
  GArray *messages; /* struct message */
  unsigned bad_ends;
  int64_t fifth_end_us; /* 0: fewer */
  unsigned late_sends;  /* of bad requests, later than STABLE_US after the fifth end */
  unsigned sound_refused;
  unsigned bad_refused;
  unsigned verdicts;
};

static double
chance (struct fleet *fleet)
{
  return g_rand_double (fleet->random);
}

static unsigned
pick (struct fleet *fleet, unsigned n)
{
  return (unsigned)g_rand_int_range (fleet->random, 0, (gint32)n);
}

static void
send (struct fleet *fleet,
      unsigned from,
      unsigned to,
      const struct quarantine_report *reports,
      unsigned n)
{
  struct message message
      = { .to = to, .due_us = fleet->now_us + (1 + pick (fleet, 20)) * MS, .n = n };

  if (to == from || fleet->instances[from].is_cut || fleet->instances[to].is_cut
      || chance (fleet) < fleet->options.message_loss)
    return;
  memcpy (message.reports, reports, n * sizeof reports[0]);
  g_array_append_val (fleet->messages, message);
}

static void
announce (const struct quarantine_report *reports, unsigned n, void *data)
{
  struct instance *instance = data;

  for (unsigned i = 0; i < FANOUT; i++)
    send (instance->fleet, instance->index,
          pick (instance->fleet, instance->fleet->options.instances), reports, n);
}

static unsigned
trial_rank (uint64_t part, void *data)
{
  const struct instance *instance = data;
  uint64_t own = XXH3_64bits_withSeed (&instance->index, sizeof instance->index, part);
  unsigned rank = 0;

  for (unsigned i = 0; i < instance->fleet->options.instances; i++)
    rank += XXH3_64bits_withSeed (&i, sizeof i, part) > own;
  return rank;
}

static void
blocked (uint64_t part, void *data)
{
  struct instance *instance = data;
  struct fleet *fleet = instance->fleet;

  fleet->verdicts++;
  /* Unanswered requests are called off. */
  for (unsigned i = fleet->requests->len; i > 0; i--)
    {
      const struct request *request = &g_array_index (fleet->requests, struct request, i - 1);

      if (request->instance == instance->index && request->progress != QUARANTINE_PARTLY
          && quarantine_blocks (instance->quarantine, &request->parts, request->team))
        g_array_remove_index_fast (fleet->requests, i - 1);
    }
}

static void
start_instance (struct fleet *fleet, unsigned index)
{
  struct instance *instance = &fleet->instances[index];
  const struct quarantine_options options
      = { .trial_rank = trial_rank, .announce = announce, .blocked = blocked, .data = instance };

  if (instance->quarantine != NULL)
    quarantine_delete (instance->quarantine);
  instance->fleet = fleet;
  instance->index = index;
  instance->quarantine = quarantine_new (&options);
  instance->disturbed_us = fleet->now_us;
}

static struct request
new_request (struct fleet *fleet)
{
  bool is_bad = fleet->now_us >= FAULT_FROM_US && chance (fleet) < fleet->options.bad_share;
  bool has_companion = is_bad || chance (fleet) < 0.01;
  struct request request = { .team = 1 + pick (fleet, TEAMS),
                             .instance = pick (fleet, fleet->options.instances),
                             .begins_us = fleet->now_us + (50 + pick (fleet, 450)) * MS,
                             .is_bad = is_bad };

  request.parts.ids[request.parts.n++] = has_companion ? PART_COMPANION : PART_FIRST;
  request.parts.ids[request.parts.n++] = is_bad ? PART_BAD : PART_THINGS + pick (fleet, THINGS);
  return request;
}

/* Half of the requests go where others with the same prompt go, as their parts are cached there. */
static unsigned
choose_server (struct fleet *fleet, const struct request *request, unsigned attempt)
{
  uint64_t part = request->parts.ids[request->parts.n - 1];

  if (chance (fleet) < 0.5)
    return pick (fleet, fleet->options.servers);
  return (unsigned)((XXH3_64bits (&part, sizeof part) + attempt) % fleet->options.servers);
}

static bool
is_late (const struct fleet *fleet, const struct instance *instance)
{
  return fleet->fifth_end_us != 0 && fleet->now_us > fleet->fifth_end_us + STABLE_US
         && !instance->is_cut && fleet->now_us > instance->disturbed_us + STABLE_US;
}

static void
send_request (struct fleet *fleet)
{
  struct request request = new_request (fleet);
  struct instance *instance = &fleet->instances[request.instance];
  struct quarantine_result result;

  if (quarantine_check (instance->quarantine, &request.parts, request.team, fleet->now_us, &result)
      == QUARANTINE_BLOCKED)
    {
      fleet->sound_refused += !request.is_bad;
      fleet->bad_refused += request.is_bad;
      return;
    }
  for (unsigned i = 0; i < SERVERS_MAX; i++)
    {
      request.server = choose_server (fleet, &request, i);
      if (fleet->servers[request.server].down_until_us <= fleet->now_us)
        {
          fleet->late_sends += request.is_bad && is_late (fleet, instance);
          g_array_append_val (fleet->requests, request);
          return;
        }
    }
}

/* Ends a server: each instance that has unanswered requests there reports it. */
static void
end_server (struct fleet *fleet, unsigned index)
{
  struct server *server = &fleet->servers[index];
  struct request lost[REQUESTS_MAX];
  unsigned n_lost = 0;

  if (server->down_until_us > fleet->now_us)
    return;
  for (unsigned i = fleet->requests->len; i > 0; i--)
    {
      const struct request *request = &g_array_index (fleet->requests, struct request, i - 1);

      if (request->server != index)
        continue;
      lost[n_lost++] = *request;
      g_array_remove_index_fast (fleet->requests, i - 1);
    }
  server->down_until_us = fleet->now_us + DOWN_US;
  for (unsigned k = 0; k < fleet->options.instances; k++)
    {
      struct quarantine_request requests[QUARANTINE_REPORTS_MAX];
      struct quarantine_process_end end = { .backend = index + 1,
                                            .started_ms = server->started_ms,
                                            .at_us = fleet->now_us,
                                            .requests = requests };

      for (unsigned i = 0; i < n_lost && end.n_requests < QUARANTINE_REPORTS_MAX; i++)
        if (lost[i].instance == k)
          requests[end.n_requests++] = (struct quarantine_request){ .parts = &lost[i].parts,
                                                                    .team = lost[i].team,
                                                                    .progress = lost[i].progress };
      if (end.n_requests > 0)
        quarantine_note_end (fleet->instances[k].quarantine, &end, fleet->now_us + NOTICE_US);
    }
  server->started_ms += 1;
}

static void
progress_requests (struct fleet *fleet)
{
  for (unsigned i = fleet->requests->len; i > 0; i--)
    {
      struct request *request;

      if (i > fleet->requests->len)
        continue;
      request = &g_array_index (fleet->requests, struct request, i - 1);
      if (fleet->now_us < request->begins_us)
        continue;
      request->progress = request->is_bad || fleet->now_us - request->begins_us < HEAD_US
                              ? QUARANTINE_BEGUN
                              : QUARANTINE_PARTLY;
      if (request->is_bad && fleet->now_us - request->begins_us >= BAD_ANSWER_US)
        {
          fleet->bad_ends++;
          if (fleet->bad_ends == 5)
            fleet->fifth_end_us = fleet->now_us;
          end_server (fleet, request->server);
        }
      else if (!request->is_bad
               && fleet->now_us - request->begins_us >= QUARANTINE_SURVIVAL_MS * MS)
        {
          quarantine_note_survival (fleet->instances[request->instance].quarantine, &request->parts,
                                    request->begins_us, fleet->now_us);
          g_array_remove_index_fast (fleet->requests, i - 1);
        }
    }
}

static void
deliver_messages (struct fleet *fleet)
{
  for (unsigned i = fleet->messages->len; i > 0; i--)
    {
      const struct message message = g_array_index (fleet->messages, struct message, i - 1);

      if (message.due_us > fleet->now_us)
        continue;
      g_array_remove_index_fast (fleet->messages, i - 1);
      quarantine_merge (fleet->instances[message.to].quarantine, message.reports, message.n,
                        fleet->now_us);
    }
}

static void
repeat_reports (struct fleet *fleet)
{
  for (unsigned i = 0; i < fleet->options.instances; i++)
    {
      struct instance *instance = &fleet->instances[i];
      struct quarantine_report reports[QUARANTINE_REPORTS_MAX];
      unsigned n;

      if (fleet->now_us - instance->repeated_us < REPEAT_INTERVAL_US)
        continue;
      instance->repeated_us = fleet->now_us;
      n = quarantine_reports (instance->quarantine, false, reports, QUARANTINE_REPORTS_MAX,
                              fleet->now_us);
      for (unsigned k = 0; n > 0 && k < 2; k++)
        send (fleet, i, pick (fleet, fleet->options.instances), reports, n);
    }
}

/* Single servers and whole racks end, instances start again, and some lose their peers for a time.
 */
static void
make_trouble (struct fleet *fleet)
{
  double step_s = (double)STEP_US / SECOND;

  if (chance (fleet) < 0.2 * step_s)
    end_server (fleet, pick (fleet, fleet->options.servers));
  if (chance (fleet) < 0.05 * step_s)
    for (unsigned i = 0; i < fleet->options.servers; i++)
      if (chance (fleet) < 0.2)
        end_server (fleet, i);
  if (chance (fleet) < 0.1 * step_s)
    {
      unsigned index = pick (fleet, fleet->options.instances);

      for (unsigned i = fleet->requests->len; i > 0; i--)
        if (g_array_index (fleet->requests, struct request, i - 1).instance == index)
          g_array_remove_index_fast (fleet->requests, i - 1);
      start_instance (fleet, index);
    }
  if (chance (fleet) < 0.1 * step_s)
    {
      struct instance *instance = &fleet->instances[pick (fleet, fleet->options.instances)];

      instance->is_cut = !instance->is_cut;
      instance->disturbed_us = fleet->now_us;
    }
}

static void
play (struct fleet *fleet, const struct options *options, guint32 seed)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->options = *options;
  fleet->random = g_rand_new_with_seed (seed);
  fleet->requests = g_array_new (FALSE, FALSE, sizeof (struct request));
  fleet->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  for (unsigned i = 0; i < options->instances; i++)
    start_instance (fleet, i);
  for (fleet->now_us = 0; fleet->now_us < DURATION_US; fleet->now_us += STEP_US)
    {
      if (chance (fleet) < options->requests_per_s * STEP_US / SECOND)
        send_request (fleet);
      if (options->with_trouble)
        make_trouble (fleet);
      progress_requests (fleet);
      deliver_messages (fleet);
      repeat_reports (fleet);
    }
  for (unsigned i = 0; i < options->instances; i++)
    quarantine_delete (fleet->instances[i].quarantine);
  g_array_unref (fleet->requests);
  g_array_unref (fleet->messages);
  g_rand_free (fleet->random);
}

static void
one_part_ends_few_servers_of_a_small_fleet (void **state)
{
  static const struct options options = { .instances = SMALL_FLEET,
                                          .servers = 9,
                                          .requests_per_s = 15,
                                          .bad_share = 0.05,
                                          .message_loss = 0.1 };
  static struct fleet fleet;

  for (guint32 seed = 1; seed <= 100; seed++)
    {
      play (&fleet, &options, seed);
      if (fleet.bad_ends > SMALL_FLEET_ENDS_MAX)
        print_message ("seed %u: %u ends\n", seed, fleet.bad_ends);
      assert_true (fleet.bad_ends <= SMALL_FLEET_ENDS_MAX);
      assert_true (fleet.bad_ends < 3 || fleet.bad_refused > 0);
      assert_int_equal (fleet.sound_refused, 0);
    }
}

static void
one_part_ends_few_servers_of_a_large_fleet (void **state)
{
  static const struct options options = { .instances = INSTANCES_MAX,
                                          .servers = 60,
                                          .requests_per_s = 130,
                                          .bad_share = 0.04,
                                          .message_loss = 0.1 };
  static struct fleet fleet;

  for (guint32 seed = 1; seed <= 30; seed++)
    {
      play (&fleet, &options, seed);
      if (fleet.bad_ends > LARGE_FLEET_ENDS_MAX)
        print_message ("seed %u: %u ends\n", seed, fleet.bad_ends);
      assert_true (fleet.bad_ends <= LARGE_FLEET_ENDS_MAX);
      assert_true (fleet.bad_refused > 0);
      assert_int_equal (fleet.sound_refused, 0);
    }
}

static void
instances_in_touch_send_few_requests_with_a_part_that_ended_five_servers (void **state)
{
  static const struct options small = { .instances = SMALL_FLEET,
                                        .servers = 9,
                                        .requests_per_s = 15,
                                        .bad_share = 0.05,
                                        .message_loss = 0.1,
                                        .with_trouble = true };
  static const struct options large = { .instances = INSTANCES_MAX,
                                        .servers = 60,
                                        .requests_per_s = 130,
                                        .bad_share = 0.04,
                                        .message_loss = 0.1,
                                        .with_trouble = true };
  static struct fleet fleet;

  for (guint32 seed = 1; seed <= 130; seed++)
    {
      play (&fleet, seed <= 100 ? &small : &large, seed);
      if (fleet.late_sends > LATE_SENDS_MAX)
        print_message ("seed %u: %u ends, %u late\n", seed, fleet.bad_ends, fleet.late_sends);
      assert_true (fleet.late_sends <= LATE_SENDS_MAX);
    }
}

static void
servers_that_end_for_other_reasons_block_no_part (void **state)
{
  static const struct options small = { .instances = SMALL_FLEET,
                                        .servers = 9,
                                        .requests_per_s = 15,
                                        .message_loss = 0.1,
                                        .with_trouble = true };
  static const struct options large = { .instances = INSTANCES_MAX,
                                        .servers = 60,
                                        .requests_per_s = 130,
                                        .message_loss = 0.1,
                                        .with_trouble = true };
  static struct fleet fleet;

  for (guint32 seed = 1; seed <= 130; seed++)
    {
      play (&fleet, seed <= 100 ? &small : &large, seed);
      if (fleet.sound_refused > 0)
        print_message ("seed %u: %u refused\n", seed, fleet.sound_refused);
      assert_int_equal (fleet.verdicts, 0);
      assert_int_equal (fleet.sound_refused, 0);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (one_part_ends_few_servers_of_a_small_fleet),
    cmocka_unit_test (one_part_ends_few_servers_of_a_large_fleet),
    cmocka_unit_test (instances_in_touch_send_few_requests_with_a_part_that_ended_five_servers),
    cmocka_unit_test (servers_that_end_for_other_reasons_block_no_part),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
