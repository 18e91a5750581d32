#include "cli/token-account.h"

#include "cli/log-line.h"

#include <jansson.h>
#include <string.h>

struct team_
{
  char *name;
  struct token_account_row row;
  char *record_time; /* of the latest record added, as written in the log; NULL: none */
};

/* A request; retries with the same id are one request. */
struct request_
{
  struct team_ *team;
  int64_t tokens; /* requested when last refused for lack of tokens; 0: the last refusal had
                   * another reason, or there was none */
  bool answered;
};

struct token_account
{
  GHashTable *teams;    /* name: struct team_ */
  GHashTable *requests; /* id: struct request_ */
};

static const char *const token_shortage_reasons_[] = { "budget_exhausted", "budget_out_of_reach" };

static void team_free_ (void *data);
static struct team_ *get_team_ (struct token_account *account, const json_t *line);
static struct request_ *get_request_ (struct token_account *account, const json_t *line);
static void add_record_ (struct token_account *account, const json_t *line);
static void add_request_end_ (struct token_account *account, const json_t *line);
static void add_refusal_ (struct token_account *account, const json_t *line);
static int64_t number_ (const json_t *line, const char *key);
static bool is_token_shortage_ (const char *reason);
static int compare_names_ (const void *left, const void *right);
static int compare_tokens_ (const void *left, const void *right);

/* Creates an empty account, to be freed with token_account_delete. */
struct token_account *
token_account_new (void)
{
  struct token_account *account = g_new0 (struct token_account, 1);

  account->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, team_free_);
  account->requests = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return account;
}

/* Frees ACCOUNT. NULL is allowed. */
void
token_account_delete (struct token_account *account)
{
  if (account == NULL)
    return;
  g_hash_table_unref (account->requests);
  g_hash_table_unref (account->teams);
  g_free (account);
}

/* Adds a LINE of a log; text before its JSON object is skipped. Lines of several instances may be
 * added in any order. Returns false when LINE is not an event. */
bool
token_account_add (struct token_account *account, const char *line)
{
  json_t *root = log_line_parse (line);
  const char *event = log_line_text (root, "event");

  if (root == NULL)
    return false;
  if (strcmp (event, "allotment_written") == 0)
    add_record_ (account, root);
  else if (strcmp (event, "request_ended") == 0)
    add_request_end_ (account, root);
  else if (strcmp (event, "request_refused") == 0)
    add_refusal_ (account, root);
  json_decref (root);
  return true;
}

/* Calls CALLBACK for each team with an "allotment_written" line, in the order of names. The row is
 * valid only during the call. */
void
token_account_for_each_team (struct token_account *account,
                             token_account_callback callback,
                             void *data)
{
  g_autoptr (GPtrArray) teams = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, account->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct team_ *)value)->record_time != NULL)
      g_ptr_array_add (teams, value);
  g_ptr_array_sort (teams, compare_names_);
  for (unsigned i = 0; i < teams->len; i++)
    {
      struct team_ *team = teams->pdata[i];
      struct token_account_row row = team->row;
      g_autoptr (GArray) refused_sizes = g_array_new (FALSE, FALSE, sizeof (int64_t));
      int64_t remaining;

      g_hash_table_iter_init (&iter, account->requests);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const struct request_ *request = value;

          if (request->team != team || request->answered || request->tokens == 0)
            continue;
          row.refused++;
          row.refused_tokens += request->tokens;
          g_array_append_val (refused_sizes, request->tokens);
        }
      row.team = team->name;
      row.unspent = MAX (row.prepaid - row.answered - row.unfinished - row.written_off, 0);
      remaining = row.unspent + row.written_off;
      g_array_sort (refused_sizes, compare_tokens_);
      for (unsigned k = 0;
           k < refused_sizes->len && g_array_index (refused_sizes, int64_t, k) <= remaining; k++)
        {
          remaining -= g_array_index (refused_sizes, int64_t, k);
          row.servable++;
        }
      callback (&row, data);
    }
}

static void
team_free_ (void *data)
{
  struct team_ *team = data;

  g_free (team->name);
  g_free (team->record_time);
  g_free (team);
}

/* Returns the team named in LINE, created when new; NULL when LINE names none. */
static struct team_ *
get_team_ (struct token_account *account, const json_t *line)
{
  const char *name = log_line_text (line, "team");
  struct team_ *team;

  if (name == NULL || name[0] == '\0')
    return NULL;
  team = g_hash_table_lookup (account->teams, name);
  if (team == NULL)
    {
      team = g_new0 (struct team_, 1);
      team->name = g_strdup (name);
      g_hash_table_insert (account->teams, team->name, team);
    }
  return team;
}

/* Returns the request named in LINE, created when new; NULL when LINE names no request or team. */
static struct request_ *
get_request_ (struct token_account *account, const json_t *line)
{
  const char *id = log_line_text (line, "request");
  struct team_ *team = get_team_ (account, line);
  struct request_ *request;

  if (id == NULL || team == NULL)
    return NULL;
  request = g_hash_table_lookup (account->requests, id);
  if (request == NULL)
    {
      request = g_new0 (struct request_, 1);
      request->team = team;
      g_hash_table_insert (account->requests, g_strdup (id), request);
    }
  return request;
}

static void
add_record_ (struct token_account *account, const json_t *line)
{
  struct team_ *team = get_team_ (account, line);
  const char *time = log_line_text (line, "time");

  if (team == NULL || time == NULL
      || (team->record_time != NULL && strcmp (time, team->record_time) < 0))
    return;
  g_free (team->record_time);
  team->record_time = g_strdup (time);
  team->row.prepaid = number_ (line, "prepaid");
  team->row.written_off = number_ (line, "written_off");
}

static void
add_request_end_ (struct token_account *account, const json_t *line)
{
  struct request_ *request = get_request_ (account, line);
  const char *outcome = log_line_text (line, "outcome");
  bool is_answered
      = outcome != NULL && strcmp (outcome, "answered") == 0 && number_ (line, "status") < 400;

  if (request == NULL)
    return;
  if (is_answered)
    request->team->row.answered += number_ (line, "used");
  else
    request->team->row.unfinished += number_ (line, "used");
  request->answered = request->answered || is_answered;
}

static void
add_refusal_ (struct token_account *account, const json_t *line)
{
  struct request_ *request = get_request_ (account, line);

  if (request != NULL)
    request->tokens
        = is_token_shortage_ (log_line_text (line, "reason")) ? number_ (line, "tokens") : 0;
}

static int64_t
number_ (const json_t *line, const char *key)
{
  return json_integer_value (json_object_get (line, key));
}

static bool
is_token_shortage_ (const char *reason)
{
  for (size_t i = 0; reason != NULL && i < G_N_ELEMENTS (token_shortage_reasons_); i++)
    if (strcmp (reason, token_shortage_reasons_[i]) == 0)
      return true;
  return false;
}

static int
compare_names_ (const void *left, const void *right)
{
  return strcmp ((*(struct team_ *const *)left)->name, (*(struct team_ *const *)right)->name);
}

static int
compare_tokens_ (const void *left, const void *right)
{
  int64_t l = *(const int64_t *)left;
  int64_t r = *(const int64_t *)right;

  return (l > r) - (l < r);
}
