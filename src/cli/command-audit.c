#include "audit/audit-top-up.h"
#include "cli/cli.h"
#include "config/store.h"

#include <stdio.h>
#include <stdlib.h>

static int run_ (struct sr_platform *platform, const char *budget, bool json);
static enum sr_platform_status add_missing_top_ups_ (struct sr_platform *platform,
                                                     const char *budget);
static void print_text_ (const struct sr_audit_entry *entry);
static void print_lines_ (const char *prefix, const char *text);
static void print_json_ (const struct sr_audit_entry *entry);
static void entry_free_ (void *data);

/* Runs "audit": prints the audit trail, oldest first. */
int
cli_command_audit (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *address = arg_str1 (NULL, "platform", "IP:PORT", "the platform");
  struct arg_str *budget
      = arg_str0 (NULL, "budget", "NAME", "first complete the trail by this budget's top-ups");
  struct arg_lit *json = arg_lit0 (NULL, "json", "one JSON object a line");
  struct arg_end *end = arg_end (10);
  void *table[] = { help, address, budget, json, end };
  struct sr_platform *platform = NULL;
  int code = cli_parse (argc, argv, table, help, end, "Prints the audit trail, oldest first.");

  if (code != CLI_CONTINUE)
    goto out;
  code = CLI_EXIT_USAGE;
  platform = cli_open_platform (argv[0], address->sval[0]);
  if (platform != NULL)
    code = run_ (platform, budget->count > 0 ? budget->sval[0] : NULL, json->count > 0);

out:
  sr_platform_unref (platform);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static int
run_ (struct sr_platform *platform, const char *budget, bool json)
{
  g_autoptr (GPtrArray) entries = g_ptr_array_new_with_free_func (entry_free_);
  enum sr_platform_status status = add_missing_top_ups_ (platform, budget);

  if (status == SR_PLATFORM_OK)
    status = sr_config_read_audit_trail (platform, entries, cli_deadline_us ());
  for (size_t i = 0; i < entries->len; i++)
    {
      const struct sr_audit_entry *entry = g_ptr_array_index (entries, i);

      if (json)
        print_json_ (entry);
      else
        print_text_ (entry);
    }
  if (status == SR_PLATFORM_OK)
    return CLI_EXIT_OK;
  fprintf (stderr, "audit: the trail is incomplete: platform status: %s\n",
           sr_platform_status_to_string (status));
  return CLI_EXIT_REFUSED;
}

/* Adds to the trail the top-ups of BUDGET (NULL: of none) that were applied but not recorded,
 * because "topup" was killed between the two writes. */
static enum sr_platform_status
add_missing_top_ups_ (struct sr_platform *platform, const char *budget)
{
  enum sr_platform_status status;

  if (budget == NULL)
    return SR_PLATFORM_OK;
  status = sr_audit_write_top_ups (platform, budget, NULL, cli_deadline_us ());
  return status == SR_PLATFORM_ABSENT ? SR_PLATFORM_OK : status;
}

static void
print_text_ (const struct sr_audit_entry *entry)
{
  g_autoptr (GDateTime) when = g_date_time_new_from_unix_utc (entry->when_ms / 1000);
  g_autofree char *time = when != NULL ? g_date_time_format (when, "%Y-%m-%dT%H:%M:%SZ") : NULL;

  printf ("%s %s", time != NULL ? time : "-", sr_audit_type_to_string (entry->type));
  if (entry->revision > 0)
    printf (" revision %" G_GINT64_FORMAT, entry->revision);
  printf (" by %s: %s\n", entry->actor->str, entry->subject->str);
  print_lines_ ("  - ", entry->before->str);
  print_lines_ ("  + ", entry->after->str);
}

static void
print_lines_ (const char *prefix, const char *text)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);

  for (size_t i = 0; lines[i] != NULL; i++)
    if (*lines[i] != '\0')
      printf ("%s%s\n", prefix, lines[i]);
}

static void
print_json_ (const struct sr_audit_entry *entry)
{
  json_t *json = sr_audit_entry_encode (entry);
  char *text = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;

  if (text != NULL)
    puts (text);
  free (text);
  json_decref (json);
}

static void
entry_free_ (void *data)
{
  sr_audit_entry_delete (data);
}
