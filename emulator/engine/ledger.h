/* Tokens that the engine stand-in has consumed, by budget and by request. */
#pragma once

#include <jansson.h>
#include <stdint.h>

struct ledger;

struct ledger *ledger_new (void);
char *ledger_key (const char *request);
void ledger_add_run (struct ledger *ledger, const char *key);
void ledger_add_tokens (struct ledger *ledger, const char *budget, const char *key, int64_t tokens);
json_t *ledger_to_json (struct ledger *ledger);
