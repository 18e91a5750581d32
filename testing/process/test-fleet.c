/* The fleet as a whole: planned stops, backend servers that leave, membership under partitions and
 * pauses, and malformed datagrams. */
#include "testing/harness/traffic.h"

#include "member/member_xdr.h"
#include "peer/peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 30800,
  INSTANCES = 4,
  ENGINES = 3,
  TEAMS = 3,
  OPEN_STREAMS = 100,
  STREAM_TOKENS = 200,
  WAVE_REQUESTS = 200,
  MALFORMED_DATAGRAMS = 3000,
  PLATFORM_BACKOFF_WAIT_US = 600000 /* longer than the back-off after a failed platform call */
};

static struct harness *harness;

/* Results of the rolling replacement: tokens that the backend servers consumed, and tokens that are
 * settled on the budgets' records. */
static int64_t consumed_tokens;
static int64_t settled_tokens = -1;

static int
start_fleet (void **state)
{
  static const char *const settings[] = { "stop", "limit_s", "20", NULL };
  static const struct harness_options options = { .name = "fleet",
                                                  .port_base = PORT_BASE,
                                                  .instances = INSTANCES,
                                                  .engines = ENGINES,
                                                  .slots = 64,
                                                  .token_interval_ms = 10,
                                                  .teams = TEAMS,
                                                  .prepaid_tokens = 100000000,
                                                  .settings = settings };

  harness = harness_start (&options);
  return harness != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  harness_stop (harness);
  return 0;
}

/* Clears every fault and starts the instances that have ended. After a failed platform call, an
 * instance does not call the platform for up to half a second and refuses requests that need it;
 * this waits until that is over, so that it can't fail the next case. */
static int
reset_fleet (void **state)
{
  harness_clear_rules (harness);
  harness_control_platform (harness, "/control/fault?mode=none");
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      if (!harness_process_is_running (harness->instances[i])
          && !harness_start_instance (harness, i))
        return -1;
      if (!harness_wait_instance_ready (harness, i, HARNESS_WAIT_MS))
        return -1;
    }
  g_usleep (PLATFORM_BACKOFF_WAIT_US);
  return 0;
}

static json_t *
instance_get (unsigned instance, const char *path)
{
  g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, instance, false);

  return harness_get_json (address, harness_port (harness, HARNESS_PORT_ENTRY), path);
}

/* Returns the value of a counter in /metrics, or -1 if it is not there. */
static int64_t
instance_counter (unsigned instance, const char *name)
{
  g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, instance, false);
  g_autofree char *line = g_strdup_printf ("\n%s ", name);
  struct harness_call call = { .address = address,
                               .port = harness_port (harness, HARNESS_PORT_ENTRY),
                               .path = "/metrics" };
  struct harness_http_response *reply = harness_call (&call);
  const char *found = strstr (reply->body->str, line);
  int64_t value = found != NULL ? g_ascii_strtoll (found + strlen (line), NULL, 10) : -1;

  harness_reply_free (reply);
  return value;
}

static int64_t
tokens_consumed_by (unsigned engine)
{
  json_t *ledger = harness_ledger (harness, engine);
  int64_t tokens = harness_json_number (ledger, "tokens");

  json_decref (ledger);
  return tokens;
}

/* Load through the balancer, in waves of WAVE_REQUESTS, until END is set. */
struct load
{
  atomic_bool end;
  int64_t outcomes[TRAFFIC_OUTCOMES];
  int64_t billed_tokens;
};

static void *
run_load (void *data)
{
  static const char *const targets[] = { "127.0.1.250:30805", NULL };
  struct load *load = data;

  for (uint32_t wave = 1; !atomic_load (&load->end); wave++)
    {
      struct traffic_options options = { .targets = targets,
                                         .callers = 16,
                                         .requests = WAVE_REQUESTS,
                                         .seed = wave,
                                         .service = "diary",
                                         .teams = TEAMS,
                                         .large_team_percent = 50,
                                         .stream_percent = 50,
                                         .tokens_min = 4,
                                         .tokens_max = 40 };
      struct traffic_result *result = traffic_run (&options);

      for (unsigned i = 0; i < TRAFFIC_OUTCOMES; i++)
        load->outcomes[i] += result->outcomes[i];
      load->billed_tokens += result->billed_tokens;
      if (result->outcomes[HARNESS_COMPLETED] < WAVE_REQUESTS)
        traffic_result_print (result, stderr);
      traffic_result_delete (result);
    }
  return NULL;
}

static void
start_balancer (void)
{
  GPtrArray *arguments = g_ptr_array_new_with_free_func (g_free);
  struct harness_process *balancer;

  g_ptr_array_add (arguments, g_strdup_printf ("%s/standin-balancer", harness->build));
  g_ptr_array_add (arguments, g_strdup ("--address=127.0.1.250"));
  g_ptr_array_add (arguments, g_strdup_printf ("--port=%d", PORT_BASE + HARNESS_PORT_BALANCER));
  g_ptr_array_add (
      arguments, g_strdup_printf ("--control-port=%d", PORT_BASE + HARNESS_PORT_BALANCER_CONTROL));
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, i, false);

      g_ptr_array_add (arguments, g_strdup_printf ("--target=%s:%d", address, PORT_BASE));
    }
  balancer = harness_process_new (harness->directory, "balancer", arguments);
  g_ptr_array_add (harness->other_processes, balancer);
  assert_true (harness_process_start (balancer));
  assert_true (harness_process_wait_ready (balancer, HARNESS_WAIT_MS));
}

/* Sets the targets of the balancer to all instances except EXCLUDED (0: none), as a balancer does
 * that sends only to instances that report that they are ready. */
static void
set_balancer_targets (unsigned excluded)
{
  GString *path = g_string_new ("/control/targets?list=");

  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, i, false);

      if (i != excluded)
        g_string_append_printf (path, "%s:%d,", address, PORT_BASE);
    }
  g_string_truncate (path, path->len - 1);
  assert_true (harness_post ("127.0.1.250", PORT_BASE + HARNESS_PORT_BALANCER_CONTROL, path->str));
  g_string_free (path, TRUE);
}

/* Returns the number of bills on the platform and sums their tokens in TOKENS. Fails if two bills
 * are for the same request. */
static int64_t
count_bills (int64_t *tokens)
{
  g_autoptr (GHashTable) seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_autofree char *after = g_strdup ("");
  bool more = true;

  *tokens = 0;
  while (more)
    {
      g_autofree char *path
          = g_strdup_printf ("/v1/objects/bills?prefix=&after=%s&limit=500", after);
      json_t *page = harness_get_json ("127.0.1.200", PORT_BASE + HARNESS_PORT_PLATFORM, path);
      json_t *object;
      size_t i;

      assert_non_null (page);
      more = json_is_true (json_object_get (page, "more"));
      json_array_foreach (json_object_get (page, "objects"), i, object)
      {
        const char *name = json_string_value (json_object_get (object, "name"));
        g_autofree char *object_path = g_strdup_printf ("/v1/objects/bills/%s", name);
        json_t *bills
            = harness_get_json ("127.0.1.200", PORT_BASE + HARNESS_PORT_PLATFORM, object_path);
        json_t *bill;
        size_t j;

        g_free (after);
        after = g_strdup (name);
        json_array_foreach (bills, j, bill)
        {
          g_autofree char *key = g_strdup_printf ("%s/%s", harness_json_text (bill, "team"),
                                                  harness_json_text (bill, "request"));

          const char *first = g_hash_table_lookup (seen, key);

          if (first != NULL)
            print_message ("%s is billed in both %s and %s\n", key, first, name);
          assert_null (first);
          g_hash_table_insert (seen, g_steal_pointer (&key), g_strdup (name));
          *tokens += harness_json_number (bill, "billed_tokens");
        }
        json_decref (bills);
      }
      json_decref (page);
    }
  return g_hash_table_size (seen);
}

/* Returns the settled tokens of all budgets. Fails if an instance still holds tokens or tokens were
 * written off. */
static int64_t
sum_settled (void)
{
  int64_t sum = 0;

  for (unsigned team = 1; team <= TEAMS; team++)
    {
      g_autofree char *path = g_strdup_printf ("/v1/objects/budget/budget-%u", team);
      json_t *record = harness_get_json ("127.0.1.200", PORT_BASE + HARNESS_PORT_PLATFORM, path);

      assert_int_equal (json_array_size (json_object_get (record, "holders")), 0);
      assert_int_equal (harness_json_number (record, "written_off"), 0);
      sum += harness_json_number (record, "settled");
      json_decref (record);
    }
  return sum;
}

static void
a_rolling_replacement_refuses_nothing_and_bills_once (void **state)
{
  struct load load = { 0 };
  int64_t tokens_before = 0;
  int64_t bills_before = count_bills (&tokens_before);
  int64_t tokens_after;
  pthread_t thread;
  int exit_code;

  start_balancer ();
  assert_int_equal (pthread_create (&thread, NULL, run_load, &load), 0);
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      assert_true (harness_process_terminate (harness->instances[i], HARNESS_WAIT_MS, &exit_code));
      assert_int_equal (exit_code, 0);
      set_balancer_targets (i);
      assert_true (harness_start_instance (harness, i));
      assert_true (harness_wait_instance_ready (harness, i, HARNESS_WAIT_MS));
      set_balancer_targets (0);
    }
  atomic_store (&load.end, true);
  pthread_join (thread, NULL);
  for (unsigned i = 0; i < TRAFFIC_OUTCOMES; i++)
    {
      if (i != HARNESS_COMPLETED)
        assert_int_equal (load.outcomes[i], 0);
    }
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      assert_true (harness_process_terminate (harness->instances[i], HARNESS_WAIT_MS, &exit_code));
      assert_int_equal (exit_code, 0);
    }
  for (unsigned engine = 1; engine <= ENGINES; engine++)
    consumed_tokens += tokens_consumed_by (engine);
  settled_tokens = sum_settled ();
  assert_int_equal (count_bills (&tokens_after) - bills_before, load.outcomes[HARNESS_COMPLETED]);
  assert_int_equal (tokens_after - tokens_before, load.billed_tokens);
  assert_int_equal (consumed_tokens, tokens_after);
}

/* Checks the token counts that the previous case has stored. */
static void
a_rolling_replacement_loses_no_tokens (void **state)
{
  assert_true (settled_tokens >= consumed_tokens);
  assert_int_equal (settled_tokens, consumed_tokens);
}

struct open_stream
{
  pthread_t thread;
  char *prompt;
  struct harness_result answer;
};

static void *
run_stream (void *data)
{
  struct open_stream *stream = data;
  struct harness_request request = { .address = "127.0.1.1",
                                     .port = PORT_BASE,
                                     .service = "diary",
                                     .team = 1,
                                     .prompt = stream->prompt,
                                     .max_tokens = STREAM_TOKENS,
                                     .stream = true };

  stream->answer = harness_send (&request);
  return NULL;
}

static bool
all_streams_are_running (void *data)
{
  int64_t running = 0;

  for (unsigned engine = 1; engine <= ENGINES; engine++)
    {
      json_t *ledger = harness_ledger (harness, engine);

      running += harness_json_number (ledger, "running");
      json_decref (ledger);
    }
  return running >= OPEN_STREAMS;
}

static void
a_planned_stop_during_a_platform_outage_cuts_no_open_stream (void **state)
{
  static struct open_stream streams[OPEN_STREAMS];
  int64_t answered = 0;
  int exit_code = -1;

  for (unsigned i = 0; i < OPEN_STREAMS; i++)
    {
      streams[i].prompt = g_strdup_printf ("open stream %u [n=%d]", i, STREAM_TOKENS);
      assert_int_equal (pthread_create (&streams[i].thread, NULL, run_stream, &streams[i]), 0);
    }
  assert_true (harness_wait_until (all_streams_are_running, NULL, HARNESS_WAIT_MS));
  assert_true (harness_control_platform (harness, "/control/fault?mode=outage"));
  assert_true (harness_process_terminate (harness->instances[1], HARNESS_WAIT_MS, &exit_code));
  for (unsigned i = 0; i < OPEN_STREAMS; i++)
    {
      pthread_join (streams[i].thread, NULL);
      answered += streams[i].answer.outcome == HARNESS_COMPLETED
                  && streams[i].answer.output_tokens == STREAM_TOKENS;
      g_free (streams[i].prompt);
    }
  assert_int_equal (answered, OPEN_STREAMS);
  assert_int_equal (exit_code, 0);
}

static bool
all_have_newer_revision (void *data)
{
  int64_t revision = *(int64_t *)data;

  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      json_t *status = instance_get (i, "/status");
      bool has = harness_json_number (status, "revision") > revision;

      json_decref (status);
      if (!has)
        return false;
    }
  return true;
}

static void
a_leaving_backend_server_gets_no_new_requests_from_an_instance_without_platform (void **state)
{
  GString *configuration = harness_configuration (harness);
  json_t *status = instance_get (1, "/status");
  int64_t revision = harness_json_number (status, "revision");
  int64_t before;

  /* The last section of the configuration is that of the last backend server. */
  g_string_append (configuration, "leaving = yes\n");
  assert_true (harness_add_rule (harness, "127.0.1.3", "127.0.2.200", "cut", 0));
  assert_true (harness_submit (harness, configuration->str));
  assert_true (harness_wait_until (all_have_newer_revision, &revision, HARNESS_WAIT_MS));
  before = tokens_consumed_by (ENGINES);
  for (unsigned i = 0; i < 30 * INSTANCES; i++)
    {
      g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, 1 + i % INSTANCES, false);
      g_autofree char *prompt = g_strdup_printf ("after leaving %u [n=4]", i);
      struct harness_request request = { .address = address,
                                         .port = PORT_BASE,
                                         .service = "diary",
                                         .team = 1 + i % TEAMS,
                                         .prompt = prompt,
                                         .max_tokens = 4 };
      struct harness_result answer = harness_send (&request);

      if (answer.outcome != HARNESS_COMPLETED)
        print_message ("request %u: %s %s\n", i, harness_outcome_to_string (answer.outcome),
                       answer.code);
      if (1 + i % INSTANCES != 3)
        assert_int_equal (answer.outcome, HARNESS_COMPLETED);
    }
  assert_int_equal (tokens_consumed_by (ENGINES), before);
  json_decref (status);
  g_string_free (configuration, TRUE);
}

/* The expectation that all instances except SKIP (0: none) see instance SEEN in STATE. */
struct expected_state
{
  unsigned seen;
  unsigned skip;
  const char *state;
};

static bool
all_see_expected_state (void *data)
{
  const struct expected_state *expected_state = data;
  g_autofree char *name = g_strdup_printf ("entry-%u", expected_state->seen);
  unsigned observers = 0;
  unsigned agree = 0;

  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      json_t *status = i != expected_state->skip ? instance_get (i, "/status") : NULL;
      json_t *member;
      size_t j;

      observers += i != expected_state->skip;
      json_array_foreach (json_object_get (status, "members"), j, member)
      {
        agree += strcmp (harness_json_text (member, "name"), name) == 0
                 && strcmp (harness_json_text (member, "state"), expected_state->state) == 0;
      }
      json_decref (status);
    }
  return agree == observers;
}

static void
wait_until_all_see (unsigned seen, unsigned skip, const char *state)
{
  struct expected_state expected_state = { seen, skip, state };

  assert_true (harness_wait_until (all_see_expected_state, &expected_state, HARNESS_WAIT_MS));
}

static void
cut_one_way (unsigned from, unsigned to)
{
  g_autofree char *source = harness_address (HARNESS_PORT_PEER, from, false);
  g_autofree char *target = harness_address (HARNESS_PORT_PEER, to, true);

  assert_true (harness_add_rule (harness, source, target, "cut", 0));
}

static void
membership_converges_after_partitions_and_pauses (void **state)
{
  int64_t deaths;

  for (unsigned i = 1; i <= INSTANCES; i++)
    wait_until_all_see (i, 0, "alive");
  deaths = instance_counter (1, "member_deaths_total");
  cut_one_way (1, 2);
  cut_one_way (2, 1);
  g_usleep (6 * G_USEC_PER_SEC);
  assert_int_equal (instance_counter (1, "member_deaths_total"), deaths);
  for (unsigned i = 2; i <= INSTANCES; i++)
    {
      cut_one_way (1, i);
      cut_one_way (i, 1);
    }
  wait_until_all_see (1, 1, "dead");
  harness_clear_rules (harness);
  wait_until_all_see (1, 0, "alive");
  harness_process_signal (harness->instances[2], SIGSTOP);
  wait_until_all_see (2, 2, "dead");
  deaths = instance_counter (1, "member_deaths_total");
  harness_process_signal (harness->instances[2], SIGCONT);
  for (unsigned i = 1; i <= INSTANCES; i++)
    wait_until_all_see (i, 0, "alive");
  assert_true (instance_counter (2, "member_pauses_total") >= 1);
  assert_int_equal (instance_counter (1, "member_deaths_total"), deaths);
}

/* Fills a malformed datagram of LENGTH words. KIND 0: random bytes; 1: a call of the membership RPC
 * program with random arguments; 2: the same with an unsupported version; 3: the same with all
 * counts at their maximum. */
static void
fill_malformed (GRand *random, int kind, guint32 *words, size_t length)
{
  for (size_t i = 0; i < length; i++)
    words[i] = kind == 3 ? 0xffffffff : g_rand_int (random);
  if (kind == 0)
    return;
  /* Header of an ONC RPC call: message type, RPC version, program, its version, procedure, and
   * empty credentials and verifier. */
  words[1] = 0;
  words[2] = htonl (2);
  words[3] = htonl (SR_PEER_PROGRAM_MEMBER);
  words[4] = htonl (kind == 2 ? 99 : SR_PEER_VERSION);
  words[5] = htonl (1);
  memset (&words[6], 0, 4 * sizeof *words);
}

static void
malformed_datagrams_are_counted_and_break_nothing (void **state)
{
  struct sockaddr_in target
      = { .sin_family = AF_INET, .sin_port = htons (PORT_BASE + HARNESS_PORT_PEER) };
  int64_t dropped = instance_counter (1, "peer_calls_dropped_total");
  GRand *random = g_rand_new_with_seed (23);
  int fd = socket (AF_INET, SOCK_DGRAM, 0);

  inet_pton (AF_INET, "127.0.1.1", &target.sin_addr);
  for (int i = 0; i < MALFORMED_DATAGRAMS; i++)
    {
      guint32 words[128];
      size_t length = (size_t)g_rand_int_range (random, 12, G_N_ELEMENTS (words));

      fill_malformed (random, i % 4, words, length);
      sendto (fd, words, length * sizeof *words, 0, (struct sockaddr *)&target, sizeof target);
      if (i % 100 == 0)
        g_usleep (1000);
    }
  close (fd);
  g_rand_free (random);
  for (unsigned i = 1; i <= INSTANCES; i++)
    wait_until_all_see (i, 0, "alive");
  assert_true (instance_counter (1, "peer_calls_dropped_total") > dropped);
  assert_true (harness_process_is_running (harness->instances[1]));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (a_rolling_replacement_refuses_nothing_and_bills_once, reset_fleet),
    cmocka_unit_test (a_rolling_replacement_loses_no_tokens),
    cmocka_unit_test_teardown (malformed_datagrams_are_counted_and_break_nothing, reset_fleet),
    cmocka_unit_test_teardown (membership_converges_after_partitions_and_pauses, reset_fleet),
    cmocka_unit_test_teardown (a_planned_stop_during_a_platform_outage_cuts_no_open_stream,
                               reset_fleet),
    cmocka_unit_test_teardown (
        a_leaving_backend_server_gets_no_new_requests_from_an_instance_without_platform,
        reset_fleet),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
