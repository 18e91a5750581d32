#include "gateway/link-load.h"

#include <stdlib.h>
#include <string.h>

/* Requests are refused with a probability that grows from 0 at the first of these shares of the
 * link in use to 1 at the second; running requests need the rest. */
static const double REFUSE_FROM_SHARE = 0.85;
static const double REFUSE_ALL_SHARE = 0.95;
/* Above OVERLOADED_SHARE the instance reports not ready, so that the balancer sends callers to
 * peers before any has to be refused; below RECOVERED_SHARE it reports ready again. The gap is wide
 * because all those callers come back at once. */
static const double OVERLOADED_SHARE = 0.7;
static const double RECOVERED_SHARE = 0.5;
/* Above this share connected callers are sent to peers as well: responses close their connections.
 */
static const double SHED_SHARE = 0.75;

/* A late handshake can be due to the instance's own link only above this share. */
static const double BUSY_SHARE = 0.3;

enum
{
  US_PER_MS = 1000,
  STEP_US
  = 100000, /* a window of GW_LINK_STEPS, one second, averages out the burst of one long prompt */
  HANDSHAKE_MAX_AGE_US = 1000000, /* older ones do not show the present delay */
  HANDSHAKES_MIN = 3,             /* fewer may all have been with slow servers */
  OVERLOAD_MIN_US = 2000000,      /* time for the balancer to notice */
  OVERLOAD_MAX_US = 120000000,    /* upper bound of min_overload_us, which doubles */
  OVERLOAD_REPEAT_US
  = 10000000,               /* an overload so soon after the last one is due to returning callers */
  CONNECT_TIMEOUT_MS = 300, /* a hundred round trips inside a region; a lost first packet is sent
                               again only after a second, and another server responds sooner */
  CONNECT_CONGESTED_TIMEOUT_MS = 900, /* while the instance's link delays all handshakes alike; less
                                         than the second after which a lost packet is sent again */
  CONGESTED_DELAY_MS = 25 /* several round trips between data centres: no healthy server needs it */
};

static double share_with_unread_ (const struct gw_link_load *load);
static unsigned
recent_handshakes_ (const struct gw_link_load *load, int64_t *took_us, int64_t now_us);
static int compare_ (const void *left, const void *right);

/* Starts with an idle link of MEGABITS_PER_S in each direction; 0: not known, never full. */
void
gw_link_load_init (struct gw_link_load *load, double megabits_per_s)
{
  memset (load, 0, sizeof *load);
  load->bytes_per_s = megabits_per_s * 1e6 / 8;
}

/* Notes the traffic: TOTAL bytes have passed since the start of the process. */
void
gw_link_load_note_traffic (struct gw_link_load *load,
                           const struct net_traffic *total,
                           int64_t now_us)
{
  int64_t step = now_us / STEP_US;
  struct net_traffic *now;

  if (step - load->step >= GW_LINK_STEPS)
    {
      memset (load->steps, 0, sizeof load->steps);
      memset (load->unread, 0, sizeof load->unread);
    }
  else
    for (int64_t at = load->step + 1; at <= step; at++)
      {
        load->steps[at % GW_LINK_STEPS] = (struct net_traffic){ 0 };
        load->unread[at % GW_LINK_STEPS] = 0;
      }
  load->step = step;
  now = &load->steps[step % GW_LINK_STEPS];
  now->received += total->received - load->total.received;
  now->sent += total->sent - load->total.sent;
  load->total = *total;
}

/* Returns the share of the link used in the last second, in the busier direction; 0 when its
 * capacity is not known. */
double
gw_link_load_share (const struct gw_link_load *load)
{
  struct net_traffic sum = { 0 };

  for (unsigned i = 0; i < GW_LINK_STEPS; i++)
    {
      sum.received += load->steps[i].received;
      sum.sent += load->steps[i].sent;
    }
  return load->bytes_per_s > 0 ? (double)MAX (sum.received, sum.sent)
                                     / (load->bytes_per_s * GW_LINK_STEPS * STEP_US / 1000000)
                               : 0;
}

/* Updates and returns whether the link is overloaded, so that new connections are better made to
 * peers. It stays overloaded until the share has fallen to RECOVERED_SHARE and min_overload_us have
 * passed, a time that doubles whenever returning callers have overloaded it again at once. */
bool
gw_link_load_is_overloaded (struct gw_link_load *load, int64_t now_us)
{
  double share = share_with_unread_ (load);

  if (!load->overloaded && (share > OVERLOADED_SHARE || gw_link_load_is_congested (load, now_us)))
    {
      bool is_repeated
          = load->min_overload_us > 0 && now_us - load->overloaded_us < OVERLOAD_REPEAT_US;

      load->min_overload_us = is_repeated
                                  ? MIN (load->min_overload_us * 2, (int64_t)OVERLOAD_MAX_US)
                                  : OVERLOAD_MIN_US;
      load->overloaded = true;
      load->overloaded_us = now_us;
    }
  else if (load->overloaded && share < RECOVERED_SHARE
           && now_us - load->overloaded_us >= load->min_overload_us)
    {
      load->overloaded = false;
      load->overloaded_us = now_us;
    }
  return load->overloaded;
}

/* Returns whether responses should close the connections of callers, so that these reconnect to
 * peers. */
bool
gw_link_load_sheds_callers (const struct gw_link_load *load)
{
  return load->overloaded && share_with_unread_ (load) > SHED_SHARE;
}

/* Notes unread BYTES of a refused request: they are on their way and take up the link as well. */
void
gw_link_load_note_unread (struct gw_link_load *load, uint64_t bytes, int64_t now_us)
{
  gw_link_load_note_traffic (load, &load->total, now_us);
  load->unread[load->step % GW_LINK_STEPS] += bytes;
}

/* Notes a handshake with a backend server that was COMPLETED, or else given up, after TOOK_US. */
void
gw_link_load_note_handshake (struct gw_link_load *load,
                             int64_t took_us,
                             bool completed,
                             int64_t now_us)
{
  load->handshakes[load->n_handshakes++ % GW_LINK_HANDSHAKES]
      = (struct gw_link_handshake){ .ended_us = now_us, .took_us = took_us };
  if (completed && (load->shortest_handshake_us == 0 || took_us < load->shortest_handshake_us))
    load->shortest_handshake_us = took_us;
}

/* Returns the delay that the link adds to a round trip: the median of the last second's handshakes
 * less the shortest one ever. By the median, a few slow servers do not count. Returns 0 while there
 * are fewer than HANDSHAKES_MIN. */
int64_t
gw_link_load_delay_ms (const struct gw_link_load *load, int64_t now_us)
{
  int64_t took_us[GW_LINK_HANDSHAKES];
  unsigned n_took = recent_handshakes_ (load, took_us, now_us);

  if (n_took < HANDSHAKES_MIN)
    return 0;
  qsort (took_us, n_took, sizeof took_us[0], compare_);
  return MAX (took_us[n_took / 2] - load->shortest_handshake_us, 0) / US_PER_MS;
}

/* Returns whether the instance's link delays handshakes, so that late ones are no fault of backend
 * servers. An overloaded link counts as congested while there are too few handshakes to tell. */
bool
gw_link_load_is_congested (const struct gw_link_load *load, int64_t now_us)
{
  int64_t took_us[GW_LINK_HANDSHAKES];
  double share = share_with_unread_ (load);

  if (share > OVERLOADED_SHARE && recent_handshakes_ (load, took_us, now_us) < HANDSHAKES_MIN)
    return true;
  return share > BUSY_SHARE && gw_link_load_delay_ms (load, now_us) > CONGESTED_DELAY_MS;
}

/* Judges a handshake that is not complete after WAITED_MS; 0 for a new one. With GW_LINK_WAIT, sets
 * WAIT_MS to the time after which to call again. On a congested link the time-out is longer, as
 * another connection would wait behind the same bytes. */
enum gw_link_verdict
gw_link_load_judge_handshake (struct gw_link_load *load,
                              int64_t waited_ms,
                              unsigned *wait_ms,
                              int64_t now_us)
{
  if (waited_ms < CONNECT_TIMEOUT_MS)
    {
      *wait_ms = (unsigned)(CONNECT_TIMEOUT_MS - waited_ms);
      return GW_LINK_WAIT;
    }
  gw_link_load_note_handshake (load, waited_ms * US_PER_MS, false, now_us);
  if (!gw_link_load_is_congested (load, now_us))
    return GW_LINK_SERVER_FAULT;
  if (waited_ms >= CONNECT_CONGESTED_TIMEOUT_MS)
    return GW_LINK_OWN_FAULT;
  *wait_ms = (unsigned)(CONNECT_CONGESTED_TIMEOUT_MS - waited_ms);
  return GW_LINK_WAIT;
}

/* Returns whether to refuse the next request, by chance, so that a peer serves it. */
bool
gw_link_load_refuses (const struct gw_link_load *load, GRand *random)
{
  double share = gw_link_load_share (load);

  return share > REFUSE_FROM_SHARE
         && g_rand_double (random)
                < (share - REFUSE_FROM_SHARE) / (REFUSE_ALL_SHARE - REFUSE_FROM_SHARE);
}

/* Like gw_link_load_share, with the unread bytes of refused requests. They count for sending
 * callers elsewhere, but not for refusing more requests, which would only add to them. */
static double
share_with_unread_ (const struct gw_link_load *load)
{
  uint64_t unread = 0;

  for (unsigned i = 0; i < GW_LINK_STEPS; i++)
    unread += load->unread[i];
  return gw_link_load_share (load)
         + (load->bytes_per_s > 0
                ? (double)unread / (load->bytes_per_s * GW_LINK_STEPS * STEP_US / 1000000)
                : 0);
}

/* Fills TOOK_US, of GW_LINK_HANDSHAKES elements, with the handshakes of the last second. Returns
 * how many there are. */
static unsigned
recent_handshakes_ (const struct gw_link_load *load, int64_t *took_us, int64_t now_us)
{
  unsigned n_took = 0;

  for (unsigned i = 0; i < MIN (load->n_handshakes, (unsigned)GW_LINK_HANDSHAKES); i++)
    if (now_us - load->handshakes[i].ended_us <= HANDSHAKE_MAX_AGE_US)
      took_us[n_took++] = load->handshakes[i].took_us;
  return n_took;
}

static int
compare_ (const void *left, const void *right)
{
  int64_t a = *(const int64_t *)left;
  int64_t b = *(const int64_t *)right;

  return (a > b) - (a < b);
}
