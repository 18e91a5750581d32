#include "peer/peer.h"

#include "base/thread.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  TEST_PORT = 20111,
  TEST_PROGRAM = 0x20005399,
  PROCEDURE_DOUBLE = 1,
  PROCEDURE_REFUSE = 2,
  CALL_TIMEOUT_MS = 5000,
  SHORT_TIMEOUT_MS = 300,
  CALLERS = 4,
  CALLS_PER_CALLER = 200,
  MALFORMED_DATAGRAMS = 2000
};

static bool
handle_double (void *in, void *out, void *data)
{
  *(u_int *)out = *(u_int *)in * 2;
  return true;
}

static bool
handle_refuse (void *in, void *out, void *data)
{
  return false;
}

static const struct sr_peer_procedure procedures[] = {
  { PROCEDURE_DOUBLE, (xdrproc_t)xdr_u_int, sizeof (u_int), (xdrproc_t)xdr_u_int, sizeof (u_int),
    handle_double },
  { PROCEDURE_REFUSE, (xdrproc_t)xdr_u_int, sizeof (u_int), (xdrproc_t)xdr_u_int, sizeof (u_int),
    handle_refuse },
};

static struct sr_peer_server *server;
static struct sr_peer_client *client;
static const struct sr_peer_address address = { .ip = "127.0.0.1", .port = TEST_PORT };

static int
set_up (void **state)
{
  struct sr_peer_server_options server_options = { .address = "127.0.0.1", .port = TEST_PORT };
  struct sr_peer_client_options client_options = { .source_address = "127.0.0.2" };

  server = sr_peer_server_new (&server_options);
  if (server == NULL)
    return -1;
  sr_peer_server_add (server, TEST_PROGRAM, procedures, G_N_ELEMENTS (procedures), NULL);
  client = sr_peer_client_new (&client_options);
  return sr_peer_server_start (server) ? 0 : -1;
}

static int
tear_down (void **state)
{
  sr_peer_client_delete (client);
  sr_peer_server_delete (server);
  return 0;
}

static enum sr_peer_status
call (u_int procedure, u_int in, u_int *out, int timeout_ms)
{
  return sr_peer_call (client, &address, TEST_PROGRAM, procedure, (xdrproc_t)xdr_u_int, &in,
                       (xdrproc_t)xdr_u_int, out, timeout_ms);
}

static void *
call_many (void *data)
{
  uintptr_t wrong = 0;

  for (u_int i = 0; i < CALLS_PER_CALLER; i++)
    {
      u_int out = 0;

      if (call (PROCEDURE_DOUBLE, i, &out, CALL_TIMEOUT_MS) != SR_PEER_OK || out != 2 * i)
        wrong++;
    }
  return (void *)wrong;
}

static void
calls_from_many_threads_get_their_own_replies (void **state)
{
  pthread_t threads[CALLERS];

  for (int i = 0; i < CALLERS; i++)
    assert_true (sr_thread_start (&threads[i], 0, call_many, NULL));
  for (int i = 0; i < CALLERS; i++)
    {
      void *wrong;

      pthread_join (threads[i], &wrong);
      assert_int_equal ((uintptr_t)wrong, 0);
    }
}

static void
a_refused_call_is_not_reported_as_a_timeout (void **state)
{
  struct sr_peer_address unused_address = { .ip = "127.0.0.9", .port = TEST_PORT };
  u_int in = 1;
  u_int out = 0;

  assert_int_equal (call (PROCEDURE_REFUSE, 1, &out, CALL_TIMEOUT_MS), SR_PEER_REFUSED);
  assert_int_equal (call (77, 1, &out, CALL_TIMEOUT_MS), SR_PEER_REFUSED);
  assert_int_equal (sr_peer_call (client, &unused_address, TEST_PROGRAM, PROCEDURE_DOUBLE,
                                  (xdrproc_t)xdr_u_int, &in, (xdrproc_t)xdr_u_int, &out,
                                  SHORT_TIMEOUT_MS),
                    SR_PEER_UNREACHABLE);
}

static void
malformed_datagrams_do_not_break_the_server (void **state)
{
  struct sockaddr_in target = { .sin_family = AF_INET, .sin_port = htons (TEST_PORT) };
  GRand *random = g_rand_new_with_seed (7);
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  u_int out = 0;

  inet_pton (AF_INET, "127.0.0.1", &target.sin_addr);
  for (int i = 0; i < MALFORMED_DATAGRAMS; i++)
    {
      guint32 words[64];
      size_t length = (size_t)g_rand_int_range (random, 0, sizeof words);

      for (size_t j = 0; j < G_N_ELEMENTS (words); j++)
        words[j] = g_rand_int (random);
      if (i % 2 == 0)
        {
          /* A well-formed call header, then random words. */
          words[1] = 0;
          words[2] = htonl (2);
          words[3] = htonl (TEST_PROGRAM);
          words[4] = htonl (SR_PEER_VERSION);
          words[5] = htonl (PROCEDURE_DOUBLE);
        }
      sendto (fd, words, length, 0, (struct sockaddr *)&target, sizeof target);
    }
  close (fd);
  g_rand_free (random);
  assert_int_equal (call (PROCEDURE_DOUBLE, 21, &out, CALL_TIMEOUT_MS), SR_PEER_OK);
  assert_int_equal (out, 42);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (calls_from_many_threads_get_their_own_replies),
    cmocka_unit_test (a_refused_call_is_not_reported_as_a_timeout),
    cmocka_unit_test (malformed_datagrams_do_not_break_the_server),
  };

  return cmocka_run_group_tests (tests, set_up, tear_down);
}
