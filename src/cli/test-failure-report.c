/* Tests failure_report with log lines of the form that gateways write. */
#include "cli/failure-report.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* The failures of one report, each as "ID: CAUSE", "-" for an unknown cause. */
static GPtrArray *reported_;

static void
append_failure_ (const struct failure *failure, void *data)
{
  g_ptr_array_add (reported_, g_strdup_printf ("%s: %s", failure->request,
                                               failure->cause != NULL ? failure->cause : "-"));
}

static void
assert_causes_ (const char *const *lines, const char *const *causes)
{
  struct failure_report *report = failure_report_new ();
  unsigned n_causes = 0;

  reported_ = g_ptr_array_new_with_free_func (g_free);
  for (unsigned i = 0; lines[i] != NULL; i++)
    assert_true (failure_report_add (report, lines[i]));
  while (causes[n_causes] != NULL)
    n_causes++;
  assert_int_equal (failure_report_for_each (report, append_failure_, NULL), n_causes);
  for (unsigned i = 0; i < n_causes; i++)
    assert_string_equal (reported_->pdata[i], causes[i]);
  g_ptr_array_unref (reported_);
  failure_report_delete (report);
}

#define LINE(instance, event, rest)                                                                \
  "{\"instance\":\"" instance "\",\"event\":\"" event "\"" rest "}"
#define REFUSED(id, reason, rest)                                                                  \
  LINE ("g1", "request_refused", ",\"request\":\"" id "\",\"reason\":\"" reason "\"" rest)
#define ENDED(id, outcome, status)                                                                 \
  LINE ("g1", "request_ended",                                                                     \
        ",\"request\":\"" id "\",\"outcome\":\"" outcome "\",\"status\":" status)

static void
answered_request_is_not_a_failure (void **state)
{
  const char *const lines[]
      = { "   0.25 g1 " LINE ("g1", "request_sent", ",\"request\":\"a\",\"backend\":\"b1\""),
          ENDED ("a", "answered", "200"), NULL };
  const char *const causes[] = { NULL };

  assert_causes_ (lines, causes);
}

static void
refusal_without_decision_inputs_has_no_cause (void **state)
{
  const char *const lines[]
      = { REFUSED ("a", "link_full", ",\"state\":\"reading\",\"inputs\":{\"link_share\":0.9}"),
          ENDED ("a", "refused", "503"),
          REFUSED ("b", "budget_exhausted", ",\"state\":\"reserving\""),
          ENDED ("b", "refused", "402"),
          REFUSED ("c", "malformed", ",\"state\":\"reading\""),
          ENDED ("c", "refused", "400"),
          NULL };
  const char *const causes[]
      = { "a: link_full: {\"link_share\":0.9}", "b: -", "c: malformed", NULL };

  assert_causes_ (lines, causes);
}

static void
failed_attempt_names_its_backend_server (void **state)
{
  const char *const lines[]
      = { LINE ("g1", "request_sent", ",\"request\":\"a\",\"backend\":\"b1\""),
          LINE ("g1", "attempt_failed",
                ",\"request\":\"a\",\"backend\":\"b1\",\"reason\":\"closed\""),
          ENDED ("a", "cut", "200"),
          REFUSED ("b", "timeout", ",\"state\":\"sent\""),
          ENDED ("b", "refused", "504"),
          LINE ("g1", "request_sent", ",\"request\":\"c\",\"backend\":\"b2\""),
          ENDED ("c", "answered", "500"),
          NULL };
  const char *const causes[] = { "a: cut: backend server b1, last attempt closed", "b: -",
                                 "c: answered 500: backend server b2", NULL };

  assert_causes_ (lines, causes);
}

/* A request without a "request_ended" line failed because its instance was killed, if the instance
 * was started again after the request's first line. */
static void
request_without_end_is_explained_by_later_start (void **state)
{
  const char *const lines[] = { LINE ("g1", "started", ""),
                                LINE ("g1", "request_sent", ",\"request\":\"a\""),
                                LINE ("g2", "request_sent", ",\"request\":\"a\""),
                                LINE ("g1", "started", ""),
                                LINE ("g1", "request_sent", ",\"request\":\"b\""),
                                NULL };
  const char *const causes[]
      = { "a: g1 was killed while it ran and started again", "a: -", "b: -", NULL };

  assert_causes_ (lines, causes);
}

static void
text_that_is_not_an_event_is_rejected (void **state)
{
  struct failure_report *report = failure_report_new ();

  assert_false (failure_report_add (report, "built in 14 s"));
  assert_false (failure_report_add (report, "{\"event\":"));
  assert_false (failure_report_add (report, "{\"event\":\"started\"}"));
  failure_report_delete (report);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (answered_request_is_not_a_failure),
    cmocka_unit_test (refusal_without_decision_inputs_has_no_cause),
    cmocka_unit_test (failed_attempt_names_its_backend_server),
    cmocka_unit_test (request_without_end_is_explained_by_later_start),
    cmocka_unit_test (text_that_is_not_an_event_is_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
