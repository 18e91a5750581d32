/* Load of the instance's own network link: the share in use and the delay it causes. The balancer
 * may spread callers unevenly. On an instance whose link is full, handshakes with backend servers
 * wait behind the bodies of requests, so that a late one is no fault of the server, and a caller
 * that is refused at once is served sooner by a peer. No thread, socket or clock. */
#pragma once

#include "net/http-conn.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  GW_LINK_STEPS = 10,    /* steps of the window over which the traffic is averaged */
  GW_LINK_HANDSHAKES = 9 /* recent handshakes, whose median is used */
};

/* What follows from a late handshake. */
enum gw_link_verdict
{
  GW_LINK_WAIT,         /* undecided: wait longer */
  GW_LINK_SERVER_FAULT, /* the backend server does not respond */
  GW_LINK_OWN_FAULT     /* the instance's link is full; the backend server may be healthy */
};

/* A handshake with a backend server, completed or given up. */
struct gw_link_handshake
{
  int64_t ended_us;
  int64_t took_us;
};

struct gw_link_load
{
  double bytes_per_s;       /* capacity of each direction; 0: not known, never full */
  int64_t step;             /* number of the current one */
  struct net_traffic total; /* bytes since the start of the process, as last noted */
  struct net_traffic steps[GW_LINK_STEPS];
  uint64_t unread[GW_LINK_STEPS]; /* unread bytes of refused requests, received all the same */
  bool overloaded;
  int64_t overloaded_us;   /* when it became overloaded, or when that ended */
  int64_t min_overload_us; /* callers are sent to peers for this long at least; 0: never yet */
  struct gw_link_handshake handshakes[GW_LINK_HANDSHAKES];
  unsigned n_handshakes;         /* so far; handshakes[] is a ring */
  int64_t shortest_handshake_us; /* of the completed ones; 0: none yet */
};

void gw_link_load_init (struct gw_link_load *load, double megabits_per_s);
void gw_link_load_note_traffic (struct gw_link_load *load,
                                const struct net_traffic *total,
                                int64_t now_us);
double gw_link_load_share (const struct gw_link_load *load);
bool gw_link_load_is_overloaded (struct gw_link_load *load, int64_t now_us);
bool gw_link_load_sheds_callers (const struct gw_link_load *load);
void gw_link_load_note_unread (struct gw_link_load *load, uint64_t bytes, int64_t now_us);
void gw_link_load_note_handshake (struct gw_link_load *load,
                                  int64_t took_us,
                                  bool completed,
                                  int64_t now_us);
int64_t gw_link_load_delay_ms (const struct gw_link_load *load, int64_t now_us);
bool gw_link_load_is_congested (const struct gw_link_load *load, int64_t now_us);
enum gw_link_verdict gw_link_load_judge_handshake (struct gw_link_load *load,
                                                   int64_t waited_ms,
                                                   unsigned *wait_ms,
                                                   int64_t now_us);
bool gw_link_load_refuses (const struct gw_link_load *load, GRand *random);
