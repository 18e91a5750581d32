/* Forwards UDP datagrams subject to the rules of the fault proxy. */
#pragma once

#include "emulator/common/forward.h"
#include "emulator/proxy/rules.h"

struct datagrams;

struct datagram_counts
{
  int64_t passed;
  int64_t dropped;
};

struct datagrams *datagrams_new (struct forwarder *forwarder, const struct rules *rules);
bool datagrams_listen (struct datagrams *datagrams, const struct forward_link *link);
bool datagrams_tick (struct datagrams *datagrams, int64_t now_us);
struct datagram_counts datagrams_counts (const struct datagrams *datagrams);
