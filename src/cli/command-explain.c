#include "cli/cli.h"
#include "cli/failure-report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct totals
{
  GHashTable *counts; /* first word of the cause: how many (GINT) */
  const char *wanted; /* a request's id; NULL: all */
  unsigned explained;
};

static int run_ (const char *path, struct totals *totals);
static bool take_line_ (void *data, const char *line);
static void print_failure_ (const struct failure *failure, void *data);
static void print_counts_ (const struct totals *totals);

/* Runs "explain": reads a log and tells the cause of each failed request, or of one. */
int
cli_command_explain (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *request = arg_str0 (NULL, "request", "ID", "only this one, with all its lines");
  struct arg_file *file = arg_file1 (NULL, NULL, "LOG", "lines of one or more gateways");
  struct arg_end *end = arg_end (10);
  void *table[] = { help, request, file, end };
  struct totals totals = { 0 };
  int code = cli_parse (argc, argv, table, help, end,
                        "Tells the cause of each failed request of a log; exits with 1 when the "
                        "lines of one do not tell it.");

  if (code != CLI_GO_ON)
    goto out;
  totals.wanted = request->count > 0 ? request->sval[0] : NULL;
  totals.counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  code = run_ (file->filename[0], &totals);
  g_hash_table_unref (totals.counts);

out:
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static int
run_ (const char *path, struct totals *totals)
{
  struct failure_report *report = failure_report_new ();
  unsigned failed;
  int code = CLI_EXIT_USAGE;

  if (!cli_each_log_line ("explain", path, take_line_, report))
    goto out;
  failed = failure_report_each (report, print_failure_, totals);
  if (totals->wanted == NULL)
    {
      print_counts_ (totals);
      printf ("%u of %u failed requests are explained by their lines\n", totals->explained, failed);
    }
  code = totals->wanted != NULL || totals->explained == failed ? CLI_EXIT_OK : CLI_EXIT_REFUSED;

out:
  failure_report_delete (report);
  return code;
}

static bool
take_line_ (void *data, const char *line)
{
  return failure_report_add (data, line);
}

static void
print_failure_ (const struct failure *failure, void *data)
{
  struct totals *totals = data;
  const char *cause = failure->cause != NULL ? failure->cause : "not explained";
  char *kind;

  if (totals->wanted != NULL && strcmp (totals->wanted, failure->request) != 0)
    return;
  printf ("%s at %s: %s\n", failure->request, failure->instance, cause);
  for (unsigned i = 0; totals->wanted != NULL && i < failure->lines->len; i++)
    {
      char *text = json_dumps (failure->lines->pdata[i], JSON_COMPACT | JSON_REAL_PRECISION (3));

      printf ("  %s\n", text);
      free (text);
    }
  totals->explained += failure->cause != NULL;
  kind = g_strndup (cause, strcspn (cause, ":"));
  g_hash_table_replace (
      totals->counts, kind,
      GUINT_TO_POINTER (GPOINTER_TO_UINT (g_hash_table_lookup (totals->counts, kind)) + 1));
}

static void
print_counts_ (const struct totals *totals)
{
  GHashTableIter iter;
  void *kind;
  void *count;

  g_hash_table_iter_init (&iter, totals->counts);
  while (g_hash_table_iter_next (&iter, &kind, &count))
    printf ("%8u %s\n", GPOINTER_TO_UINT (count), (const char *)kind);
}
