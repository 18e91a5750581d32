#include "config/config.h"
#include "sapphirerun/config.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static const char *const keys[] = { "secret", NULL };

static void
add_all (struct sr_builder *builder)
{
  const struct sr_builder_team team = { .name = "a", .keys = keys, .default_budget = "b-2" };
  const struct sr_builder_budget budgets[]
      = { { .name = "b-1", .team = "a" }, { .name = "b-2", .team = "a" } };
  const struct sr_builder_service service
      = { .name = "s", .kind = SR_BUILDER_MODEL, .model = "m", .max_output_tokens = 5 };
  const struct sr_builder_backend backend
      = { .name = "e", .service = "s", .address = "127.0.0.1", .port = 7, .data_centre = "x" };

  sr_builder_add_team (builder, &team);
  sr_builder_add_budget (builder, &budgets[0]);
  sr_builder_add_budget (builder, &budgets[1]);
  sr_builder_add_service (builder, &service);
  sr_builder_add_backend (builder, &backend);
}

/* Prints BUILDER into *TEXT, which the caller frees; *FINDINGS gets the length of the findings. */
static bool
print (struct sr_builder *builder, char **text, size_t *findings_length)
{
  char *findings = NULL;
  size_t length;
  FILE *out = open_memstream (text, &length);
  FILE *errors = open_memstream (&findings, findings_length);
  bool valid = sr_builder_print (builder, out, errors);

  fclose (out);
  fclose (errors);
  free (findings);
  return valid;
}

static void
printed_configuration_can_be_parsed (void **state)
{
  struct sr_builder *builder = sr_builder_new ();
  struct sr_findings *findings = sr_findings_new ();
  const struct sr_config_team *team;
  struct sr_config *config;
  char *text = NULL;
  size_t findings_length;

  add_all (builder);
  assert_true (print (builder, &text, &findings_length));
  assert_int_equal (findings_length, 0);
  assert_null (strstr (text, "secret"));
  config = sr_config_parse ("c", text, strlen (text), 1, findings);
  assert_non_null (config);
  team = sr_config_team_by_key (config, "secret", strlen ("secret"));
  assert_non_null (team);
  assert_string_equal (((GString *)team->budgets->pdata[0])->str, "b-2");
  assert_int_equal (sr_config_service_backends (config, "s")->len, 1);
  sr_config_unref (config);
  sr_findings_delete (findings);
  sr_builder_delete (builder);
  free (text);
}

static void
faulty_configuration_is_not_printed (void **state)
{
  static const char *const bad[] = { "c\nweight = 9", "c ; d", "c]", "" };

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      struct sr_builder *builder = sr_builder_new ();
      const struct sr_builder_budget budget = { .name = "b-3", .team = bad[i] };
      char *text = NULL;
      size_t findings_length;

      add_all (builder);
      sr_builder_add_budget (builder, &budget);
      assert_false (print (builder, &text, &findings_length));
      assert_string_equal (text, "");
      assert_true (findings_length > 0);
      sr_builder_delete (builder);
      free (text);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (printed_configuration_can_be_parsed),
    cmocka_unit_test (faulty_configuration_is_not_printed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
