/* Tests of the watcher with a fake store whose responses the test determines. */
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

/* A pending store call. */
struct pending_
{
  store_callback done;
  void *data;
};

struct fake_
{
  struct store base;
  GArray *pending; /* struct pending_: all pending calls */
  enum call_ call; /* the latest one, while it is pending */
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
  bool is_receiving;
  uv_loop_t loop;
  struct watcher *watcher;
};

static void
note_call_ (struct fake_ *fake, enum call_ call, store_callback done, void *data)
{
  const struct pending_ pending = { done, data };

  if (fake->pending == NULL)
    fake->pending = g_array_new (FALSE, FALSE, sizeof (struct pending_));
  g_array_append_val (fake->pending, pending);
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

static bool
is_receiving_ (struct store *store, const char *kind)
{
  return ((struct fake_ *)store)->is_receiving;
}

static const struct store_vtable vtable_
    = { .list = list_, .watch = watch_, .is_receiving = is_receiving_ };

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

/* Returns a fake store with a started watcher on LOOP (NULL: its own loop) with LEADER (may be
 * NULL). */
static struct fake_ *
fake_on_ (uv_loop_t *loop, struct watcher *leader)
{
  struct fake_ *fake = g_new0 (struct fake_, 1);
  struct watcher_options options = { .loop = loop != NULL ? loop : &fake->loop,
                                     .leader = leader,
                                     .store = &fake->base,
                                     .kind = "k",
                                     .wait_max_ms = 1200,
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

/* Completes the call with DONE and DATA by RESULT. */
static void
complete_call_ (struct fake_ *fake,
                store_callback done,
                void *data,
                const struct store_result *result)
{
  for (unsigned i = 0; i < fake->pending->len; i++)
    if (g_array_index (fake->pending, struct pending_, i).data == data)
      {
        g_array_remove_index (fake->pending, i);
        break;
      }
  done (result, data);
}

static void
fake_delete_ (struct fake_ *fake)
{
  const struct store_result unanswered = { .status = STORE_UNREACHABLE };

  watcher_stop (fake->watcher);
  while (fake->pending->len > 0)
    {
      const struct pending_ pending = g_array_index (fake->pending, struct pending_, 0);

      complete_call_ (fake, pending.done, pending.data, &unanswered);
    }
  g_array_unref (fake->pending);
  watcher_delete (fake->watcher);
  assert_int_equal (uv_loop_close (&fake->loop), 0);
  g_free (fake);
}

/* Completes the latest call, with up to one object of the given revision. */
static void
respond_ (struct fake_ *fake, enum store_status status, int64_t revision, size_t n_objects)
{
  const struct store_object object = { .name = "o", .revision = revision };
  const struct store_result result
      = { .status = status, .revision = revision, .objects = &object, .n_objects = n_objects };

  assert_int_not_equal (fake->call, CALL_NONE);
  fake->call = CALL_NONE;
  complete_call_ (fake, fake->done, fake->data, &result);
}

static void
run_until_call_ (struct fake_ *fake)
{
  while (fake->call == CALL_NONE)
    uv_run (&fake->loop, UV_RUN_ONCE);
}

static void
watches_continue_from_the_revision_of_the_list (void **state)
{
  struct fake_ *fake = fake_new_ ();

  assert_int_equal (fake->call, CALL_LIST);
  respond_ (fake, STORE_OK, 10, 1);
  assert_int_equal (fake->listed, 1);
  assert_int_equal (fake->after_revision, 10);
  assert_int_equal (fake->wait_ms, 1200);
  respond_ (fake, STORE_OK, 12, 1);
  assert_int_equal (fake->changed, 1);
  assert_int_equal (fake->after_revision, 12);
  respond_ (fake, STORE_OK, 12, 0);
  assert_int_equal (fake->changed, 1);
  fake_delete_ (fake);
}

/* Without the pause each of several changes in a row would cost a call. */
static void
changes_during_a_pause_cost_one_call (void **state)
{
  struct fake_ *fake = g_new0 (struct fake_, 1);
  const struct watcher_options options
      = { .loop = &fake->loop,
          .store = &fake->base,
          .kind = "k",
          .wait_max_ms = 1, /* so that an immediate response does not count as early */
          .pause_ms = 30,
          .data = fake,
          .listed = on_listed_,
          .changed = on_changed_ };

  fake->base.vtable = &vtable_;
  uv_loop_init (&fake->loop);
  fake->watcher = watcher_new (&options);
  watcher_start (fake->watcher);
  respond_ (fake, STORE_OK, 10, 1);
  assert_int_equal (fake->call, CALL_NONE);
  run_until_call_ (fake);
  respond_ (fake, STORE_OK, 12, 1);
  assert_int_equal (fake->call, CALL_NONE);
  run_until_call_ (fake);
  assert_int_equal (fake->after_revision, 12);
  respond_ (fake, STORE_OK, 12, 0); /* nothing changed: the next watch starts at once */
  assert_int_equal (fake->call, CALL_WATCH);
  fake_delete_ (fake);
}

/* Peers report a change during a pause. The watch after the pause shows it, so a list would be a
 * wasted call. */
static void
a_peer_report_during_a_pause_costs_no_call (void **state)
{
  struct fake_ *fake = fake_new_ ();

  watcher_set_pause (fake->watcher, 400);
  respond_ (fake, STORE_OK, 10, 1);
  watcher_notify_revision (fake->watcher, 15);
  run_until_call_ (fake);
  assert_int_equal (fake->calls, 2);
  assert_int_equal (fake->wait_ms, 1200);
  assert_int_equal (fake->after_revision, 10);
  respond_ (fake, STORE_OK, 15, 1);
  assert_int_equal (watcher_reported_revision (fake->watcher), 15);
  fake_delete_ (fake);
}

static void
expired_history_causes_a_new_list (void **state)
{
  struct fake_ *fake = fake_new_ ();

  respond_ (fake, STORE_OK, 10, 1);
  respond_ (fake, STORE_HISTORY_EXPIRED, 0, 0);
  assert_int_equal (fake->call, CALL_LIST);
  respond_ (fake, STORE_OK, 30, 1);
  assert_int_equal (fake->listed, 2);
  assert_int_equal (fake->after_revision, 30);
  fake_delete_ (fake);
}

/* Guards against noticing the end of an outage only after a whole watch: that time determines how
 * long missing entries are still used. */
static void
the_first_watch_after_an_outage_does_not_wait (void **state)
{
  struct fake_ *fake = fake_new_ ();

  respond_ (fake, STORE_OK, 10, 1);
  for (unsigned i = 0; i < 3; i++)
    {
      respond_ (fake, STORE_UNREACHABLE, 0, 0);
      run_until_call_ (fake);
      assert_int_equal (fake->after_revision, 10);
      assert_true (fake->wait_ms <= 50);
    }
  assert_int_equal (fake->lost, 1);
  respond_ (fake, STORE_OK, 10, 0);
  assert_int_equal (fake->regained, 1);
  run_until_call_ (fake);
  assert_int_equal (fake->wait_ms, 1200);
  fake_delete_ (fake);
}

/* During an outage only one watcher of an instance retries frequently. */
static void
a_follower_waits_for_its_leader_in_an_outage (void **state)
{
  struct fake_ *leader = fake_new_ ();
  struct fake_ *follower = fake_on_ (&leader->loop, leader->watcher);

  respond_ (leader, STORE_OK, 10, 1);
  respond_ (follower, STORE_OK, 10, 1);
  for (unsigned i = 0; i < 2; i++)
    {
      respond_ (leader, STORE_UNREACHABLE, 0, 0);
      run_until_call_ (leader);
    }
  respond_ (follower, STORE_UNREACHABLE, 0, 0);
  while (follower->call == CALL_NONE)
    uv_run (&leader->loop, UV_RUN_ONCE);
  respond_ (follower, STORE_UNREACHABLE, 0, 0);
  assert_int_equal (follower->lost, 1);
  for (unsigned i = 0; i < 3; i++)
    {
      respond_ (leader, STORE_UNREACHABLE, 0, 0);
      run_until_call_ (leader);
    }
  assert_int_equal (follower->call, CALL_NONE);
  respond_ (leader, STORE_OK, 10, 0);
  assert_int_equal (follower->call, CALL_WATCH);
  respond_ (follower, STORE_OK, 12, 1);
  assert_int_equal (follower->regained, 1);
  assert_int_equal (follower->changed, 1);
  fake_delete_ (follower);
  fake_delete_ (leader);
}

/* The leader's pending call is lost in the outage and times out late, so that a follower
 * reaches the store first and the leader must be notified. The late timeout must not count as
 * a new outage. */
static void
a_follower_notifies_its_leader_of_the_end_of_an_outage (void **state)
{
  struct fake_ *leader = fake_new_ ();
  struct fake_ *follower = fake_on_ (&leader->loop, leader->watcher);

  respond_ (leader, STORE_OK, 10, 1);
  respond_ (follower, STORE_OK, 10, 1);
  for (unsigned i = 0; i < 2; i++)
    {
      respond_ (follower, STORE_UNREACHABLE, 0, 0);
      while (follower->call == CALL_NONE)
        uv_run (&leader->loop, UV_RUN_ONCE);
    }
  for (unsigned i = 0; i < 2; i++)
    {
      respond_ (leader, STORE_UNREACHABLE, 0, 0);
      run_until_call_ (leader);
    }
  assert_int_equal (leader->lost, 1);
  respond_ (follower, STORE_OK, 12, 1);
  assert_int_equal (leader->regained, 1);
  assert_int_equal (leader->call, CALL_WATCH);
  respond_ (leader, STORE_UNKNOWN, 0, 0);
  run_until_call_ (leader);
  respond_ (leader, STORE_OK, 12, 0);
  assert_int_equal (leader->lost, 1);
  fake_delete_ (follower);
  fake_delete_ (leader);
}

/* When the leader reaches the store again, a follower that never lost it keeps its pause after a
 * change. */
static void
the_end_of_an_outage_does_not_end_the_pause_after_a_change (void **state)
{
  struct fake_ *leader = fake_new_ ();
  struct fake_ *follower = fake_on_ (&leader->loop, leader->watcher);

  watcher_set_pause (follower->watcher, 60000);
  respond_ (leader, STORE_OK, 10, 1);
  respond_ (follower, STORE_OK, 10, 1);
  assert_int_equal (follower->call, CALL_NONE);
  for (unsigned i = 0; i < 2; i++)
    {
      respond_ (leader, STORE_UNREACHABLE, 0, 0);
      run_until_call_ (leader);
    }
  assert_int_equal (leader->lost, 1);
  respond_ (leader, STORE_OK, 10, 0);
  assert_int_equal (leader->regained, 1);
  assert_int_equal (follower->call, CALL_NONE);
  fake_delete_ (follower);
  fake_delete_ (leader);
}

/* All instances start a watch after the same change; if these ended together, the store would get
 * all calls at the same moment. */
static void
watches_of_a_fleet_do_not_end_together (void **state)
{
  unsigned shortest = UINT_MAX;
  unsigned longest = 0;

  for (unsigned i = 0; i < 83; i++)
    {
      struct fake_ *fake = fake_new_ ();

      watcher_set_wait (fake->watcher, 1200, 10000);
      respond_ (fake, STORE_OK, 10, 1);
      assert_true (fake->wait_ms >= 1200 && fake->wait_ms <= 10000);
      shortest = MIN (shortest, fake->wait_ms);
      longest = MAX (longest, fake->wait_ms);
      fake_delete_ (fake);
    }
  assert_true (shortest < 1200 + 8800 / 8);
  assert_true (longest > 10000 - 8800 / 8);
}

/* The instance's watch does not show a change that peers have reported. */
static void
a_change_reported_by_peers_is_found_if_the_watch_misses_it (void **state)
{
  struct fake_ *fake = fake_new_ ();

  respond_ (fake, STORE_OK, 10, 1);
  fake->call = CALL_NONE; /* the watch stays open without a response */
  watcher_notify_revision (fake->watcher, 9);
  watcher_notify_revision (fake->watcher, 15);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST); /* another watch might miss it too */
  respond_ (fake, STORE_OK, 16, 1);
  assert_int_equal (fake->listed, 2);
  assert_int_equal (watcher_reported_revision (fake->watcher), 16);
  fake_delete_ (fake);
}

/* A large change that takes longer to arrive than peers need to report it was read twice. */
static void
a_change_that_is_arriving_is_not_listed_beside_the_watch (void **state)
{
  struct fake_ *fake = fake_new_ ();
  struct pending_ watch;

  respond_ (fake, STORE_OK, 10, 1);
  watch = (struct pending_){ fake->done, fake->data };
  fake->call = CALL_NONE;
  fake->is_receiving = true;
  watcher_notify_revision (fake->watcher, 15);
  for (int64_t end_us = g_get_monotonic_time () + 500000; g_get_monotonic_time () < end_us;)
    uv_run (&fake->loop, UV_RUN_NOWAIT);
  assert_int_equal (fake->call, CALL_NONE);
  fake->is_receiving = false; /* it was another change */
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  respond_ (fake, STORE_OK, 16, 1);
  assert_int_equal (watcher_reported_revision (fake->watcher), 16);
  fake->done = watch.done;
  fake->data = watch.data;
  fake_delete_ (fake);
}

/* The list in parallel fails too: it is repeated when peers report the change again. */
static void
a_failed_list_is_repeated_on_the_next_peer_report (void **state)
{
  struct fake_ *fake = fake_new_ ();

  respond_ (fake, STORE_OK, 10, 1);
  for (unsigned i = 0; i < 3; i++)
    {
      fake->call = CALL_NONE; /* the watch stays open without a response */
      watcher_notify_revision (fake->watcher, 15);
      run_until_call_ (fake);
      respond_ (fake, i < 2 ? STORE_BUSY : STORE_OK, 15, i < 2 ? 0 : 1);
    }
  assert_int_equal (watcher_reported_revision (fake->watcher), 15);
  fake->call = CALL_NONE;
  watcher_notify_revision (fake->watcher, 15);
  uv_run (&fake->loop, UV_RUN_NOWAIT);
  assert_int_equal (fake->call, CALL_NONE);
  fake_delete_ (fake);
}

/* A watch that missed a change has ended, and the next one starts after that change. */
static void
a_change_before_the_position_of_the_watch_is_found (void **state)
{
  struct fake_ *fake = fake_new_ ();

  respond_ (fake, STORE_OK, 10, 1);
  respond_ (fake, STORE_OK, 20, 0); /* without the change at 15 */
  fake->call = CALL_NONE;
  watcher_notify_revision (fake->watcher, 15);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  respond_ (fake, STORE_OK, 21, 1);
  assert_int_equal (fake->listed, 2);
  fake_delete_ (fake);
}

/* If the watches of all instances miss a change, no peer can report it, and only a periodic list
 * finds it. A list that is older than what was reported must be ignored. */
static void
a_change_that_no_watch_showed_is_found_by_a_periodic_list (void **state)
{
  struct fake_ *fake = fake_new_ ();

  respond_ (fake, STORE_OK, 10, 1);
  respond_ (fake, STORE_OK, 20, 1);
  fake->call = CALL_NONE;
  watcher_set_list_interval (fake->watcher, 20);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  respond_ (fake, STORE_OK, 15, 1);
  assert_int_equal (fake->listed, 1);
  assert_int_equal (fake->checked, 0);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  respond_ (fake, STORE_OK, 21, 1);
  assert_int_equal (fake->listed, 1);
  assert_int_equal (fake->checked, 1);
  assert_int_equal (watcher_reported_revision (fake->watcher), 21);
  /* A list caused by a peer's report is not a periodic one. */
  watcher_set_list_interval (fake->watcher, 0);
  watcher_notify_revision (fake->watcher, 25);
  run_until_call_ (fake);
  respond_ (fake, STORE_OK, 25, 1);
  assert_int_equal (fake->listed, 2);
  assert_int_equal (fake->checked, 1);
  fake_delete_ (fake);
}

/* Guards against a list of instances that counts as recent although the store has not confirmed it:
 * more instances would then send to a cold server than it sustains. */
static void
failed_calls_do_not_confirm_what_is_known (void **state)
{
  int64_t before_us = g_get_monotonic_time ();
  struct fake_ *fake = fake_new_ ();
  int64_t confirmed_us;

  assert_int_equal (watcher_confirmed_us (fake->watcher), 0);
  g_usleep (2000);
  respond_ (fake, STORE_OK, 10, 1);
  confirmed_us = watcher_confirmed_us (fake->watcher);
  /* A list shows what was written before its call, not before its result. */
  assert_true (confirmed_us >= before_us && confirmed_us <= g_get_monotonic_time () - 2000);
  respond_ (fake, STORE_UNREACHABLE, 0, 0);
  assert_int_equal (watcher_confirmed_us (fake->watcher), confirmed_us);
  run_until_call_ (fake);
  /* The result of a watch may have waited to be read for long: its start counts. */
  g_usleep (5000);
  before_us = g_get_monotonic_time ();
  respond_ (fake, STORE_OK, 11, 1);
  assert_true (watcher_confirmed_us (fake->watcher) > confirmed_us);
  assert_true (watcher_confirmed_us (fake->watcher) <= before_us - 5000);
  fake_delete_ (fake);
}

/* A periodic list between two watches must not move the start of the second one: that an object is
 * missing in such a list counts only when the watch reports its removal. */
static void
a_periodic_list_does_not_move_the_watch (void **state)
{
  struct fake_ *fake = fake_new_ ();
  const struct store_object removed = { .name = "o", .revision = 20, .deleted = true };
  const struct store_result removal
      = { .status = STORE_OK, .revision = 21, .objects = &removed, .n_objects = 1 };

  watcher_set_pause (fake->watcher, 400);
  respond_ (fake, STORE_OK, 10, 1);
  watcher_set_list_interval (fake->watcher, 20);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  watcher_set_list_interval (fake->watcher, 0);
  respond_ (fake, STORE_OK, 20, 0);
  assert_int_equal (fake->checked, 1);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_WATCH);
  assert_int_equal (fake->after_revision, 10);
  complete_call_ (fake, fake->done, fake->data, &removal);
  assert_int_equal (fake->changed, 1);
  fake_delete_ (fake);
}

/* A lagging watch shows an object that is older than the last list. It may have been removed since
 * and must not be reported. */
static void
an_object_older_than_the_last_list_is_not_reported (void **state)
{
  struct fake_ *fake = fake_new_ ();
  const struct store_object removed = { .name = "p", .revision = 12 };
  const struct store_result late
      = { .status = STORE_OK, .revision = 12, .objects = &removed, .n_objects = 1 };
  const struct store_object deleted = { .name = "o", .revision = 20, .deleted = true };
  const struct store_result later
      = { .status = STORE_OK, .revision = 21, .objects = &deleted, .n_objects = 1 };

  respond_ (fake, STORE_OK, 10, 1);
  respond_ (fake, STORE_HISTORY_EXPIRED, 0, 0);
  respond_ (fake, STORE_OK, 20, 1); /* without the object created at 12 */
  assert_int_equal (fake->listed, 2);
  complete_call_ (fake, fake->done, fake->data, &late);
  assert_int_equal (fake->changed, 0);
  assert_int_equal (fake->after_revision, 20);
  complete_call_ (fake, fake->done, fake->data, &later);
  assert_int_equal (fake->changed, 1);
  fake_delete_ (fake);
}

/* If every watch ended at once, the watcher would call the store in a busy loop. */
static void
watches_that_end_early_cause_no_busy_loop (void **state)
{
  struct fake_ *fake = fake_new_ ();
  int64_t begin_us;

  respond_ (fake, STORE_OK, 10, 1);
  respond_ (fake, STORE_OK, 10, 0);
  assert_int_equal (fake->call, CALL_NONE);
  begin_us = g_get_monotonic_time ();
  run_until_call_ (fake);
  assert_true (g_get_monotonic_time () - begin_us > 100000);
  assert_int_equal (fake->call, CALL_WATCH);
  fake_delete_ (fake);
}

/* The response of a watch arrives after that of a list in parallel, but shows an earlier state. */
static void
a_late_watch_result_does_not_undo_a_list (void **state)
{
  struct fake_ *fake = fake_new_ ();
  store_callback watch_done;
  void *watch_data;
  const struct store_object object = { .name = "o", .revision = 12 };
  const struct store_result late
      = { .status = STORE_OK, .revision = 12, .objects = &object, .n_objects = 1 };

  respond_ (fake, STORE_OK, 10, 1);
  watch_done = fake->done;
  watch_data = fake->data;
  fake->call = CALL_NONE;
  watcher_notify_revision (fake->watcher, 15);
  run_until_call_ (fake);
  respond_ (fake, STORE_OK, 15, 1);
  assert_int_equal (fake->listed, 2);
  complete_call_ (fake, watch_done, watch_data, &late);
  assert_int_equal (fake->changed, 0);
  respond_ (fake, STORE_OK, 16, 1);
  assert_int_equal (fake->changed, 1);
  fake_delete_ (fake);
}

/* A list in parallel with the watch is still pending when the watch finds its history expired, and
 * completes after the list that this causes. It must not bring back an object that was removed
 * between the two. */
static void
a_late_parallel_list_does_not_undo_a_later_list (void **state)
{
  struct fake_ *fake = fake_new_ ();
  struct pending_ watch;
  struct pending_ parallel;
  const struct store_object object = { .name = "o", .revision = 12 };
  const struct store_result expired = { .status = STORE_HISTORY_EXPIRED };
  const struct store_result late
      = { .status = STORE_OK, .revision = 13, .objects = &object, .n_objects = 1 };

  respond_ (fake, STORE_OK, 10, 0);
  watch = (struct pending_){ fake->done, fake->data };
  fake->call = CALL_NONE;
  watcher_notify_revision (fake->watcher, 12);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  parallel = (struct pending_){ fake->done, fake->data };
  complete_call_ (fake, watch.done, watch.data, &expired);
  respond_ (fake, STORE_OK, 20, 0); /* without the object created at 12 */
  assert_int_equal (fake->listed, 2);
  complete_call_ (fake, parallel.done, parallel.data, &late);
  assert_int_equal (fake->listed, 2);
  fake_delete_ (fake);
}

/* The store is restored and its revisions decrease. Results of earlier calls must be ignored,
 * everything listed, and changes with lower revisions reported. */
static void
after_a_restore_everything_is_listed (void **state)
{
  struct fake_ *fake = fake_new_ ();
  store_callback watch_done;
  void *watch_data;
  const struct store_object object = { .name = "o", .revision = 21 };
  const struct store_result late
      = { .status = STORE_OK, .revision = 21, .objects = &object, .n_objects = 1 };

  respond_ (fake, STORE_OK, 20, 1);
  watch_done = fake->done;
  watch_data = fake->data;
  fake->call = CALL_NONE;
  watcher_restart (fake->watcher, 10);
  assert_int_equal (watcher_reported_revision (fake->watcher), 0);
  complete_call_ (fake, watch_done, watch_data, &late);
  assert_int_equal (fake->changed, 0);
  run_until_call_ (fake);
  assert_int_equal (fake->call, CALL_LIST);
  respond_ (fake, STORE_OK, 7, 1);
  assert_int_equal (fake->listed, 2);
  assert_int_equal (fake->after_revision, 7);
  respond_ (fake, STORE_OK, 9, 1);
  assert_int_equal (fake->changed, 1);
  respond_ (fake, STORE_OK, 9, 0);
  fake_delete_ (fake);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (watches_continue_from_the_revision_of_the_list),
    cmocka_unit_test (changes_during_a_pause_cost_one_call),
    cmocka_unit_test (a_peer_report_during_a_pause_costs_no_call),
    cmocka_unit_test (expired_history_causes_a_new_list),
    cmocka_unit_test (watches_of_a_fleet_do_not_end_together),
    cmocka_unit_test (a_change_reported_by_peers_is_found_if_the_watch_misses_it),
    cmocka_unit_test (a_change_that_is_arriving_is_not_listed_beside_the_watch),
    cmocka_unit_test (a_failed_list_is_repeated_on_the_next_peer_report),
    cmocka_unit_test (a_change_before_the_position_of_the_watch_is_found),
    cmocka_unit_test (a_change_that_no_watch_showed_is_found_by_a_periodic_list),
    cmocka_unit_test (failed_calls_do_not_confirm_what_is_known),
    cmocka_unit_test (a_periodic_list_does_not_move_the_watch),
    cmocka_unit_test (an_object_older_than_the_last_list_is_not_reported),
    cmocka_unit_test (watches_that_end_early_cause_no_busy_loop),
    cmocka_unit_test (a_late_watch_result_does_not_undo_a_list),
    cmocka_unit_test (a_follower_waits_for_its_leader_in_an_outage),
    cmocka_unit_test (a_follower_notifies_its_leader_of_the_end_of_an_outage),
    cmocka_unit_test (the_end_of_an_outage_does_not_end_the_pause_after_a_change),
    cmocka_unit_test (the_first_watch_after_an_outage_does_not_wait),
    cmocka_unit_test (a_late_parallel_list_does_not_undo_a_later_list),
    cmocka_unit_test (after_a_restore_everything_is_listed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
