/* Orders on open connections while an instance of the product's own interface hands over its bills
 * and allotments at the end of a planned stop: each is answered, refused or not read. */
#include "testing/harness/harness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 30950,
  INSTANCE = 1,
  SERVICE = 1,
  CALLERS = 12,
  BEGIN_MS = 620,   /* from the signal until the hand-over has begun, with no request in progress */
  INTERVAL_MS = 60, /* between two orders */
  SERVICE_DELAY_MS = 400,
  ANSWER_LIMIT_S = 10,
  US_PER_MS = 1000
};

static struct harness *harness;

static int
start_fleet (void **state)
{
  static const struct harness_options options = { .name = "hand-over",
                                                  .port_base = PORT_BASE,
                                                  .instances = 1,
                                                  .services = 1,
                                                  .service_delay_ms = SERVICE_DELAY_MS };

  harness = harness_start (&options);
  return harness != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  harness_stop (harness);
  return 0;
}

/* Sends REQUEST on PEER and reads what comes back into TEXT. Returns the status of the response, or
 * 0 if there is none. */
static unsigned
call (int peer, const char *request, char *text, size_t size)
{
  unsigned status = 0;
  ssize_t length;

  if (send (peer, request, strlen (request), MSG_NOSIGNAL) < 0)
    return 0;
  length = recv (peer, text, size - 1, 0);
  text[MAX (length, 0)] = '\0';
  sscanf (text, "HTTP/1.1 %u ", &status);
  return status;
}

static int
connect_and_call_once (void)
{
  const struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)harness_port (harness, HARNESS_PORT_ENTRY)),
          .sin_addr.s_addr = inet_addr ("127.0.1.1") };
  const struct timeval limit = { .tv_sec = ANSWER_LIMIT_S };
  int peer = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  char text[1024];

  setsockopt (peer, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  assert_int_equal (connect (peer, (const struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (call (peer, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", text, sizeof text),
                    200);
  return peer;
}

static char *
make_key (unsigned number)
{
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *day = g_date_time_format (now, "%Y%m%d");

  return g_strdup_printf ("%s-hand-over-%u", day, number);
}

struct caller
{
  int peer;
  char *key;
  unsigned status;
  char text[2048];
};

static void *
run_caller (void *data)
{
  struct caller *caller = data;
  static const char body[] = "{\"household\":1,\"amount\":30}";
  g_autofree char *request = g_strdup_printf (
      "POST /v1/services/relief HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\n"
      "Idempotency-Key: %s\r\nX-Attempt: 1\r\nContent-Length: %zu\r\n\r\n%s",
      caller->key, strlen (body), body);

  caller->status = call (caller->peer, request, caller->text, sizeof caller->text);
  return NULL;
}

/* Orders that arrived on open connections after the last request had ended were accepted until the
 * process exited: servers ran them, and their callers got no answer. */
static void
orders_during_the_hand_over_are_answered_or_refused (void **state)
{
  struct caller callers[CALLERS] = { 0 };
  GThread *threads[CALLERS];
  unsigned lost = 0;
  unsigned untrue = 0;
  unsigned refused = 0;
  int exit_code = -1;
  json_t *ledger;

  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i].peer = connect_and_call_once ();
      callers[i].key = make_key (i);
    }
  /* The hand-over takes several calls to the platform. */
  assert_true (harness_control_platform (harness, "/control/fault?mode=slow&delay_ms=200"));
  harness_process_signal (harness->instances[INSTANCE], SIGTERM);
  g_usleep (BEGIN_MS * US_PER_MS);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
      g_usleep (INTERVAL_MS * US_PER_MS);
    }
  assert_true (harness_process_wait (harness->instances[INSTANCE], HARNESS_WAIT_MS, &exit_code));
  ledger = harness_ledger (harness, SERVICE);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      g_autofree char *id = g_strdup_printf ("team-1/%s", callers[i].key);
      json_int_t runs;

      g_thread_join (threads[i]);
      runs = json_integer_value (json_object_get (json_object_get (ledger, "requests"), id));
      lost += runs > 0 && callers[i].status == 0;
      untrue += runs > 0 && strstr (callers[i].text, "\"not run\"") != NULL;
      refused += callers[i].status == 503;
      print_message ("order %u: status %u, %d runs\n", i, callers[i].status, (int)runs);
      close (callers[i].peer);
      g_free (callers[i].key);
    }
  json_decref (ledger);
  assert_int_equal (lost, 0);
  assert_int_equal (untrue, 0);
  assert_true (refused > 0);
  assert_int_equal (exit_code, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (orders_during_the_hand_over_are_answered_or_refused) };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
