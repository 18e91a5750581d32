/* Requests through an instance to a backend server: responses, bills, refusals and retries. */
#include "testing/harness/caller.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

enum
{
  ORDER_TOKENS = 10,
  PORT_BASE = 30100,
  ENGINE = 1,
  SERVICE = 2,
  CALL_TOKENS = 10
};

static const char instance_ip[] = "127.0.1.1";
static const char other_ip[] = "127.0.1.2";

struct bad_request
{
  const char *service;
  unsigned team;
  const char *key;
  const char *budget;
  const char *priority;
  const char *body;
  int status;
  const char *code;
};

static const struct bad_request bad_requests[] = {
  { "diary", 1, NULL, NULL, NULL, "{\"prompt\":", 400, "bad_json" },
  { "diary", 1, NULL, NULL, NULL, "[1]", 400, "bad_field" },
  { "diary", 1, NULL, NULL, NULL, "{\"prompt\":7,\"max_tokens\":4}", 400, "bad_field" },
  { "diary", 1, NULL, NULL, NULL, "{\"prompt\":\"x\",\"max_tokens\":-1}", 400, "bad_field" },
  { "diary", 1, "a key", NULL, NULL, "{\"prompt\":\"x\",\"max_tokens\":4}", 400, "bad_header" },
  { "diary", 1, NULL, NULL, "loud", "{\"prompt\":\"x\",\"max_tokens\":4}", 400, "bad_header" },
  { "diary", 99, NULL, NULL, NULL, "{\"prompt\":\"x\",\"max_tokens\":4}", 401, "bad_key" },
  { "diary", 1, NULL, "budget-2", NULL, "{\"prompt\":\"x\",\"max_tokens\":4}", 403,
    "budget_not_yours" },
  { "none", 1, NULL, NULL, NULL, "{\"prompt\":\"x\",\"max_tokens\":4}", 404, "unknown_service" },
  { "relief", 1, NULL, NULL, NULL, "{\"grant\":1}", 400, "bad_header" },
  { "relief", 1, "20200101-old", NULL, NULL, "{\"grant\":1}", 410, "key_expired" },
};

static struct harness *harness;

static int
start_fleet (void **state)
{
  static const struct harness_options options
      = { .name = "path", .port_base = PORT_BASE, .instances = 2, .engines = 1, .services = 1 };

  harness = harness_start (&options);
  return harness != NULL ? 0 : -1;
}

static int
stop_fleet (void **state)
{
  harness_stop (harness);
  return 0;
}

static struct harness_request
make_request (const char *service, unsigned team)
{
  return (struct harness_request){ .address = instance_ip,
                                   .port = harness_port (harness, HARNESS_PORT_ENTRY),
                                   .service = service,
                                   .team = team };
}

static int64_t
ledger_number (unsigned backend, const char *path)
{
  json_t *ledger = harness_ledger (harness, backend);
  int64_t number = harness_json_number (ledger, path);

  json_decref (ledger);
  return number;
}

/* Returns an idempotency key for an order: today's date in UTC and SUFFIX. The caller frees it. */
static char *
make_order_key (const char *suffix)
{
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *day = g_date_time_format (now, "%Y%m%d");

  return g_strdup_printf ("%s-%s", day, suffix);
}

static void
responses_are_byte_exact_and_billed (void **state)
{
  static const char prompt[] = "The diary of household 7: 06:00 water, 07:30 market [n=40]";
  int64_t prompt_tokens = (int64_t)(strlen (prompt) + 3) / 4;

  for (int stream = 0; stream <= 1; stream++)
    {
      struct harness_request request = make_request ("diary", 1);
      int64_t before = ledger_number (ENGINE, "budgets.budget-1");
      struct harness_result answer;

      request.prompt = prompt;
      request.max_tokens = 100;
      request.stream = stream == 1;
      answer = harness_send (&request);
      assert_int_equal (answer.outcome, HARNESS_COMPLETED);
      assert_int_equal (answer.prompt_tokens, prompt_tokens);
      assert_int_equal (answer.output_tokens, 40);
      assert_int_equal (answer.billed_tokens, prompt_tokens + 40);
      assert_int_equal (ledger_number (ENGINE, "budgets.budget-1") - before, prompt_tokens + 40);
    }
}

static void
invalid_requests_consume_nothing (void **state)
{
  int64_t tokens = ledger_number (ENGINE, "tokens");
  int64_t calls = ledger_number (SERVICE, "calls");

  for (unsigned i = 0; i < G_N_ELEMENTS (bad_requests); i++)
    {
      const struct bad_request *bad = &bad_requests[i];
      struct harness_request request = make_request (bad->service, bad->team);
      struct harness_result answer;

      request.key = bad->key;
      request.first_attempt = true;
      request.budget = bad->budget;
      request.priority = bad->priority;
      request.body = bad->body;
      answer = harness_send (&request);
      if (answer.status != bad->status || strcmp (answer.code, bad->code) != 0
          || answer.outcome != HARNESS_REFUSED)
        print_error ("request %u: %d %s %s instead of %d %s\n", i, answer.status, answer.code,
                     harness_outcome_to_string (answer.outcome), bad->status, bad->code);
      assert_int_equal (answer.status, bad->status);
      assert_string_equal (answer.code, bad->code);
      assert_int_equal (answer.outcome, HARNESS_REFUSED);
    }
  assert_int_equal (ledger_number (ENGINE, "tokens"), tokens);
  assert_int_equal (ledger_number (SERVICE, "calls"), calls);
}

static void
an_order_runs_once_and_its_retry_gets_the_same_response (void **state)
{
  g_autofree char *key = make_order_key ("grant-1");
  struct harness_request request = make_request ("relief", 2);
  g_autofree char *path = g_strdup_printf ("requests.team-2/%s", key);

  request.key = key;
  request.first_attempt = true;
  request.body = "{\"household\":12,\"amount\":30}";
  for (int attempt = 0; attempt < 2; attempt++)
    {
      struct harness_result answer = harness_send (&request);

      assert_int_equal (answer.outcome, HARNESS_COMPLETED);
      assert_int_equal (answer.billed_tokens, CALL_TOKENS);
      request.first_attempt = false;
    }
  assert_int_equal (ledger_number (SERVICE, path), 1);
  request.body = "{\"household\":12,\"amount\":31}";
  assert_string_equal (harness_send (&request).code, "key_reused");
  assert_int_equal (ledger_number (SERVICE, path), 1);
}

static bool
both_have_second_revision (void *data)
{
  bool has = true;

  for (unsigned i = 0; i < 2; i++)
    {
      json_t *status = harness_get_json (i == 0 ? instance_ip : other_ip, PORT_BASE, "/status");

      has = has && harness_json_number (status, "revision") >= 2;
      json_decref (status);
    }
  return has;
}

static void
a_retry_of_an_order_gets_its_response_even_if_the_budget_is_exhausted (void **state)
{
  g_autofree char *key = make_order_key ("grant-of-the-last-tokens");
  struct harness_request request = make_request ("relief", 2);
  GString *text = harness_configuration (harness);

  g_string_append (text, "[budget last-tokens]\nteam = team-2\n");
  assert_true (harness_submit (harness, text->str));
  assert_true (harness_top_up (harness, "last-tokens", ORDER_TOKENS, "once"));
  assert_true (harness_wait_until (both_have_second_revision, NULL, HARNESS_WAIT_MS));
  request.key = key;
  request.budget = "last-tokens";
  request.body = "{\"household\":12,\"amount\":31}";
  assert_int_equal (harness_send (&request).outcome, HARNESS_COMPLETED);
  request.address = other_ip;
  assert_int_equal (harness_send (&request).outcome, HARNESS_COMPLETED);
  request.body = "{\"household\":12,\"amount\":32}";
  assert_string_equal (harness_send (&request).code, "key_reused");
  g_string_free (text, TRUE);
}

static void
a_retry_of_a_model_request_is_not_billed_again (void **state)
{
  struct harness_request request = make_request ("diary", 3);
  struct harness_result first, second;
  int64_t tokens;

  request.key = "retry-1";
  request.prompt = "Is descaler safe with chlorine? [n=9]";
  request.max_tokens = 20;
  first = harness_send (&request);
  assert_int_equal (first.outcome, HARNESS_COMPLETED);
  tokens = ledger_number (ENGINE, "budgets.budget-3");
  second = harness_send (&request);
  assert_int_equal (second.outcome, HARNESS_COMPLETED);
  assert_int_equal (second.billed_tokens, first.billed_tokens);
  assert_int_equal (ledger_number (ENGINE, "budgets.budget-3"), tokens);
}

static void
a_request_beyond_its_budget_is_refused (void **state)
{
  struct harness_request request = make_request ("diary", 2);
  int64_t tokens = ledger_number (ENGINE, "budgets.budget-2");
  struct harness_result answer;
  GString *prompt = g_string_new (NULL);

  while (prompt->len < 900000)
    g_string_append (prompt, "a very long diary, ");
  request.prompt = prompt->str;
  request.max_tokens = 4096;
  for (int i = 0; i < 2; i++)
    answer = harness_send (&request);
  g_string_free (prompt, TRUE);
  assert_int_equal (answer.outcome, HARNESS_REFUSED);
  assert_int_equal (answer.status, 402);
  assert_true (ledger_number (ENGINE, "budgets.budget-2") - tokens <= 1000000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (responses_are_byte_exact_and_billed),
    cmocka_unit_test (invalid_requests_consume_nothing),
    cmocka_unit_test (an_order_runs_once_and_its_retry_gets_the_same_response),
    cmocka_unit_test (a_retry_of_an_order_gets_its_response_even_if_the_budget_is_exhausted),
    cmocka_unit_test (a_retry_of_a_model_request_is_not_billed_again),
    cmocka_unit_test (a_request_beyond_its_budget_is_refused),
  };

  return cmocka_run_group_tests (tests, start_fleet, stop_fleet);
}
