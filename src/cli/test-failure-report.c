/* Causes of failed requests, from lines as gateways write them. */
#include "cli/failure-report.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* The failures of one report, "ID: CAUSE" each. */
static GPtrArray *found;

static void
note_ (const struct failure *failure, void *data)
{
  g_ptr_array_add (found, g_strdup_printf ("%s: %s", failure->request,
                                           failure->cause != NULL ? failure->cause : "-"));
}

static void
assert_causes_ (const char *const *lines, const char *const *causes)
{
  struct failure_report *report = failure_report_new ();
  unsigned n_causes = 0;

  found = g_ptr_array_new_with_free_func (g_free);
  for (unsigned i = 0; lines[i] != NULL; i++)
    assert_true (failure_report_add (report, lines[i]));
  while (causes[n_causes] != NULL)
    n_causes++;
  assert_int_equal (failure_report_each (report, note_, NULL), n_causes);
  for (unsigned i = 0; i < n_causes; i++)
    assert_string_equal (found->pdata[i], causes[i]);
  g_ptr_array_unref (found);
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
what_is_answered_is_no_failure (void **state)
{
  const char *const lines[]
      = { "   0.25 g1 " LINE ("g1", "request_sent", ",\"request\":\"a\",\"backend\":\"b1\""),
          ENDED ("a", "answered", "200"), NULL };
  const char *const causes[] = { NULL };

  assert_causes_ (lines, causes);
}

static void
a_refusal_is_explained_by_what_decided_it (void **state)
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
a_failed_attempt_names_its_backend_server (void **state)
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

/* Without a line of its end a request is explained by a start of its instance after it. */
static void
a_request_without_an_end_was_killed_with_its_instance (void **state)
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
other_text_is_no_line (void **state)
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
    cmocka_unit_test (what_is_answered_is_no_failure),
    cmocka_unit_test (a_refusal_is_explained_by_what_decided_it),
    cmocka_unit_test (a_failed_attempt_names_its_backend_server),
    cmocka_unit_test (a_request_without_an_end_was_killed_with_its_instance),
    cmocka_unit_test (other_text_is_no_line),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
