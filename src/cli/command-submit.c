#include "cli/cli.h"
#include "config/store.h"
#include "platform/platform.h"

#include <stdio.h>
#include <string.h>
#include <sys/random.h>

enum
{
  US_PER_MS = 1000,
  WHO_MAX_BYTES = 64,
  ID_RADIX = 16
};

/* The argtable2 entries of the command; also passed as an array of pointers, so it holds nothing
 * else. */
struct arguments_
{
  struct arg_lit *help;
  struct arg_file *file;
  struct arg_str *platform;
  struct arg_int *base;
  struct arg_str *who;
  struct arg_str *id;
  struct arg_end *end;
};

static bool fill_submission_ (const struct arguments_ *arguments, struct sr_submission *submission);
static int run_ (struct sr_platform *platform, const struct sr_submission *submission);
static int report_ (const struct sr_submission *submission, const struct sr_submit_result *result);

/* Runs "submit": checks a configuration and puts it in force on the platform. */
int
cli_command_submit (int argc, char **argv)
{
  struct arguments_ arguments = {
    .help = arg_lit0 (NULL, "help", "print this help"),
    .file = arg_file1 (NULL, NULL, "FILE", "the configuration"),
    .platform = arg_str1 (NULL, "platform", "IP:PORT", "the platform"),
    .base = arg_int0 (NULL, "base", "REVISION", "revision that it replaces, 0 for none"),
    .who = arg_str0 (NULL, "who", "NAME", "the operator"),
    .id = arg_str0 (NULL, "id", "HEX", "of an earlier submission whose result is unknown"),
    .end = arg_end (10),
  };
  void **table = (void **)&arguments;
  struct sr_submission submission = { 0 };
  struct sr_platform *platform = NULL;
  g_autofree char *text = NULL;
  int code
      = cli_parse (argc, argv, table, arguments.help, arguments.end,
                   "Puts a configuration in force. Without --base it replaces the one in force "
                   "unless that moves meanwhile.");

  if (code != CLI_CONTINUE)
    goto out;
  code = CLI_EXIT_USAGE;
  platform = cli_open_platform (argv[0], arguments.platform->sval[0]);
  if (platform == NULL || !fill_submission_ (&arguments, &submission))
    goto out;
  code = CLI_EXIT_REFUSED;
  if (!cli_read_file (submission.file_name, &text, &submission.length))
    goto out;
  submission.text = text;
  code = run_ (platform, &submission);

out:
  sr_platform_unref (platform);
  arg_freetable (table, sizeof (arguments) / sizeof (void *));
  return code;
}

/* Fills in SUBMISSION except for the text and its length. Returns false after printing the error on
 * stderr. */
static bool
fill_submission_ (const struct arguments_ *arguments, struct sr_submission *submission)
{
  const char *who = arguments->who->count > 0 ? arguments->who->sval[0] : g_get_user_name ();
  guint64 id = 0;

  if (!g_utf8_validate (who, -1, NULL) || strlen (who) > WHO_MAX_BYTES)
    {
      fprintf (stderr, "submit: --who is not UTF-8 or longer than %d bytes\n", WHO_MAX_BYTES);
      return false;
    }
  if (arguments->id->count > 0
      && !g_ascii_string_to_unsigned (arguments->id->sval[0], ID_RADIX, 1, G_MAXUINT64, &id, NULL))
    {
      fprintf (stderr, "submit: --id is not a number of 1 to 16 hex digits other than 0\n");
      return false;
    }
  if (arguments->base->count > 0 && arguments->base->ival[0] < 0)
    {
      fprintf (stderr, "submit: --base is below 0\n");
      return false;
    }
  while (id == 0)
    if (getrandom (&id, sizeof (id), 0) != sizeof (id))
      id = 0;
  submission->id = id;
  submission->who = who;
  submission->file_name = arguments->file->filename[0];
  submission->base_revision
      = arguments->base->count > 0 ? arguments->base->ival[0] : SR_SUBMIT_BASE_CURRENT;
  submission->when_ms = g_get_real_time () / US_PER_MS;
  submission->deadline_us = cli_deadline_us ();
  return true;
}

static int
run_ (struct sr_platform *platform, const struct sr_submission *submission)
{
  struct sr_findings *findings = sr_findings_new ();
  struct sr_submit_result result;
  int code;

  sr_config_submit (platform, submission, &result, findings);
  sr_findings_print (findings, stdout);
  code = report_ (submission, &result);
  sr_submit_result_clear (&result);
  sr_findings_delete (findings);
  return code;
}

static int
report_ (const struct sr_submission *submission, const struct sr_submit_result *result)
{
  switch (result->verdict)
    {
    case SR_SUBMIT_ACCEPTED:
      printf ("accepted: revision %" G_GINT64_FORMAT "\n", result->revision);
      return CLI_EXIT_OK;
    case SR_SUBMIT_UNCHANGED:
      printf ("unchanged: revision %" G_GINT64_FORMAT " is the same\n", result->revision);
      return CLI_EXIT_OK;
    case SR_SUBMIT_CONFLICT:
      printf ("conflict: revision %" G_GINT64_FORMAT " is in force\n%s", result->revision,
              result->message->str);
      return CLI_EXIT_REFUSED;
    case SR_SUBMIT_FAULTY:
      printf ("refused: nothing was changed\n");
      return CLI_EXIT_REFUSED;
    case SR_SUBMIT_UNREACHABLE:
      printf ("not accepted: the platform does not answer\n");
      return CLI_EXIT_REFUSED;
    case SR_SUBMIT_UNKNOWN:
      printf (
          "unknown: the platform's answer was lost; submit again with --id %016" G_GINT64_MODIFIER
          "x\n",
          submission->id);
      return CLI_EXIT_REFUSED;
    }
  return CLI_EXIT_REFUSED;
}
