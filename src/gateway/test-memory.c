/* Placement of requests by several instances on servers whose memory they share. Each instance
 * knows its own requests and the numbers of requests that responses report. */
#include "gateway/backends.h"
#include "gateway/dialect.h"
#include "gateway/placement.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  MS = 1000,
  SERVERS = 6,
  INSTANCES_MAX = 60,
  SLOTS = 64,
  MEMORY_TOKENS = 464366,
  HOLD_MS = 2500, /* mean time that a request is at its server */
  FIRST_MS = 200, /* until its response head */
  LOAD_MS = 60000,
  MEAN_TOKENS = 6900, /* of draw_tokens_ */
  SEED = 3
};

struct held_
{
  unsigned instance;
  unsigned server;
  int64_t tokens;
  int64_t head_ms;
  int64_t end_ms;
  bool has_head;
};

struct result_
{
  double refused_percent;
  double most_percent; /* of the memory of a server, in use at one time */
  double over_percent; /* of the time of all servers with more than their memory in use */
};

/* Draws the memory that a request needs: many small ones, few of up to 54,600 tokens. */
static int64_t
draw_tokens_ (GRand *random)
{
  double kind = g_rand_double (random);

  return kind < 0.62   ? g_rand_int_range (random, 500, 4000)
         : kind < 0.93 ? g_rand_int_range (random, 4000, 14000)
                       : g_rand_int_range (random, 14000, 54600);
}

/* Plays LOAD, relative to the memory of all servers, at a fleet of INSTANCES. */
static struct result_
play_ (unsigned instances, double load, bool is_bounded)
{
  const struct gw_service service
      = { .is_model = true, .slots = SLOTS, .memory_tokens = MEMORY_TOKENS };
  GRand *random = g_rand_new_with_seed (SEED);
  struct gw_backends *tables[INSTANCES_MAX];
  GQueue held = G_QUEUE_INIT;
  int64_t used[SERVERS] = { 0 };
  unsigned running[SERVERS] = { 0 };
  double per_ms = load * SERVERS * MEMORY_TOKENS / MEAN_TOKENS / HOLD_MS;
  struct result_ result = { 0 };
  unsigned arrivals = 0;
  unsigned refused = 0;
  unsigned over = 0;

  for (unsigned i = 0; i < instances; i++)
    {
      tables[i] = gw_backends_new ();
      for (unsigned k = 0; k < SERVERS; k++)
        {
          struct gw_backend_facts facts = { .id = g_strdup_printf ("i-%u", k),
                                            .service = g_strdup ("s"),
                                            .data_centre = g_strdup ("here"),
                                            .slots = SLOTS };

          gw_backends_put (tables[i], &facts);
        }
    }
  for (int64_t now_ms = 0; now_ms < LOAD_MS + 3 * HOLD_MS; now_ms++)
    {
      int64_t now_us = (1000000 + now_ms) * MS;

      for (double due = now_ms < LOAD_MS ? per_ms : 0; due > 0; due--)
        if (g_rand_double (random) < due)
          {
            unsigned instance = (unsigned)g_rand_int_range (random, 0, (gint32)instances);
            int64_t tokens = draw_tokens_ (random);
            const struct gw_prompt prompt
                = { .is_declared = true, .input_tokens = tokens - 100, .output_tokens_max = 100 };
            const struct gw_placement_query query
                = { .backends = gw_backends_of_service (tables[instance], "s"),
                    .service = &service,
                    .prompt = &prompt,
                    .data_centre = "here",
                    .instances = is_bounded ? instances : 0,
                    .rank = 0,
                    .now_us = now_us };
            struct gw_placement place;

            arrivals++;
            if (gw_placement_pick (&query, random, &place) != GW_PLACEMENT_PICKED)
              {
                refused++;
                continue;
              }
            gw_placement_begin_request (&place, &query, tokens);
            for (unsigned k = 0; k < SERVERS; k++)
              if (query.backends->pdata[k] == place.backend)
                {
                  struct held_ *request = g_new0 (struct held_, 1);

                  *request = (struct held_){
                    .instance = instance,
                    .server = k,
                    .tokens = tokens,
                    .head_ms = now_ms + FIRST_MS,
                    .end_ms = now_ms + g_rand_int_range (random, HOLD_MS / 2, HOLD_MS * 3 / 2)
                  };
                  g_queue_push_tail (&held, request);
                  used[k] += tokens;
                  running[k]++;
                }
          }
      for (GList *each = held.head; each != NULL;)
        {
          GList *following = each->next;
          struct held_ *request = each->data;
          struct gw_backend *backend
              = gw_backends_of_service (tables[request->instance], "s")->pdata[request->server];

          if (!request->has_head && request->head_ms <= now_ms)
            {
              const struct gw_response_head response = { .has_load = true,
                                                         .running = running[request->server],
                                                         .slots = SLOTS,
                                                         .work_time_percent = 100 };

              request->has_head = true;
              gw_placement_note_response (backend, &response, now_us);
              gw_placement_note_first_byte (backend, request->tokens - 100, now_us);
            }
          if (request->end_ms <= now_ms)
            {
              used[request->server] -= request->tokens;
              running[request->server]--;
              gw_placement_end_request (backend, 0, request->tokens, GW_ATTEMPT_OK, now_us);
              g_queue_delete_link (&held, each);
              g_free (request);
            }
          each = following;
        }
      for (unsigned k = 0; k < SERVERS; k++)
        {
          result.most_percent = MAX (result.most_percent, 100.0 * (double)used[k] / MEMORY_TOKENS);
          over += used[k] > MEMORY_TOKENS;
        }
    }
  assert_true (g_queue_is_empty (&held));
  result.refused_percent = 100.0 * refused / arrivals;
  result.over_percent = 100.0 * over / (LOAD_MS * SERVERS);
  print_message ("%u instances, load %.1f, %s: at most %.0f%% in use, over it %.2f%% of the time, "
                 "%.1f%% refused\n",
                 instances, load, is_bounded ? "bounded" : "unbounded", result.most_percent,
                 result.over_percent, result.refused_percent);
  for (unsigned i = 0; i < instances; i++)
    gw_backends_delete (tables[i]);
  g_rand_free (random);
  return result;
}

/* Guards against servers that instances together fill beyond their memory, as each one counts only
 * its own requests: with one instance never, with several in at most half of the time. Guards also
 * against requests refused while half of the memory is free. */
static void
memory_is_seldom_exceeded_by_all_instances_together (void **state)
{
  static const unsigned fleets[] = { 1, 8, INSTANCES_MAX };
  static const double loads[] = { 0.5, 0.8, 1.2, 2 };

  for (size_t i = 0; i < G_N_ELEMENTS (fleets); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (loads); k++)
      {
        struct result_ bounded = play_ (fleets[i], loads[k], true);
        struct result_ unbounded = play_ (fleets[i], loads[k], false);

        assert_true (bounded.over_percent <= unbounded.over_percent / 2);
        if (fleets[i] == 1)
          assert_true (bounded.most_percent <= 100);
        if (loads[k] <= 0.5)
          assert_true (bounded.refused_percent <= 1);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (memory_is_seldom_exceeded_by_all_instances_together),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
