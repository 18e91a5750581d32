/* Schedules by chance, of which none may consume more than the total (checked in book_world_run).
 */
#include "unit/book-world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  STEP_US = 400 * MS, /* of a schedule */
  CUT_STEPS_MAX = 15
};

/* Whatever happens, in any order: nothing beyond the total is ever consumed (checked in run_). */
static void
no_schedule_overspends (void **state)
{
  for (uint32_t seed = 1; seed <= 150; seed++)
    {
      struct book_world world;

      book_world_set_up (&world, 800000, seed);
      world.loss = 0.1;
      world.late = seed % 2 == 0 ? 0.1 : 0;
      world.lost_writes = 0.3;
      world.used_mean_percent = 70;
      book_world_run (&world, 2 * SECOND);
      for (unsigned step = 0; step < 60; step++)
        {
          struct book_node *node
              = &world.nodes[g_rand_int_range (world.random, 0, BOOK_WORLD_NODES)];

          switch (g_rand_int_range (world.random, 0, 8))
            {
            case 0:
              if (node->book != NULL)
                book_node_kill (node);
              break;
            case 1:
              node->cut_from_store = !node->cut_from_store;
              break;
            case 2:
              node->cut_from_peers = !node->cut_from_peers;
              break;
            case 3:
              if (node->book != NULL)
                allotment_book_leave (node->book, world.now_us);
              break;
            case 4:
              world.call_us = g_rand_boolean (world.random) ? 4 * MS : 240 * MS;
              break;
            default:
              break;
            }
          for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
            if (world.nodes[i].book == NULL && g_rand_int_range (world.random, 0, 3) == 0)
              book_node_start (&world.nodes[i]);
          book_world_load (&world, g_rand_int_range (world.random, 100, 9000), 20, 400 * MS);
        }
      assert_true (world.granted > 0);
      book_world_tear_down (&world);
    }
}

/* The store comes back from copies of any age, also twice in a row, while all holders live: nothing
 * is overspent (checked in run_), callers are served from what is held, and draws go on. */
static void
a_store_that_comes_back_from_a_copy_forgets_no_grant (void **state)
{
  static const int64_t ages_us[] = { 200 * MS, 2 * SECOND, 5 * SECOND, 10 * SECOND };

  for (uint32_t seed = 1; seed <= 40; seed++)
    {
      struct book_world world;

      book_world_set_up (&world, 2000000, seed);
      book_world_run (&world, 3 * SECOND);
      book_world_load (&world, 5000, 10, (int64_t)(seed % 20) * SECOND);
      book_world_restore (&world, ages_us[seed % G_N_ELEMENTS (ages_us)]);
      book_world_load (&world, 5000, 10, (int64_t)(seed % 3) * SECOND);
      if (seed % 2 == 0)
        book_world_restore (&world, ages_us[seed % 3]);
      book_world_load (&world, 5000, 10,
                       WATCH_TELLS_MAX_US + 2500 * MS); /* until all have merged */
      world.refused = world.exhausted = 0;
      book_world_load (&world, 5000, 10, 3 * SECOND);
      assert_int_equal (world.refused - world.exhausted, 0);
      book_world_load (&world, 5000, 20, 20 * SECOND);
      book_world_load (&world, 500, 100, 5 * SECOND);
      assert_true (world.consumed >= world.prepaid * 90 / 100);
      book_world_tear_down (&world);
    }
}

struct returns_
{
  uint32_t first_seed;
  uint32_t last_seed;
  bool lands_at_once;     /* no write takes effect later than its answer was due */
  bool cuts;              /* some instances are cut off from the store or the others for a while */
  unsigned starting_step; /* at which one more instance starts; 0: none does */
};

/* Ends and begins cuts; none lasts longer than instances wait for each other after a return. */
static void
cut_some_ (struct book_world *world, unsigned *cut_steps)
{
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    {
      struct book_node *node = &world->nodes[i];

      if (cut_steps[i] > 0 && --cut_steps[i] == 0)
        node->cut_from_store = node->cut_from_peers = false;
    }
  if (g_rand_int_range (world->random, 0, 6) == 0)
    {
      unsigned pick = (unsigned)g_rand_int_range (world->random, 0, BOOK_WORLD_NODES);

      if (cut_steps[pick] > 0)
        return;
      cut_steps[pick] = (unsigned)g_rand_int_range (world->random, 1, CUT_STEPS_MAX + 1);
      world->nodes[pick].cut_from_store = g_rand_boolean (world->random);
      world->nodes[pick].cut_from_peers = g_rand_boolean (world->random);
    }
}

static void
play_returns_ (const struct returns_ *returns)
{
  for (uint32_t seed = returns->first_seed; seed <= returns->last_seed; seed++)
    {
      struct book_world world;
      struct book_node *late = &world.nodes[seed % BOOK_WORLD_NODES];
      unsigned cut_steps[BOOK_WORLD_NODES] = { 0 };

      book_world_set_up (&world, 800000, seed);
      if (returns->starting_step > 0)
        book_node_kill (late);
      world.loss = 0.1;
      world.lost_writes = 0.3;
      world.lands_at_once = returns->lands_at_once;
      world.used_mean_percent = 70;
      book_world_run (&world, 2 * SECOND);
      for (unsigned step = 0; step < 60; step++)
        {
          if (g_rand_int_range (world.random, 0, 10) == 0)
            book_world_restore (&world, g_rand_int_range (world.random, 200, 10000) * MS);
          if (returns->starting_step > 0 && step == returns->starting_step + seed % 10)
            book_node_start (late);
          if (returns->cuts)
            cut_some_ (&world, cut_steps);
          if (g_rand_int_range (world.random, 0, 8) == 0)
            world.call_us = g_rand_boolean (world.random) ? 4 * MS : 240 * MS;
          book_world_load (&world, g_rand_int_range (world.random, 100, 9000), 20, STEP_US);
        }
      assert_true (world.granted > 0);
      book_world_tear_down (&world);
    }
}

/* The store comes back from copies again and again, while answers of writes and datagrams are lost,
 * and all instances live and reach it: nothing beyond the total is ever consumed. One that has not
 * heard of the return may draw on a version that the copy has too (seed 266); holders merge slowly,
 * each behind the writes of the others (seed 300). */
static void
no_schedule_with_returns_and_lost_answers_overspends (void **state)
{
  play_returns_ (&(struct returns_){ .first_seed = 251, .last_seed = 350, .lands_at_once = true });
}

/* The same where half of the writes whose answers are lost take effect seconds later. */
static void
no_schedule_with_returns_overspends (void **state)
{
  play_returns_ (&(struct returns_){ .first_seed = 1, .last_seed = 100 });
}

/* The same: a write of before the return met the number that it expected (seed 162). */
static void
no_schedule_with_returns_and_late_writes_overspends (void **state)
{
  play_returns_ (&(struct returns_){ .first_seed = 101, .last_seed = 200 });
}

/* The same, beside cuts, and with an instance that starts in the midst of it. */
static void
no_schedule_with_returns_cuts_and_a_start_overspends (void **state)
{
  play_returns_ (
      &(struct returns_){ .first_seed = 1, .last_seed = 100, .cuts = true, .starting_step = 10 });
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (no_schedule_overspends),
    cmocka_unit_test (a_store_that_comes_back_from_a_copy_forgets_no_grant),
    cmocka_unit_test (no_schedule_with_returns_and_lost_answers_overspends),
    cmocka_unit_test (no_schedule_with_returns_overspends),
    cmocka_unit_test (no_schedule_with_returns_and_late_writes_overspends),
    cmocka_unit_test (no_schedule_with_returns_cuts_and_a_start_overspends),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
