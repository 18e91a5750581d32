/* Requests that arrive during a planned stop, until the process is gone: what is taken is answered
 * before the end of the grace, or refused. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 35100,
  MODEL_BACKENDS = 1,
  PLAIN_BACKENDS = 2,
  PREPAID_TOKENS = 100000000,
  STOP_LIMIT_S = 5,
  DEADLINE_MS = 600,
  CALLERS = 16,
  ROUNDS = 3,
  EXIT_LIMIT_MS = 10000,
  SLOW_CALLERS = 4,
  IDLE_CALLERS = 8,
  SLOW_BODY_BYTES = 240000, /* short enough for the gateway to queue it whole */
  SLOW_READ_BYTES = 4096,
  SLOW_READ_INTERVAL_MS = 15,
  LAST_CALLERS = 8,
  LAST_ROUNDS = 4,
  ACCEPT_MS = 4,       /* for the process to accept connections; far less than between two checks */
  STANDSTILL_MS = 120, /* longer than between two checks */
  SLOW_BEGIN_MS = 3000, /* after the signal: the answer is queued when the stop ends what is idle */
  US_PER_MS = 1000
};

struct caller_
{
  unsigned number;
  unsigned round;
  int64_t until_us;
  unsigned answered;
  unsigned refused;
  unsigned lost;
};

static struct site_fleet *fleet;

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "planned-stop",
                                               .port_base = PORT_BASE,
                                               .instances = 1,
                                               .model_backends = MODEL_BACKENDS,
                                               .plain_backends = PLAIN_BACKENDS,
                                               .event_interval_ms = 2,
                                               .prepaid = PREPAID_TOKENS,
                                               .stop_limit_s = STOP_LIMIT_S };

  fleet = site_fleet_start (&options);
  return fleet != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  site_fleet_stop (fleet);
  return 0;
}

static void *
run_caller (void *data)
{
  struct caller_ *caller = data;
  GRand *random = g_rand_new_with_seed (caller->round * 100 + caller->number);

  for (unsigned i = 0; g_get_monotonic_time () < caller->until_us; i++)
    {
      g_autofree char *id = g_strdup_printf ("p%u-%u-%u", caller->round, caller->number, i);
      const struct site_request request
          = { .instance = 1,
              .path = i % 2 == 0 ? "/once/a" : "/safe/a",
              .id = id,
              .deadline_ms = g_rand_int_range (random, DEADLINE_MS / 4, DEADLINE_MS) };
      struct site_response answer = site_send (fleet, &request);

      if (answer.outcome == SITE_NOT_RUN)
        caller->refused++;
      else if (answer.outcome != SITE_NO_RESPONSE)
        caller->answered++;
      else
        {
          json_t *counts = site_fleet_counts (fleet);

          if (site_run_count (counts, id) > 0)
            {
              caller->lost++;
              print_message ("%s: run, and no answer after %d ms\n", id, (int)answer.duration_ms);
            }
          json_decref (counts);
          g_usleep (20 * US_PER_MS);
        }
    }
  g_rand_free (random);
  return NULL;
}

/* Servers that never answer keep requests open until their deadlines; the last ones fall together
 * with the end of the grace. They were cut without an answer. */
static void
requests_at_the_end_of_the_grace_are_answered (void **state)
{
  for (unsigned round = 0; round < ROUNDS; round++)
    {
      struct caller_ callers[CALLERS] = { 0 };
      GThread *threads[CALLERS];
      unsigned answered = 0;
      unsigned refused = 0;
      unsigned lost = 0;
      int exit_code = -1;

      assert_true (site_fleet_set_backends (fleet, MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS,
                                            "mode=silent"));
      harness_process_signal (fleet->instances[1], SIGTERM);
      for (unsigned i = 0; i < CALLERS; i++)
        {
          callers[i].number = i;
          callers[i].round = round;
          callers[i].until_us = g_get_monotonic_time () + (int64_t)STOP_LIMIT_S * 1000 * US_PER_MS;
          threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
        }
      assert_true (harness_process_wait (fleet->instances[1], EXIT_LIMIT_MS, &exit_code));
      for (unsigned i = 0; i < CALLERS; i++)
        {
          g_thread_join (threads[i]);
          answered += callers[i].answered;
          refused += callers[i].refused;
          lost += callers[i].lost;
        }
      print_message ("round %u: %u answered, %u refused, %u lost\n", round, answered, refused,
                     lost);
      assert_int_equal (exit_code, 0);
      assert_true (answered > 0 && refused > 0);
      assert_int_equal (lost, 0);
      assert_true (site_fleet_set_backends (fleet, MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS,
                                            "mode=ok"));
      assert_true (site_fleet_start_instance (fleet, 1));
      assert_true (site_fleet_wait_ready (fleet, 1, 20000));
    }
}

/* Reads a long response slowly. DATA gets the number of bytes. */
static void *
run_slow_caller (void *data)
{
  static const char request[]
      = "POST /once/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: slow\r\n"
        "X-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\nContent-Length: 4\r\n\r\nbody";
  char buffer[SLOW_READ_BYTES];
  size_t *received = data;
  int peer = site_connect (fleet, 1, true);
  ssize_t length;

  if (send (peer, request, strlen (request), MSG_NOSIGNAL) < 0)
    return NULL;
  while ((length = recv (peer, buffer, sizeof buffer, 0)) > 0)
    {
      *received += (size_t)length;
      g_usleep (SLOW_READ_INTERVAL_MS * US_PER_MS);
    }
  close (peer);
  return NULL;
}

/* The last bytes of an answer were still queued when the process, which had no request left,
 * exited. */
static void
answers_to_slow_callers_are_sent_whole_before_the_exit (void **state)
{
  size_t received[SLOW_CALLERS] = { 0 };
  GThread *threads[SLOW_CALLERS];
  g_autofree char *form = g_strdup_printf ("mode=ok&filler=%u", (unsigned)SLOW_BODY_BYTES);
  int exit_code = -1;

  assert_true (
      site_fleet_set_backends (fleet, MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS, form));
  harness_process_signal (fleet->instances[1], SIGTERM);
  g_usleep (SLOW_BEGIN_MS * US_PER_MS);
  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    threads[i] = g_thread_new ("slow", run_slow_caller, &received[i]);
  assert_true (harness_process_wait (fleet->instances[1], EXIT_LIMIT_MS, &exit_code));
  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    {
      g_thread_join (threads[i]);
      print_message ("caller %u: %zu bytes\n", i, received[i]);
    }
  assert_true (site_fleet_start_instance (fleet, 1));
  assert_true (site_fleet_wait_ready (fleet, 1, 20000));
  assert_int_equal (exit_code, 0);
  for (unsigned i = 0; i < SLOW_CALLERS; i++)
    assert_true (received[i] > SLOW_BODY_BYTES);
}

static void *
run_stream (void *data)
{
  struct site_response *answer = data;
  const struct site_request request = { .instance = 1,
                                        .path = "/stream/a",
                                        .id = "last-stream",
                                        .input_tokens = 1000,
                                        .output_tokens = 60,
                                        .deadline_ms = EXIT_LIMIT_MS };

  *answer = site_send (fleet, &request);
  return NULL;
}

static void *
run_stuck (void *data)
{
  struct site_response *answer = data;
  struct raw_http_response *reply
      = site_call_raw (fleet, 1,
                       "POST /once/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: stuck\r\n"
                       "X-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n"
                       "Content-Length: 4\r\n\r\nbo");

  answer->status = reply->status;
  raw_reply_free (reply);
  return NULL;
}

/* A stream without a first byte and a request whose body is still arriving: both were cut off when
 * the process exited. */
static void
what_is_left_at_the_end_of_the_grace_is_refused (void **state)
{
  struct site_response answers[2] = { 0 };
  GThread *threads[2];
  int exit_code = -1;

  assert_true (site_fleet_set_backends (fleet, 0, MODEL_BACKENDS, "mode=silent"));
  threads[0] = g_thread_new ("stream", run_stream, &answers[0]);
  threads[1] = g_thread_new ("stuck", run_stuck, &answers[1]);
  g_usleep (500 * US_PER_MS);
  harness_process_signal (fleet->instances[1], SIGTERM);
  assert_true (harness_process_wait (fleet->instances[1], EXIT_LIMIT_MS, &exit_code));
  for (unsigned i = 0; i < G_N_ELEMENTS (threads); i++)
    g_thread_join (threads[i]);
  assert_int_equal (exit_code, 0);
  assert_int_equal (answers[0].status, 504);
  assert_true (answers[1].status == 503 || answers[1].status == 408);
  assert_true (site_fleet_set_backends (fleet, 0, MODEL_BACKENDS, "mode=ok"));
  assert_true (site_fleet_start_instance (fleet, 1));
  assert_true (site_fleet_wait_ready (fleet, 1, 20000));
}

/* Reads the whole response to request NUMBER of a_request_that_waits_when_the_stop_begins. Returns
 * whether it is a success. */
static bool
read_answer (int peer, unsigned number)
{
  g_autofree char *body = g_strdup_printf ("answer to stop-%u", number);
  g_autoptr (GString) received = g_string_new (NULL);
  char buffer[2048];
  ssize_t length;

  while (!g_str_has_suffix (received->str, body)
         && (length = recv (peer, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (received, buffer, length);
  return g_str_has_prefix (received->str, "HTTP/1.1 200 ")
         && g_str_has_suffix (received->str, body);
}

/* A late process is told to stop while a whole request waits in the socket of an idle connection:
 * the connection was reset under it. */
static void
a_request_that_waits_when_the_stop_begins_is_answered (void **state)
{
  static const char head[] = "POST /once/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: stop-%u\r\n"
                             "X-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\n"
                             "Content-Length: 4\r\n\r\nbody";
  int peers[IDLE_CALLERS];
  int exit_code = -1;

  assert_true (site_fleet_set_backends (fleet, MODEL_BACKENDS, MODEL_BACKENDS + PLAIN_BACKENDS,
                                        "mode=ok&filler=0"));
  for (unsigned i = 0; i < IDLE_CALLERS; i++)
    {
      g_autofree char *request = g_strdup_printf (head, i);

      peers[i] = site_connect (fleet, 1, false);
      assert_true (send (peers[i], request, strlen (request), MSG_NOSIGNAL) > 0);
      assert_true (read_answer (peers[i], i));
    }
  g_usleep (1000 * US_PER_MS);
  harness_process_signal (fleet->instances[1], SIGSTOP);
  harness_process_signal (fleet->instances[1], SIGTERM);
  for (unsigned i = 0; i < IDLE_CALLERS; i++)
    {
      g_autofree char *request = g_strdup_printf (head, IDLE_CALLERS + i);

      assert_true (send (peers[i], request, strlen (request), MSG_NOSIGNAL) > 0);
    }
  harness_process_signal (fleet->instances[1], SIGCONT);
  for (unsigned i = 0; i < IDLE_CALLERS; i++)
    {
      assert_true (read_answer (peers[i], IDLE_CALLERS + i));
      close (peers[i]);
    }
  assert_true (harness_process_wait (fleet->instances[1], EXIT_LIMIT_MS, &exit_code));
  assert_int_equal (exit_code, 0);
  assert_true (site_fleet_start_instance (fleet, 1));
  assert_true (site_fleet_wait_ready (fleet, 1, 20000));
}

/* Sends requests one by one, so that there are idle connections to the servers, until the instance
 * has withdrawn its announcement: its next check finds no request in progress and ends the stop. */
static void
call_until_the_last_check (unsigned round)
{
  for (unsigned i = 0; site_fleet_has_object (fleet, "sapphirerun-instances", "instance-1"); i++)
    {
      g_autofree char *id = g_strdup_printf ("before-%u-%u", round, i);
      const struct site_request request
          = { .instance = 1, .path = i % 2 == 0 ? "/once/a" : "/safe/a", .id = id };

      if (i % 16 == 0)
        site_send (fleet, &request);
      g_usleep (US_PER_MS);
    }
}

/* Returns the status of the response on PEER, or 0 if the connection ends without one. */
static unsigned
read_status (int peer)
{
  char buffer[2048] = "";
  unsigned status = 0;

  if (recv (peer, buffer, sizeof buffer - 1, 0) > 0)
    sscanf (buffer, "HTTP/1.1 %u ", &status);
  return status;
}

/* After the check that finds no request in progress, the loop once polled again: requests that
 * arrived with it were sent to servers, and the process exited before their answers. The standstill
 * lets the check come before the poll. */
static void
requests_that_arrive_with_the_last_check_are_answered_or_not_read (void **state)
{
  unsigned lost = 0;

  for (unsigned round = 0; round < LAST_ROUNDS; round++)
    {
      int peers[LAST_CALLERS];
      int exit_code = -1;
      json_t *counts;

      harness_process_signal (fleet->instances[1], SIGTERM);
      call_until_the_last_check (round);
      for (unsigned i = 0; i < LAST_CALLERS; i++)
        peers[i] = site_connect (fleet, 1, false);
      g_usleep (ACCEPT_MS * US_PER_MS);
      harness_process_signal (fleet->instances[1], SIGSTOP);
      for (unsigned i = 0; i < LAST_CALLERS; i++)
        {
          g_autofree char *request = g_strdup_printf (
              "POST %s HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: last-%u-%u\r\n"
              "X-Deadline-Ms: 1000\r\nAuthorization: Token key-1\r\n"
              "Content-Length: 4\r\n\r\nbody",
              i % 2 == 0 ? "/once/a" : "/safe/a", round, i);

          if (peers[i] >= 0)
            send (peers[i], request, strlen (request), MSG_NOSIGNAL);
        }
      g_usleep (STANDSTILL_MS * US_PER_MS);
      harness_process_signal (fleet->instances[1], SIGCONT);
      counts = NULL;
      for (unsigned i = 0; i < LAST_CALLERS; i++)
        {
          g_autofree char *id = g_strdup_printf ("last-%u-%u", round, i);
          unsigned status = peers[i] < 0 ? 0 : read_status (peers[i]);

          if (peers[i] >= 0)
            close (peers[i]);
          counts = site_fleet_counts (fleet);
          if (status == 0 && site_run_count (counts, id) > 0)
            {
              print_message ("%s: run, and no answer\n", id);
              lost++;
            }
          json_decref (counts);
        }
      assert_true (harness_process_wait (fleet->instances[1], EXIT_LIMIT_MS, &exit_code));
      assert_int_equal (exit_code, 0);
      assert_true (site_fleet_start_instance (fleet, 1));
      assert_true (site_fleet_wait_ready (fleet, 1, 20000));
    }
  assert_int_equal (lost, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (requests_that_arrive_with_the_last_check_are_answered_or_not_read),
    cmocka_unit_test (what_is_left_at_the_end_of_the_grace_is_refused),
    cmocka_unit_test (answers_to_slow_callers_are_sent_whole_before_the_exit),
    cmocka_unit_test (requests_at_the_end_of_the_grace_are_answered),
    cmocka_unit_test (a_request_that_waits_when_the_stop_begins_is_answered),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
