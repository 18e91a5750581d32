/* Sums up from the logs of gateways what the prepaid tokens of each team were used for, and how
 * many of the requests that were refused for lack of tokens the remaining ones could have served.
 * This is an upper bound for any policy: all remaining tokens go to the smallest requests first. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct token_account;

struct token_account_row
{
  const char *team;
  int64_t prepaid;
  int64_t answered;    /* tokens used by requests with a response below status 400 */
  int64_t unfinished;  /* tokens used by all other requests that ended */
  int64_t written_off; /* held by instances that ended without settling them */
  int64_t unspent;     /* remaining: on the record, or held at the end of the log */
  /* Requests that never got a response and whose last refusal was for lack of tokens. */
  unsigned refused;
  int64_t refused_tokens;
  unsigned servable; /* of these, with the tokens that were written off or are unspent */
};

typedef void (*token_account_callback) (const struct token_account_row *row, void *data);

struct token_account *token_account_new (void);
void token_account_delete (struct token_account *account);
bool token_account_add (struct token_account *account, const char *line);
void token_account_for_each_team (struct token_account *account,
                                  token_account_callback callback,
                                  void *data);
