#include "gateway/link-load.h"

#include <string.h>

/* Above the first share of the link requests are refused by chance, above the second all are: what
 * runs needs the rest. */
static const double REFUSES_SOME = 0.75;
static const double REFUSES_ALL = 0.95;
/* Above the first the balancer is told to send callers elsewhere, before any has to be refused;
 * below the second it is told that they may return. What went elsewhere comes back at once. */
static const double OVERLOADED = 0.7;
static const double RETURNS = 0.5;

enum
{
  STEP_US = 100000 /* a second in all: a burst of one long prompt does not count */
};

/* Starts with an idle link of MEGABITS_PER_S in each direction; 0: not known. */
void
gw_link_load_init (struct gw_link_load *load, double megabits_per_s)
{
  memset (load, 0, sizeof *load);
  load->bytes_per_s = megabits_per_s * 1e6 / 8;
}

/* TOTAL has passed since the start. */
void
gw_link_load_note (struct gw_link_load *load, const struct net_traffic *total, int64_t now_us)
{
  int64_t step = now_us / STEP_US;
  struct net_traffic *now;

  if (step - load->step >= GW_LINK_STEPS)
    memset (load->steps, 0, sizeof load->steps);
  else
    for (int64_t at = load->step + 1; at <= step; at++)
      load->steps[at % GW_LINK_STEPS] = (struct net_traffic){ 0 };
  load->step = step;
  now = &load->steps[step % GW_LINK_STEPS];
  now->received += total->received - load->total.received;
  now->sent += total->sent - load->total.sent;
  load->total = *total;
}

/* Returns the share of the link that was taken in the last second, of the fuller direction. */
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

/* Tells whether the link is so full that new connections are better made elsewhere. Once it is, it
 * stays so until there is room for them again. */
bool
gw_link_load_is_overloaded (struct gw_link_load *load)
{
  load->overloaded = gw_link_load_share (load) > (load->overloaded ? RETURNS : OVERLOADED);
  return load->overloaded;
}

/* Tells whether the next request is better served elsewhere. */
bool
gw_link_load_refuses (const struct gw_link_load *load, GRand *random)
{
  double share = gw_link_load_share (load);

  return share > REFUSES_SOME
         && g_rand_double (random) < (share - REFUSES_SOME) / (REFUSES_ALL - REFUSES_SOME);
}
