/* An in-memory platform for unit tests of other modules, with versions, conditional updates and
 * injected faults. */
#pragma once

#include "platform/platform.h"

struct sr_platform *sr_platform_memory_new (void);
void sr_platform_memory_set_unreachable (struct sr_platform *platform, bool unreachable);
void sr_platform_memory_lose_responses (struct sr_platform *platform, unsigned count);
unsigned sr_platform_memory_writes (struct sr_platform *platform);
