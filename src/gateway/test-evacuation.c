/* Tests which data centres count as evacuated, and that placement sends nothing there. */
#include "gateway/evacuation.h"
#include "gateway/placement.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  MS = 1000,
  NOW_US = 100000 * MS,
  HOLD_US = 5000 * MS,
  PICKS = 50
};

struct changes_
{
  unsigned begun;
  unsigned ended;
};

static void
on_changed_ (const char *data_centre, bool is_evacuated, void *data)
{
  struct changes_ *changes = data;

  if (is_evacuated)
    changes->begun++;
  else
    changes->ended++;
}

static struct evacuation *
new_ (struct changes_ *changes)
{
  const struct evacuation_options options
      = { .hold_us = HOLD_US, .changed = on_changed_, .data = changes };

  *changes = (struct changes_){ 0 };
  return evacuation_new (&options);
}

/* Passes a list of up to two data centres, which may be NULL. */
static void
list_ (struct evacuation *evacuation, const char *first, const char *second, int64_t now_us)
{
  evacuation_begin_list (evacuation);
  if (first != NULL)
    evacuation_put (evacuation, first, now_us);
  if (second != NULL)
    evacuation_put (evacuation, second, now_us);
  evacuation_end_list (evacuation, now_us);
}

/* Guards against a new instance that sends to an evacuated data centre before its first list. */
static void
every_data_centre_is_excluded_before_the_first_list (void **state)
{
  struct changes_ changes;
  struct evacuation *evacuation = new_ (&changes);

  assert_false (evacuation_is_known (evacuation));
  assert_true (evacuation_excludes (evacuation, "a"));
  evacuation_put (evacuation, "a", NOW_US); /* a change alone is no complete set */
  assert_true (evacuation_excludes (evacuation, "b"));
  list_ (evacuation, "a", NULL, NOW_US);
  assert_true (evacuation_is_known (evacuation));
  assert_true (evacuation_excludes (evacuation, "a"));
  assert_false (evacuation_excludes (evacuation, "b"));
  evacuation_delete (evacuation);
}

static void
nothing_is_excluded_where_evacuations_are_not_followed (void **state)
{
  assert_false (evacuation_excludes (NULL, "a"));
}

/* Guards against a withdrawal that ends the other evacuation too. */
static void
one_of_two_evacuations_is_withdrawn_while_it_takes_effect (void **state)
{
  struct changes_ changes;
  struct evacuation *evacuation = new_ (&changes);

  list_ (evacuation, NULL, NULL, NOW_US);
  evacuation_put (evacuation, "a", NOW_US);
  evacuation_put (evacuation, "b", NOW_US + 10 * MS);
  assert_int_equal (evacuation_count (evacuation), 2);
  assert_true (evacuation_latest_us (evacuation) == NOW_US + 10 * MS);
  evacuation_remove (evacuation, "a");
  assert_false (evacuation_excludes (evacuation, "a"));
  assert_true (evacuation_excludes (evacuation, "b"));
  evacuation_remove (evacuation, "a"); /* reported twice, by the watch and by a list */
  evacuation_put (evacuation, "b", NOW_US + 20 * MS);
  assert_int_equal (changes.begun, 2);
  assert_int_equal (changes.ended, 1);
  assert_true (evacuation_latest_us (evacuation) == NOW_US + 10 * MS);
  evacuation_delete (evacuation);
}

/* Guards against a moment without evacuation while a list replaces the set. */
static void
a_list_replaces_the_set_without_a_gap (void **state)
{
  struct changes_ changes;
  struct evacuation *evacuation = new_ (&changes);

  list_ (evacuation, "a", "b", NOW_US);
  evacuation_begin_list (evacuation);
  assert_true (evacuation_excludes (evacuation, "a"));
  evacuation_put (evacuation, "b", NOW_US);
  assert_true (evacuation_excludes (evacuation, "a"));
  evacuation_end_list (evacuation, NOW_US);
  assert_false (evacuation_excludes (evacuation, "a"));
  assert_true (evacuation_excludes (evacuation, "b"));
  assert_int_equal (changes.begun, 2);
  assert_int_equal (changes.ended, 1);
  evacuation_delete (evacuation);
}

/* Guards against requests to an evacuated data centre because the store lost the object that
 * requests it. */
static void
an_evacuation_that_a_restore_lost_stays_until_it_can_be_requested_again (void **state)
{
  struct changes_ changes;
  struct evacuation *evacuation = new_ (&changes);

  list_ (evacuation, "a", "b", NOW_US);
  evacuation_note_restore (evacuation, NOW_US);
  list_ (evacuation, NULL, NULL, NOW_US + 200 * MS);
  assert_true (evacuation_excludes (evacuation, "a"));
  evacuation_put (evacuation, "b", NOW_US + 900 * MS); /* requested again */
  evacuation_end_hold (evacuation, NOW_US + HOLD_US - 1);
  assert_true (evacuation_excludes (evacuation, "a"));
  evacuation_end_hold (evacuation, NOW_US + HOLD_US);
  assert_false (evacuation_excludes (evacuation, "a"));
  assert_true (evacuation_excludes (evacuation, "b"));
  assert_int_equal (changes.ended, 1);
  evacuation_delete (evacuation);
}

/* A withdrawal after a restore must not wait until the hold ends. */
static void
a_withdrawal_after_a_restore_takes_effect_at_once (void **state)
{
  struct changes_ changes;
  struct evacuation *evacuation = new_ (&changes);

  list_ (evacuation, "a", NULL, NOW_US);
  evacuation_note_restore (evacuation, NOW_US);
  list_ (evacuation, "a", NULL, NOW_US + 200 * MS);
  evacuation_remove (evacuation, "a");
  assert_false (evacuation_excludes (evacuation, "a"));
  evacuation_delete (evacuation);
}

/* Guards against evacuations that end because the first list after a restore is late: the hold only
 * ends evacuations that a list has shown to be missing. */
static void
a_late_list_after_a_restore_ends_no_evacuation_early (void **state)
{
  struct changes_ changes;
  struct evacuation *evacuation = new_ (&changes);

  list_ (evacuation, "a", NULL, NOW_US);
  evacuation_note_restore (evacuation, NOW_US);
  evacuation_end_hold (evacuation, NOW_US + HOLD_US);
  assert_true (evacuation_excludes (evacuation, "a"));
  list_ (evacuation, NULL, NULL, NOW_US + HOLD_US + MS);
  assert_false (evacuation_excludes (evacuation, "a"));
  evacuation_delete (evacuation);
}

struct fleet_
{
  struct gw_backends *backends;
  struct evacuation *evacuation;
  struct changes_ changes;
  GRand *random;
};

static void
add_backend_ (struct fleet_ *fleet, const char *id, const char *data_centre)
{
  struct gw_backend_facts facts = { .id = g_strdup (id),
                                    .service = g_strdup ("s"),
                                    .data_centre = g_strdup (data_centre),
                                    .slots = 4 };

  gw_backends_put (fleet->backends, &facts);
}

/* Two servers in data centre a, which is nearer, and one in b. */
static void
fleet_set_up_ (struct fleet_ *fleet)
{
  fleet->backends = gw_backends_new ();
  fleet->evacuation = new_ (&fleet->changes);
  fleet->random = g_rand_new_with_seed (7);
  add_backend_ (fleet, "a-1", "a");
  add_backend_ (fleet, "a-2", "a");
  add_backend_ (fleet, "b-1", "b");
  list_ (fleet->evacuation, NULL, NULL, NOW_US);
}

static void
fleet_tear_down_ (struct fleet_ *fleet)
{
  gw_backends_delete (fleet->backends);
  evacuation_delete (fleet->evacuation);
  g_rand_free (fleet->random);
}

static struct gw_placement_query
query_ (const struct fleet_ *fleet,
        const struct gw_service *service,
        const struct gw_prompt *prompt)
{
  return (struct gw_placement_query){
    .backends = gw_backends_of_service (fleet->backends, "s"),
    .service = service,
    .prompt = prompt,
    .data_centre = "a",
    .evacuation = fleet->evacuation,
    .now_us = NOW_US,
  };
}

static void
no_request_is_placed_in_an_evacuated_data_centre (void **state)
{
  struct fleet_ fleet;
  const struct gw_service service = { 0 };
  const struct gw_prompt prompt = { 0 };
  struct gw_placement_query query;
  struct gw_placement place;
  unsigned there = 0;

  fleet_set_up_ (&fleet);
  query = query_ (&fleet, &service, &prompt);
  for (unsigned i = 0; i < PICKS; i++)
    {
      assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_PICKED);
      assert_int_equal (place.evacuated, 0);
      there += strcmp (place.backend->facts.data_centre, "a") == 0;
    }
  assert_true (there > 0);
  evacuation_put (fleet.evacuation, "a", NOW_US);
  for (unsigned i = 0; i < PICKS; i++)
    {
      assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_PICKED);
      assert_string_equal (place.backend->facts.id, "b-1");
      assert_int_equal (place.evacuated, 2);
    }
  fleet_tear_down_ (&fleet);
}

/* Guards against a name that is not a data centre, such as a misspelled one, that stops requests
 * elsewhere. */
static void
a_name_that_is_not_a_data_centre_excludes_no_server (void **state)
{
  struct fleet_ fleet;
  const struct gw_service service = { 0 };
  const struct gw_prompt prompt = { 0 };
  struct gw_placement_query query;
  struct gw_placement place;

  fleet_set_up_ (&fleet);
  evacuation_put (fleet.evacuation, "A", NOW_US);
  evacuation_put (fleet.evacuation, "", NOW_US);
  query = query_ (&fleet, &service, &prompt);
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_PICKED);
  assert_int_equal (place.evacuated, 0);
  fleet_tear_down_ (&fleet);
}

/* The verdict tells an evacuation of all data centres from a failed attempt at the only server
 * elsewhere. */
static void
all_servers_are_evacuated_only_if_every_data_centre_is (void **state)
{
  struct fleet_ fleet;
  const struct gw_service service = { 0 };
  const struct gw_prompt prompt = { 0 };
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();
  struct gw_placement_query query;
  struct gw_placement place;

  fleet_set_up_ (&fleet);
  evacuation_put (fleet.evacuation, "a", NOW_US);
  query = query_ (&fleet, &service, &prompt);
  gw_placement_pick (&query, fleet.random, &place);
  g_ptr_array_add (tried, place.backend);
  query.excluded = tried;
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_NO_BACKEND);
  assert_int_equal (place.evacuated, 2);
  query.excluded = NULL;
  evacuation_put (fleet.evacuation, "b", NOW_US);
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_ALL_EVACUATED);
  assert_int_equal (place.evacuated, 3);
  evacuation_remove (fleet.evacuation, "a");
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_PICKED);
  assert_string_equal (place.backend->facts.data_centre, "a");
  query.backends = NULL;
  assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_NO_BACKEND);
  fleet_tear_down_ (&fleet);
}

/* Guards against an evacuated affinity server: parts of prompts would be assumed cached where
 * nothing is sent, and no server would collect them. */
static void
the_affinity_server_is_not_an_evacuated_one (void **state)
{
  struct fleet_ fleet;
  const struct gw_service service = { .is_model = true };
  struct gw_placement_query query;
  struct gw_placement place;

  fleet_set_up_ (&fleet);
  add_backend_ (&fleet, "b-2", "b");
  add_backend_ (&fleet, "b-3", "b");
  evacuation_put (fleet.evacuation, "a", NOW_US);
  for (uint64_t id = 1; id <= PICKS; id++)
    {
      const struct gw_prompt prompt = { .is_declared = true,
                                        .input_tokens = 5010,
                                        .output_tokens_max = 10,
                                        .n_parts = 2,
                                        .parts = { { id, 5000 }, { 0, 10 } } };

      query = query_ (&fleet, &service, &prompt);
      assert_int_equal (gw_placement_pick (&query, fleet.random, &place), GW_PLACEMENT_PICKED);
      assert_string_equal (place.backend->facts.data_centre, "b");
      assert_int_equal (place.uncached_tokens, 10); /* assumed cached at the affinity server */
    }
  fleet_tear_down_ (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (every_data_centre_is_excluded_before_the_first_list),
    cmocka_unit_test (nothing_is_excluded_where_evacuations_are_not_followed),
    cmocka_unit_test (one_of_two_evacuations_is_withdrawn_while_it_takes_effect),
    cmocka_unit_test (a_list_replaces_the_set_without_a_gap),
    cmocka_unit_test (an_evacuation_that_a_restore_lost_stays_until_it_can_be_requested_again),
    cmocka_unit_test (a_withdrawal_after_a_restore_takes_effect_at_once),
    cmocka_unit_test (a_late_list_after_a_restore_ends_no_evacuation_early),
    cmocka_unit_test (no_request_is_placed_in_an_evacuated_data_centre),
    cmocka_unit_test (a_name_that_is_not_a_data_centre_excludes_no_server),
    cmocka_unit_test (all_servers_are_evacuated_only_if_every_data_centre_is),
    cmocka_unit_test (the_affinity_server_is_not_an_evacuated_one),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
