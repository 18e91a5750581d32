/* Tests of objects in several eras of a fake store whose responses the test determines. */
#include "store/era-object.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

struct fake_
{
  struct store base; /* first */
  char kind[64];     /* of the pending call; empty: none is pending */
  store_callback done;
  void *data;
  unsigned calls;
  /* The last result. */
  unsigned results;
  enum store_status status;
  int64_t revision;
  bool has_object;
};

static void
note_call_ (struct store *store, const char *kind, store_callback done, void *data)
{
  struct fake_ *fake = (struct fake_ *)store;

  assert_string_equal (fake->kind, "");
  g_strlcpy (fake->kind, kind, sizeof fake->kind);
  fake->done = done;
  fake->data = data;
  fake->calls++;
}

static void
read_ (struct store *store, const char *kind, const char *name, store_callback done, void *data)
{
  assert_string_equal (name, "team");
  note_call_ (store, kind, done, data);
}

static void
write_ (struct store *store,
        const char *kind,
        const char *name,
        json_t *content,
        int64_t expected_revision,
        store_callback done,
        void *data)
{
  note_call_ (store, kind, done, data);
}

static const struct store_vtable vtable_ = { .read = read_, .write = write_ };

/* Completes the pending call, which must be for KIND; with STORE_OK the result has an object. */
static void
respond_ (struct fake_ *fake, const char *kind, enum store_status status, int64_t revision)
{
  const struct store_object object = { .name = "team", .revision = revision };
  const struct store_result result
      = { .status = status, .objects = &object, .n_objects = status == STORE_OK ? 1 : 0 };

  assert_string_equal (fake->kind, kind);
  fake->kind[0] = '\0';
  fake->done (&result, fake->data);
}

static void
on_result_ (const struct store_result *result, void *data)
{
  struct fake_ *fake = data;

  fake->results++;
  fake->status = result->status;
  fake->has_object = result->n_objects > 0;
  fake->revision = fake->has_object ? result->objects[0].revision : -1;
}

/* A store that was never restored keeps its objects under the plain kind, also if it reports no
 * era. */
static void
the_first_era_uses_the_plain_kind (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_ };

  era_object_read (&fake.base, "budgets", "team", on_result_, &fake);
  store_observe_era (&fake.base, 1);
  respond_ (&fake, "budgets", STORE_OK, 17);
  assert_int_equal (fake.revision, 17);
  era_object_read (&fake.base, "budgets", "team", on_result_, &fake);
  respond_ (&fake, "budgets", STORE_ABSENT, 0);
  assert_int_equal (fake.status, STORE_ABSENT);
  era_object_write (&fake.base, "budgets", "team", NULL, 17, on_result_, &fake);
  respond_ (&fake, "budgets", STORE_OK, 18);
  assert_int_equal (fake.status, STORE_OK);
  assert_int_equal (fake.results, 3);
}

/* While the current era has no object, the one of the latest earlier era gives its initial content.
 */
static void
a_new_era_starts_with_the_content_of_the_latest_earlier_one (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_, .base.era = 4 };

  era_object_read (&fake.base, "budgets", "team", on_result_, &fake);
  respond_ (&fake, "budgets-4", STORE_ABSENT, 0);
  respond_ (&fake, "budgets-3", STORE_ABSENT, 0);
  respond_ (&fake, "budgets-2", STORE_OK, 90);
  assert_int_equal (fake.status, STORE_OK);
  assert_int_equal (fake.revision, 0);
  era_object_write (&fake.base, "budgets", "team", NULL, 0, on_result_, &fake);
  respond_ (&fake, "budgets-4", STORE_OK, 120);
  era_object_read (&fake.base, "budgets", "team", on_result_, &fake);
  respond_ (&fake, "budgets-4", STORE_OK, 120);
  assert_int_equal (fake.revision, 120);
}

static void
an_object_that_no_era_has_is_absent (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_, .base.era = 2 };

  era_object_read (&fake.base, "budgets", "team", on_result_, &fake);
  respond_ (&fake, "budgets-2", STORE_ABSENT, 0);
  respond_ (&fake, "budgets", STORE_ABSENT, 0);
  assert_int_equal (fake.status, STORE_ABSENT);
  assert_int_equal (fake.calls, 2);
}

/* A failure while reading an earlier era must not look as if the object did not exist. */
static void
a_failed_read_of_an_earlier_era_is_not_reported_as_absent (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_, .base.era = 3 };

  era_object_read (&fake.base, "budgets", "team", on_result_, &fake);
  respond_ (&fake, "budgets-3", STORE_ABSENT, 0);
  respond_ (&fake, "budgets-2", STORE_BUSY, 0);
  assert_int_equal (fake.status, STORE_BUSY);
}

/* The result of a call made before a restore must not be used: an acknowledged write may be lost,
 * or went to an object that is not read any more. */
static void
a_call_made_before_a_restore_ends_as_unknown (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_, .base.era = 1 };

  era_object_read (&fake.base, "budgets", "team", on_result_, &fake);
  store_observe_era (&fake.base, 2);
  respond_ (&fake, "budgets", STORE_OK, 17);
  assert_int_equal (fake.status, STORE_UNKNOWN);
  assert_false (fake.has_object);
  era_object_write (&fake.base, "budgets", "team", NULL, 17, on_result_, &fake);
  store_observe_era (&fake.base, 3);
  respond_ (&fake, "budgets-2", STORE_OK, 18);
  assert_int_equal (fake.status, STORE_UNKNOWN);
}

/* The first response of a store gives its era. A read that was made without knowing the era must be
 * repeated by its caller. */
static void
a_call_made_before_the_era_was_known_ends_as_unknown (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_ };

  era_object_read (&fake.base, "budgets", "team", on_result_, &fake);
  store_observe_era (&fake.base, 5);
  respond_ (&fake, "budgets", STORE_OK, 17);
  assert_int_equal (fake.status, STORE_UNKNOWN);
  era_object_read (&fake.base, "budgets", "team", on_result_, &fake);
  respond_ (&fake, "budgets-5", STORE_OK, 170);
  assert_int_equal (fake.revision, 170);
}

/* A store that reports an implausibly high era must not cause endless reads, nor make budgets start
 * anew as if they had no record. */
static void
an_implausible_era_is_not_reported_as_absent (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_, .base.era = INT64_MAX };

  era_object_read (&fake.base, "budgets", "team", on_result_, &fake);
  while (fake.results == 0)
    {
      assert_true (fake.calls < 2000);
      respond_ (&fake, fake.kind, STORE_ABSENT, 0);
    }
  assert_int_equal (fake.status, STORE_INVALID);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_first_era_uses_the_plain_kind),
    cmocka_unit_test (a_new_era_starts_with_the_content_of_the_latest_earlier_one),
    cmocka_unit_test (an_object_that_no_era_has_is_absent),
    cmocka_unit_test (a_failed_read_of_an_earlier_era_is_not_reported_as_absent),
    cmocka_unit_test (a_call_made_before_a_restore_ends_as_unknown),
    cmocka_unit_test (a_call_made_before_the_era_was_known_ends_as_unknown),
    cmocka_unit_test (an_implausible_era_is_not_reported_as_absent),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
