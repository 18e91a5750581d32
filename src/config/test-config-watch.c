#include "base/log.h"
#include "config/follow.h"
#include "config/source-peer.h"
#include "config/store.h"
#include "config/watch.h"
#include "platform/platform-memory.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

enum
{
  WAIT_US = 20000000,
  PEER_PORT = 29881,
  BUDGETS = 3000
};

static const char address[] = "127.0.1.231";

/* The watch of one instance, and the data of its callbacks. */
struct instance
{
  struct sr_config_current *current;
  struct sr_config_watch *watch;
  struct sr_config_peer peer; /* the only peer; revision 0: no peer */
  _Atomic int64_t applied;    /* last revision; INT64_MAX after one that was not higher */
};

static size_t
list_peers (struct sr_config_peer *peers, size_t max, void *data)
{
  struct instance *instance = data;

  peers[0] = instance->peer;
  return instance->peer.revision > 0 ? 1 : 0;
}

static void
note_applied (struct sr_config *config, void *data)
{
  struct instance *instance = data;
  bool rises = sr_config_revision (config) > atomic_load (&instance->applied);

  atomic_store (&instance->applied, rises ? sr_config_revision (config) : INT64_MAX);
}

static void
instance_start (struct instance *instance,
                struct sr_platform *platform,
                struct sr_peer_client *client)
{
  struct sr_config_watch_options options = { .platform = platform,
                                             .client = client,
                                             .watch_ms = 10,
                                             .seed = 7,
                                             .list_peers = list_peers,
                                             .applied = note_applied,
                                             .data = instance };

  instance->current = sr_config_current_new ();
  options.current = instance->current;
  instance->watch = sr_config_watch_new (&options);
  assert_true (sr_config_watch_start (instance->watch));
}

static void
instance_end (struct instance *instance)
{
  sr_config_watch_stop (instance->watch);
  sr_config_watch_delete (instance->watch);
  sr_config_current_delete (instance->current);
}

static bool
wait_for_revision (struct instance *instance, int64_t revision)
{
  int64_t end_us = g_get_monotonic_time () + WAIT_US;

  while (atomic_load (&instance->applied) < revision && g_get_monotonic_time () < end_us)
    g_usleep (1000);
  return atomic_load (&instance->applied) == revision;
}

static void
accept_config (struct sr_platform *platform, unsigned call_tokens)
{
  g_autoptr (GString) text = g_string_new (NULL);
  struct sr_submission submission = { .file_name = "c.ini",
                                      .base_revision = SR_SUBMIT_BASE_CURRENT,
                                      .who = "asli",
                                      .when_ms = 1700000000000,
                                      .id = call_tokens,
                                      .deadline_us = g_get_monotonic_time () + WAIT_US };
  struct sr_findings *findings = sr_findings_new ();
  struct sr_submit_result result;

  g_string_append_printf (text,
                          "[team a]\nkey_digest = %064d\n"
                          "[service s]\nkind = plain\ncall_tokens = %u\n",
                          7, call_tokens);
  for (unsigned i = 0; i < BUDGETS; i++)
    g_string_append_printf (text, "[budget b-%u]\nteam = a\n", i);
  submission.text = text->str;
  submission.length = text->len;
  sr_config_submit (platform, &submission, &result, findings);
  assert_int_equal (result.verdict, SR_SUBMIT_ACCEPTED);
  sr_submit_result_clear (&result);
  sr_findings_delete (findings);
}

static void
changes_on_the_platform_come_into_force (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct instance instance = { 0 };
  struct sr_config *config;
  g_autoptr (GString) head = g_string_new (NULL);
  int64_t version;

  instance_start (&instance, platform, NULL);
  assert_null (sr_config_current_get (instance.current));
  accept_config (platform, 1);
  assert_true (wait_for_revision (&instance, 1));
  sr_platform_memory_set_unreachable (platform, true);
  g_usleep (50000);
  sr_platform_memory_set_unreachable (platform, false);
  accept_config (platform, 2);
  assert_true (wait_for_revision (&instance, 2));
  config = sr_config_current_get (instance.current);
  assert_int_equal (sr_config_service (config, "s")->call_tokens, 2);
  assert_int_equal (sr_config_budgets (config)->len, BUDGETS);
  sr_config_unref (config);
  assert_int_equal (sr_platform_get (platform, "config", "head", head, &version), SR_PLATFORM_OK);
  assert_int_equal (sr_platform_put (platform, "config", "head", "{\"a\":1}", 7, version, &version),
                    SR_PLATFORM_OK);
  g_usleep (50000);
  assert_int_equal (
      sr_platform_put (platform, "config", "head", head->str, head->len, version, &version),
      SR_PLATFORM_OK);
  accept_config (platform, 3);
  assert_true (wait_for_revision (&instance, 3));
  instance_end (&instance);
  sr_platform_unref (platform);
}

/* Guards against an instance without a configuration when it starts during an outage of the
 * platform: it has to read that of a peer, and later changes from the platform once that is
 * reachable again. */
static void
instance_started_in_an_outage_reads_from_a_peer (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_platform *second_platform = sr_platform_memory_new ();
  struct sr_peer_server_options server_options = { .address = address, .port = PEER_PORT };
  struct sr_peer_client_options client_options = { .source_address = address };
  struct sr_peer_server *server = sr_peer_server_new (&server_options);
  struct sr_peer_client *client = sr_peer_client_new (&client_options);
  struct instance old = { 0 };
  struct instance new = { .peer = { .address = { .port = PEER_PORT }, .revision = 2 } };
  struct sr_config *config;

  g_strlcpy (new.peer.address.ip, address, sizeof (new.peer.address.ip));
  assert_non_null (server);
  accept_config (platform, 1);
  accept_config (platform, 2);
  instance_start (&old, platform, client);
  sr_config_watch_add_to_server (old.watch, server);
  assert_true (sr_peer_server_start (server));
  assert_true (wait_for_revision (&old, 2));

  sr_platform_memory_set_unreachable (second_platform, true);
  instance_start (&new, second_platform, client);
  assert_true (wait_for_revision (&new, 2));
  config = sr_config_current_get (new.current);
  assert_int_equal (sr_config_budgets (config)->len, BUDGETS);
  sr_config_unref (config);
  sr_platform_memory_set_unreachable (second_platform, false);
  accept_config (second_platform, 1); /* revision 1 is below the one in force, never applied */
  g_usleep (50000);
  accept_config (second_platform, 2);
  accept_config (second_platform, 3);
  assert_true (wait_for_revision (&new, 3));

  instance_end (&new);
  sr_peer_server_stop (server);
  instance_end (&old);
  sr_peer_server_delete (server);
  sr_peer_client_delete (client);
  sr_platform_unref (platform);
  sr_platform_unref (second_platform);
}

/* Guards against needless reads from peers and against retries without a pause, with random events:
 * a peer is read from only if it has a higher revision than the one in force, and at most once
 * between watches; after a failure the platform is not called until a pause is over. */
static void
no_needless_peer_read_and_no_retry_without_pause (void **state)
{
  GRand *random = g_rand_new_with_seed (20261206);
  struct config_follow follow = { 0 };
  int64_t now_us = 0;

  for (int i = 0; i < 20000; i++)
    {
      int64_t peers_revision = g_rand_int_range (random, 0, 50);
      enum config_follow_action action = config_follow_next (&follow, peers_revision, now_us);
      unsigned jitter = (unsigned)g_rand_int_range (random, 0, 100);

      if (action == CONFIG_FOLLOW_READ_FROM_PEER)
        {
          assert_true (peers_revision > follow.revision);
          config_follow_note_peer_read (&follow);
          assert_int_not_equal (config_follow_next (&follow, peers_revision, now_us),
                                CONFIG_FOLLOW_READ_FROM_PEER);
          if (g_rand_boolean (random))
            config_follow_note_applied (&follow, peers_revision);
        }
      else if (action == CONFIG_FOLLOW_WATCH_PLATFORM)
        {
          enum sr_platform_status status
              = (enum sr_platform_status)g_rand_int_range (random, 0, SR_PLATFORM_UNKNOWN + 1);

          config_follow_note_watch (&follow, status, jitter, now_us);
          if (follow.platform_failed)
            assert_int_not_equal (config_follow_next (&follow, 0, now_us),
                                  CONFIG_FOLLOW_WATCH_PLATFORM);
          else
            assert_int_equal (config_follow_next (&follow, follow.revision, now_us + 2000000),
                              CONFIG_FOLLOW_WATCH_PLATFORM);
        }
      else
        assert_true (follow.pause_until_us - now_us <= 2000000);
      now_us += g_rand_int_range (random, 0, 500000);
    }
  g_rand_free (random);
}

/* Guards against chunks that decode to more bytes than were received, with corrupt input. */
static void
corrupt_chunks_do_not_exceed_their_bounds (void **state)
{
  GRand *random = g_rand_new_with_seed (20261207);
  char wire[512];

  for (int round = 0; round < 20000; round++)
    {
      config_chunk chunk = { 0 };
      XDR xdr;

      for (size_t i = 0; i < sizeof (wire); i++)
        wire[i] = (char)(g_rand_boolean (random) ? 0 : g_rand_int (random));
      xdrmem_create (&xdr, wire, sizeof (wire), XDR_DECODE);
      if (xdr_config_chunk (&xdr, &chunk))
        assert_true (chunk.bytes.bytes_len <= sizeof (wire));
      xdr_free ((xdrproc_t)xdr_config_chunk, (char *)&chunk);
    }
  g_rand_free (random);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (changes_on_the_platform_come_into_force),
    cmocka_unit_test (instance_started_in_an_outage_reads_from_a_peer),
    cmocka_unit_test (no_needless_peer_read_and_no_retry_without_pause),
    cmocka_unit_test (corrupt_chunks_do_not_exceed_their_bounds),
  };

  sr_log_init ("test");
  return cmocka_run_group_tests (tests, NULL, NULL);
}
