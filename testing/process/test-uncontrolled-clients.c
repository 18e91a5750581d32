/* Clients that send without reading, stop in the middle of a body, or open many connections. No
 * such crowd may end an instance or let it exceed the memory and descriptors of its machine, and
 * ordinary callers must get responses. The crowds and the bounds were fixed when the product had
 * none of the limits that these tests guard; each test failed then. */
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 35200,
  PLAIN_BACKENDS = 2,
  PREPAID_TOKENS = 1000000,
  CLIENTS = 60,
  IDLE_CLIENTS = 400,
  BODY_BYTES = 4 * 1024 * 1024, /* the limit for a body in the configuration */
  BODY_MISSING_BYTES = 16,
  CHUNK_BYTES = 16384,
  MACHINE_MEMORY_MB = 88, /* of the smallest machine */
  MACHINE_DESCRIPTORS = 256,
  /* The rest of the machine's memory is for the kernel's buffers of the connections. */
  PEAK_MAX_KIB = 64 * 1024,
  SENDING_MAX_S = 12,
  STUCK_MS = 1000 /* a crowd of which nobody can send for this long has sent all it can */
};

/* One client of a crowd. It sends its bytes, from the beginning again if it repeats, and reads
 * nothing. */
struct client_
{
  int peer;
  size_t sent;
  bool has_failed;
};

struct crowd_
{
  struct client_ *clients;
  unsigned n_clients;
};

static struct site_fleet *fleet;
static unsigned ids;

static int
start_fleet (void **state)
{
  static const struct site_options options = { .name = "uncontrolled-clients",
                                               .port_base = PORT_BASE,
                                               .instances = 1,
                                               .plain_backends = PLAIN_BACKENDS,
                                               .event_interval_ms = 2,
                                               .prepaid = PREPAID_TOKENS,
                                               .body_max_bytes = BODY_BYTES,
                                               .memory_mb = MACHINE_MEMORY_MB,
                                               .descriptors = MACHINE_DESCRIPTORS };

  fleet = site_fleet_start (&options);
  return fleet != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  site_fleet_stop (fleet);
  return 0;
}

static struct crowd_
connect_crowd_ (unsigned n_clients, bool to_readiness)
{
  struct crowd_ crowd = { .clients = g_new0 (struct client_, n_clients), .n_clients = n_clients };

  for (unsigned i = 0; i < n_clients; i++)
    {
      int peer = to_readiness ? site_connect_readiness (fleet, 1) : site_connect (fleet, 1, true);

      crowd.clients[i].peer = peer;
      crowd.clients[i].has_failed = peer < 0 || fcntl (peer, F_SETFL, O_NONBLOCK) != 0;
    }
  return crowd;
}

static void
close_crowd_ (struct crowd_ *crowd)
{
  for (unsigned i = 0; i < crowd->n_clients; i++)
    if (crowd->clients[i].peer >= 0)
      close (crowd->clients[i].peer);
  g_free (crowd->clients);
}

/* Sends what the connection takes. Returns whether that was anything. */
static bool
send_part_ (struct client_ *client, const GString *bytes, bool repeats)
{
  size_t from = repeats ? client->sent % bytes->len : client->sent;
  ssize_t sent;

  if (client->has_failed || from >= bytes->len)
    return false;
  sent = send (client->peer, bytes->str + from, bytes->len - from, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0)
    {
      client->has_failed = errno != EAGAIN && errno != EINTR;
      return false;
    }
  client->sent += (size_t)sent;
  return sent > 0;
}

/* Every client of CROWD sends BYTES, again and again if REPEATS, until nobody can send more or
 * SENDING_MAX_S are over. Returns the number of bytes sent. */
static uint64_t
send_crowd_ (struct crowd_ *crowd, const GString *bytes, bool repeats)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t end_us = now_us + SENDING_MAX_S * G_USEC_PER_SEC;
  int64_t progress_us = now_us;
  uint64_t total = 0;

  while (now_us < end_us && now_us - progress_us < STUCK_MS * 1000)
    {
      bool has_sent = false;

      for (unsigned i = 0; i < crowd->n_clients; i++)
        has_sent = send_part_ (&crowd->clients[i], bytes, repeats) || has_sent;
      now_us = g_get_monotonic_time ();
      if (has_sent)
        progress_us = now_us;
      else
        g_usleep (1000);
    }
  for (unsigned i = 0; i < crowd->n_clients; i++)
    total += crowd->clients[i].sent;
  return total;
}

static struct site_response
send_ordinary_ (void)
{
  g_autofree char *id = g_strdup_printf ("ordinary-%u", ++ids);
  const struct site_request request = { .instance = 1, .path = "/safe/a", .id = id };

  return site_send (fleet, &request);
}

/* Lets a crowd send BYTES and checks the instance, with the crowd connected and afterwards. */
static void
expect_bounded_ (
    const char *name, unsigned n_clients, bool to_readiness, const GString *bytes, bool repeats)
{
  struct crowd_ crowd = connect_crowd_ (n_clients, to_readiness);
  uint64_t sent = send_crowd_ (&crowd, bytes, repeats);
  bool is_running = harness_process_is_running (fleet->instances[1]);
  unsigned descriptors = harness_process_descriptors (fleet->instances[1]);
  struct site_response beside = send_ordinary_ ();
  int64_t peak_kib;
  struct site_response after;
  int ready_status;

  close_crowd_ (&crowd);
  after = send_ordinary_ ();
  ready_status = site_fleet_ready_status (fleet, 1);
  peak_kib = harness_process_peak_rss_kib (fleet->instances[1]);
  print_message ("%s: %u clients sent %u KiB; running %d, peak %d KiB, %u descriptors; status "
                 "beside them %d, afterwards %d, readiness %d\n",
                 name, n_clients, (unsigned)(sent / 1024), (int)is_running, (int)peak_kib,
                 descriptors, beside.status, after.status, ready_status);
  assert_true (is_running);
  assert_true (harness_process_is_running (fleet->instances[1]));
  assert_true (peak_kib > 0 && peak_kib <= PEAK_MAX_KIB);
  assert_true (descriptors > 0 && descriptors <= MACHINE_DESCRIPTORS);
  assert_int_not_equal (beside.status, 0);
  assert_int_equal (after.outcome, SITE_COMPLETED);
  assert_int_equal (ready_status, 200);
}

/* Responses of the readiness listener that nobody reads piled up in the instance. */
static void
unread_readiness_responses_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new (NULL);

  while (bytes->len < CHUNK_BYTES)
    g_string_append (bytes, "GET /ready HTTP/1.1\r\nHost: probe.test\r\n\r\n");
  expect_bounded_ ("readiness", CLIENTS, true, bytes, true);
}

/* Rejections that nobody reads piled up in the instance. */
static void
unread_rejections_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new (NULL);

  while (bytes->len < CHUNK_BYTES)
    g_string_append (bytes, "GET /none HTTP/1.1\r\nHost: site.test\r\n\r\n");
  expect_bounded_ ("no route", CLIENTS, false, bytes, true);
}

/* Bodies that stop just before their end stayed in the instance until the idle limit. */
static void
unfinished_bodies_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new (NULL);

  g_string_printf (bytes,
                   "POST /safe/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: unfinished\r\n"
                   "Authorization: Token key-1\r\nContent-Length: %u\r\n\r\n",
                   (unsigned)BODY_BYTES);
  for (unsigned i = 0; i < BODY_BYTES - BODY_MISSING_BYTES; i++)
    g_string_append_c (bytes, 'x');
  expect_bounded_ ("bodies", CLIENTS, false, bytes, false);
}

/* The same for chunked bodies, of which the instance held twice what was sent. */
static void
unfinished_chunked_bodies_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new (NULL);
  unsigned left = BODY_BYTES - BODY_MISSING_BYTES;

  g_string_printf (bytes, "POST /safe/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: unfinished\r\n"
                          "Authorization: Token key-1\r\nTransfer-Encoding: chunked\r\n\r\n");
  while (left > 0)
    {
      unsigned length = MIN (left, (unsigned)CHUNK_BYTES);

      g_string_append_printf (bytes, "%x\r\n", length);
      for (unsigned i = 0; i < length; i++)
        g_string_append_c (bytes, 'x');
      g_string_append (bytes, "\r\n");
      left -= length;
    }
  expect_bounded_ ("chunked bodies", CLIENTS, false, bytes, false);
}

/* Connections that send nothing took all descriptors of the machine. */
static void
silent_connections_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new ("GET");

  expect_bounded_ ("silent connections", IDLE_CLIENTS, false, bytes, false);
}

static void
silent_connections_to_readiness_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new ("GET");

  expect_bounded_ ("silent connections to readiness", IDLE_CLIENTS, true, bytes, false);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (unread_readiness_responses_are_bounded, start_fleet,
                                     stop_fleet),
    cmocka_unit_test_setup_teardown (unread_rejections_are_bounded, start_fleet, stop_fleet),
    cmocka_unit_test_setup_teardown (unfinished_bodies_are_bounded, start_fleet, stop_fleet),
    cmocka_unit_test_setup_teardown (unfinished_chunked_bodies_are_bounded, start_fleet,
                                     stop_fleet),
    cmocka_unit_test_setup_teardown (silent_connections_are_bounded, start_fleet, stop_fleet),
    cmocka_unit_test_setup_teardown (silent_connections_to_readiness_are_bounded, start_fleet,
                                     stop_fleet),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
