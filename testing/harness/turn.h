/* Machine-wide lock that allows one run of a test program at a time, because its ports are fixed.
 */
#pragma once

#include <stdint.h>

int harness_take_turn (unsigned port, int64_t limit_ms);
void harness_end_turn (int lock);
