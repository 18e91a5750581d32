/* Requests beside changes of the configuration: each whole request gets an answer or a refusal, or
 * is not read at all, so that its caller knows that it has not run. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <poll.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 35000,
  PLAIN_BACKENDS = 2,
  PREPAID_TOKENS = 100000000,
  IDLE_SHORT_MS = 300,
  IDLE_MEDIUM_MS = 1500,
  GRACE_MS = 1000, /* for which a connection outlives its idle limit */
  IDLE_LONG_MS = 15000,
  ABSENCE_MS = 500,  /* of the process */
  DELIVERY_MS = 200, /* of a request over a busy link */
  LARGE_ROUTES = 1400,
  HEAD_BEYOND_BYTES = 20000, /* above the configuration's limit */
  SLOW_BODY_BYTES = 240000,  /* short enough for the gateway to queue it whole */
  SLOW_READ_BYTES = 4096,
  SLOW_READ_INTERVAL_MS = 25,
  ANSWER_LIMIT_MS = 4000,
  SEEDS = 3,
  CALLERS = 12,
  REQUESTS_PER_CALLER = 25,
  SLACK_MS = 200, /* from a request's last byte to the end of a connection that it crossed */
  US_PER_MS = 1000
};

struct caller_
{
  unsigned number;
  unsigned seed;
  unsigned answered;
  unsigned crossed; /* requests that met the end of their idle connection, and were not read */
  unsigned lost;
};

static struct site_fleet *fleet;
static unsigned first_seed = 1;
static unsigned n_seeds = SEEDS;

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "changes",
                                               .port_base = PORT_BASE,
                                               .instances = 1,
                                               .model_backends = 0,
                                               .plain_backends = PLAIN_BACKENDS,
                                               .event_interval_ms = 2,
                                               .prepaid = PREPAID_TOKENS };

  fleet = site_fleet_start (&options);
  return fleet != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  site_fleet_stop (fleet);
  return 0;
}

static bool
send_all (int peer, const char *text)
{
  return send (peer, text, strlen (text), MSG_NOSIGNAL) == (ssize_t)strlen (text);
}

static char *
head_of (const char *path, const char *id, size_t body_bytes)
{
  return g_strdup_printf ("POST %s HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: %s\r\n"
                          "X-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n"
                          "Content-Length: %zu\r\n\r\n",
                          path, id, body_bytes);
}

/* Waits for a whole response with a length. Returns its status, or 0 if the connection ended
 * without one; -1 if nothing happened within ANSWER_LIMIT_MS. */
static int
read_status (int peer)
{
  struct pollfd poller = { .fd = peer, .events = POLLIN };
  g_autoptr (GString) received = g_string_new (NULL);

  while (poll (&poller, 1, ANSWER_LIMIT_MS) > 0)
    {
      char buffer[2048];
      ssize_t length = recv (peer, buffer, sizeof buffer, 0);
      const char *end;
      const char *field;
      int status;

      if (length <= 0)
        return 0;
      g_string_append_len (received, buffer, length);
      end = strstr (received->str, "\r\n\r\n");
      field = strstr (received->str, "Content-Length: ");
      if (end == NULL)
        continue;
      if (field == NULL || sscanf (received->str, "HTTP/1.1 %d", &status) != 1)
        return 0;
      if ((size_t)(received->str + received->len - end) - strlen ("\r\n\r\n")
          >= strtoul (field + strlen ("Content-Length: "), NULL, 10))
        return status;
    }
  return -1;
}

/* Waits for the head of a response. Returns whether TEXT stands in it. */
static bool
head_contains (int peer, const char *text)
{
  struct pollfd poller = { .fd = peer, .events = POLLIN };
  g_autoptr (GString) received = g_string_new (NULL);

  while (strstr (received->str, "\r\n\r\n") == NULL && poll (&poller, 1, ANSWER_LIMIT_MS) > 0)
    {
      char buffer[2048];
      ssize_t length = recv (peer, buffer, sizeof buffer, 0);

      if (length <= 0)
        return false;
      g_string_append_len (received, buffer, length);
    }
  return strstr (received->str, text) != NULL;
}

static bool
has_ended (int peer)
{
  char byte;

  return recv (peer, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static unsigned
run_count (const char *id)
{
  json_t *counts = site_fleet_counts (fleet);
  unsigned runs = site_run_count (counts, id);

  json_decref (counts);
  return runs;
}

static void
submit (unsigned idle_ms, bool with_extra_route)
{
  fleet->idle_timeout_ms = idle_ms;
  assert_true (site_fleet_configure (fleet, PREPAID_TOKENS, with_extra_route));
}

/* The process was late, as behind a large configuration: when the idle limit is over, a whole
 * request waits in the socket. It was read and dropped. */
static void
a_request_that_waits_when_the_idle_limit_is_over_is_answered (void **state)
{
  g_autofree char *first = head_of ("/safe/a", "idle-1", 4);
  g_autofree char *second = head_of ("/once/a", "idle-2", 4);
  int peer;

  submit (IDLE_SHORT_MS, false);
  g_usleep (1000 * US_PER_MS);
  peer = site_connect (fleet, 1, false);
  assert_true (send_all (peer, first) && send_all (peer, "body"));
  assert_int_equal (read_status (peer), 200);
  harness_process_signal (fleet->instances[1], SIGSTOP);
  assert_true (send_all (peer, second) && send_all (peer, "body"));
  g_usleep ((2 * IDLE_SHORT_MS + GRACE_MS) * US_PER_MS);
  harness_process_signal (fleet->instances[1], SIGCONT);
  assert_int_equal (read_status (peer), 200);
  assert_int_equal (run_count ("idle-2"), 1);
  close (peer);
  submit (IDLE_LONG_MS, false);
}

/* The request is sent just before the idle limit is over, while a large configuration holds the
 * process up. */
static void
a_request_behind_a_large_configuration_is_answered_on_a_kept_connection (void **state)
{
  g_autofree char *first = head_of ("/safe/a", "large-1", 4);
  g_autofree char *second = head_of ("/once/a", "large-2", 4);
  int peer;

  submit (IDLE_MEDIUM_MS, false);
  g_usleep (1000 * US_PER_MS);
  peer = site_connect (fleet, 1, false);
  assert_true (send_all (peer, first) && send_all (peer, "body"));
  assert_int_equal (read_status (peer), 200);
  g_usleep ((IDLE_MEDIUM_MS - 100) * US_PER_MS);
  harness_process_signal (fleet->instances[1], SIGSTOP);
  fleet->unused_routes = LARGE_ROUTES;
  submit (IDLE_MEDIUM_MS, false);
  assert_true (send_all (peer, second) && send_all (peer, "body"));
  g_usleep (ABSENCE_MS * US_PER_MS);
  harness_process_signal (fleet->instances[1], SIGCONT);
  assert_int_equal (read_status (peer), 200);
  assert_int_equal (run_count ("large-2"), 1);
  close (peer);
  fleet->unused_routes = 0;
  submit (IDLE_LONG_MS, false);
}

/* The connection was closed at the very moment up to which its caller may use it. */
static void
a_request_that_crosses_the_idle_limit_is_answered (void **state)
{
  g_autofree char *first = head_of ("/safe/a", "cross-1", 4);
  g_autofree char *second = head_of ("/once/a", "cross-2", 4);
  int peer;

  submit (IDLE_MEDIUM_MS, false);
  g_usleep (1000 * US_PER_MS);
  peer = site_connect (fleet, 1, false);
  assert_true (send_all (peer, first) && send_all (peer, "body"));
  assert_int_equal (read_status (peer), 200);
  g_usleep ((IDLE_MEDIUM_MS + DELIVERY_MS) * US_PER_MS);
  assert_true (send_all (peer, second) && send_all (peer, "body"));
  assert_int_equal (read_status (peer), 200);
  close (peer);
  submit (IDLE_LONG_MS, false);
}

static void
responses_announce_the_idle_limit (void **state)
{
  g_autofree char *head = head_of ("/safe/a", "announce-1", 4);
  g_autofree char *request = g_strconcat (head, "body", NULL);
  int peer;

  submit (IDLE_LONG_MS, false);
  g_usleep (1000 * US_PER_MS);
  peer = site_connect (fleet, 1, false);
  assert_true (send_all (peer, request));
  assert_true (head_contains (peer, "\r\nKeep-Alive: timeout=15\r\n"));
  close (peer);
}

/* What was still queued was dropped at the idle limit. */
static void
a_response_to_a_slow_caller_is_sent_whole_although_the_idle_limit_is_over (void **state)
{
  g_autofree char *head = head_of ("/safe/a", "slow-1", 4);
  g_autofree char *form = g_strdup_printf ("mode=ok&filler=%u", (unsigned)SLOW_BODY_BYTES);
  size_t received = 0;
  char buffer[SLOW_READ_BYTES];
  int peer;

  submit (IDLE_SHORT_MS, false);
  assert_true (site_fleet_set_backends (fleet, 0, PLAIN_BACKENDS, form));
  g_usleep (1000 * US_PER_MS);
  peer = site_connect (fleet, 1, true);
  assert_true (send_all (peer, head) && send_all (peer, "body"));
  while (received < SLOW_BODY_BYTES)
    {
      ssize_t length = recv (peer, buffer, sizeof buffer, 0);

      if (length <= 0)
        break;
      received += (size_t)length;
      g_usleep (SLOW_READ_INTERVAL_MS * US_PER_MS);
    }
  assert_true (site_fleet_set_backends (fleet, 0, PLAIN_BACKENDS, "mode=ok&filler=0"));
  close (peer);
  submit (IDLE_LONG_MS, false);
  assert_true (received >= SLOW_BODY_BYTES);
}

/* It was taken for the rest of the request before, which has been answered. */
static void
a_head_that_is_too_large_is_refused_on_a_kept_connection (void **state)
{
  g_autofree char *first = head_of ("/safe/a", "head-1", 4);
  g_autofree char *filler = g_strnfill (HEAD_BEYOND_BYTES, 'x');
  int peer = site_connect (fleet, 1, false);

  assert_true (send_all (peer, first) && send_all (peer, "body"));
  assert_int_equal (read_status (peer), 200);
  assert_true (send_all (peer, "POST /once/a HTTP/1.1\r\nHost: site.test\r\nX-Filler: ")
               && send_all (peer, filler));
  assert_int_equal (read_status (peer), 431);
  close (peer);
}

/* The connection closes behind the refusal, and a next request on it was read and dropped. */
static void
a_refusal_of_a_chunked_body_beyond_the_limit_announces_the_end_of_the_connection (void **state)
{
  static const char head[]
      = "POST /once/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: chunk-1\r\n"
        "Authorization: Token key-1\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n";
  g_autofree char *body = g_strnfill (0x11000, 'x');
  int peer = site_connect (fleet, 1, false);

  assert_true (send_all (peer, head) && send_all (peer, body));
  assert_true (head_contains (peer, "\r\nConnection: close\r\n"));
  close (peer);
}

/* Such a request was given up without a word. */
static void
a_request_whose_body_stops_arriving_is_refused_as_not_run (void **state)
{
  g_autofree char *head = head_of ("/once/a", "stuck-1", 4);
  int peer;

  submit (IDLE_SHORT_MS, false);
  g_usleep (1000 * US_PER_MS);
  peer = site_connect (fleet, 1, false);
  assert_true (send_all (peer, head) && send_all (peer, "bo"));
  assert_int_equal (read_status (peer), 408);
  close (peer);
  peer = site_connect (fleet, 1, false);
  assert_true (send_all (peer, "POST /once/a HTTP/1.1\r\nHost: si"));
  assert_int_equal (read_status (peer), 408);
  close (peer);
  assert_int_equal (run_count ("stuck-1"), 0);
  submit (IDLE_LONG_MS, false);
}

/* A connection that was idle under the long limit is used again although the limit has been
 * shortened since: its caller may not have seen the change. */
static void
a_shorter_idle_limit_does_not_close_connections_that_were_idle_before (void **state)
{
  g_autofree char *first = head_of ("/safe/a", "before-1", 4);
  g_autofree char *second = head_of ("/once/a", "before-2", 4);
  int peer = site_connect (fleet, 1, false);

  submit (IDLE_LONG_MS, false);
  g_usleep (1000 * US_PER_MS);
  assert_true (send_all (peer, first) && send_all (peer, "body"));
  assert_int_equal (read_status (peer), 200);
  submit (IDLE_SHORT_MS, false);
  g_usleep (4000 * US_PER_MS);
  assert_true (send_all (peer, second) && send_all (peer, "body"));
  assert_int_equal (read_status (peer), 200);
  close (peer);
  submit (IDLE_LONG_MS, false);
}

static void *
run_caller (void *data)
{
  static const char *const paths[] = { "/once/a", "/safe/a", "/extra/a", "/none/a" };
  struct caller_ *caller = data;
  GRand *random = g_rand_new_with_seed (caller->seed * 1000 + caller->number);
  int peer = -1;

  for (unsigned i = 0; i < REQUESTS_PER_CALLER; i++)
    {
      g_autofree char *id = g_strdup_printf ("c%u-%u-%u", caller->seed, caller->number, i);
      g_autofree char *head
          = head_of (paths[g_rand_int_range (random, 0, G_N_ELEMENTS (paths))], id, 8);
      bool is_kept = true;
      int64_t sent_us;
      int status;

      g_usleep ((gulong)g_rand_int_range (random, 0, 2 * IDLE_SHORT_MS) * US_PER_MS);
      if (peer >= 0 && has_ended (peer))
        {
          close (peer);
          peer = -1;
        }
      if (peer < 0)
        {
          peer = site_connect (fleet, 1, false);
          is_kept = false;
        }
      if (!send_all (peer, head) || !send_all (peer, "half"))
        status = 0;
      else
        {
          g_usleep ((gulong)g_rand_int_range (random, 0, IDLE_SHORT_MS / 2) * US_PER_MS);
          status = send_all (peer, "full") ? read_status (peer) : 0;
        }
      sent_us = g_get_monotonic_time ();
      if (status > 0)
        caller->answered++;
      else if (status == 0 && is_kept && run_count (id) == 0
               && g_get_monotonic_time () - sent_us < SLACK_MS * US_PER_MS)
        caller->crossed++;
      else
        {
          caller->lost++;
          print_message ("%s: lost, status %d, connection %s\n", id, status,
                         is_kept ? "kept" : "new");
        }
      if (status <= 0 || status == 408)
        {
          close (peer);
          peer = -1;
        }
    }
  if (peer >= 0)
    close (peer);
  g_rand_free (random);
  return NULL;
}

static void
requests_beside_changes_are_all_accounted_for (void **state)
{
  for (unsigned seed = first_seed; seed < first_seed + n_seeds; seed++)
    {
      struct caller_ callers[CALLERS] = { 0 };
      GThread *threads[CALLERS];
      GRand *random = g_rand_new_with_seed (seed);
      unsigned answered = 0;
      unsigned crossed = 0;
      unsigned lost = 0;

      for (unsigned i = 0; i < CALLERS; i++)
        {
          callers[i] = (struct caller_){ .number = i, .seed = seed };
          threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
        }
      for (unsigned i = 0; i < 20; i++)
        {
          submit (g_rand_int_range (random, 0, 2) == 0 ? IDLE_SHORT_MS : IDLE_LONG_MS,
                  g_rand_int_range (random, 0, 2) == 0);
          g_usleep ((gulong)g_rand_int_range (random, 20, 900) * US_PER_MS);
        }
      for (unsigned i = 0; i < CALLERS; i++)
        {
          g_thread_join (threads[i]);
          answered += callers[i].answered;
          crossed += callers[i].crossed;
          lost += callers[i].lost;
        }
      g_rand_free (random);
      print_message ("seed %u: %u answered, %u crossed the end of their connection, %u lost\n",
                     seed, answered, crossed, lost);
      assert_int_equal (lost, 0);
      assert_true (harness_process_is_running (fleet->instances[1]));
    }
  submit (IDLE_LONG_MS, false);
}

int
main (int argc, char **argv)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_request_that_waits_when_the_idle_limit_is_over_is_answered),
    cmocka_unit_test (a_request_behind_a_large_configuration_is_answered_on_a_kept_connection),
    cmocka_unit_test (a_request_that_crosses_the_idle_limit_is_answered),
    cmocka_unit_test (responses_announce_the_idle_limit),
    cmocka_unit_test (a_response_to_a_slow_caller_is_sent_whole_although_the_idle_limit_is_over),
    cmocka_unit_test (a_head_that_is_too_large_is_refused_on_a_kept_connection),
    cmocka_unit_test (
        a_refusal_of_a_chunked_body_beyond_the_limit_announces_the_end_of_the_connection),
    cmocka_unit_test (a_request_whose_body_stops_arriving_is_refused_as_not_run),
    cmocka_unit_test (a_shorter_idle_limit_does_not_close_connections_that_were_idle_before),
    cmocka_unit_test (requests_beside_changes_are_all_accounted_for),
  };

  if (argc == 3)
    {
      first_seed = (unsigned)strtoul (argv[1], NULL, 10);
      n_seeds = (unsigned)strtoul (argv[2], NULL, 10);
    }
  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
