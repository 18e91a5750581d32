/* The watcher on a store whose answers the test gives. */
#include "store/watcher.h"

#include <limits.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum call_
{
  CALL_NONE,
  CALL_LIST,
  CALL_WATCH
};

/* A call that has not been answered. */
struct out_
{
  store_callback done;
  void *data;
};

struct fake_
{
  struct store base;
  GArray *out;     /* struct out_ */
  enum call_ call; /* the one that is out */
  int64_t after_revision;
  unsigned wait_ms;
  unsigned calls;
  store_callback done;
  void *data;
  unsigned listed;
  unsigned checked;
  unsigned changed;
  unsigned lost;
  unsigned regained;
  uv_loop_t loop;
  struct watcher *watcher;
};

static void
note_call_ (struct fake_ *fake, enum call_ call, store_callback done, void *data)
{
  const struct out_ out = { done, data };

  if (fake->out == NULL)
    fake->out = g_array_new (FALSE, FALSE, sizeof (struct out_));
  g_array_append_val (fake->out, out);
  fake->calls++;
  fake->call = call;
  fake->done = done;
  fake->data = data;
}

static void
list_ (struct store *store, const char *kind, store_callback done, void *data)
{
  note_call_ ((struct fake_ *)store, CALL_LIST, done, data);
}

static void
watch_ (struct store *store,
        const char *kind,
        int64_t after_revision,
        unsigned wait_ms,
        store_callback done,
        void *data)
{
  struct fake_ *fake = (struct fake_ *)store;

  note_call_ (fake, CALL_WATCH, done, data);
  fake->after_revision = after_revision;
  fake->wait_ms = wait_ms;
}

static const struct store_vtable vtable_ = { .list = list_, .watch = watch_ };

static void
on_listed_ (const struct store_result *result, void *data)
{
  ((struct fake_ *)data)->listed++;
}

static void
on_checked_ (const struct store_result *result, void *data)
{
  ((struct fake_ *)data)->checked++;
}

static void
on_changed_ (const struct store_result *result, void *data)
{
  ((struct fake_ *)data)->changed++;
}

static void
on_reachable_ (bool reachable, void *data)
{
  struct fake_ *fake = data;

  if (reachable)
    fake->regained++;
  else
    fake->lost++;
}

/* A fake with a watcher on LOOP (NULL: on a loop of its own) that LEADER (NULL: nobody) leads. */
static struct fake_ *
fake_on_ (uv_loop_t *loop, struct watcher *leader)
{
  struct fake_ *fake = g_new0 (struct fake_, 1);
  struct watcher_options options = { .loop = loop != NULL ? loop : &fake->loop,
                                     .leader = leader,
                                     .store = &fake->base,
                                     .kind = "k",
                                     .wait_ms = 1200,
                                     .data = fake,
                                     .listed = on_listed_,
                                     .checked = on_checked_,
                                     .changed = on_changed_,
                                     .reachable = on_reachable_ };

  fake->base.vtable = &vtable_;
  uv_loop_init (&fake->loop);
  fake->watcher = watcher_new (&options);
  watcher_start (fake->watcher);
  return fake;
}

static struct fake_ *
fake_new_ (void)
{
  return fake_on_ (NULL, NULL);
}

/* Ends the call of DONE and DATA with RESULT. */
static void
tell_ (struct fake_ *fake, store_callback done, void *data, const struct store_result *result)
{
  for (unsigned i = 0; i < fake->out->len; i++)
    if (g_array_index (fake->out, struct out_, i).data == data)
      {
        g_array_remove_index (fake->out, i);
        break;
      }
  done (result, data);
}

static void
fake_delete_ (struct fake_ *fake)
{
  const struct store_result unanswered = { .status = STORE_UNREACHABLE };

  watcher_stop (fake->watcher);
  while (fake->out->len > 0)
    {
      const struct out_ out = g_array_index (fake->out, struct out_, 0);

      tell_ (fake, out.done, out.data, &unanswered);
    }
  g_array_unref (fake->out);
  watcher_delete (fake->watcher);
  assert_int_equal (uv_loop_close (&fake->loop), 0);
  g_free (fake);
}

/* Answers the call that is out. */
static void
answer_ (struct fake_ *fake, enum store_status status, int64_t revision, size_t n_objects)
{
  const struct store_object object = { .name = "o", .revision = revision };
  const struct store_result result
      = { .status = status, .revision = revision, .objects = &object, .n_objects = n_objects };

  assert_int_not_equal (fake->call, CALL_NONE);
  fake->call = CALL_NONE;
  tell_ (fake, fake->done, fake->data, &result);
}

static void
run_until_call_ (struct fake_ *fake)
{
  while (fake->call == CALL_NONE)
    uv_run (&fake->loop, UV_RUN_ONCE);
}

static void
a_list_is_followed_by_watches_from_there (void **state)
{
  struct fake_ *fake = fake_new_ ();

  assert_int_equal (fake->call, CALL_LIST);
  answer_ (fake, STORE_OK, 10, 1);
  assert_int_equal (fake->listed, 1);
  assert_int_equal (fake->after_revision, 10);
  assert_int_equal (fake->wait_ms, 1200);
  answer_ (fake, STORE_OK, 12, 1);
  assert_int_equal (fake->changed, 1);
  assert_int_equal (fake->after_revision, 12);
  answer_ (fake, STORE_OK, 12, 0);
  assert_int_equal (fake->changed, 1);
  fake_delete_ (fake);
}

/* Changes in a row, each of which would cost a call. */
static void
a_pause_after_a_change_gathers_what_follows (void **state)
{
  struct fake_ *fake = g_new0 (struct fake_, 1);
  const struct watcher_options options
      = { .loop = &fake->loop,
          .store = &fake->base,
          .kind = "k",
          .wait_ms = 1, /* an answer at once is none before its time */
          .pause_ms = 30,
          .data = fake,
          .listed = on_listed_,
          .changed = on_changed_ };

  fake->base.vtable = &vtable_;
  uv_loop_init (&fake->loop);
  fake->watcher = watcher_new (&options);
  watcher_start (fake->watcher);
  answer_ (fake, STORE_OK, 10, 1);
  assert_int_equal (fake->call, CALL_NONE);
  run_until_call_ (fake);
  answer_ (fake, STORE_OK, 12, 1);
  assert_int_equal (fake->call, CALL_NONE);
  run_until_call_ (fake);
  assert_int_equal (fake->after_revision, 12);
  answer_ (fake, STORE_OK, 12, 0); /* nothing changed: the next watch begins at once */
  assert_int_equal (fake->call, CALL_WATCH);
  fake_delete_ (fake);
}

/* In a pause others tell of a change: the watch after it shows that, a call beside it would be one
 * too many. */
static void
news_during_a_pause_cost_no_call (void **state)
{
  struct fake_ *fake = fake_new_ ();

  watcher_set_pause (fake->watcher, 400);
  answer_ (fake, STORE_OK, 10, 1);
  watcher_notify_revision (fake->watcher, 15);
  run_until_call_ (fake);
  assert_int_equal (fake->calls, 2);
  assert_int_equal (fake->wait_ms, 1200);
  assert_int_equal (fake->after_revision, 10);
  answer_ (fake, STORE_OK, 15, 1);
  assert_int_equal (watcher_reported_revision (fake->watcher), 15);
  fake_delete_ (fake);
}

static void
a_history_that_is_gone_is_listed_again (void **state)
{
  struct fake_ *fake = fake_new_ ();

  answer_ (fake, STORE_OK, 10, 1);
  answer_ (fake, STORE_HISTORY_GONE, 0, 0);
  assert_int_equal (fake->call, CALL_LIST);
  answer_ (fake, STORE_OK, 30, 1);
  assert_int_equal (fake->listed, 2);
  assert_int_equal (fake->after_revision, 30);
  fake_delete_ (fake);
}

/* The end of an outage must be known at once, not after a whole wait: it decides how long entries
 * that are missing are still used. */
static void
the_first_watch_after_an_outage_does_not_wait (void **state)
{
  struct fake_ *fake = fake_new_ ();

  answer_ (fake, STORE_OK, 10, 1);
  for (unsigned i = 0; i < 3; i++)
    {
      answer_ (fake, STORE_UNREACHABLE, 0, 0);
      run_until_call_ (fake);
      assert_int_equal (fake->after_revision, 10);
      assert_true (fake->wait_ms <= 50);
    }
  assert_int_equal (fake->lost, 1);
  answer_ (fake, STORE_OK, 10, 0);
  assert_int_equal (fake->regained, 1);
  run_until_call_ (fake);
  assert_int_equal (fake->wait_ms, 1200);
  fake_delete_ (fake);
}

/* In an outage one watcher asks for all of its instance. */
static void
a_led_watcher_waits_for_its_leader_in_an_outage (void **state)
{
  struct fake_ *leader = fake_new_ ();
  struct fake_ *led = fake_on_ (&leader->loop, leader->watcher);

  answer_ (leader, STORE_OK, 10, 1);
  answer_ (led, STORE_OK, 10, 1);
  for (unsigned i = 0; i < 2; i++)
    {
      answer_ (leader, STORE_UNREACHABLE, 0, 0);
      run_until_call_ (leader);
    }
  answer_ (led, STORE_UNREACHABLE, 0, 0);
  while (led->call == CALL_NONE)
    uv_run (&leader->loop, UV_RUN_ONCE);
  answer_ (led, STORE_UNREACHABLE, 0, 0);
  assert_int_equal (led->lost, 1);
  for (unsigned i = 0; i < 3; i++)
    {
      answer_ (leader, STORE_UNREACHABLE, 0, 0);
      run_until_call_ (leader);
    }
  assert_int_equal (led->call, CALL_NONE);
  answer_ (leader, STORE_OK, 10, 0);
  assert_int_equal (led->call, CALL_WATCH);
  answer_ (led, STORE_OK, 12, 1);
  assert_int_equal (led->regained, 1);
  assert_int_equal (led->changed, 1);
  fake_delete_ (led);
  fake_delete_ (leader);
}

/* The leader's call is lost with the outage and ends late: what is led finds the store back before
 * it, and all learn it then. The late end of that call is no new outage. */
static void
a_led_watcher_tells_its_leader_that_the_store_is_back (void **state)
{
  struct fake_ *leader = fake_new_ ();
  struct fake_ *led = fake_on_ (&leader->loop, leader->watcher);

  answer_ (leader, STORE_OK, 10, 1);
  answer_ (led, STORE_OK, 10, 1);
  for (unsigned i = 0; i < 2; i++)
    {
      answer_ (led, STORE_UNREACHABLE, 0, 0);
      while (led->call == CALL_NONE)
        uv_run (&leader->loop, UV_RUN_ONCE);
    }
  for (unsigned i = 0; i < 2; i++)
    {
      answer_ (leader, STORE_UNREACHABLE, 0, 0);
      run_until_call_ (leader);
    }
  assert_int_equal (leader->lost, 1);
  answer_ (led, STORE_OK, 12, 1);
  assert_int_equal (leader->regained, 1);
  assert_int_equal (leader->call, CALL_WATCH);
  answer_ (leader, STORE_UNKNOWN, 0, 0);
  run_until_call_ (leader);
  answer_ (leader, STORE_OK, 12, 0);
  assert_int_equal (leader->lost, 1);
  fake_delete_ (led);
  fake_delete_ (leader);
}

/* A led watcher that has not lost the store pauses after a change for as long as it would have. */
static void
the_return_of_the_leader_ends_no_other_pause (void **state)
{
  struct fake_ *leader = fake_new_ ();
  struct fake_ *led = fake_on_ (&leader->loop, leader->watcher);

  watcher_set_pause (led->watcher, 60000);
  answer_ (leader, STORE_OK, 10, 1);
  answer_ (led, STORE_OK, 10, 1);
  assert_int_equal (led->call, CALL_NONE);
  for (unsigned i = 0; i < 2; i++)
    {
      answer_ (leader, STORE_UNREACHABLE, 0, 0);
      run_until_call_ (leader);
    }
  assert_int_equal (leader->lost, 1);
  answer_ (leader, STORE_OK, 10, 0);
  assert_int_equal (leader->regained, 1);
  assert_int_equal (led->call, CALL_NONE);
  fake_delete_ (led);
  fake_delete_ (leader);
}

/* A whole fleet opens its watches after the same change: they end at different times. */
static void
watches_of_a_fleet_do_not_end_together (void **state)
{
  unsigned shortest = UINT_MAX;
  unsigned longest = 0;

  for (unsigned i = 0; i < 83; i++)
    {
      struct fake_ *fake = fake_new_ ();

      watcher_set_wait (fake->watcher, 1200, 10000);
      answer_ (fake, STORE_OK, 10, 1);
      assert_true (fake->wait_ms >= 1200 && fake->wait_ms <= 10000);
      shortest = MIN (shortest, fake->wait_ms);
      longest = MAX (longest, fake->wait_ms);
      fake_delete_ (fake);
    }
  assert_true (shortest < 1200 + 8800 / 8);
  assert_true (longest > 10000 - 8800 / 8);
}

/* A watch that hears nothing while others have seen a change. */
static void
a_deaf_watch_is_found_out_by_what_others_have_seen (void **state)
{
  struct fake_ *fake = fake_new_ ();

  answer_ (fake, STORE_OK, 10, 1);
  fake->call = CALL_NONE; /* the watch stays open and says nothing */
  watcher_notify_revision (fake->watcher, 9);
  watcher_notify_revision (fake->watcher, 15);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST); /* another watch might be as deaf */
  answer_ (fake, STORE_OK, 16, 1);
  assert_int_equal (fake->listed, 2);
  assert_int_equal (watcher_reported_revision (fake->watcher), 16);
  fake_delete_ (fake);
}

/* The call beside a deaf watch fails as well: it is made again when others say the same again. */
static void
a_look_that_failed_is_made_again (void **state)
{
  struct fake_ *fake = fake_new_ ();

  answer_ (fake, STORE_OK, 10, 1);
  for (unsigned i = 0; i < 3; i++)
    {
      fake->call = CALL_NONE; /* the watch stays open and says nothing */
      watcher_notify_revision (fake->watcher, 15);
      run_until_call_ (fake);
      answer_ (fake, i < 2 ? STORE_BUSY : STORE_OK, 15, i < 2 ? 0 : 1);
    }
  assert_int_equal (watcher_reported_revision (fake->watcher), 15);
  fake->call = CALL_NONE;
  watcher_notify_revision (fake->watcher, 15);
  uv_run (&fake->loop, UV_RUN_NOWAIT);
  assert_int_equal (fake->call, CALL_NONE);
  fake_delete_ (fake);
}

/* A watch that was deaf to a change has ended and the next one begins behind it. */
static void
a_change_behind_the_position_is_listed (void **state)
{
  struct fake_ *fake = fake_new_ ();

  answer_ (fake, STORE_OK, 10, 1);
  answer_ (fake, STORE_OK, 20, 0); /* without the change at 15 */
  fake->call = CALL_NONE;
  watcher_notify_revision (fake->watcher, 15);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  answer_ (fake, STORE_OK, 21, 1);
  assert_int_equal (fake->listed, 2);
  fake_delete_ (fake);
}

/* The watches of all instances were deaf to a change, so that nobody can tell of it: it is found by
 * a list, and a list that is older than what is known changes nothing. */
static void
a_change_that_no_watch_showed_is_found (void **state)
{
  struct fake_ *fake = fake_new_ ();

  answer_ (fake, STORE_OK, 10, 1);
  answer_ (fake, STORE_OK, 20, 1);
  fake->call = CALL_NONE;
  watcher_set_list_interval (fake->watcher, 20);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  answer_ (fake, STORE_OK, 15, 1);
  assert_int_equal (fake->listed, 1);
  assert_int_equal (fake->checked, 0);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  answer_ (fake, STORE_OK, 21, 1);
  assert_int_equal (fake->listed, 1);
  assert_int_equal (fake->checked, 1);
  assert_int_equal (watcher_reported_revision (fake->watcher), 21);
  /* A list that others' news have caused is no check. */
  watcher_set_list_interval (fake->watcher, 0);
  watcher_notify_revision (fake->watcher, 25);
  run_until_call_ (fake);
  answer_ (fake, STORE_OK, 25, 1);
  assert_int_equal (fake->listed, 2);
  assert_int_equal (fake->checked, 1);
  fake_delete_ (fake);
}

/* A list of a check that comes between two watches: the second one begins where it would have,
 * since what is missing in the list is believed only when the watch tells of it. */
static void
a_check_does_not_move_the_watch (void **state)
{
  struct fake_ *fake = fake_new_ ();
  const struct store_object gone = { .name = "o", .revision = 20, .deleted = true };
  const struct store_result removal
      = { .status = STORE_OK, .revision = 21, .objects = &gone, .n_objects = 1 };

  watcher_set_pause (fake->watcher, 400);
  answer_ (fake, STORE_OK, 10, 1);
  watcher_set_list_interval (fake->watcher, 20);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  watcher_set_list_interval (fake->watcher, 0);
  answer_ (fake, STORE_OK, 20, 0);
  assert_int_equal (fake->checked, 1);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_WATCH);
  assert_int_equal (fake->after_revision, 10);
  tell_ (fake, fake->done, fake->data, &removal);
  assert_int_equal (fake->changed, 1);
  fake_delete_ (fake);
}

/* A watch that is behind tells of what was there before the last list: the object may be gone
 * since.
 */
static void
what_was_there_before_a_list_is_not_told_again (void **state)
{
  struct fake_ *fake = fake_new_ ();
  const struct store_object gone = { .name = "p", .revision = 12 };
  const struct store_result late
      = { .status = STORE_OK, .revision = 12, .objects = &gone, .n_objects = 1 };
  const struct store_object deleted = { .name = "o", .revision = 20, .deleted = true };
  const struct store_result later
      = { .status = STORE_OK, .revision = 21, .objects = &deleted, .n_objects = 1 };

  answer_ (fake, STORE_OK, 10, 1);
  answer_ (fake, STORE_HISTORY_GONE, 0, 0);
  answer_ (fake, STORE_OK, 20, 1); /* without the object that came at 12 */
  assert_int_equal (fake->listed, 2);
  tell_ (fake, fake->done, fake->data, &late);
  assert_int_equal (fake->changed, 0);
  assert_int_equal (fake->after_revision, 20);
  tell_ (fake, fake->done, fake->data, &later);
  assert_int_equal (fake->changed, 1);
  fake_delete_ (fake);
}

/* A watch that ends at once would otherwise be made as often as the store answers. */
static void
watches_that_end_early_are_not_made_in_a_row (void **state)
{
  struct fake_ *fake = fake_new_ ();
  int64_t begin_us;

  answer_ (fake, STORE_OK, 10, 1);
  answer_ (fake, STORE_OK, 10, 0);
  assert_int_equal (fake->call, CALL_NONE);
  begin_us = g_get_monotonic_time ();
  run_until_call_ (fake);
  assert_true (g_get_monotonic_time () - begin_us > 100000);
  assert_int_equal (fake->call, CALL_WATCH);
  fake_delete_ (fake);
}

/* A look has told a change when the answer of the watch, which left the store before it, arrives.
 */
static void
a_late_watch_does_not_undo_what_a_look_has_told (void **state)
{
  struct fake_ *fake = fake_new_ ();
  store_callback watch_done;
  void *watch_data;
  const struct store_object object = { .name = "o", .revision = 12 };
  const struct store_result late
      = { .status = STORE_OK, .revision = 12, .objects = &object, .n_objects = 1 };

  answer_ (fake, STORE_OK, 10, 1);
  watch_done = fake->done;
  watch_data = fake->data;
  fake->call = CALL_NONE;
  watcher_notify_revision (fake->watcher, 15);
  run_until_call_ (fake);
  answer_ (fake, STORE_OK, 15, 1);
  assert_int_equal (fake->listed, 2);
  tell_ (fake, watch_done, watch_data, &late);
  assert_int_equal (fake->changed, 0);
  answer_ (fake, STORE_OK, 16, 1);
  assert_int_equal (fake->changed, 1);
  fake_delete_ (fake);
}

/* The store comes back from a copy: its revisions go back. What a call of before tells does not
 * count, everything is listed, and changes under lower revisions are told. */
static void
after_a_return_from_a_copy_everything_is_listed (void **state)
{
  struct fake_ *fake = fake_new_ ();
  store_callback watch_done;
  void *watch_data;
  const struct store_object object = { .name = "o", .revision = 21 };
  const struct store_result late
      = { .status = STORE_OK, .revision = 21, .objects = &object, .n_objects = 1 };

  answer_ (fake, STORE_OK, 20, 1);
  watch_done = fake->done;
  watch_data = fake->data;
  fake->call = CALL_NONE;
  watcher_restart (fake->watcher, 10);
  assert_int_equal (watcher_reported_revision (fake->watcher), 0);
  tell_ (fake, watch_done, watch_data, &late);
  assert_int_equal (fake->changed, 0);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  answer_ (fake, STORE_OK, 7, 1);
  assert_int_equal (fake->listed, 2);
  assert_int_equal (fake->after_revision, 7);
  answer_ (fake, STORE_OK, 9, 1);
  assert_int_equal (fake->changed, 1);
  answer_ (fake, STORE_OK, 9, 0);
  fake_delete_ (fake);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_list_is_followed_by_watches_from_there),
    cmocka_unit_test (a_pause_after_a_change_gathers_what_follows),
    cmocka_unit_test (news_during_a_pause_cost_no_call),
    cmocka_unit_test (a_history_that_is_gone_is_listed_again),
    cmocka_unit_test (watches_of_a_fleet_do_not_end_together),
    cmocka_unit_test (a_deaf_watch_is_found_out_by_what_others_have_seen),
    cmocka_unit_test (a_look_that_failed_is_made_again),
    cmocka_unit_test (a_change_behind_the_position_is_listed),
    cmocka_unit_test (a_change_that_no_watch_showed_is_found),
    cmocka_unit_test (a_check_does_not_move_the_watch),
    cmocka_unit_test (what_was_there_before_a_list_is_not_told_again),
    cmocka_unit_test (watches_that_end_early_are_not_made_in_a_row),
    cmocka_unit_test (a_late_watch_does_not_undo_what_a_look_has_told),
    cmocka_unit_test (a_led_watcher_waits_for_its_leader_in_an_outage),
    cmocka_unit_test (a_led_watcher_tells_its_leader_that_the_store_is_back),
    cmocka_unit_test (the_return_of_the_leader_ends_no_other_pause),
    cmocka_unit_test (the_first_watch_after_an_outage_does_not_wait),
    cmocka_unit_test (after_a_return_from_a_copy_everything_is_listed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
