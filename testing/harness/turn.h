/* One run at a time of a test program, on the whole machine: its ports are fixed. */
#pragma once

#include <stdint.h>

int harness_take_turn (unsigned port, int64_t limit_ms);
void harness_end_turn (int turn);
