#include "settings/ini-reader.h"
#include "settings/settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

static const char valid_text[] = "[instance]\n"
                                 "name = entry-1\n"
                                 "data_centre = makole\n"
                                 "listen_address = 127.0.1.1\n"
                                 "[platform]\n"
                                 "address = 127.0.2.200\n"
                                 "port = 9000\n"
                                 "[peers]\n"
                                 "  seeds = 127.0.2.1:8081 , 127.0.2.2:8081 ; two\n"
                                 "[stop]\n"
                                 "limit_s = 5\n";

static void
missing_keys_get_their_defaults (void **state)
{
  struct sr_findings *findings = sr_findings_new ();
  struct sr_settings *settings
      = sr_settings_parse ("s.ini", valid_text, strlen (valid_text), findings);

  assert_int_equal (sr_findings_count (findings), 0);
  assert_non_null (settings);
  assert_string_equal (settings->name->str, "entry-1");
  assert_string_equal (settings->advertise_address->str, "127.0.1.1");
  assert_int_equal (settings->platform_port, 9000);
  assert_int_equal (settings->seeds->len, 2);
  assert_string_equal (((GString *)settings->seeds->pdata[1])->str, "127.0.2.2:8081");
  assert_int_equal (settings->gossip_fanout, 3);
  assert_int_equal (settings->stop_limit_s, 5);
  sr_settings_delete (settings);
  sr_findings_delete (findings);
}

static void
assert_finding (struct sr_findings *findings,
                unsigned line,
                const char *section,
                const char *key,
                const char *part)
{
  for (size_t i = 0; i < sr_findings_count (findings); i++)
    {
      const struct sr_finding *finding = sr_findings_get (findings, i);

      if (finding->line == line && strcmp (finding->section->str, section) == 0
          && strcmp (finding->key->str, key) == 0 && strstr (finding->message->str, part) != NULL)
        return;
    }
  sr_findings_print (findings, stderr);
  fail_msg ("no finding %u [%s] %s: %s", line, section, key, part);
}

static void
every_fault_is_found_with_line_section_and_key (void **state)
{
  static const char bad[] = "stray = 1\n"                /* 1 */
                            "[instance]\n"               /* 2 */
                            "name = no spaces, please\n" /* 3 */
                            "data_centre =\n"            /* 4 */
                            "listen_address = host\n"    /* 5 */
                            "entry_port = 70000\n"       /* 6 */
                            "peer_port = many\n"         /* 7 */
                            "colour = red\n"             /* 8 */
                            "peer_port = 9\n"            /* 9 */
                            "nothing\n"                  /* 10 */
                            "[peers]\n"                  /* 11 */
                            "seeds = 127.0.0.1\n"        /* 12 */
                            "dead_after_ms = 300\n"      /* 13 */
                            "[instance]\n"               /* 14 */
                            "name = again\n"             /* 15 */
                            "[extra]\n"                  /* 16 */
                            "[open\n";                   /* 17 */
  struct sr_findings *findings = sr_findings_new ();

  assert_null (sr_settings_parse ("s.ini", bad, strlen (bad), findings));
  assert_finding (findings, 1, "", "stray", "before any section");
  assert_finding (findings, 3, "instance", "name", "not a name");
  assert_finding (findings, 4, "instance", "data_centre", "no value");
  assert_finding (findings, 5, "instance", "listen_address", "IPv4");
  assert_finding (findings, 6, "instance", "entry_port", "out of range (1 to 65535)");
  assert_finding (findings, 7, "instance", "peer_port", "not a whole number");
  assert_finding (findings, 8, "instance", "colour", "unknown key");
  assert_finding (findings, 9, "instance", "peer_port", "twice");
  assert_finding (findings, 10, "instance", "", "not a section, key = value");
  assert_finding (findings, 12, "peers", "seeds", "IP:PORT");
  assert_finding (findings, 11, "peers", "dead_after_ms", "not above");
  assert_finding (findings, 14, "instance", "", "twice");
  assert_finding (findings, 16, "extra", "", "unknown section");
  assert_finding (findings, 17, "", "", "no ]");
  assert_finding (findings, 0, "platform", "address", "missing");
  assert_int_equal (sr_findings_count (findings), 15);
  sr_findings_delete (findings);
}

static void
sample_settings_are_valid (void **state)
{
  struct sr_findings *findings = sr_findings_new ();
  struct sr_settings *settings = sr_settings_load ("etc/sapphirerun.ini", findings);

  sr_findings_print (findings, stderr);
  assert_non_null (settings);
  sr_settings_delete (settings);
  sr_findings_delete (findings);
}

static void
malformed_lines_are_findings (void **state)
{
  struct sr_findings *findings = sr_findings_new ();
  g_autoptr (GString) text = g_string_new ("[instance]\nname = ");
  struct sr_ini_document *document;

  for (int i = 0; i < 70000; i++)
    g_string_append_c (text, 'x');
  g_string_append (text, "\ndata_centre = a");
  g_string_append_c (text, '\0');
  g_string_append (text, "b\nlisten_address = \xff\n");
  document = sr_ini_read ("s.ini", text->str, text->len, findings);
  assert_finding (findings, 2, "", "", "too long");
  assert_finding (findings, 3, "", "", "zero byte");
  assert_finding (findings, 4, "", "", "UTF-8");
  assert_int_equal (sr_findings_count (findings), 3);
  sr_ini_document_delete (document);
  sr_findings_delete (findings);
}

/* Guards against crashes and against failures without a finding, with corrupt copies of a valid
 * file. */
static void
corrupt_settings_are_accepted_or_refused_with_findings (void **state)
{
  GRand *random = g_rand_new_with_seed (20261203);

  for (int round = 0; round < 4000; round++)
    {
      struct sr_findings *findings = sr_findings_new ();
      char text[sizeof (valid_text)];
      size_t length = (size_t)g_rand_int_range (random, 0, sizeof (valid_text));
      struct sr_settings *settings;

      memcpy (text, valid_text, sizeof (valid_text));
      for (int i = 0; i < 4 && length > 0; i++)
        text[g_rand_int_range (random, 0, (int)length)] = (char)g_rand_int_range (random, 0, 256);
      settings = sr_settings_parse ("s.ini", text, length, findings);
      assert_int_equal (settings == NULL, sr_findings_count (findings) > 0);
      sr_settings_delete (settings);
      sr_findings_delete (findings);
    }
  g_rand_free (random);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (missing_keys_get_their_defaults),
    cmocka_unit_test (every_fault_is_found_with_line_section_and_key),
    cmocka_unit_test (sample_settings_are_valid),
    cmocka_unit_test (malformed_lines_are_findings),
    cmocka_unit_test (corrupt_settings_are_accepted_or_refused_with_findings),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
