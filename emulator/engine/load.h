/* Load as the engine stand-in reports it: as it was LAG_US ago. */
#pragma once

#include <stdint.h>

struct load
{
  int running;
  int waiting;
};

struct load_history;

struct load_history *load_history_new (int64_t lag_us);
void load_history_add (struct load_history *history, struct load load, int64_t now_us);
struct load load_history_read (struct load_history *history, int64_t now_us);
