/* Functions shared by ledger.c, ledger-loans.c and ledger-record.c. */
#pragma once

#include "budget/ledger.h"

struct sr_source *
sr_ledger_source_new_ (struct sr_ledger *ledger, const struct sr_holder_id *id, bool own);
void sr_ledger_retire_ (struct sr_ledger *ledger, struct sr_source *source);
void sr_ledger_free_empty_ (struct sr_ledger *ledger);
void sr_ledger_count_demand_ (struct sr_ledger *ledger, int64_t tokens, int64_t now_us);
