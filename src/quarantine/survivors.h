/* The prompt parts that were answered lately, in bounded memory: a flood of new parts pushes out
 * only those that were not answered for as long as the flood takes to fill a table. No thread,
 * socket or clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct survivors;

struct survivors *survivors_new (void);
void survivors_delete (struct survivors *survivors);
void survivors_add (struct survivors *survivors, uint64_t part, int64_t now_us);
bool survivors_has (const struct survivors *survivors, uint64_t part, int64_t at_us);
