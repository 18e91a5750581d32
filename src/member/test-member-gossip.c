/* Many gossip state machines in one process, connected by a simulated lossy network. */
#include "member/gossip.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  NODES_MAX = 640,
  INTERVAL_MS = 1000,
  FANOUT = 2,
  SUSPECT_AFTER_MS = 4000,
  DEAD_AFTER_MS = 12000,
  /* ONC RPC call or reply header, plus IP and UDP headers. */
  CALL_HEADER_BYTES = 40 + 28,
  REPLY_HEADER_BYTES = 24 + 28,
  CONTROL_BYTES_PER_S_MAX = 6000
};

struct fleet
{
  size_t length;
  struct sr_gossip *nodes[NODES_MAX];
  bool silent[NODES_MAX]; /* paused or ended: neither sends nor replies */
  bool cut[64][64];       /* by sender and receiver, one direction; first 64 nodes only */
  bool partitioned;       /* partition between even and odd nodes */
  double loss;
  GRand *random;
  int64_t now_us;
  int64_t bytes;
};

static struct fleet fleet;

static void
node_start (size_t index, uint64_t incarnation)
{
  char name[SR_MEMBER_NAME_MAX_BYTES];
  struct sr_peer_address seeds[] = { { "10.0.0.0", 7000 }, { "10.0.0.1", 7000 } };
  struct sr_gossip_options options = { .name = name,
                                       .data_centre = index % 2 == 0 ? "makole" : "kikuyu",
                                       .address.port = 7000,
                                       .entry_port = 8000,
                                       .incarnation = incarnation,
                                       .seeds = seeds,
                                       .n_seeds = G_N_ELEMENTS (seeds),
                                       .interval_us = INTERVAL_MS * 1000,
                                       .fanout = FANOUT,
                                       .suspect_after_us = SUSPECT_AFTER_MS * 1000,
                                       .dead_after_us = DEAD_AFTER_MS * 1000,
                                       .seed = (uint32_t)(index * 7919 + incarnation) };

  g_snprintf (name, sizeof name, "instance-%03zu", index);
  g_snprintf (options.address.ip, sizeof options.address.ip, "10.0.%zu.%zu", index / 256,
              index % 256);
  sr_gossip_delete (fleet.nodes[index]);
  fleet.nodes[index] = sr_gossip_new (&options, fleet.now_us);
  fleet.silent[index] = false;
}

static void
fleet_start (size_t length, uint32_t seed)
{
  memset (&fleet, 0, sizeof fleet);
  fleet.length = length;
  fleet.random = g_rand_new_with_seed (seed);
  fleet.now_us = 1000000;
  for (size_t i = 0; i < length; i++)
    node_start (i, 1);
}

static void
fleet_end (void)
{
  for (size_t i = 0; i < fleet.length; i++)
    sr_gossip_delete (fleet.nodes[i]);
  g_rand_free (fleet.random);
}

static bool
is_delivered (size_t from, size_t to)
{
  if (from < 64 && to < 64 && fleet.cut[from][to])
    return false;
  if (fleet.partitioned && from % 2 != to % 2)
    return false;
  return !fleet.silent[from] && !fleet.silent[to] && g_rand_double (fleet.random) >= fleet.loss;
}

static void
exchange (size_t from, const struct sr_gossip_target *target)
{
  unsigned high = NODES_MAX;
  unsigned low = 0;
  member_message request = { 0 };
  member_message reply = { 0 };
  bool replied = false;
  size_t to;

  sscanf (target->address.ip, "10.0.%u.%u", &high, &low);
  to = high * 256 + low;
  sr_gossip_fill_request (fleet.nodes[from], target, &request);
  fleet.bytes += CALL_HEADER_BYTES + (int64_t)xdr_sizeof ((xdrproc_t)xdr_member_message, &request);
  if (to < fleet.length && to != from && is_delivered (from, to))
    {
      sr_gossip_handle_request (fleet.nodes[to], fleet.now_us, &request, &reply);
      fleet.bytes
          += REPLY_HEADER_BYTES + (int64_t)xdr_sizeof ((xdrproc_t)xdr_member_message, &reply);
      replied = is_delivered (to, from);
    }
  if (replied)
    sr_gossip_handle_reply (fleet.nodes[from], fleet.now_us, target, &reply);
  else
    sr_gossip_handle_failure (fleet.nodes[from], fleet.now_us, target);
  xdr_free ((xdrproc_t)xdr_member_message, &request);
  xdr_free ((xdrproc_t)xdr_member_message, &reply);
}

/* Advances the time by SECONDS. Every node ticks once per second, at an offset of its own. */
static void
run (unsigned seconds)
{
  for (unsigned second = 0; second < seconds; second++)
    {
      int64_t start_us = fleet.now_us;

      for (size_t i = 0; i < fleet.length; i++)
        {
          g_autoptr (GArray) targets = g_array_new (FALSE, TRUE, sizeof (struct sr_gossip_target));

          fleet.now_us = start_us + (int64_t)(i * 1000000 / fleet.length);
          if (fleet.silent[i])
            continue;
          sr_gossip_tick (fleet.nodes[i], fleet.now_us, targets);
          assert_true (targets->len <= 2 * FANOUT + 1);
          for (guint j = 0; j < targets->len; j++)
            exchange (i, &g_array_index (targets, struct sr_gossip_target, j));
        }
      fleet.now_us = start_us + 1000000;
    }
}

/* Counts the pairs of a running node and a member in its view in STATE, members
 * SEEN_FROM to SEEN_TO-1. */
static size_t
count_state (enum sr_member_state state, size_t seen_from, size_t seen_to)
{
  size_t count = 0;

  for (size_t i = 0; i < fleet.length; i++)
    {
      struct sr_member_view *view = sr_gossip_view (fleet.nodes[i], fleet.now_us);

      for (size_t j = seen_from; j < seen_to && !fleet.silent[i]; j++)
        {
          char name[SR_MEMBER_NAME_MAX_BYTES];
          const struct sr_member *member;

          g_snprintf (name, sizeof name, "instance-%03zu", j);
          member = sr_member_view_find (view, name);
          count += member != NULL && member->state == state;
        }
      sr_member_view_unref (view);
    }
  return count;
}

static size_t
count_alive (void)
{
  return count_state (SR_MEMBER_ALIVE, 0, fleet.length);
}

static unsigned
run_until_alive (size_t pairs, unsigned limit_s)
{
  unsigned step_s = fleet.length > 64 ? 5 : 1;
  unsigned seconds = 0;

  for (; count_alive () < pairs && seconds < limit_s; seconds += step_s)
    run (step_s);
  assert_int_equal (count_alive (), pairs);
  return seconds;
}

static uint64_t
sum_suspects (void)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < fleet.length; i++)
    sum += sr_gossip_counts (fleet.nodes[i])->suspects;
  return sum;
}

static void
fleets_of_all_sizes_converge_within_the_bandwidth_limit (void **state)
{
  const size_t sizes[] = { 2, 8, 64, NODES_MAX };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      unsigned seconds;
      int64_t both_ways;

      fleet_start (sizes[i], 11);
      seconds = run_until_alive (sizes[i] * sizes[i], 60);
      run (20);
      fleet.bytes = 0;
      run (10);
      /* Every byte sent by one node is received by another. */
      both_ways = 2 * fleet.bytes / (int64_t)sizes[i] / 10;
      print_message ("%zu nodes: converged in %u s, %" G_GINT64_FORMAT " bytes/s a node\n",
                     sizes[i], seconds, both_ways);
      assert_true (both_ways < CONTROL_BYTES_PER_S_MAX);
      assert_int_equal (sum_suspects (), 0);
      fleet_end ();
    }
}

static void
a_dead_node_is_suspected_then_dead_everywhere (void **state)
{
  fleet_start (32, 12);
  run_until_alive (32 * 32, 30);
  fleet.silent[5] = true;
  run (SUSPECT_AFTER_MS / 1000);
  assert_int_equal (count_state (SR_MEMBER_DEAD, 5, 6), 0);
  for (int i = 0; i < 60 && count_state (SR_MEMBER_DEAD, 5, 6) < 31; i++)
    {
      run (1);
      assert_true (count_state (SR_MEMBER_ALIVE, 5, 6) + count_state (SR_MEMBER_SUSPECT, 5, 6)
                       + count_state (SR_MEMBER_DEAD, 5, 6)
                   == 31);
    }
  assert_int_equal (count_state (SR_MEMBER_DEAD, 5, 6), 31);
  assert_int_equal (sum_suspects (), 31);
  node_start (5, 2);
  run_until_alive (32 * 32, 60);
  fleet_end ();
}

static void
a_cut_link_makes_no_member_suspect (void **state)
{
  fleet_start (8, 13);
  run_until_alive (64, 30);
  fleet.cut[0][1] = true;
  fleet.cut[2][3] = true;
  fleet.cut[3][2] = true;
  run (300);
  assert_int_equal (count_alive (), 64);
  assert_int_equal (sum_suspects (), 0);
  fleet_end ();
}

static void
flapping_links_and_loss_make_no_member_dead (void **state)
{
  fleet_start (16, 14);
  run_until_alive (16 * 16, 30);
  fleet.loss = 0.2;
  for (int i = 0; i < 100; i++)
    {
      fleet.cut[i % 3][4 + i % 5] = !fleet.cut[i % 3][4 + i % 5];
      run (3);
      assert_int_equal (count_state (SR_MEMBER_DEAD, 0, 16), 0);
    }
  memset (fleet.cut, 0, sizeof fleet.cut);
  fleet.loss = 0;
  run_until_alive (16 * 16, 30);
  fleet_end ();
}

static void
a_node_suspects_no_member_after_its_own_pause (void **state)
{
  fleet_start (8, 15);
  run_until_alive (64, 30);
  fleet.cut[3][4] = fleet.cut[4][3] = true; /* so that a probe is failing when the pause begins */
  run (2);
  fleet.silent[3] = true;
  run (60);
  assert_int_equal (count_state (SR_MEMBER_DEAD, 3, 4), 7);
  fleet.silent[3] = false;
  fleet.cut[3][4] = fleet.cut[4][3] = false;
  run_until_alive (64, 20);
  run (30);
  assert_int_equal (sr_gossip_counts (fleet.nodes[3])->suspects, 0);
  assert_int_equal (sr_gossip_counts (fleet.nodes[3])->pauses, 1);
  assert_int_equal (sum_suspects (), 7);
  assert_int_equal (count_alive (), 64);
  fleet_end ();
}

static void
partitions_merge_and_an_isolated_node_spreads_no_suspicion (void **state)
{
  uint64_t before;

  fleet_start (16, 16);
  run_until_alive (16 * 16, 30);
  fleet.partitioned = true;
  run (120);
  assert_int_equal (count_alive (), 2 * 8 * 8);
  fleet.partitioned = false;
  run_until_alive (16 * 16, 120);
  run (60);
  for (size_t i = 0; i < 16; i++)
    fleet.cut[7][i] = fleet.cut[i][7] = true;
  run (60);
  assert_int_equal (count_alive (), 15 * 15 + 1);
  memset (fleet.cut, 0, sizeof fleet.cut);
  before = sum_suspects ();
  run_until_alive (16 * 16, 120);
  run (60);
  /* No node adopted the isolated node's suspicions of its peers. */
  assert_int_equal (sum_suspects (), before);
  assert_int_equal (count_alive (), 16 * 16);
  fleet_end ();
}

static void
leaving_and_revision_reach_all_and_old_messages_are_ignored (void **state)
{
  struct sr_gossip_target target = { .name = "instance-000" };
  member_message old = { 0 };
  member_message reply = { 0 };
  struct sr_member_view *view;

  fleet_start (8, 17);
  run_until_alive (64, 30);
  sr_gossip_fill_request (fleet.nodes[2], &target, &old);
  sr_gossip_set_revision (fleet.nodes[2], 41);
  sr_gossip_set_revision (fleet.nodes[2], 40);
  sr_gossip_set_leaving (fleet.nodes[2]);
  run (8);
  assert_int_equal (count_state (SR_MEMBER_LEAVING, 2, 3), 8);
  sr_gossip_handle_request (fleet.nodes[0], fleet.now_us, &old, &reply);
  assert_int_equal (count_state (SR_MEMBER_LEAVING, 2, 3), 8);
  view = sr_gossip_view (fleet.nodes[0], fleet.now_us);
  assert_int_equal (sr_member_view_find (view, "instance-002")->revision, 41);
  sr_member_view_unref (view);
  node_start (2, 5);
  run_until_alive (64, 30);
  xdr_free ((xdrproc_t)xdr_member_message, &reply);
  memset (&reply, 0, sizeof reply);
  sr_gossip_handle_request (fleet.nodes[0], fleet.now_us, &old, &reply);
  assert_true (sr_gossip_counts (fleet.nodes[0])->stale > 0);
  assert_int_equal (count_alive (), 64);
  xdr_free ((xdrproc_t)xdr_member_message, &reply);
  xdr_free ((xdrproc_t)xdr_member_message, &old);
  fleet_end ();
}

static void
the_platform_list_never_overrides_gossip (void **state)
{
  struct sr_member listed = { .name = "instance-001",
                              .data_centre = "chamwino",
                              .peer = { "10.0.0.99", 7000 },
                              .state = SR_MEMBER_LEAVING };
  struct sr_member_view *view;

  fleet_start (8, 18);
  run_until_alive (64, 30);
  sr_gossip_add_listed (fleet.nodes[0], fleet.now_us, &listed);
  assert_int_equal (count_alive (), 64);
  g_strlcpy (listed.name, "removed-1", sizeof listed.name);
  sr_gossip_add_listed (fleet.nodes[0], fleet.now_us, &listed);
  view = sr_gossip_view (fleet.nodes[0], fleet.now_us);
  assert_int_equal (sr_member_view_find (view, "removed-1")->state, SR_MEMBER_SUSPECT);
  sr_member_view_unref (view);
  run (60);
  view = sr_gossip_view (fleet.nodes[0], fleet.now_us);
  assert_int_equal (sr_member_view_find (view, "removed-1")->state, SR_MEMBER_DEAD);
  sr_member_view_unref (view);
  view = sr_gossip_view (fleet.nodes[1], fleet.now_us);
  assert_null (sr_member_view_find (view, "removed-1"));
  sr_member_view_unref (view);
  fleet_end ();
}

/* Overwrites some or all bytes of a valid message at random and delivers it if it can still be
 * decoded. */
static void
corrupt_messages_are_dropped_and_counted (void **state)
{
  struct sr_gossip_target target = { .name = "instance-000" };
  char valid[SR_PEER_MESSAGE_MAX_BYTES];
  member_message message = { 0 };
  u_int length;
  XDR xdr;

  fleet_start (8, 19);
  run_until_alive (64, 30);
  sr_gossip_fill_request (fleet.nodes[1], &target, &message);
  xdrmem_create (&xdr, valid, sizeof valid, XDR_ENCODE);
  assert_true (xdr_member_message (&xdr, &message));
  length = xdr_getpos (&xdr);
  xdr_free ((xdrproc_t)xdr_member_message, &message);
  for (int round = 0; round < 20000; round++)
    {
      char bytes[SR_PEER_MESSAGE_MAX_BYTES];
      int flips = round % 10 == 0 ? (int)length : g_rand_int_range (fleet.random, 1, 6);
      member_message reply = { 0 };

      memcpy (bytes, valid, length);
      for (int i = 0; i < flips; i++)
        bytes[g_rand_int_range (fleet.random, 0, (gint32)length)] = (char)g_rand_int (fleet.random);
      memset (&message, 0, sizeof message);
      xdrmem_create (&xdr, bytes, length, XDR_DECODE);
      if (xdr_member_message (&xdr, &message))
        sr_gossip_handle_request (fleet.nodes[0], fleet.now_us, &message, &reply);
      xdr_free ((xdrproc_t)xdr_member_message, &message);
      xdr_free ((xdrproc_t)xdr_member_message, &reply);
    }
  assert_true (sr_gossip_counts (fleet.nodes[0])->invalid > 0);
  run (30);
  for (size_t i = 2; i < 8; i++)
    assert_int_equal (count_state (SR_MEMBER_ALIVE, i, i + 1), 8);
  fleet_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (fleets_of_all_sizes_converge_within_the_bandwidth_limit),
    cmocka_unit_test (a_dead_node_is_suspected_then_dead_everywhere),
    cmocka_unit_test (a_cut_link_makes_no_member_suspect),
    cmocka_unit_test (flapping_links_and_loss_make_no_member_dead),
    cmocka_unit_test (a_node_suspects_no_member_after_its_own_pause),
    cmocka_unit_test (partitions_merge_and_an_isolated_node_spreads_no_suspicion),
    cmocka_unit_test (leaving_and_revision_reach_all_and_old_messages_are_ignored),
    cmocka_unit_test (the_platform_list_never_overrides_gossip),
    cmocka_unit_test (corrupt_messages_are_dropped_and_counted),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
