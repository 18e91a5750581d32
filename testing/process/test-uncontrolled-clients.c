/* Clients that send without reading, stop in the middle of a body, or open many connections. No
 * such crowd may end an instance or let it exceed the memory and descriptors of its machine, and
 * ordinary callers must get responses. The crowds and the bounds were fixed when the product had
 * none of the limits that these tests guard; each test failed then. */
#include "testing/harness/caller.h"
#include "testing/harness/harness.h"
#include "testing/harness/site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
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
  OWN_PORT_BASE = 35300, /* of the fleet with the product's own interface */
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
  RECOVERY_MAX_S = 30, /* servers that did not answer are ejected for some seconds */
  PIPELINED = 40,
  LARGEST_BODIES = 20, /* together more than the memory of the machine */
  STUCK_MS = 1000      /* a crowd of which nobody can send for this long has sent all it can */
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

enum target_
{
  TO_GATEWAY,
  TO_READINESS,
  TO_OWN_INTERFACE
};

/* Either of them is NULL. */
static struct site_fleet *fleet;
static struct harness *own_fleet;
static unsigned ids;
static bool servers_are_silent;

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
  fleet = NULL;
  return 0;
}

static int
start_own_fleet (void **state)
{
  static const char *const settings[]
      = { "limits", "memory_mb",      "88",      "limits", "descriptors", "256",
          "limits", "body_max_bytes", "4194304", NULL };
  static const struct harness_options options = { .name = "uncontrolled-clients",
                                                  .port_base = OWN_PORT_BASE,
                                                  .instances = 1,
                                                  .engines = 1,
                                                  .settings = settings,
                                                  .without_proxy = true };

  own_fleet = harness_start (&options);
  return own_fleet != NULL ? 0 : -1;
}

static int
stop_own_fleet (void **state)
{
  harness_stop (own_fleet);
  own_fleet = NULL;
  return 0;
}

static struct harness_process *
instance_ (void)
{
  return own_fleet != NULL ? own_fleet->instances[1] : fleet->instances[1];
}

static int
connect_own_ (void)
{
  g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, 1, false);
  struct sockaddr_in target
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)harness_port (own_fleet, HARNESS_PORT_ENTRY)) };
  int peer = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, address, &target.sin_addr);
  if (connect (peer, (struct sockaddr *)&target, sizeof target) == 0)
    return peer;
  close (peer);
  return -1;
}

static int
connect_client_ (enum target_ target)
{
  switch (target)
    {
    case TO_GATEWAY:
      return site_connect (fleet, 1, true);
    case TO_READINESS:
      return site_connect_readiness (fleet, 1);
    case TO_OWN_INTERFACE:
      return connect_own_ ();
    }
  return -1;
}

static struct crowd_
connect_crowd_ (unsigned n_clients, enum target_ target)
{
  struct crowd_ crowd = { .clients = g_new0 (struct client_, n_clients), .n_clients = n_clients };

  for (unsigned i = 0; i < n_clients; i++)
    {
      int peer = connect_client_ (target);

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

/* Sends an ordinary request. Returns its status, 0 if there was no complete response. */
static int
send_ordinary_ (void)
{
  g_autofree char *id = g_strdup_printf ("ordinary-%u", ++ids);
  const struct site_request request = { .instance = 1, .path = "/safe/a", .id = id };
  struct site_response response;

  if (own_fleet != NULL)
    {
      g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, 1, false);
      const struct harness_request own = { .address = address,
                                           .port = harness_port (own_fleet, HARNESS_PORT_ENTRY),
                                           .service = "diary",
                                           .team = 1,
                                           .prompt = "How many?",
                                           .max_tokens = 4 };
      struct harness_result result = harness_send (&own);

      return result.outcome == HARNESS_TRUNCATED || result.outcome == HARNESS_WRONG ? 0
                                                                                    : result.status;
    }
  response = site_send (fleet, &request);
  return response.outcome == SITE_TRUNCATED || response.outcome == SITE_WRONG ? 0 : response.status;
}

static int
ready_status_ (void)
{
  g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, 1, false);
  struct harness_call call = { .address = address, .path = "/readyz" };
  struct harness_http_response *reply;
  int status;

  if (own_fleet == NULL)
    return site_fleet_ready_status (fleet, 1);
  call.port = harness_port (own_fleet, HARNESS_PORT_ENTRY);
  reply = harness_call (&call);
  status = reply->status;
  harness_reply_free (reply);
  return status;
}

/* The servers answer again; waits until they are used. */
static void
end_silence_ (void)
{
  int64_t end_us = g_get_monotonic_time () + RECOVERY_MAX_S * G_USEC_PER_SEC;

  servers_are_silent = false;
  assert_true (site_fleet_set_backends (fleet, 0, PLAIN_BACKENDS, "mode=ok"));
  while (send_ordinary_ () != 200 && g_get_monotonic_time () < end_us)
    g_usleep (G_USEC_PER_SEC / 10);
}

/* Lets a crowd send BYTES and checks the instance, with the crowd connected and afterwards. */
static void
expect_bounded_ (
    const char *name, unsigned n_clients, enum target_ target, const GString *bytes, bool repeats)
{
  struct crowd_ crowd = connect_crowd_ (n_clients, target);
  uint64_t sent = send_crowd_ (&crowd, bytes, repeats);
  bool is_running = harness_process_is_running (instance_ ());
  unsigned descriptors = harness_process_descriptors (instance_ ());
  int beside = send_ordinary_ ();
  int64_t peak_kib;
  int after;
  int ready;

  close_crowd_ (&crowd);
  if (servers_are_silent)
    end_silence_ ();
  after = send_ordinary_ ();
  ready = ready_status_ ();
  peak_kib = harness_process_peak_rss_kib (instance_ ());
  print_message ("%s: %u clients sent %u KiB; running %d, peak %d KiB, %u descriptors; status "
                 "beside them %d, afterwards %d, readiness %d\n",
                 name, n_clients, (unsigned)(sent / 1024), (int)is_running, (int)peak_kib,
                 descriptors, beside, after, ready);
  assert_true (is_running);
  assert_true (harness_process_is_running (instance_ ()));
  assert_true (peak_kib > 0 && peak_kib <= PEAK_MAX_KIB);
  assert_true (descriptors > 0 && descriptors <= MACHINE_DESCRIPTORS);
  assert_int_not_equal (beside, 0);
  assert_int_equal (after, 200);
  assert_int_equal (ready, 200);
}

/* Responses of the readiness listener that nobody reads piled up in the instance. */
static void
unread_readiness_responses_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new (NULL);

  while (bytes->len < CHUNK_BYTES)
    g_string_append (bytes, "GET /ready HTTP/1.1\r\nHost: probe.test\r\n\r\n");
  expect_bounded_ ("readiness", CLIENTS, TO_READINESS, bytes, true);
}

/* Rejections that nobody reads piled up in the instance. */
static void
unread_rejections_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new (NULL);

  while (bytes->len < CHUNK_BYTES)
    g_string_append (bytes, "GET /none HTTP/1.1\r\nHost: site.test\r\n\r\n");
  expect_bounded_ ("no route", CLIENTS, TO_GATEWAY, bytes, true);
}

/* Appends a request without its body, which has LENGTH bytes; 0: it is chunked. */
static void
append_head_ (GString *bytes, unsigned length)
{
  g_string_append (bytes, own_fleet != NULL ? "POST /v1/services/diary HTTP/1.1\r\n"
                                            : "POST /safe/a HTTP/1.1\r\n");
  g_string_append (bytes, "Host: site.test\r\nX-Request-Id: unfinished\r\n"
                          "Authorization: Token key-1\r\n");
  if (length > 0)
    g_string_append_printf (bytes, "Content-Length: %u\r\n\r\n", length);
  else
    g_string_append (bytes, "Transfer-Encoding: chunked\r\n\r\n");
}

static void
append_filler_ (GString *bytes, unsigned length)
{
  gsize from = bytes->len;

  g_string_set_size (bytes, from + length);
  memset (bytes->str + from, 'x', length);
}

static void
expect_bodies_bounded_ (const char *name, enum target_ target)
{
  g_autoptr (GString) bytes = g_string_new (NULL);

  append_head_ (bytes, BODY_BYTES);
  append_filler_ (bytes, BODY_BYTES - BODY_MISSING_BYTES);
  expect_bounded_ (name, CLIENTS, target, bytes, false);
}

static void
expect_chunked_bodies_bounded_ (const char *name, enum target_ target)
{
  g_autoptr (GString) bytes = g_string_new (NULL);
  unsigned left = BODY_BYTES - BODY_MISSING_BYTES;

  append_head_ (bytes, 0);
  while (left > 0)
    {
      unsigned length = MIN (left, (unsigned)CHUNK_BYTES);

      g_string_append_printf (bytes, "%x\r\n", length);
      append_filler_ (bytes, length);
      g_string_append (bytes, "\r\n");
      left -= length;
    }
  expect_bounded_ (name, CLIENTS, target, bytes, false);
}

/* Bodies that stop just before their end stayed in the instance until the idle limit. */
static void
unfinished_bodies_are_bounded (void **state)
{
  expect_bodies_bounded_ ("bodies", TO_GATEWAY);
}

/* The same for chunked bodies. */
static void
unfinished_chunked_bodies_are_bounded (void **state)
{
  expect_chunked_bodies_bounded_ ("chunked bodies", TO_GATEWAY);
}

/* Complete requests with the largest bodies at servers that do not answer: served requests can't be
 * closed, so not all may be served. */
static void
complete_bodies_at_silent_servers_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new (NULL);

  assert_true (site_fleet_set_backends (fleet, 0, PLAIN_BACKENDS, "mode=silent"));
  servers_are_silent = true;
  append_head_ (bytes, BODY_BYTES);
  append_filler_ (bytes, BODY_BYTES);
  expect_bounded_ ("complete bodies", CLIENTS, TO_GATEWAY, bytes, false);
}

/* Connections that send nothing took all descriptors of the machine. */
static void
silent_connections_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new ("GET");

  expect_bounded_ ("silent connections", IDLE_CLIENTS, TO_GATEWAY, bytes, false);
}

static void
silent_connections_to_readiness_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new ("GET");

  expect_bounded_ ("silent connections to readiness", IDLE_CLIENTS, TO_READINESS, bytes, false);
}

/* What a client does within the limits must be served as before: it sends some requests before it
 * reads, and reads slowly. */
static void
pipelined_requests_are_all_answered (void **state)
{
  static const char ending[] = "answer to pipelined-";
  g_autoptr (GString) bytes = g_string_new (NULL);
  g_autoptr (GString) received = g_string_new (NULL);
  const struct timeval limit = { .tv_sec = SENDING_MAX_S };
  int peer = site_connect (fleet, 1, true);
  unsigned answers = 0;
  char part[64];
  ssize_t got;

  for (unsigned i = 0; i < PIPELINED; i++)
    g_string_append_printf (bytes,
                            "POST /safe/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: "
                            "pipelined-%u\r\nAuthorization: Token key-1\r\n%s"
                            "Content-Length: 4\r\n\r\nbody",
                            i, i + 1 == PIPELINED ? "Connection: close\r\n" : "");
  assert_int_equal (send (peer, bytes->str, bytes->len, MSG_NOSIGNAL), bytes->len);
  setsockopt (peer, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  while ((got = recv (peer, part, sizeof part, 0)) > 0)
    {
      g_string_append_len (received, part, got);
      g_usleep (1000);
    }
  close (peer);
  for (const char *at = received->str; (at = strstr (at, ending)) != NULL; at++)
    {
      g_autofree char *expected = g_strdup_printf ("%s%u", ending, answers);

      assert_true (g_str_has_prefix (at, expected)); /* in order */
      answers++;
    }
  assert_int_equal (answers, PIPELINED);
}

/* The largest bodies that the configuration allows, one at a time. */
static void
largest_bodies_are_served (void **state)
{
  for (unsigned i = 0; i < LARGEST_BODIES; i++)
    {
      g_autoptr (GString) bytes = g_string_new (NULL);
      struct raw_http_response *reply;

      append_head_ (bytes, BODY_BYTES);
      append_filler_ (bytes, BODY_BYTES);
      reply = site_call_raw (fleet, 1, bytes->str);
      assert_int_equal (reply->status, 200);
      assert_true (reply->complete);
      raw_reply_free (reply);
    }
  assert_true (harness_process_peak_rss_kib (instance_ ()) <= PEAK_MAX_KIB);
}

/* The product's own interface: requests whose replies nobody reads. */
static void
own_unread_replies_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new (NULL);

  while (bytes->len < CHUNK_BYTES)
    g_string_append (bytes, "GET /metrics HTTP/1.1\r\nHost: site.test\r\n\r\n");
  expect_bounded_ ("own replies", CLIENTS, TO_OWN_INTERFACE, bytes, true);
}

static void
own_unfinished_bodies_are_bounded (void **state)
{
  expect_bodies_bounded_ ("own bodies", TO_OWN_INTERFACE);
}

static void
own_unfinished_chunked_bodies_are_bounded (void **state)
{
  expect_chunked_bodies_bounded_ ("own chunked bodies", TO_OWN_INTERFACE);
}

static void
own_silent_connections_are_bounded (void **state)
{
  g_autoptr (GString) bytes = g_string_new ("GET");

  expect_bounded_ ("own silent connections", IDLE_CLIENTS, TO_OWN_INTERFACE, bytes, false);
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
    cmocka_unit_test_setup_teardown (complete_bodies_at_silent_servers_are_bounded, start_fleet,
                                     stop_fleet),
    cmocka_unit_test_setup_teardown (silent_connections_are_bounded, start_fleet, stop_fleet),
    cmocka_unit_test_setup_teardown (silent_connections_to_readiness_are_bounded, start_fleet,
                                     stop_fleet),
    cmocka_unit_test_setup_teardown (pipelined_requests_are_all_answered, start_fleet, stop_fleet),
    cmocka_unit_test_setup_teardown (largest_bodies_are_served, start_fleet, stop_fleet),
    cmocka_unit_test_setup_teardown (own_unread_replies_are_bounded, start_own_fleet,
                                     stop_own_fleet),
    cmocka_unit_test_setup_teardown (own_unfinished_bodies_are_bounded, start_own_fleet,
                                     stop_own_fleet),
    cmocka_unit_test_setup_teardown (own_unfinished_chunked_bodies_are_bounded, start_own_fleet,
                                     stop_own_fleet),
    cmocka_unit_test_setup_teardown (own_silent_connections_are_bounded, start_own_fleet,
                                     stop_own_fleet),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
