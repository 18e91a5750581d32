/* Gateways as real processes before the stand-in of the users' platform: answers, refusals,
 * budgets, configuration and stops, with faults of the store, of backend servers and of the
 * instances. */
#include "testing/harness/harness.h"
#include "testing/harness/raw-http.h"
#include "testing/harness/site.h"

#include <errno.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 34100,
  INSTANCES = 3,
  MODELS = 3,
  PLAINS = 2,
  PREPAID = 900000,
  LATE_IN_STOP_US = 3300000, /* after the three seconds in which the balancer moves callers */
  PAUSE_US = 20000,          /* between requests of cases that watch for a while */
  EASY_PAUSE_US = 60000,     /* the same, where tokens must last through an outage of the store */
  IN_FORCE_MAX_MS = 2000,    /* a configuration, and the leaving of a backend server */
  RECOVERED_MAX_MS = 3000,   /* after an outage of the store */
  OPERATOR_MS = 2500,        /* until the operator has written again */
  REPLY_US = 150000,         /* in which a stand-in's answer has come back */
  NOTICE_MS = 1000           /* for what the stand-in counts a little later */
};

static struct site_fleet *fleet;
static unsigned ids;

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "gateway-path",
                                               .port_base = PORT_BASE,
                                               .instances = INSTANCES,
                                               .models = MODELS,
                                               .plains = PLAINS,
                                               .pace_ms = 2,
                                               .prepaid = PREPAID };

  fleet = site_fleet_start (&options);
  return fleet != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  site_fleet_stop (fleet);
  return 0;
}

static int
mend (void **state)
{
  site_fleet_set_backends (fleet, 0, MODELS + PLAINS, "mode=ok");
  site_fleet_control (fleet, "/store?mode=up");
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      if (!harness_process_is_running (fleet->instances[i]))
        {
          harness_process_kill (fleet->instances[i]);
          site_fleet_start_instance (fleet, i);
        }
      site_fleet_wait_ready (fleet, i, HARNESS_WAIT_MS);
    }
  return 0;
}

static char *
next_id_ (void)
{
  return g_strdup_printf ("id-%u", ++ids);
}

static struct site_answer
ask_ (unsigned instance, const char *path, int64_t output_tokens, const char *id)
{
  const struct site_request request = { .instance = instance,
                                        .path = path,
                                        .id = id,
                                        .input_tokens = output_tokens > 0 ? 1000 : 0,
                                        .output_tokens = output_tokens };

  return site_ask (fleet, &request);
}

static void
set_all_ (unsigned from, unsigned to, const char *mode)
{
  g_autofree char *settings = g_strdup_printf ("mode=%s", mode);

  assert_true (site_fleet_set_backends (fleet, from, to, settings));
}

static unsigned
runs_ (const char *id)
{
  json_t *counts = site_fleet_counts (fleet);
  unsigned runs = site_runs_of (counts, id);

  json_decref (counts);
  return runs;
}

static void
every_caller_gets_its_own_whole_answer (void **state)
{
  static const char *const paths[] = { "/stream/a", "/resume/a", "/once/a", "/safe/a" };
  json_t *counts;

  for (unsigned i = 0; i < 60; i++)
    {
      g_autofree char *id = next_id_ ();
      struct site_answer answer = ask_ (1 + i % INSTANCES, paths[i % 4], i % 4 < 2 ? 60 : 0, id);

      assert_int_equal (answer.verdict, SITE_ANSWERED);
      assert_int_equal (runs_ (id), 1);
    }
  counts = site_fleet_counts (fleet);
  assert_int_equal (harness_json_number (counts, "keys_seen"), 0);
  json_decref (counts);
}

static void
what_is_not_allowed_is_refused (void **state)
{
  g_autofree char *address = site_instance_address (1);
  g_autofree char *large = g_strnfill (70000, 'x');
  const struct
  {
    const char *path;
    const char *headers;
    const char *body;
    int status;
  } cases[] = {
    { "/safe/a", "Host: site.test\r\nX-Request-Id: r1\r\n", "b", 401 },
    { "/safe/a", "Host: site.test\r\nX-Request-Id: r2\r\nAuthorization: Token no\r\n", "b", 401 },
    { "/none/a", "Host: site.test\r\nX-Request-Id: r3\r\nAuthorization: Token key-1\r\n", "b",
      404 },
    { "/safe/a", "Host: other.test\r\nX-Request-Id: r4\r\nAuthorization: Token key-1\r\n", "b",
      404 },
    { "/safe/a", "Host: site.test\r\nX-Request-Id: r3\r\nAuthorization: Token key-1\r\n", large,
      413 },
    { "/safe/a", "Host: site.test\r\nHost: site.test\r\nX-Request-Id: r1\r\n", "b", 400 },
    { "/safe/a", "Host: site.test\r\nX-Request-Id: r1\r\n folded: x\r\n", "b", 400 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *bytes
          = g_strdup_printf ("POST %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n%s", cases[i].path,
                             cases[i].headers, strlen (cases[i].body), cases[i].body);
      struct raw_reply *reply = raw_http_call (address, PORT_BASE + 18, bytes, strlen (bytes), 10);

      assert_int_equal (reply->status, cases[i].status);
      raw_reply_free (reply);
    }
  assert_int_equal (runs_ ("r1") + runs_ ("r2") + runs_ ("r3") + runs_ ("r4"), 0);
}

/* Whatever a backend server does with an order: it runs once at most, and a refusal that says it
 * has not run is true. */
static void
an_order_runs_once_at_most (void **state)
{
  static const char *const modes[]
      = { "shed", "cut", "reset", "silent", "error", "extra", "unframed", "other" };

  for (unsigned i = 0; i < G_N_ELEMENTS (modes) * 6; i++)
    {
      g_autofree char *id = next_id_ ();
      struct site_answer answer;
      unsigned runs;

      set_all_ (MODELS, MODELS + PLAINS, modes[i / 6]);
      answer = ask_ (1 + i % INSTANCES, "/once/a", 0, id);
      runs = runs_ (id);
      assert_true (runs <= 1);
      assert_int_not_equal (answer.verdict, SITE_WRONG);
      if (answer.verdict == SITE_NOT_RUN)
        assert_int_equal (runs, 0);
      if (answer.verdict == SITE_ANSWERED)
        assert_int_equal (runs, 1);
      if (strcmp (modes[i / 6], "silent") == 0)
        assert_true (answer.took_ms >= 1400 && answer.took_ms < 1500 + NOTICE_MS);
    }
}

static void
what_may_be_repeated_is_answered_by_another_server (void **state)
{
  static const char *const modes[] = { "cut", "reset", "silent", "error", "shed" };

  for (unsigned i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      unsigned answered = 0;

      set_all_ (MODELS, MODELS + 1, modes[i]);
      for (unsigned k = 0; k < 10; k++)
        {
          g_autofree char *id = next_id_ ();

          answered += ask_ (1 + k % INSTANCES, "/safe/a", 0, id).verdict == SITE_ANSWERED;
          /* What may be repeated is a share of the requests. */
          for (unsigned m = 0; m < 8; m++)
            {
              g_autofree char *other = next_id_ ();

              ask_ (1 + k % INSTANCES, "/safe/a", 0, other);
            }
        }
      assert_true (answered >= 8);
      mend (state);
    }
}

static void
a_resumable_stream_goes_on_elsewhere (void **state)
{
  unsigned answered = 0;

  for (unsigned i = 0; i < 12; i++)
    {
      g_autofree char *id = next_id_ ();
      struct site_answer answer;

      for (unsigned k = 0; k < 10; k++)
        {
          g_autofree char *other = next_id_ ();

          ask_ (1 + i % INSTANCES, "/resume/a", 6, other);
        }
      set_all_ (0, 1, "cut");
      answer = ask_ (1 + i % INSTANCES, "/resume/a", 120, id);
      mend (state);
      assert_int_not_equal (answer.verdict, SITE_WRONG);
      answered += answer.verdict == SITE_ANSWERED;
    }
  assert_true (answered >= 10);
}

static void
a_stream_that_is_cut_looks_so (void **state)
{
  unsigned cut = 0;

  set_all_ (0, MODELS, "cut");
  for (unsigned i = 0; i < 9; i++)
    {
      g_autofree char *id = next_id_ ();
      struct site_answer answer = ask_ (1 + i % INSTANCES, "/stream/a", 120, id);

      assert_int_equal (runs_ (id), 1);
      assert_int_not_equal (answer.verdict, SITE_ANSWERED);
      assert_int_not_equal (answer.verdict, SITE_WRONG);
      cut += answer.verdict == SITE_CUT;
    }
  assert_int_equal (cut, 9);
}

static void
the_store_may_be_away_for_a_while (void **state)
{
  static const char *const modes[] = { "silent", "busy", "lost" };

  for (unsigned i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      g_autofree char *path = g_strdup_printf ("/store?mode=%s", modes[i]);
      int64_t end_us;

      assert_true (site_fleet_control (fleet, path));
      end_us = g_get_monotonic_time () + 3 * G_USEC_PER_SEC;
      while (g_get_monotonic_time () < end_us)
        {
          g_autofree char *id = next_id_ ();

          assert_int_equal (ask_ (1 + ids % INSTANCES, "/stream/a", 60, id).verdict, SITE_ANSWERED);
          for (unsigned k = 1; k <= INSTANCES; k++)
            assert_int_equal (site_fleet_ready_status (fleet, k), 200);
          g_usleep (PAUSE_US);
        }
      site_fleet_control (fleet, "/store?mode=up");
      g_usleep (G_USEC_PER_SEC);
    }
}

static void
a_configuration_is_in_force_within_its_time (void **state)
{
  int64_t end_us;
  unsigned instances = 0;

  assert_true (site_fleet_configure (fleet, PREPAID, true));
  end_us = g_get_monotonic_time () + IN_FORCE_MAX_MS * 1000;
  while (g_get_monotonic_time () < end_us && instances != (1U << INSTANCES) - 1)
    for (unsigned i = 1; i <= INSTANCES; i++)
      {
        g_autofree char *id = next_id_ ();

        if (ask_ (i, "/extra/a", 0, id).verdict == SITE_ANSWERED)
          instances |= 1U << (i - 1);
      }
  assert_int_equal (instances, (1U << INSTANCES) - 1);
  /* An older version that appears later is not taken. */
  fleet->version -= 2;
  assert_true (site_fleet_configure (fleet, PREPAID, false));
  g_usleep (IN_FORCE_MAX_MS * 1000);
  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      g_autofree char *id = next_id_ ();

      assert_int_equal (ask_ (i, "/extra/a", 0, id).verdict, SITE_ANSWERED);
    }
  fleet->version += 2;
}

static void
a_leaving_server_gets_no_new_work_after_its_time (void **state)
{
  json_t *counts;
  int64_t end_us = g_get_monotonic_time () + 4 * G_USEC_PER_SEC;

  assert_true (site_fleet_control (fleet, "/backend?index=0&state=draining"));
  while (g_get_monotonic_time () < end_us)
    {
      g_autofree char *id = next_id_ ();

      assert_int_equal (ask_ (1 + ids % INSTANCES, "/stream/a", 6, id).verdict, SITE_ANSWERED);
      g_usleep (PAUSE_US);
    }
  counts = site_fleet_counts (fleet);
  assert_true (
      json_integer_value (json_array_get (json_object_get (counts, "latest_after_leaving_ms"), 0))
      <= IN_FORCE_MAX_MS);
  json_decref (counts);
}

/* Asks all instances for PERIOD_MS; all of them must answer. */
static void
ask_for_a_while_ (const char *path, int64_t output_tokens, int64_t period_ms)
{
  int64_t end_us = g_get_monotonic_time () + period_ms * 1000;

  while (g_get_monotonic_time () < end_us)
    {
      g_autofree char *id = next_id_ ();

      assert_int_equal (ask_ (1 + ids % INSTANCES, path, output_tokens, id).verdict, SITE_ANSWERED);
      g_usleep (EASY_PAUSE_US);
    }
}

static int64_t
count_of_ (const char *name, unsigned backend)
{
  json_t *counts = site_fleet_counts (fleet);
  int64_t count = json_integer_value (json_array_get (json_object_get (counts, name), backend));

  json_decref (counts);
  return count;
}

/* Only its answers say that a backend server is leaving: its entry stays as it is, and the store
 * says nothing all the while. Another start of the same id is used again. */
static void
a_server_that_says_so_in_its_answers_gets_no_new_work (void **state)
{
  int64_t end_us;

  assert_true (site_fleet_control (fleet, "/store?mode=silent"));
  assert_true (site_fleet_control (fleet, "/backend?index=3&says_leaving=1"));
  ask_for_a_while_ ("/safe/a", 0, 2 * IN_FORCE_MAX_MS);
  assert_true (count_of_ ("latest_after_leaving_ms", MODELS) <= IN_FORCE_MAX_MS);
  /* The entry is written again, as it was. */
  assert_true (site_fleet_control (fleet, "/store?mode=up"));
  assert_true (site_fleet_control (fleet, "/backend?index=3&state=ready"));
  ask_for_a_while_ ("/safe/a", 0, 2 * IN_FORCE_MAX_MS);
  assert_true (count_of_ ("latest_after_leaving_ms", MODELS) <= IN_FORCE_MAX_MS);
  assert_true (
      site_fleet_control (fleet, "/backend?index=3&says_leaving=0&started_ms=2000&state=ready"));
  set_all_ (MODELS + 1, MODELS + PLAINS, "shed");
  end_us = g_get_monotonic_time () + HARNESS_WAIT_MS * 1000;
  for (unsigned answered = 0; answered == 0;)
    {
      g_autofree char *id = next_id_ ();

      answered = ask_ (1, "/safe/a", 0, id).verdict == SITE_ANSWERED;
      assert_true (g_get_monotonic_time () < end_us);
    }
}

/* Backend servers turn requests away and want none for a while: they get none, and callers hear at
 * once when to return. */
static void
servers_that_want_a_pause_get_one (void **state)
{
  int64_t end_us = g_get_monotonic_time () + 2500 * 1000;
  unsigned refused = 0;

  for (unsigned i = MODELS; i < MODELS + PLAINS; i++)
    {
      g_autofree char *path = g_strdup_printf ("/backend?index=%u&mode=shed&retry_after=2.5", i);

      assert_true (site_fleet_control (fleet, path));
    }
  while (g_get_monotonic_time () < end_us)
    {
      g_autofree char *id = next_id_ ();
      struct site_answer answer = ask_ (1, "/once/a", 0, id);

      assert_int_equal (answer.verdict, SITE_NOT_RUN);
      assert_true (answer.took_ms < NOTICE_MS);
      if (refused++ > 1)
        assert_true (answer.retry_after_s * 1000
                     >= (double)(end_us - g_get_monotonic_time ()) / 1000 - NOTICE_MS);
      g_usleep (PAUSE_US);
    }
  for (unsigned i = MODELS; i < MODELS + PLAINS; i++)
    assert_int_equal (count_of_ ("arrivals_paused", i), 0);
  /* A pause of one is no reason to refuse: the other one serves. */
  assert_true (site_fleet_control (fleet, "/backend?index=4&mode=ok"));
  g_usleep (NOTICE_MS * 1000);
  ask_for_a_while_ ("/safe/a", 0, NOTICE_MS);
}

struct caller_
{
  unsigned instance;
  unsigned requests;
  int64_t output_tokens;
  unsigned verdicts[SITE_WRONG + 1];
  const char *name;
};

static void *
call_often_ (void *data)
{
  struct caller_ *caller = data;

  for (unsigned i = 0; i < caller->requests; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-%u", caller->name, i);
      struct site_answer answer = ask_ (caller->instance, "/stream/a", caller->output_tokens, id);

      caller->verdicts[answer.verdict]++;
    }
  return NULL;
}

static void
a_planned_stop_finishes_what_runs (void **state)
{
  struct caller_ caller = { .instance = 1, .requests = 1, .output_tokens = 12000, .name = "stop" };
  GThread *thread = g_thread_new ("caller", call_often_, &caller);
  int code = -1;

  g_usleep (300000);
  harness_process_signal (fleet->instances[1], SIGTERM);
  g_usleep (200000);
  assert_int_equal (site_fleet_ready_status (fleet, 1), 503);
  /* The balancer may still send callers here: what would outlast the stop is refused at once. */
  g_usleep (LATE_IN_STOP_US);
  assert_int_equal (ask_ (1, "/stream/a", 60, "stop-late-stream").verdict, SITE_NOT_RUN);
  assert_int_equal (ask_ (1, "/once/a", 0, "stop-late-order").verdict, SITE_ANSWERED);
  g_thread_join (thread);
  assert_int_equal (caller.verdicts[SITE_ANSWERED], 1);
  assert_true (harness_process_wait (fleet->instances[1], 9000, &code));
  assert_int_equal (code, 0);
}

static int
connect_ (unsigned instance)
{
  g_autofree char *address = site_instance_address (instance);
  struct sockaddr_in target = { .sin_family = AF_INET, .sin_port = htons (PORT_BASE + 18) };
  int peer = socket (AF_INET, SOCK_STREAM, 0);

  inet_pton (AF_INET, address, &target.sin_addr);
  assert_int_equal (connect (peer, (struct sockaddr *)&target, sizeof target), 0);
  return peer;
}

/* Sends an order on PEER and returns the beginning of what comes back, the caller's; empty for
 * nothing. */
static char *
order_on_ (int peer, const char *id)
{
  g_autofree char *request
      = g_strdup_printf ("POST /once/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: %s\r\n"
                         "Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n",
                         id);
  char reply[4096];
  ssize_t length;

  assert_int_equal (send (peer, request, strlen (request), MSG_NOSIGNAL), strlen (request));
  g_usleep (REPLY_US);
  length = recv (peer, reply, sizeof reply, MSG_DONTWAIT);
  return g_strndup (reply, length < 0 ? 0 : (gsize)length);
}

/* Tells whether the other side has reset the connection, which says that it read no further. */
static bool
is_reset_ (int peer)
{
  int error = 0;
  socklen_t size = sizeof error;

  assert_int_equal (getsockopt (peer, SOL_SOCKET, SO_ERROR, &error, &size), 0);
  return error == EPIPE || error == ECONNRESET;
}

/* The link of an instance that stops is slow: requests arrive after it has begun to close
 * connections. Of a caller that had just connected the request is answered; on a connection that
 * was closed it is not read, which its caller can tell. */
static void
a_request_that_arrives_late_in_a_stop_is_not_lost (void **state)
{
  int kept = connect_ (1);
  g_autofree char *before = order_on_ (kept, "stop-kept-1");
  g_autofree char *answer = NULL;
  g_autofree char *crossed = NULL;
  int code = -1;
  int fresh;

  assert_true (g_str_has_prefix (before, "HTTP/1.1 200"));
  harness_process_signal (fleet->instances[1], SIGTERM);
  g_usleep (LATE_IN_STOP_US - 200000);
  fresh = connect_ (1);
  g_usleep (400000);
  answer = order_on_ (fresh, "stop-fresh");
  assert_true (g_str_has_prefix (answer, "HTTP/1.1 "));
  crossed = order_on_ (kept, "stop-kept-2");
  assert_string_equal (crossed, "");
  assert_true (is_reset_ (kept));
  assert_int_equal (runs_ ("stop-kept-2"), 0);
  close (fresh);
  close (kept);
  assert_true (harness_process_wait (fleet->instances[1], 9000, &code));
}

static void
a_change_of_settings_stops_nothing (void **state)
{
  struct caller_ caller = { .instance = 2, .requests = 5, .output_tokens = 300, .name = "hup" };
  GThread *thread = g_thread_new ("caller", call_often_, &caller);

  for (unsigned i = 0; i < 5; i++)
    {
      harness_process_signal (fleet->instances[2], SIGHUP);
      g_usleep (50000);
    }
  g_thread_join (thread);
  assert_int_equal (caller.verdicts[SITE_ANSWERED], 5);
  assert_true (harness_process_is_running (fleet->instances[2]));
}

/* A caller leaves before the first byte: the engine is told at once. */
static void
a_departure_ends_the_work (void **state)
{
  g_autofree char *address = site_instance_address (3);
  const char request[] = "POST /stream/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: gone-1\r\n"
                         "X-Token-Counts: 100,60\r\nAuthorization: Token key-1\r\n"
                         "Content-Length: 0\r\n\r\n";
  struct sockaddr_in target = { .sin_family = AF_INET, .sin_port = htons (PORT_BASE + 18) };
  int64_t end_us;
  json_t *counts = site_fleet_counts (fleet);
  int64_t before = harness_json_number (counts, "abandoned");
  int64_t after = before;
  int peer = socket (AF_INET, SOCK_STREAM, 0);

  json_decref (counts);
  set_all_ (0, MODELS, "silent");
  inet_pton (AF_INET, address, &target.sin_addr);
  assert_int_equal (connect (peer, (struct sockaddr *)&target, sizeof target), 0);
  assert_int_equal (send (peer, request, sizeof request - 1, 0), sizeof request - 1);
  g_usleep (200000);
  assert_int_equal (runs_ ("gone-1"), 1);
  close (peer);
  end_us = g_get_monotonic_time () + 500 * 1000;
  while (after == before && g_get_monotonic_time () < end_us)
    {
      g_usleep (20000);
      counts = site_fleet_counts (fleet);
      after = harness_json_number (counts, "abandoned");
      json_decref (counts);
    }
  assert_int_equal (after, before + 1);
}

/* Kills, restarts and an outage of the store while a budget is used up: nothing beyond it is
 * consumed, and what is refused was not run. Comes last: it leaves the budget empty. */
static void
no_budget_is_overspent (void **state)
{
  struct caller_ callers[9];
  GThread *threads[G_N_ELEMENTS (callers)];
  g_autofree char *names[G_N_ELEMENTS (callers)] = { 0 };
  json_t *counts = site_fleet_counts (fleet);
  int64_t spent = harness_json_number (json_object_get (counts, "consumed"), "team-1");
  int64_t prepaid = MAX (spent, PREPAID) + 60000;
  unsigned answered = 0;
  unsigned refused = 0;

  json_decref (counts);
  fleet->version += 10;
  /* The total can only be raised. */
  assert_true (site_fleet_configure (fleet, prepaid, true));
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      names[i] = g_strdup_printf ("spend-%u", i);
      callers[i] = (struct caller_){
        .instance = 1 + i % INSTANCES, .requests = 40, .output_tokens = 1800, .name = names[i]
      };
      threads[i] = g_thread_new ("caller", call_often_, &callers[i]);
    }
  g_usleep (G_USEC_PER_SEC);
  harness_process_kill (fleet->instances[1]);
  site_fleet_start_instance (fleet, 1);
  g_usleep (G_USEC_PER_SEC);
  site_fleet_control (fleet, "/store?mode=lost");
  g_usleep (G_USEC_PER_SEC);
  site_fleet_control (fleet, "/store?mode=silent");
  harness_process_kill (fleet->instances[2]);
  site_fleet_start_instance (fleet, 2);
  g_usleep (G_USEC_PER_SEC);
  site_fleet_control (fleet, "/store?mode=up");
  for (unsigned i = 0; i < G_N_ELEMENTS (callers); i++)
    {
      g_thread_join (threads[i]);
      g_clear_pointer (&names[i], g_free);
      answered += callers[i].verdicts[SITE_ANSWERED];
      refused += callers[i].verdicts[SITE_NOT_RUN];
      assert_int_equal (callers[i].verdicts[SITE_WRONG], 0);
    }
  counts = site_fleet_counts (fleet);
  spent = harness_json_number (json_object_get (counts, "consumed"), "team-1");
  json_decref (counts);
  print_message ("prepaid %" G_GINT64_FORMAT ", consumed %" G_GINT64_FORMAT
                 ", answered %u, refused %u\n",
                 (gint64)prepaid, (gint64)spent, answered, refused);
  assert_true (spent <= prepaid);
  assert_true (answered > 0);
}

/* Waits until every instance serves from budgets again, after an outage of the store. */
static void
wait_for_budgets_ (void)
{
  int64_t end_us = g_get_monotonic_time () + RECOVERED_MAX_MS * 1000;

  for (unsigned i = 1; i <= INSTANCES; i++)
    {
      enum site_verdict verdict = SITE_NOT_RUN;

      while (verdict != SITE_ANSWERED && g_get_monotonic_time () < end_us)
        {
          g_autofree char *id = next_id_ ();

          verdict = ask_ (i, "/resume/a", 60, id).verdict;
          g_usleep (PAUSE_US);
        }
      assert_int_equal (verdict, SITE_ANSWERED);
    }
}

/* The store comes back from copies of some seconds ago, twice in a row: no caller is refused for
 * want of a backend server, the configuration in force does not go back, and the budget holds. */
static void
a_store_that_comes_back_from_a_copy_harms_nobody (void **state)
{
  static const int ages_ms[] = { 300, 2500, 1000 };
  unsigned refused = 0;

  assert_true (site_fleet_configure (fleet, 4 * PREPAID, true)); /* another case has emptied it */
  wait_for_budgets_ ();
  for (unsigned i = 0; i < 90; i++)
    {
      g_autofree char *id = next_id_ ();
      struct site_answer answer;

      if (i % 30 == 10)
        {
          g_autofree char *path = g_strdup_printf ("/restore?age_ms=%d", ages_ms[i / 30]);

          assert_true (site_fleet_control (fleet, path));
        }
      answer
          = ask_ (1 + i % INSTANCES, i % 2 == 0 ? "/resume/a" : "/safe/a", i % 2 == 0 ? 60 : 0, id);
      assert_true (answer.verdict == SITE_ANSWERED || answer.verdict == SITE_NOT_RUN);
      refused += answer.verdict == SITE_NOT_RUN;
      g_usleep (EASY_PAUSE_US);
    }
  print_message ("%u of 90 refused\n", refused);
  assert_int_equal (refused, 0);
  for (unsigned i = 1; i <= INSTANCES; i++)
    assert_true (harness_process_is_running (fleet->instances[i]));
}

/* A route has been withdrawn when the store comes back from a copy that still has it, and the
 * operator takes a while to write again. An instance that starts just then does not serve it, and
 * serves what holds as soon as the store shows that. */
static void
a_start_after_a_return_takes_no_older_configuration (void **state)
{
  const int64_t prepaid = 5 * PREPAID;
  g_autofree char *path
      = g_strdup_printf ("/restore?age_ms=%d&operator_ms=%d", IN_FORCE_MAX_MS + 500, OPERATOR_MS);
  int64_t end_us;
  bool answered = false;

  assert_true (site_fleet_configure (fleet, prepaid, true));
  g_usleep (IN_FORCE_MAX_MS * 1000);
  assert_true (site_fleet_configure (fleet, prepaid, false));
  g_usleep (IN_FORCE_MAX_MS * 1000);
  harness_process_kill (fleet->instances[2]);
  assert_true (site_fleet_control (fleet, path));
  end_us = g_get_monotonic_time () + OPERATOR_MS * 1000;
  site_fleet_start_instance (fleet, 2);
  while (g_get_monotonic_time () < end_us)
    {
      g_autofree char *id = next_id_ ();

      assert_int_not_equal (ask_ (2, "/extra/a", 0, id).verdict, SITE_ANSWERED);
      g_usleep (PAUSE_US);
    }
  end_us += IN_FORCE_MAX_MS * 1000;
  while (!answered && g_get_monotonic_time () < end_us)
    {
      g_autofree char *id = next_id_ ();

      answered = ask_ (2, "/safe/a", 0, id).verdict == SITE_ANSWERED;
      g_usleep (PAUSE_US);
    }
  assert_true (answered);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (every_caller_gets_its_own_whole_answer, mend),
    cmocka_unit_test_teardown (what_is_not_allowed_is_refused, mend),
    cmocka_unit_test_teardown (an_order_runs_once_at_most, mend),
    cmocka_unit_test_teardown (what_may_be_repeated_is_answered_by_another_server, mend),
    cmocka_unit_test_teardown (a_resumable_stream_goes_on_elsewhere, mend),
    cmocka_unit_test_teardown (a_stream_that_is_cut_looks_so, mend),
    cmocka_unit_test_teardown (the_store_may_be_away_for_a_while, mend),
    cmocka_unit_test_teardown (a_configuration_is_in_force_within_its_time, mend),
    cmocka_unit_test_teardown (a_leaving_server_gets_no_new_work_after_its_time, mend),
    cmocka_unit_test_teardown (a_server_that_says_so_in_its_answers_gets_no_new_work, mend),
    cmocka_unit_test_teardown (servers_that_want_a_pause_get_one, mend),
    cmocka_unit_test_teardown (a_planned_stop_finishes_what_runs, mend),
    cmocka_unit_test_teardown (a_request_that_arrives_late_in_a_stop_is_not_lost, mend),
    cmocka_unit_test_teardown (a_change_of_settings_stops_nothing, mend),
    cmocka_unit_test_teardown (a_departure_ends_the_work, mend),
    cmocka_unit_test_teardown (no_budget_is_overspent, mend),
    cmocka_unit_test_teardown (a_store_that_comes_back_from_a_copy_harms_nobody, mend),
    cmocka_unit_test_teardown (a_start_after_a_return_takes_no_older_configuration, mend),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
