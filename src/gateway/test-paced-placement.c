/* Placement beside the pace of a backend server: what a fleet of instances that know nothing of
 * each other sends to a server that has just appeared, or whose connection has just broken. */
#include "gateway/placement.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  SECOND_US = 1000000,
  NOW_US = 100 * SECOND_US,
  INSTANCES = 64,
  REQUESTS = 4, /* of each instance, at once */
  SLOTS = 64,
  BUSY_REQUESTS = 40, /* that the servers known before have reported */
  FIRST_MAX = 8       /* at the new server at first: an eighth of its slots */
};

static const struct gw_service service = { .slots = SLOTS, .is_model = true };
static const struct gw_prompt prompt = { .is_declared = true, .input_tokens = 100 };

static void
put_ (struct gw_backends *backends, const char *id)
{
  struct gw_backend_facts facts = { .id = g_strdup (id),
                                    .service = g_strdup ("s"),
                                    .data_centre = g_strdup ("here"),
                                    .slots = SLOTS,
                                    .started_ms = 1 };

  gw_backends_put (backends, &facts);
}

/* Returns the server NEW of an instance that knew two busy ones before. */
static struct gw_backend *
new_server_ (struct gw_backends *backends)
{
  const struct gw_response_head busy
      = { .has_load = true, .running = BUSY_REQUESTS, .slots = SLOTS };

  gw_backends_begin_list (backends);
  put_ (backends, "old-1");
  put_ (backends, "old-2");
  gw_backends_end_list (backends, false);
  gw_placement_note_response (gw_backends_find (backends, gw_backend_key ("old-1")), &busy, NOW_US);
  gw_placement_note_response (gw_backends_find (backends, gw_backend_key ("old-2")), &busy, NOW_US);
  put_ (backends, "new");
  return gw_backends_find (backends, gw_backend_key ("new"));
}

/* Returns how many of the REQUESTS that an instance places at NOW_US go to SERVER. */
static unsigned
place_ (struct gw_backends *backends,
        const struct gw_placement_fleet *paced,
        const struct gw_backend *server,
        GRand *random,
        int64_t now_us)
{
  const struct gw_placement_query query = { .backends = gw_backends_of_service (backends, "s"),
                                            .service = &service,
                                            .prompt = &prompt,
                                            .data_centre = "here",
                                            .paced = paced,
                                            .now_us = now_us };
  unsigned sent = 0;

  for (unsigned i = 0; i < REQUESTS; i++)
    {
      struct gw_placement place;

      assert_int_equal (gw_placement_pick (&query, random, &place), GW_PLACEMENT_PICKED);
      gw_placement_begin_request (&place, &query, 0);
      sent += place.backend == server;
    }
  return sent;
}

/* Guards against a fleet that sends all it has to a server that has just appeared. */
static void
a_new_server_gets_few_requests_of_a_whole_fleet_at_first (void **state)
{
  GRand *random = g_rand_new_with_seed (1);
  unsigned paced_sent = 0;
  unsigned unpaced_sent = 0;

  for (unsigned i = 0; i < INSTANCES; i++)
    for (unsigned paces = 0; paces < 2; paces++)
      {
        struct gw_backends *backends = gw_backends_new ();
        const struct gw_placement_fleet fleet
            = { .instance_hash = i * 7919ULL, .instances = INSTANCES };
        const struct gw_backend *server = new_server_ (backends);

        *(paces ? &paced_sent : &unpaced_sent)
            += place_ (backends, paces ? &fleet : NULL, server, random, NOW_US);
        gw_backends_delete (backends);
      }
  print_message ("at the new server: %u of %d with the pace, %u without\n", paced_sent,
                 INSTANCES * REQUESTS, unpaced_sent);
  assert_true (unpaced_sent > SLOTS);
  assert_true (paced_sent > 0 && paced_sent <= FIRST_MAX);
  g_rand_free (random);
}

/* Guards against a server that is kept out by fixed times, up to 8 s, after it has recovered. */
static void
a_server_is_tried_again_soon_after_many_broken_connections (void **state)
{
  GRand *random = g_rand_new_with_seed (1);
  struct gw_backends *backends = gw_backends_new ();
  const struct gw_placement_fleet fleet = { .instances = 1 };
  struct gw_backend *server = new_server_ (backends);
  int64_t now_us = NOW_US;
  unsigned sent = 0;

  for (unsigned i = 0; i < 6; i++, now_us += 2 * SECOND_US)
    {
      unsigned tried = place_ (backends, &fleet, server, random, now_us);

      for (unsigned k = 0; k < tried; k++)
        gw_placement_end_request (server, 100, 0, GW_ATTEMPT_BROKEN, now_us);
    }
  for (unsigned i = 0; i < 8 && sent == 0; i++, now_us += SECOND_US)
    sent = place_ (backends, &fleet, server, random, now_us);
  assert_true (sent > 0);
  gw_backends_delete (backends);
  g_rand_free (random);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_new_server_gets_few_requests_of_a_whole_fleet_at_first),
    cmocka_unit_test (a_server_is_tried_again_soon_after_many_broken_connections),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
