#include "cli/token-account.h"

#include "cli/log-line.h"

#include <jansson.h>
#include <string.h>

struct team_
{
  char *name;
  struct token_account_row row;
  char *written_time; /* of the latest record seen, as the log has it */
};

/* A request, of all the times it was made. */
struct request_
{
  struct team_ *team;
  int64_t tokens; /* that its last refusal lacked; 0: it was for something else, or there is none */
  bool answered;
};

struct token_account
{
  GHashTable *teams;    /* name: struct team_ */
  GHashTable *requests; /* id: struct request_ */
};

static const char *const token_reasons_[] = { "budget_exhausted", "budget_out_of_reach" };

static void team_free_ (void *data);
static struct team_ *team_of_ (struct token_account *account, const json_t *line);
static struct request_ *request_of_ (struct token_account *account, const json_t *line);
static void take_record_ (struct token_account *account, const json_t *line);
static void take_end_ (struct token_account *account, const json_t *line);
static void take_refusal_ (struct token_account *account, const json_t *line);
static int64_t number_ (const json_t *line, const char *key);
static bool is_for_tokens_ (const char *reason);
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

/* Takes a LINE of a log in; what stands before its JSON object is passed over. Lines of several
 * instances may come in any order. Returns false when it is no line of a log. */
bool
token_account_add (struct token_account *account, const char *line)
{
  json_t *root = log_line_parse (line);
  const char *event = log_line_text (root, "event");

  if (root == NULL)
    return false;
  if (strcmp (event, "allotment_written") == 0)
    take_record_ (account, root);
  else if (strcmp (event, "request_ended") == 0)
    take_end_ (account, root);
  else if (strcmp (event, "request_refused") == 0)
    take_refusal_ (account, root);
  json_decref (root);
  return true;
}

/* Calls CALLBACK for each team of which a record was seen, by name. */
void
token_account_each (struct token_account *account, token_account_callback callback, void *data)
{
  g_autoptr (GPtrArray) teams = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, account->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct team_ *)value)->written_time != NULL)
      g_ptr_array_add (teams, value);
  g_ptr_array_sort (teams, compare_names_);
  for (unsigned i = 0; i < teams->len; i++)
    {
      struct team_ *team = teams->pdata[i];
      struct token_account_row row = team->row;
      g_autoptr (GArray) wanted = g_array_new (FALSE, FALSE, sizeof (int64_t));
      int64_t left;

      g_hash_table_iter_init (&iter, account->requests);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const struct request_ *request = value;

          if (request->team != team || request->answered || request->tokens == 0)
            continue;
          row.refused++;
          row.refused_tokens += request->tokens;
          g_array_append_val (wanted, request->tokens);
        }
      row.team = team->name;
      row.unspent = MAX (row.prepaid - row.answered - row.unfinished - row.written_off, 0);
      left = row.unspent + row.written_off;
      g_array_sort (wanted, compare_tokens_);
      for (unsigned k = 0; k < wanted->len && g_array_index (wanted, int64_t, k) <= left; k++)
        {
          left -= g_array_index (wanted, int64_t, k);
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
  g_free (team->written_time);
  g_free (team);
}

/* Returns the team that LINE names, or NULL. */
static struct team_ *
team_of_ (struct token_account *account, const json_t *line)
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

/* Returns the request of a team that LINE names, or NULL. */
static struct request_ *
request_of_ (struct token_account *account, const json_t *line)
{
  const char *id = log_line_text (line, "request");
  struct team_ *team = team_of_ (account, line);
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
take_record_ (struct token_account *account, const json_t *line)
{
  struct team_ *team = team_of_ (account, line);
  const char *time = log_line_text (line, "time");

  if (team == NULL || time == NULL
      || (team->written_time != NULL && strcmp (time, team->written_time) < 0))
    return;
  g_free (team->written_time);
  team->written_time = g_strdup (time);
  team->row.prepaid = number_ (line, "prepaid");
  team->row.written_off = number_ (line, "written_off");
}

static void
take_end_ (struct token_account *account, const json_t *line)
{
  struct request_ *request = request_of_ (account, line);
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
take_refusal_ (struct token_account *account, const json_t *line)
{
  struct request_ *request = request_of_ (account, line);

  if (request != NULL)
    request->tokens
        = is_for_tokens_ (log_line_text (line, "reason")) ? number_ (line, "tokens") : 0;
}

static int64_t
number_ (const json_t *line, const char *key)
{
  return json_integer_value (json_object_get (line, key));
}

static bool
is_for_tokens_ (const char *reason)
{
  for (size_t i = 0; reason != NULL && i < G_N_ELEMENTS (token_reasons_); i++)
    if (strcmp (reason, token_reasons_[i]) == 0)
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
