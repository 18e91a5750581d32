/* Procedures of SR_PEER_PROGRAM_BUDGET, and conversion of holder ids to and from its messages. */
#pragma once

#include "budget/budget_xdr.h"
#include "budget/record.h"

enum sr_budget_procedure
{
  SR_BUDGET_PROCEDURE_BORROW = 1,
  SR_BUDGET_PROCEDURE_RECALL,
  SR_BUDGET_PROCEDURE_RAISE,
  SR_BUDGET_PROCEDURE_SEAL
};

sr_budget_holder_msg sr_holder_to_message (const struct sr_holder_id *id);
void sr_holder_from_message (const sr_budget_holder_msg *message, struct sr_holder_id *id);
