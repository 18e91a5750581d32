#include "cli/cli.h"
#include "cli/failure-report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct totals_
{
  GHashTable *counts;     /* text of the cause up to its first colon: number of requests (GUINT) */
  const char *request_id; /* print only this request; NULL: all */
  unsigned explained;     /* failed requests whose cause is known */
};

static int run_ (const char *path, struct totals_ *totals);
static bool add_line_ (void *data, const char *line);
static void print_failure_ (const struct failure *failure, void *data);
static void print_counts_ (const struct totals_ *totals);

/* Runs "explain": prints, from a log, the cause of each failed request, or of one. */
int
cli_command_explain (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *request = arg_str0 (NULL, "request", "ID", "only this one, with all its lines");
  struct arg_file *file = arg_file1 (NULL, NULL, "LOG", "lines of one or more gateways");
  struct arg_end *end = arg_end (10);
  void *table[] = { help, request, file, end };
  struct totals_ totals = { 0 };
  int code = cli_parse (argc, argv, table, help, end,
                        "Tells the cause of each failed request of a log; exits with 1 when the "
                        "lines of one do not tell it.");

  if (code != CLI_CONTINUE)
    goto out;
  totals.request_id = request->count > 0 ? request->sval[0] : NULL;
  totals.counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  code = run_ (file->filename[0], &totals);
  g_hash_table_unref (totals.counts);

out:
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static int
run_ (const char *path, struct totals_ *totals)
{
  struct failure_report *report = failure_report_new ();
  unsigned failed;
  int code = CLI_EXIT_USAGE;

  if (!cli_for_each_log_line ("explain", path, add_line_, report))
    goto out;
  failed = failure_report_for_each (report, print_failure_, totals);
  if (totals->request_id == NULL)
    {
      print_counts_ (totals);
      printf ("%u of %u failed requests are explained by their lines\n", totals->explained, failed);
    }
  code = totals->request_id != NULL || totals->explained == failed ? CLI_EXIT_OK : CLI_EXIT_REFUSED;

out:
  failure_report_delete (report);
  return code;
}

static bool
add_line_ (void *data, const char *line)
{
  return failure_report_add (data, line);
}

static void
print_failure_ (const struct failure *failure, void *data)
{
  struct totals_ *totals = data;
  const char *cause = failure->cause != NULL ? failure->cause : "not explained";
  char *kind;

  if (totals->request_id != NULL && strcmp (totals->request_id, failure->request) != 0)
    return;
  printf ("%s at %s: %s\n", failure->request, failure->instance, cause);
  for (unsigned i = 0; totals->request_id != NULL && i < failure->lines->len; i++)
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
print_counts_ (const struct totals_ *totals)
{
  GHashTableIter iter;
  void *kind;
  void *count;

  g_hash_table_iter_init (&iter, totals->counts);
  while (g_hash_table_iter_next (&iter, &kind, &count))
    printf ("%8u %s\n", GPOINTER_TO_UINT (count), (const char *)kind);
}
