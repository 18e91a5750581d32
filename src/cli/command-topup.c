#include "cli/command-topup.h"

#include "audit/audit-top-up.h"
#include "budget/top-up.h"
#include "cli/cli.h"
#include "platform/platform.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

enum
{
  US_PER_MS = 1000
};

static bool is_name_ (const char *text, size_t max_bytes);
static int run_ (const struct sr_top_up_request *request, const char *address);
static int report_ (const struct sr_top_up_request *request, const struct sr_top_up_result *result);

/* Runs "topup BUDGET --tokens N --id ID [--who NAME] --platform IP:PORT" (ARGV[0] is "topup").
 * Returns the exit status: 0 applied, now or by an earlier call with the same id; 1 refused,
 * not known to be applied, or missing in the audit trail; 2 usage. */
int
cli_command_topup (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *budget = arg_str1 (NULL, NULL, "BUDGET", "the budget to pay into");
  struct arg_str *tokens = arg_str1 (NULL, "tokens", "N", "tokens; negative for a correction");
  struct arg_str *id = arg_str1 (NULL, "id", "ID", "applied once, however often it is sent");
  struct arg_str *who = arg_str0 (NULL, "who", "NAME", "the operator");
  struct arg_str *platform = arg_str1 (NULL, "platform", "IP:PORT", "the platform");
  struct arg_end *end = arg_end (5);
  void *table[] = { help, budget, tokens, id, who, platform, end };
  struct sr_top_up_request request = { .time_ms = g_get_real_time () / US_PER_MS };
  gint64 count = 0;
  int status;

  status = cli_parse (argc, argv, table, help, end, "Pays tokens into a budget, or corrects it.");
  if (status != CLI_CONTINUE)
    goto out;
  status = CLI_EXIT_USAGE;
  if (!is_name_ (budget->sval[0], SR_BUDGET_NAME_MAX_BYTES - 1)
      || !is_name_ (id->sval[0], SR_TOP_UP_ID_MAX_BYTES)
      || !g_ascii_string_to_signed (tokens->sval[0], 10, G_MININT64 + 1, G_MAXINT64, &count, NULL)
      || count == 0)
    {
      fprintf (stderr, "topup: names are of [A-Za-z0-9._:-], N is a whole number other than 0\n");
      goto out;
    }
  request.budget = budget->sval[0];
  request.id = id->sval[0];
  request.who = who->count > 0 ? who->sval[0] : "";
  request.tokens = count;
  status = run_ (&request, platform->sval[0]);

out:
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}

static bool
is_name_ (const char *text, size_t max_bytes)
{
  size_t length = strlen (text);

  if (length == 0 || length > max_bytes)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (text[i]) && strchr ("._:-", text[i]) == NULL)
      return false;
  return true;
}

static int
run_ (const struct sr_top_up_request *request, const char *address)
{
  struct sr_platform *platform = cli_open_platform ("topup", address);
  struct sr_top_up_result result;
  int status;

  if (platform == NULL)
    return CLI_EXIT_USAGE;
  sr_top_up_apply (platform, request, &result);
  status = report_ (request, &result);
  if (status == CLI_EXIT_OK
      && sr_audit_write_top_ups (platform, request->budget, request->id, cli_deadline_us ())
             != SR_PLATFORM_OK)
    {
      fprintf (stderr, "topup: %s: applied, but not in the audit trail; repeat with the same id\n",
               request->id);
      status = CLI_EXIT_REFUSED;
    }
  sr_platform_unref (platform);
  return status;
}

static int
report_ (const struct sr_top_up_request *request, const struct sr_top_up_result *result)
{
  if (result->status != SR_PLATFORM_OK)
    {
      fprintf (stderr,
               "topup: %s: not known to be applied (platform: %s); repeat with the same id\n",
               request->id, sr_platform_status_to_string (result->status));
      return CLI_EXIT_REFUSED;
    }
  switch (result->verdict)
    {
    case SR_TOP_UP_CONFLICT:
      fprintf (stderr, "topup: %s was applied before with another number of tokens\n", request->id);
      return CLI_EXIT_REFUSED;
    case SR_TOP_UP_OVERFLOW:
      fprintf (stderr, "topup: %s holds %" G_GINT64_FORMAT " tokens: the sum is out of range\n",
               request->budget, result->prepaid);
      return CLI_EXIT_REFUSED;
    case SR_TOP_UP_APPLIED:
    case SR_TOP_UP_REPEATED:
      break;
    }
  printf ("%s: %s %s, prepaid %" G_GINT64_FORMAT " tokens, version %" G_GINT64_FORMAT "\n",
          request->budget, request->id,
          result->verdict == SR_TOP_UP_APPLIED ? "applied" : "was applied before", result->prepaid,
          result->version);
  if (result->excess > 0)
    printf (
        "%s: %" G_GINT64_FORMAT
        " tokens beyond that are spent or held by instances; what is unused of them is recalled\n",
        request->budget, result->excess);
  return CLI_EXIT_OK;
}
