/* Where the tokens of each budget went, from the logs of gateways, and how many of the requests
 * that were refused for want of tokens the rest could have served: what more no decision could have
 * done than hand out every token, to the smallest requests first. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct token_account;

struct token_account_row
{
  const char *team;
  int64_t prepaid;
  int64_t answered;    /* tokens of requests that were answered */
  int64_t unfinished;  /* of those that were run and not, as their callers had left */
  int64_t written_off; /* of holders that ended; nobody can vouch for them */
  int64_t unspent;     /* the rest: on the record, or held at the end */
  /* Requests that were never answered and whose last refusal was for want of tokens. */
  unsigned refused;
  int64_t refused_tokens;
  unsigned servable; /* of these, by what was written off or is unspent */
};

typedef void (*token_account_callback) (const struct token_account_row *row, void *data);

struct token_account *token_account_new (void);
void token_account_delete (struct token_account *account);
bool token_account_add (struct token_account *account, const char *line);
void token_account_each (struct token_account *account, token_account_callback row, void *data);
