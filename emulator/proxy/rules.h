/* Rules of the fault proxy: how traffic between two IPs is forwarded. */
#pragma once

#include "emulator/common/forward.h"

struct rules;

struct rules *rules_new (void);
bool
rules_add (struct rules *rules, const char *from, const char *to, const char *mode, int delay_ms);
void rules_clear (struct rules *rules);
struct forward_policy rules_find (const struct rules *rules, const char *from, const char *to);
