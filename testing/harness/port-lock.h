/* Machine-wide lock that allows one run of a test program at a time, because its ports are fixed.
 */
#pragma once

#include <stdint.h>

int harness_lock_ports (unsigned port, int64_t limit_ms);
void harness_unlock_ports (int lock);
