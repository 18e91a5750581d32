/* Prepaid budgets: tokens reserved before a request runs and settled after it. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum sr_budget_verdict
{
  SR_BUDGET_RESERVED,
  SR_BUDGET_EXHAUSTED,  /* the budget does not hold the tokens */
  SR_BUDGET_UNREACHABLE /* neither the platform nor a peer could be asked, and nothing is held here
                         */
};

struct sr_budgets;
struct sr_reservation;

enum sr_budget_verdict
sr_budgets_reserve (struct sr_budgets *budgets,
                    const char *budget,
                    int64_t tokens,
                    int64_t deadline_us,
                    struct sr_reservation **reservation,
                    int64_t *retry_after_ms);
void
sr_budgets_settle (struct sr_budgets *budgets,
                   struct sr_reservation *reservation,
                   int64_t used_tokens);
void
sr_budgets_print_status (struct sr_budgets *budgets, GString *json);
bool
sr_budgets_hand_over (struct sr_budgets *budgets, int64_t deadline_us);
