#include "member/instance-list.h"
#include "member/member.h"
#include "platform/platform-memory.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  INSTANCES = 3,
  PEER_PORT = 20310,
  INTERVAL_MS = 50,
  WAIT_LIMIT_S = 60,
  POLL_US = 10000
};

struct instance
{
  struct sr_peer_client *client;
  struct sr_peer_server *server;
  struct sr_members *members;
};

static struct instance instances[INSTANCES];

static void
instance_start (unsigned index, struct sr_platform *platform)
{
  struct instance *instance = &instances[index];
  g_autoptr (GPtrArray) seeds = g_ptr_array_new ();
  GString *seed = g_string_new ("127.0.1.1:20310");
  char name[] = { 'i', (char)('1' + index), '\0' };
  char address[] = { '1', '2', '7', '.', '0', '.', '1', '.', (char)('1' + index), '\0' };
  struct sr_peer_client_options client_options = { .source_address = address };
  struct sr_peer_server_options server_options = { .address = address, .port = PEER_PORT };
  struct sr_members_options options = { .name = name,
                                        .data_centre = "makole",
                                        .advertise_address = address,
                                        .peer_port = PEER_PORT,
                                        .entry_port = 8080,
                                        .incarnation = 1,
                                        .seeds = seeds,
                                        .gossip_interval_ms = INTERVAL_MS,
                                        .gossip_fanout = 2,
                                        .suspect_after_ms = 2000,
                                        .dead_after_ms = 4000,
                                        .seed = index,
                                        .platform = platform };

  g_ptr_array_add (seeds, seed);
  instance->client = sr_peer_client_new (&client_options);
  instance->server = sr_peer_server_new (&server_options);
  assert_non_null (instance->server);
  options.client = instance->client;
  instance->members = sr_members_new (&options);
  sr_members_add_to_server (instance->members, instance->server);
  assert_true (sr_peer_server_start (instance->server));
  assert_true (sr_members_start (instance->members));
  g_string_free (seed, TRUE);
}

static void
instance_end (unsigned index)
{
  sr_peer_server_delete (instances[index].server);
  sr_members_delete (instances[index].members);
  sr_peer_client_delete (instances[index].client);
}

/* Waits until the view of instance OBSERVER contains NAME in STATE with REVISION. Returns false on
 * time-out. */
static bool
wait_until_seen (unsigned observer, const char *name, enum sr_member_state state, int64_t revision)
{
  int64_t end_us = g_get_monotonic_time () + (int64_t)WAIT_LIMIT_S * 1000000;
  bool seen = false;

  while (!seen && g_get_monotonic_time () < end_us)
    {
      struct sr_member_view *view = sr_members_view (instances[observer].members);
      const struct sr_member *member = sr_member_view_find (view, name);

      seen = member != NULL && member->state == state && member->revision == revision;
      sr_member_view_unref (view);
      if (!seen)
        g_usleep (POLL_US);
    }
  return seen;
}

static void
instances_find_each_other_by_a_seed_during_a_platform_outage (void **state)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_member_view *view;
  g_autoptr (GPtrArray) order = NULL;

  sr_platform_memory_set_unreachable (platform, true);
  for (unsigned i = 0; i < INSTANCES; i++)
    instance_start (i, platform);
  assert_true (wait_until_seen (1, "i3", SR_MEMBER_ALIVE, 0));
  assert_true (wait_until_seen (2, "i2", SR_MEMBER_ALIVE, 0));
  sr_members_set_revision (instances[0].members, 9);
  assert_true (wait_until_seen (1, "i1", SR_MEMBER_ALIVE, 9));
  sr_members_set_leaving (instances[1].members);
  assert_true (wait_until_seen (2, "i2", SR_MEMBER_LEAVING, 0));
  view = sr_members_view (instances[2].members);
  order = sr_member_view_order (view, "a key", "makole");
  assert_int_equal (order->len, 2);
  instance_end (1);
  assert_true (wait_until_seen (2, "i2", SR_MEMBER_DEAD, 0));
  assert_int_equal (sr_member_view_find (view, "i2")->state, SR_MEMBER_LEAVING);
  sr_member_view_unref (view);
  instance_end (0);
  instance_end (2);
  sr_platform_unref (platform);
}

static void
a_view_finds_members_and_orders_the_alive_ones (void **state)
{
  struct sr_member members[] = {
    { .name = "c", .data_centre = "makole", .is_self = true },
    { .name = "a", .data_centre = "makole", .state = SR_MEMBER_SUSPECT },
    { .name = "b", .data_centre = "kikuyu" },
  };
  struct sr_member_view *view = sr_member_view_new (members, G_N_ELEMENTS (members));
  g_autoptr (GPtrArray) all = sr_member_view_order (view, "key", NULL);
  g_autoptr (GPtrArray) makole = sr_member_view_order (view, "key", "makole");

  assert_string_equal (view->members[0].name, "a");
  assert_string_equal (sr_member_view_find (view, "b")->data_centre, "kikuyu");
  assert_null (sr_member_view_find (view, "d"));
  assert_string_equal (sr_member_view_self (view)->name, "c");
  assert_int_equal (all->len, 2);
  assert_int_equal (makole->len, 1);
  assert_string_equal (makole->pdata[0], "c");
  sr_member_view_unref (view);
}

static void
an_invalid_list_or_entry_is_rejected (void **state)
{
  const char text[]
      = "{\"instances\":[{\"name\":\"i1\",\"address\":\"127.0.2.1\",\"entry_port\":80,"
        "\"peer_port\":81,\"data_centre\":\"makole\",\"state\":\"leaving\"},{\"name\":\"i2\"},7,"
        "{\"name\":\"i3\",\"address\":\"nowhere\",\"entry_port\":80,\"peer_port\":81,"
        "\"data_centre\":\"makole\",\"state\":\"live\"}]}";
  g_autoptr (GArray) listed = g_array_new (FALSE, TRUE, sizeof (struct sr_member));

  assert_false (sr_instance_list_parse ("[]", 2, listed));
  assert_false (sr_instance_list_parse ("{\"insta", 7, listed));
  assert_true (sr_instance_list_parse (text, strlen (text), listed));
  assert_int_equal (listed->len, 1);
  assert_string_equal (g_array_index (listed, struct sr_member, 0).peer.ip, "127.0.2.1");
  assert_int_equal (g_array_index (listed, struct sr_member, 0).state, SR_MEMBER_LEAVING);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (instances_find_each_other_by_a_seed_during_a_platform_outage),
    cmocka_unit_test (a_view_finds_members_and_orders_the_alive_ones),
    cmocka_unit_test (an_invalid_list_or_entry_is_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
