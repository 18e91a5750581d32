/* The ceilings that this instance, as a witness, has acknowledged to holders: how many tokens of
 * its grant each may use. A state machine without threads, locks or clock. */
#pragma once

#include "budget/record.h"

struct sr_witness;

struct sr_witness *sr_witness_new (unsigned holders_max);
void sr_witness_delete (struct sr_witness *witness);
int64_t sr_witness_raise (struct sr_witness *witness,
                          const char *budget,
                          const struct sr_holder_id *holder,
                          int64_t ceiling,
                          bool *sealed);
int64_t
sr_witness_seal (struct sr_witness *witness, const char *budget, const struct sr_holder_id *holder);
void sr_witness_finalize (struct sr_witness *witness,
                          const char *budget,
                          const struct sr_holder_id *holder,
                          int64_t ceiling);
void sr_witness_forget (struct sr_witness *witness,
                        const char *budget,
                        const struct sr_holder_id *holder);
unsigned sr_witness_length (const struct sr_witness *witness);
