/* Tests which instances of a large fleet receive announcements, and how soon. */
#include "mesh/mesh.h"

#include "base/counters.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  FLEET = 83,
  CUT_OFF = 29, /* the last nodes ignore all messages, and the others do not know it */
  FIRST_PORT = 21400,
  SEEDS = 20,
  ROUNDS
  = 6, /* of repeated updates, one in half a second: the bound for a change is three seconds */
  ROUND_LOOPS = 50, /* runs of the event loop between two looks at what has arrived */
  DELIVERY_MAX_MS = 1000,
  FLOOD_PER_NODE = 30,
  FLOOD_RATE_MAX = 200 /* datagrams of reports a second: a few milliseconds of processor time */
};

struct node
{
  char name[16];
  struct mesh *mesh;
  GRand *random;
  bool cut_off;
  int64_t revision;
  unsigned received; /* updates */
  struct mesh_update last;
  uint64_t replaced;
  int64_t leaving_started_ms;
  unsigned part_reports; /* datagrams */
  unsigned loan_requests;
};

static struct node nodes[FLEET];
static uv_loop_t loop;

static struct mesh_update
update_of (const struct node *node)
{
  return (struct mesh_update){ .configuration_revision = node->revision };
}

static void
on_update (const struct mesh_update *update, void *data)
{
  struct node *node = data;
  struct mesh_update own;

  node->received++;
  node->last = *update;
  if (node->cut_off || update->configuration_revision <= node->revision)
    return;
  node->revision = update->configuration_revision;
  own = update_of (node);
  mesh_announce_update (node->mesh, &own, node->random);
}

static void
on_replaced (uint64_t backend, void *data)
{
  struct node *node = data;

  if (node->cut_off || node->replaced == backend)
    return;
  node->replaced = backend;
  mesh_announce_replaced (node->mesh, backend, node->random);
}

static void
on_leaving (uint64_t backend, int64_t started_ms, void *data)
{
  struct node *node = data;

  if (node->cut_off || node->leaving_started_ms == started_ms)
    return;
  node->leaving_started_ms = started_ms;
  mesh_announce_leaving (node->mesh, backend, started_ms, node->random);
}

static void
on_part_reports (const struct quarantine_report *reports, unsigned n_reports, void *data)
{
  struct node *node = data;

  node->part_reports++;
}

static void
on_loan_request (uint64_t handle, const struct allotment_loan_request *request, void *data)
{
  struct node *node = data;

  node->loan_requests++;
}

static struct sockaddr_in
address_of (unsigned index)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)(FIRST_PORT + index)) };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

static int
set_up (void **state)
{
  GRand *random = g_rand_new ();

  uv_loop_init (&loop);
  for (unsigned i = 0; i < FLEET; i++)
    {
      const struct mesh_options options = { .loop = &loop,
                                            .address = address_of (i),
                                            .instance = nodes[i].name,
                                            .data = &nodes[i],
                                            .on_update = on_update,
                                            .on_replaced = on_replaced,
                                            .on_leaving = on_leaving,
                                            .on_part_reports = on_part_reports,
                                            .on_loan_request = on_loan_request };

      g_snprintf (nodes[i].name, sizeof nodes[i].name, "entry-%u", i);
      nodes[i].mesh = mesh_new (&options);
      nodes[i].random = random;
      nodes[i].cut_off = i >= FLEET - CUT_OFF;
      if (nodes[i].mesh == NULL)
        return -1;
    }
  for (unsigned i = 0; i < FLEET; i++)
    for (unsigned k = 0; k < FLEET; k++)
      {
        g_autofree char *name = g_strdup_printf ("entry-%u", k);
        const struct sockaddr_in address = address_of (k);

        if (k != i)
          mesh_set_peer (nodes[i].mesh, name, &address);
      }
  return 0;
}

static int
tear_down (void **state)
{
  g_rand_free (nodes[0].random);
  for (unsigned i = 0; i < FLEET; i++)
    mesh_delete (nodes[i].mesh);
  uv_run (&loop, UV_RUN_DEFAULT);
  return uv_loop_close (&loop);
}

/* Returns the value of the counter NAME. */
static int64_t
counter_value (const char *name)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autofree char *line = g_strdup_printf ("\n%s ", name);
  const char *found;

  sr_counters_print (text);
  found = strstr (text->str, line);
  assert_non_null (found);
  return g_ascii_strtoll (found + strlen (line), NULL, 10);
}

/* Runs the loop until all datagrams have arrived. Beside other traffic the kernel delivers them
 * later than they are sent, on the loopback device too. */
static void
deliver (void)
{
  int64_t end_us = g_get_monotonic_time () + DELIVERY_MAX_MS * 1000;

  do
    for (unsigned i = 0; i < ROUND_LOOPS; i++)
      uv_run (&loop, UV_RUN_NOWAIT);
  while (counter_value ("sapphirerun_mesh_datagrams_received_total")
             < counter_value ("sapphirerun_mesh_datagrams_sent_total")
         && g_get_monotonic_time () < end_us);
}

static unsigned
count_behind (int64_t revision)
{
  unsigned behind = 0;

  for (unsigned i = 0; i < FLEET - CUT_OFF; i++)
    behind += nodes[i].revision < revision;
  return behind;
}

/* Guards against instances that miss a change. The watch of one instance shows it, those of all
 * others miss it, and a third of the fleet is cut off: all reachable ones receive it in time. */
static void
no_reachable_instance_misses_a_change (void **state)
{
  for (int64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct mesh_update update;

      g_rand_set_seed (nodes[0].random, (guint32)seed);
      nodes[0].revision = seed;
      update = update_of (&nodes[0]);
      mesh_announce_update (nodes[0].mesh, &update, nodes[0].random);
      deliver ();
      for (unsigned round = 0; round < ROUNDS; round++)
        {
          for (unsigned i = 0; i < FLEET - CUT_OFF; i++)
            {
              update = update_of (&nodes[i]);
              mesh_repeat_update (nodes[i].mesh, &update, nodes[i].random);
            }
          deliver ();
        }
      assert_int_equal (count_behind (seed), 0);
    }
}

/* Guards against a flood of datagrams: a round of repeated updates costs an instance a few of them,
 * whatever the size of the fleet. */
static void
repeated_updates_do_not_flood_the_fleet (void **state)
{
  unsigned received = 0;

  for (unsigned i = 0; i < FLEET; i++)
    nodes[i].received = 0;
  for (unsigned i = 0; i < FLEET; i++)
    {
      const struct mesh_update update = update_of (&nodes[i]);

      mesh_repeat_update (nodes[i].mesh, &update, nodes[i].random);
    }
  deliver ();
  for (unsigned i = 0; i < FLEET; i++)
    received += nodes[i].received;
  assert_in_range (received, FLEET, 4 * FLEET);
}

/* Guards against a revision of the evacuations that is lost on the way, or read where none was
 * sent. */
static void
an_update_has_the_revision_of_the_evacuations_if_there_is_one (void **state)
{
  static const int64_t revisions[] = { 0, INT64_C (1) << 40, 0 };

  for (size_t k = 0; k < G_N_ELEMENTS (revisions); k++)
    {
      const struct mesh_update update = { .era = 2,
                                          .configuration_revision = 1,
                                          .backends_revision = 5,
                                          .configuration_version = 7,
                                          .evacuations_revision = revisions[k] };
      unsigned informed = 0;

      for (unsigned i = 0; i < FLEET; i++)
        nodes[i].received = 0;
      mesh_announce_update (nodes[0].mesh, &update, nodes[0].random);
      deliver ();
      for (unsigned i = 0; i < FLEET; i++)
        if (nodes[i].received > 0 && nodes[i].last.era == 2)
          {
            assert_true (nodes[i].last.evacuations_revision == revisions[k]);
            assert_int_equal (nodes[i].last.configuration_version, 7);
            informed++;
          }
      assert_true (informed > 0);
    }
}

/* Guards against announcements that do not spread: at least nine in ten of the reachable instances
 * know of a replaced backend server at once, without repetition. */
static void
a_replaced_server_is_announced_to_the_fleet (void **state)
{
  unsigned informed = 0;

  g_rand_set_seed (nodes[0].random, 1);
  on_replaced (7, &nodes[0]);
  deliver ();
  for (unsigned i = 0; i < FLEET - CUT_OFF; i++)
    informed += nodes[i].replaced == 7;
  assert_true (informed >= (FLEET - CUT_OFF) * 9 / 10);
}

/* The same for a backend server that has reported to one instance that it is leaving. */
static void
a_leaving_server_is_announced_to_the_fleet (void **state)
{
  unsigned informed = 0;

  g_rand_set_seed (nodes[0].random, 2);
  on_leaving (7, 1234567890123, &nodes[0]);
  deliver ();
  for (unsigned i = 0; i < FLEET - CUT_OFF; i++)
    informed += nodes[i].leaving_started_ms == 1234567890123;
  assert_true (informed >= (FLEET - CUT_OFF) * 9 / 10);
}

/* Guards against reports on prompt parts that keep an instance from its other duties: a flood of
 * them is dropped beyond a rate, and the loan requests among them are received. */
static void
loan_requests_pass_a_flood_of_reports (void **state)
{
  struct quarantine_report reports[MESH_PART_REPORTS_MAX];
  const struct allotment_loan_request request
      = { .number = 1, .team = "team", .borrower = "borrower", .need = 1, .want = 1 };
  int64_t began_us = g_get_monotonic_time ();
  unsigned sent = 0;
  double seconds;

  for (unsigned i = 0; i < MESH_PART_REPORTS_MAX; i++)
    reports[i] = (struct quarantine_report){
      .kind = QUARANTINE_ENDED, .part = 1 + i, .at_us = began_us, .backend = 2, .started_ms = 3
    };
  nodes[0].part_reports = nodes[0].loan_requests = 0;
  for (unsigned i = 1; i < FLEET; i++)
    {
      /* Node 0 is the only peer, and so receives all that is sent. */
      for (unsigned k = 1; k < FLEET; k++)
        {
          g_autofree char *name = g_strdup_printf ("entry-%u", k);

          mesh_remove_peer (nodes[i].mesh, name);
        }
      for (unsigned k = 0; k < FLOOD_PER_NODE; k++)
        mesh_announce_part_reports (nodes[i].mesh, reports, MESH_PART_REPORTS_MAX, nodes[i].random);
      mesh_send_loan_request (nodes[i].mesh, "entry-0", &request);
      sent++;
      deliver ();
    }
  seconds = (double)(g_get_monotonic_time () - began_us) / 1e6;
  assert_int_equal (nodes[0].loan_requests, sent);
  assert_true (nodes[0].part_reports > 0);
  assert_true (nodes[0].part_reports <= (1 + seconds) * FLOOD_RATE_MAX);
  assert_true (counter_value ("sapphirerun_mesh_reports_dropped_total") > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (no_reachable_instance_misses_a_change),
    cmocka_unit_test (a_replaced_server_is_announced_to_the_fleet),
    cmocka_unit_test (a_leaving_server_is_announced_to_the_fleet),
    cmocka_unit_test (repeated_updates_do_not_flood_the_fleet),
    cmocka_unit_test (an_update_has_the_revision_of_the_evacuations_if_there_is_one),
    cmocka_unit_test (loan_requests_pass_a_flood_of_reports),
  };

  return cmocka_run_group_tests (tests, set_up, tear_down);
}
