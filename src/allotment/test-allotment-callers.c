/* One manager with a store whose calls the test completes: callers that settle, or make another
 * reservation, from within the callback of a reservation, and loan requests of peers. */
#include "allotment/allotment.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum
{
  CALLERS = 6,
  PREPAID = 1000, /* tokens */
  RESERVED = 10,  /* tokens of one reservation */
  NOW_US = 100000000,
  STEP_US = 2000000 /* longer than the manager waits for peers to announce themselves */
};

/* A store whose calls are pending until the test completes them. */
struct link_
{
  const struct allotment_link_vtable *vtable;
  uint64_t read_call; /* 0: none is pending */
  uint64_t write_call;
  json_t *written;
  struct allotment_loan_reply reply; /* the last one */
  unsigned replies;                  /* that end a loan request */
};

struct caller_
{
  struct allotment_manager *manager;
  struct caller_ *next; /* reserves when this one is served; may be NULL */
  unsigned callbacks;
  enum allotment_verdict verdict;
};

static void
read_ (void *data, const char *team, uint64_t call)
{
  struct link_ *link = data;

  link->read_call = call;
}

static void
write_ (void *data, const char *team, uint64_t call, json_t *content, int64_t expected_revision)
{
  struct link_ *link = data;

  link->write_call = call;
  json_decref (link->written);
  link->written = content;
}

static void
send_loan_request_ (void *data, const char *peer, const struct allotment_loan_request *request)
{
}

static void
send_loan_reply_ (void *data, uint64_t handle, const struct allotment_loan_reply *reply)
{
  struct link_ *link = data;

  if (reply->is_pending)
    return;
  link->reply = *reply;
  link->replies++;
}

static bool
real_time_ (void *data, int64_t *earliest_ms, int64_t *latest_ms)
{
  return false;
}

static const struct allotment_link_vtable vtable_ = { .read_record = read_,
                                                      .write_record = write_,
                                                      .send_loan_request = send_loan_request_,
                                                      .send_loan_reply = send_loan_reply_,
                                                      .real_time = real_time_ };

static void
on_reserved_ (enum allotment_verdict verdict, GArray *parts, void *data)
{
  struct caller_ *caller = data;

  caller->callbacks++;
  caller->verdict = verdict;
  if (caller->next != NULL)
    allotment_manager_reserve (caller->manager, "team", RESERVED, on_reserved_, caller->next,
                               NOW_US);
  /* Like a request that is refused at once because no backend server is known. */
  if (parts != NULL)
    allotment_manager_settle (caller->manager, "team", parts, 0, NOW_US);
}

static struct allotment_manager *
manager_new_ (struct link_ *link)
{
  const struct allotment_manager_options options
      = { .link = link, .instance = "front-1", .data_centre = "dc", .incarnation = 1 };
  struct allotment_manager *manager = allotment_manager_new (&options);
  g_autoptr (GPtrArray) names = g_ptr_array_new ();

  allotment_manager_set_prepaid (manager, "team", PREPAID, NOW_US - STEP_US);
  allotment_manager_set_peers (manager, names, NOW_US - STEP_US);
  return manager;
}

/* Completes the store calls of MANAGER on a store that is empty at first, until none is pending. */
static void
complete_store_calls_ (struct allotment_manager *manager, struct link_ *link)
{
  int64_t revision = 0;
  json_t *record = NULL;

  while (link->read_call != 0 || link->write_call != 0)
    {
      uint64_t call = link->read_call;

      if (call != 0)
        {
          link->read_call = 0;
          allotment_manager_read_done (manager, "team", call,
                                       record == NULL ? STORE_ABSENT : STORE_OK, record, revision,
                                       NOW_US);
          continue;
        }
      call = link->write_call;
      link->write_call = 0;
      json_decref (record);
      record = g_steal_pointer (&link->written);
      allotment_manager_write_done (manager, "team", call, STORE_OK, record, ++revision, NOW_US);
    }
  json_decref (record);
}

static void
assert_served_once_ (const struct caller_ callers[CALLERS])
{
  for (unsigned i = 0; i < CALLERS; i++)
    {
      assert_int_equal (callers[i].callbacks, 1);
      assert_int_equal (callers[i].verdict, ALLOTMENT_GRANTED);
    }
}

static void
callers_that_settle_in_the_callback_are_served_once (void **state)
{
  struct link_ link = { .vtable = &vtable_ };
  struct allotment_manager *manager = manager_new_ (&link);
  struct caller_ callers[CALLERS] = { 0 };

  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i].manager = manager;
      allotment_manager_reserve (manager, "team", RESERVED, on_reserved_, &callers[i], NOW_US);
    }
  complete_store_calls_ (manager, &link);
  assert_served_once_ (callers);
  allotment_manager_delete (manager);
}

static void
callers_that_reserve_in_the_callback_are_served_once (void **state)
{
  struct link_ link = { .vtable = &vtable_ };
  struct allotment_manager *manager = manager_new_ (&link);
  struct caller_ callers[CALLERS] = { 0 };

  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i].manager = manager;
      callers[i].next = i % 2 == 0 ? &callers[i + 1] : NULL;
    }
  for (unsigned i = 0; i < CALLERS; i += 2)
    allotment_manager_reserve (manager, "team", RESERVED, on_reserved_, &callers[i], NOW_US);
  complete_store_calls_ (manager, &link);
  assert_served_once_ (callers);
  allotment_manager_delete (manager);
}

/* The lender has lost its record, as in a restore of the store: of the total that a borrower asks
 * for, only what it has not received is needed. */
static void
a_lender_without_its_record_draws_what_a_borrower_lacks (void **state)
{
  struct link_ link = { .vtable = &vtable_ };
  struct allotment_manager *manager = manager_new_ (&link);
  const struct allotment_loan_request request
      = { .team = "team",
          .number = 1,
          .borrower = "front-2",
          .borrower_incarnation = 1,
          .lender = { .instance = "front-1", .incarnation = 1, .generation = 7 },
          .need = 5 * PREPAID + RESERVED,
          .want = 5 * PREPAID + RESERVED,
          .received = 5 * PREPAID,
          .prepaid_tokens = PREPAID };

  allotment_manager_loan_requested (manager, 1, &request, NOW_US);
  complete_store_calls_ (manager, &link);
  assert_int_equal (link.replies, 1);
  assert_true (link.reply.loan.has_record);
  assert_false (link.reply.is_refused);
  allotment_manager_delete (manager);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (callers_that_settle_in_the_callback_are_served_once),
    cmocka_unit_test (callers_that_reserve_in_the_callback_are_served_once),
    cmocka_unit_test (a_lender_without_its_record_draws_what_a_borrower_lacks),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
