/* Objects of one name in several eras, on a store whose answers the test gives. */
#include "store/era-object.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

struct fake_
{
  struct store base; /* first */
  char kind[64];     /* of the call that is out; empty: none is */
  store_callback done;
  void *data;
  unsigned calls;
  /* What the caller was told last. */
  unsigned ends;
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

/* Answers the call that is out, which must be for KIND; OK comes with an object. */
static void
answer_ (struct fake_ *fake, const char *kind, enum store_status status, int64_t revision)
{
  const struct store_object object = { .name = "team", .revision = revision };
  const struct store_result result
      = { .status = status, .objects = &object, .n_objects = status == STORE_OK ? 1 : 0 };

  assert_string_equal (fake->kind, kind);
  fake->kind[0] = '\0';
  fake->done (&result, fake->data);
}

static void
on_end_ (const struct store_result *result, void *data)
{
  struct fake_ *fake = data;

  fake->ends++;
  fake->status = result->status;
  fake->has_object = result->n_objects > 0;
  fake->revision = fake->has_object ? result->objects[0].revision : -1;
}

/* A store that has never come back has its objects under the kind as it is, also when it names no
 * era. */
static void
the_first_era_has_the_kind_as_it_is (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_ };

  era_object_read (&fake.base, "budgets", "team", on_end_, &fake);
  store_take_era (&fake.base, 1);
  answer_ (&fake, "budgets", STORE_OK, 17);
  assert_int_equal (fake.revision, 17);
  era_object_read (&fake.base, "budgets", "team", on_end_, &fake);
  answer_ (&fake, "budgets", STORE_ABSENT, 0);
  assert_int_equal (fake.status, STORE_ABSENT);
  era_object_write (&fake.base, "budgets", "team", NULL, 17, on_end_, &fake);
  answer_ (&fake, "budgets", STORE_OK, 18);
  assert_int_equal (fake.status, STORE_OK);
  assert_int_equal (fake.ends, 3);
}

/* Where this era has no object yet, the one of the latest era before tells how it begins. */
static void
an_era_begins_with_what_the_one_before_left (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_, .base.era = 4 };

  era_object_read (&fake.base, "budgets", "team", on_end_, &fake);
  answer_ (&fake, "budgets-4", STORE_ABSENT, 0);
  answer_ (&fake, "budgets-3", STORE_ABSENT, 0);
  answer_ (&fake, "budgets-2", STORE_OK, 90);
  assert_int_equal (fake.status, STORE_OK);
  assert_int_equal (fake.revision, 0);
  era_object_write (&fake.base, "budgets", "team", NULL, 0, on_end_, &fake);
  answer_ (&fake, "budgets-4", STORE_OK, 120);
  era_object_read (&fake.base, "budgets", "team", on_end_, &fake);
  answer_ (&fake, "budgets-4", STORE_OK, 120);
  assert_int_equal (fake.revision, 120);
}

static void
an_object_of_no_era_is_absent (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_, .base.era = 2 };

  era_object_read (&fake.base, "budgets", "team", on_end_, &fake);
  answer_ (&fake, "budgets-2", STORE_ABSENT, 0);
  answer_ (&fake, "budgets", STORE_ABSENT, 0);
  assert_int_equal (fake.status, STORE_ABSENT);
  assert_int_equal (fake.calls, 2);
}

/* A failure on the way back says nothing of what there was before. */
static void
a_failure_is_no_absence (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_, .base.era = 3 };

  era_object_read (&fake.base, "budgets", "team", on_end_, &fake);
  answer_ (&fake, "budgets-3", STORE_ABSENT, 0);
  answer_ (&fake, "budgets-2", STORE_BUSY, 0);
  assert_int_equal (fake.status, STORE_BUSY);
}

/* What a call of before the return brings is not what counts now: a write acknowledged by then may
 * be gone, or is to an object that nobody reads any more. */
static void
a_call_that_the_return_overtakes_is_unknown (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_, .base.era = 1 };

  era_object_read (&fake.base, "budgets", "team", on_end_, &fake);
  store_take_era (&fake.base, 2);
  answer_ (&fake, "budgets", STORE_OK, 17);
  assert_int_equal (fake.status, STORE_UNKNOWN);
  assert_false (fake.has_object);
  era_object_write (&fake.base, "budgets", "team", NULL, 17, on_end_, &fake);
  store_take_era (&fake.base, 3);
  answer_ (&fake, "budgets-2", STORE_OK, 18);
  assert_int_equal (fake.status, STORE_UNKNOWN);
}

/* The first answer of a store tells its era: what was read before it is known is read again by who
 * asked. */
static void
an_era_that_becomes_known_is_one_that_overtakes (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_ };

  era_object_read (&fake.base, "budgets", "team", on_end_, &fake);
  store_take_era (&fake.base, 5);
  answer_ (&fake, "budgets", STORE_OK, 17);
  assert_int_equal (fake.status, STORE_UNKNOWN);
  era_object_read (&fake.base, "budgets", "team", on_end_, &fake);
  answer_ (&fake, "budgets-5", STORE_OK, 170);
  assert_int_equal (fake.revision, 170);
}

/* A store that claims an era out of all measure does not have its client read for ever, and none of
 * its budgets begins anew. */
static void
an_era_out_of_measure_is_no_empty_object (void **state)
{
  struct fake_ fake = { .base.vtable = &vtable_, .base.era = INT64_MAX };

  era_object_read (&fake.base, "budgets", "team", on_end_, &fake);
  while (fake.ends == 0)
    {
      assert_true (fake.calls < 2000);
      answer_ (&fake, fake.kind, STORE_ABSENT, 0);
    }
  assert_int_equal (fake.status, STORE_INVALID);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_first_era_has_the_kind_as_it_is),
    cmocka_unit_test (an_era_begins_with_what_the_one_before_left),
    cmocka_unit_test (an_object_of_no_era_is_absent),
    cmocka_unit_test (a_failure_is_no_absence),
    cmocka_unit_test (a_call_that_the_return_overtakes_is_unknown),
    cmocka_unit_test (an_era_that_becomes_known_is_one_that_overtakes),
    cmocka_unit_test (an_era_out_of_measure_is_no_empty_object),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
