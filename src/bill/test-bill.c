/* Bills of two instances over the peer protocol, with the platform in memory. */
#include "base/counters.h"
#include "bill/bill.h"
#include "platform/platform-memory.h"

#include <jansson.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  FIRST_PORT = 20331,
  INSTANCES = 2,
  WAIT_US = 8000000,
  SHORT_WAIT_US = 300000,
  POLL_US = 20000,
  NEVER_MS = 3600000,
  OFTEN_MS = 20,
  LIST_LIMIT = 500
};

struct instance
{
  char name[8];
  struct sr_peer_client *client;
  struct sr_peer_server *server;
  struct sr_bills *bills;
};

static pthread_mutex_t view_mutex = PTHREAD_MUTEX_INITIALIZER;
static struct sr_member members[INSTANCES];
static struct instance instances[INSTANCES];
static struct sr_platform *platform;

static struct sr_member_view *
view_ (void *data)
{
  struct sr_member_view *view;

  pthread_mutex_lock (&view_mutex);
  view = sr_member_view_new (members, INSTANCES);
  pthread_mutex_unlock (&view_mutex);
  return view;
}

static void
set_state_ (unsigned index, enum sr_member_state state)
{
  pthread_mutex_lock (&view_mutex);
  members[index].state = state;
  pthread_mutex_unlock (&view_mutex);
}

static void
set_port_ (unsigned index, unsigned port)
{
  pthread_mutex_lock (&view_mutex);
  members[index].peer.port = port;
  pthread_mutex_unlock (&view_mutex);
}

static void
start_ (unsigned index, unsigned write_interval_ms)
{
  struct instance *instance = &instances[index];
  struct sr_peer_server_options server = { .address = "127.0.0.1", .port = FIRST_PORT + index };
  struct sr_peer_client_options client = { .source_address = NULL };
  struct sr_bills_options options = { .platform = platform,
                                      .get_view = view_,
                                      .instance = instance->name,
                                      .data_centre = "makole",
                                      .incarnation = 1,
                                      .write_interval_ms = write_interval_ms };

  g_snprintf (instance->name, sizeof instance->name, "i%u", index);
  g_strlcpy (members[index].name, instance->name, sizeof members[index].name);
  g_strlcpy (members[index].data_centre, "makole", sizeof members[index].data_centre);
  g_strlcpy (members[index].peer.ip, "127.0.0.1", sizeof members[index].peer.ip);
  members[index].peer.port = FIRST_PORT + index;
  members[index].incarnation = 1;
  members[index].state = SR_MEMBER_ALIVE;
  instance->client = sr_peer_client_new (&client);
  instance->server = sr_peer_server_new (&server);
  options.peers = instance->client;
  instance->bills = sr_bills_new (&options);
  sr_bills_add_to_server (instance->bills, instance->server);
  assert_true (sr_peer_server_start (instance->server));
  assert_true (sr_bills_start (instance->bills));
}

static void
stop_ (unsigned index)
{
  struct instance *instance = &instances[index];

  if (instance->bills == NULL)
    return;
  sr_bills_stop (instance->bills);
  sr_peer_server_stop (instance->server);
  sr_peer_server_delete (instance->server);
  sr_bills_delete (instance->bills);
  sr_peer_client_delete (instance->client);
  instance->bills = NULL;
}

static int
set_up_ (void **state)
{
  platform = sr_platform_memory_new ();
  return 0;
}

static int
tear_down_ (void **state)
{
  for (unsigned i = 0; i < INSTANCES; i++)
    stop_ (i);
  sr_platform_unref (platform);
  return 0;
}

static bool
record_ (unsigned index, const char *request, int64_t tokens, int64_t wait_us)
{
  struct sr_bill bill = { .team = "t",
                          .budget = "b",
                          .request = request,
                          .service = "s",
                          .billed_tokens = tokens,
                          .time_ms = 1 };

  return sr_bills_record (instances[index].bills, &bill, g_get_monotonic_time () + wait_us);
}

static bool
count_ (const struct sr_bill *bill, void *data)
{
  int64_t *sums = data;

  sums[0]++;
  sums[1] += bill->billed_tokens;
  return true;
}

static int64_t
billed_ (int64_t *tokens)
{
  int64_t sums[2] = { 0, 0 };

  assert_int_equal (sr_bills_read (platform, NULL, count_, sums), SR_PLATFORM_OK);
  *tokens = sums[1];
  return sums[0];
}

static void
wait_for_bills_ (int64_t count)
{
  int64_t end_us = g_get_monotonic_time () + WAIT_US;
  int64_t tokens;

  while (billed_ (&tokens) < count && g_get_monotonic_time () < end_us)
    g_usleep (POLL_US);
  assert_int_equal (billed_ (&tokens), count);
}

/* Asserts that the platform holds exactly COUNT lines, none of them twice. */
static void
assert_lines_ (unsigned count)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GHashTable) seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bool more;

  assert_int_equal (sr_platform_list (platform, "bills", "", "", LIST_LIMIT, names, &more),
                    SR_PLATFORM_OK);
  for (unsigned i = 0; i < names->len; i++)
    {
      g_autoptr (GString) body = g_string_new (NULL);
      json_t *lines;
      json_t *line;
      int64_t version;
      size_t j;

      assert_int_equal (sr_platform_get (platform, "bills", names->pdata[i], body, &version),
                        SR_PLATFORM_OK);
      lines = json_loadb (body->str, body->len, 0, NULL);
      json_array_foreach (lines, j, line)
          assert_true (g_hash_table_add (seen, json_dumps (line, JSON_COMPACT)));
      json_decref (lines);
    }
  assert_int_equal (g_hash_table_size (seen), count);
}

/* Returns the number of bills adopted so far in this process. */
static int64_t
adopted_bills_ (void)
{
  g_autoptr (GString) text = g_string_new (NULL);
  const char *found;

  sr_counters_print (text);
  found = strstr (text->str, "\nbills_adopted_total ");
  assert_non_null (found);
  return g_ascii_strtoll (found + strlen ("\nbills_adopted_total "), NULL, 10);
}

static void
wait_for_lines_ (unsigned instance)
{
  int64_t end_us = g_get_monotonic_time () + WAIT_US;

  while (!sr_bills_flush (instances[instance].bills, g_get_monotonic_time () + SHORT_WAIT_US))
    assert_true (g_get_monotonic_time () < end_us);
}

/* The owner crashes during a platform outage with unwritten bills: the peer that keeps the
 * copies writes them after the outage. */
static void
copies_of_crashed_instance_are_written_after_outage (void **state)
{
  int64_t tokens;

  start_ (0, NEVER_MS);
  start_ (1, OFTEN_MS);
  sr_platform_memory_set_unreachable (platform, true);
  assert_true (record_ (0, "r1", 10, WAIT_US));
  assert_true (record_ (0, "r2", 20, WAIT_US));
  stop_ (0);
  set_state_ (0, SR_MEMBER_DEAD);
  sr_platform_memory_set_unreachable (platform, false);
  wait_for_bills_ (2);
  assert_int_equal (billed_ (&tokens), 2);
  assert_int_equal (tokens, 30);
}

/* The peer considers a live owner dead, and the request ran on both: its two bills are read as
 * one. */
static void
request_billed_twice_is_read_once (void **state)
{
  int64_t tokens;

  start_ (0, NEVER_MS);
  start_ (1, OFTEN_MS);
  assert_true (record_ (0, "r1", 10, WAIT_US));
  set_state_ (0, SR_MEMBER_DEAD);
  wait_for_bills_ (1);
  assert_true (sr_bills_flush (instances[0].bills, g_get_monotonic_time () + WAIT_US));
  assert_true (record_ (1, "r1", 99, WAIT_US));
  assert_true (sr_bills_flush (instances[1].bills, g_get_monotonic_time () + WAIT_US));
  assert_int_equal (billed_ (&tokens), 1);
  assert_int_equal (tokens, 10);
}

/* The peer considers a live owner dead and writes the copies it keeps; the owner then writes
 * only the lines that the peer did not. */
static void
live_owner_does_not_rewrite_adopted_lines (void **state)
{
  int64_t tokens;

  start_ (0, NEVER_MS);
  start_ (1, OFTEN_MS);
  assert_true (record_ (0, "r1", 10, WAIT_US));
  assert_true (record_ (0, "r2", 20, WAIT_US));
  set_state_ (0, SR_MEMBER_DEAD);
  wait_for_bills_ (2);
  set_state_ (1, SR_MEMBER_SUSPECT);
  assert_true (record_ (0, "r3", 30, WAIT_US));
  wait_for_lines_ (0);
  assert_lines_ (3);
  assert_int_equal (billed_ (&tokens), 3);
  assert_int_equal (tokens, 60);
}

/* The owner's final notice that all lines are written does not reach the keeper. */
static void
keeper_missing_written_notice_does_not_rewrite_lines (void **state)
{
  int64_t adopted;

  start_ (0, NEVER_MS);
  start_ (1, OFTEN_MS);
  assert_true (record_ (0, "r1", 10, WAIT_US));
  adopted = adopted_bills_ ();
  set_port_ (1, FIRST_PORT + INSTANCES);
  assert_true (sr_bills_flush (instances[0].bills, g_get_monotonic_time () + WAIT_US));
  stop_ (0);
  set_state_ (0, SR_MEMBER_DEAD);
  while (adopted_bills_ () == adopted)
    g_usleep (POLL_US);
  wait_for_lines_ (1);
  assert_lines_ (1);
}

/* Without a reachable peer the second copy is made on the platform; a lost response does not
 * write the batch twice. */
static void
without_peers_bills_are_copied_to_platform (void **state)
{
  int64_t tokens;

  start_ (0, NEVER_MS);
  set_state_ (1, SR_MEMBER_DEAD);
  sr_platform_memory_lose_responses (platform, 1);
  assert_true (record_ (0, "r1", 10, WAIT_US));
  assert_int_equal (billed_ (&tokens), 1);
  sr_platform_memory_set_unreachable (platform, true);
  assert_false (record_ (0, "r2", 10, SHORT_WAIT_US));
  sr_platform_memory_set_unreachable (platform, false);
  assert_true (sr_bills_flush (instances[0].bills, g_get_monotonic_time () + WAIT_US));
  assert_int_equal (billed_ (&tokens), 2);
}

/* Without peers and during a platform outage a bill gets no second copy, and bills count
 * as stalled; both end with the outage. */
static void
bills_stall_without_peers_and_platform (void **state)
{
  struct sr_platform *alone = sr_platform_memory_new ();
  struct sr_bills_options options
      = { .platform = alone, .instance = "i9", .data_centre = "makole", .incarnation = 1 };
  struct sr_bills *bills = sr_bills_new (&options);
  struct sr_bill bill = { .team = "t", .budget = "b", .request = "r", .service = "s" };
  int64_t now_us = g_get_monotonic_time ();

  sr_platform_memory_set_unreachable (alone, true);
  assert_false (sr_bills_are_stalled (bills, now_us + WAIT_US));
  assert_false (sr_bills_record (bills, &bill, now_us + SHORT_WAIT_US));
  assert_true (sr_bills_are_stalled (bills, now_us + WAIT_US));
  sr_platform_memory_set_unreachable (alone, false);
  assert_true (sr_bills_record (bills, &bill, g_get_monotonic_time () + WAIT_US));
  assert_false (sr_bills_are_stalled (bills, now_us + WAIT_US));
  sr_bills_delete (bills);
  sr_platform_unref (alone);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (copies_of_crashed_instance_are_written_after_outage, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (request_billed_twice_is_read_once, set_up_, tear_down_),
    cmocka_unit_test_setup_teardown (live_owner_does_not_rewrite_adopted_lines, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (keeper_missing_written_notice_does_not_rewrite_lines, set_up_,
                                     tear_down_),
    cmocka_unit_test_setup_teardown (without_peers_bills_are_copied_to_platform, set_up_,
                                     tear_down_),
    cmocka_unit_test (bills_stall_without_peers_and_platform),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
