/* Measures parse time and heap of an instance's configuration, by the number of budgets. */
#include "config/bundle.h"
#include "config/config.h"
#include "config/parts.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BUDGETS_PER_TEAM = 93,
  BUDGETS_PER_BACKEND = 50,
  LOOKUPS = 2000,
  BYTES_PER_KIB = 1024,
  NS_PER_US = 1000
};

static GString *
make_configuration_text (unsigned n_budgets)
{
  GString *text = g_string_new ("[service s]\nkind = model\nmodel = m\nmax_output_tokens = 9\n");

  for (unsigned i = 0; i <= n_budgets / BUDGETS_PER_TEAM; i++)
    {
      g_autofree char *key = g_strdup_printf ("key-%u", i);
      g_autofree char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);

      g_string_append_printf (text, "[team team-%u]\nkey_digest = %s\n", i, digest);
    }
  for (unsigned i = 0; i < n_budgets; i++)
    g_string_append_printf (text, "[budget budget-%u]\nteam = team-%u\n", i, i / BUDGETS_PER_TEAM);
  for (unsigned i = 0; i <= n_budgets / BUDGETS_PER_BACKEND; i++)
    g_string_append_printf (text,
                            "[backend engine-%u]\nservice = s\naddress = 127.0.0.1\nport = %u\n"
                            "data_centre = dc-%u\n",
                            i, i + 1, i % 9);
  return text;
}

static int64_t
heap_kib (void)
{
  return (int64_t)(mallinfo2 ().uordblks / BYTES_PER_KIB);
}

/* Splits TEXT into the parts and the head of BUNDLE, with no part parsed yet. */
static void
fill_bundle (struct config_bundle *bundle, const GString *text)
{
  g_autoptr (GPtrArray) parts = config_parts_split (text->str, text->len, 0);
  char *body;

  for (size_t i = 0; i < parts->len; i++)
    {
      const GString *part = g_ptr_array_index (parts, i);

      g_ptr_array_add (bundle->head->parts, config_part_name (part, "0123456789abcdef"));
      g_ptr_array_add (bundle->texts, g_bytes_new (part->str, part->len));
      g_ptr_array_add (bundle->sections, NULL);
    }
  body = config_head_encode (bundle->head);
  g_string_assign (bundle->head_body, body);
  free (body);
}

/* Returns a copy of FORMER that shares its parsed sections except those of the first part, which
 * must be parsed again, as after a change in that part. */
static struct config_bundle *
copy_with_one_part_unparsed (const struct config_bundle *former)
{
  struct config_bundle *bundle = config_bundle_new_empty ();

  for (size_t i = 0; i < former->texts->len; i++)
    {
      const GString *name = g_ptr_array_index (former->head->parts, i);
      struct config_sections *sections = g_ptr_array_index (former->sections, i);

      g_ptr_array_add (bundle->head->parts, g_string_new (name->str));
      g_ptr_array_add (bundle->texts, g_bytes_ref (g_ptr_array_index (former->texts, i)));
      g_ptr_array_add (bundle->sections, i == 0 ? NULL : config_sections_ref (sections));
    }
  return bundle;
}

/* Prints time and heap for parsing the next configuration while FORMER is still in memory. */
static void
measure_update (struct config_bundle *former)
{
  struct config_bundle *bundle = copy_with_one_part_unparsed (former);
  struct sr_findings *findings = sr_findings_new ();
  int64_t heap_before_kib = heap_kib ();
  int64_t start_us = g_get_monotonic_time ();
  struct sr_config *config = config_bundle_parse (bundle, findings);
  int64_t parse_us = g_get_monotonic_time () - start_us;

  g_assert (config != NULL);
  printf ("  change of one part: %" G_GINT64_FORMAT " us, %" G_GINT64_FORMAT " KiB more\n",
          parse_us, heap_kib () - heap_before_kib);
  sr_config_unref (config);
  sr_findings_delete (findings);
  config_bundle_delete (bundle);
}

static void
measure (unsigned n_budgets)
{
  GString *text = make_configuration_text (n_budgets);
  size_t text_bytes = text->len;
  struct config_bundle *bundle = config_bundle_new_empty ();
  struct sr_findings *findings = sr_findings_new ();
  struct sr_config *config;
  int64_t start_us;
  int64_t parse_us;
  int64_t lookup_us;
  int64_t heap_before_kib;

  fill_bundle (bundle, text);
  g_string_free (text, TRUE);
  heap_before_kib = heap_kib ();
  start_us = g_get_monotonic_time ();
  config = config_bundle_parse (bundle, findings);
  parse_us = g_get_monotonic_time () - start_us;
  sr_findings_print (findings, stderr);
  g_assert (config != NULL);
  start_us = g_get_monotonic_time ();
  for (unsigned i = 0; i < LOOKUPS; i++)
    g_assert (sr_config_team_by_key (config, "key-0", strlen ("key-0")) != NULL);
  lookup_us = g_get_monotonic_time () - start_us;
  printf ("budgets %u: text %zu KiB, parts %u, head %zu bytes, parse %" G_GINT64_FORMAT
          " us, snapshot %" G_GINT64_FORMAT " KiB, look-up by key %" G_GINT64_FORMAT " ns\n",
          n_budgets, text_bytes / BYTES_PER_KIB, bundle->head->parts->len, bundle->head_body->len,
          parse_us, heap_kib () - heap_before_kib, lookup_us * NS_PER_US / LOOKUPS);
  measure_update (bundle);
  sr_config_unref (config);
  sr_findings_delete (findings);
  config_bundle_delete (bundle);
}

/* The argument is the number of budgets. Each process measures one size, because heap kept from an
 * earlier size would distort the figures. */
int
main (int argc, char **argv)
{
  measure (argc > 1 ? (unsigned)strtoul (argv[1], NULL, 10) : 10000);
  return 0;
}
