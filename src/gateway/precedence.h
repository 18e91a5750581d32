/* Precedence: which requests to a service are refused early while its servers can't serve all of
 * them. Requests of a team beyond its usual volume are refused first, then the least urgent ones.
 * Each instance decides alone, by the responses that it gets. No thread, socket or clock. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* State for one service at one instance. */
struct gw_precedence;

struct gw_precedence_request
{
  unsigned rank;      /* 0: served first */
  uint64_t team_hash; /* 0: no team */
  double cost;        /* of the request, in any unit that is the same for all of them; above 0 */
};

/* How a request that was admitted goes: noted once for each, with its first byte, or before that as
 * soon as it is late. */
struct gw_precedence_result
{
  unsigned rank;         /* as in its gw_precedence_request */
  int64_t admitted_us;   /* when gw_precedence_admits returned true for it */
  double objective_part; /* time until the first byte or until now, relative to the objective */
  bool server_has_queue; /* the server had requests waiting */
};

struct gw_precedence *gw_precedence_new (int64_t now_us);
void gw_precedence_delete (struct gw_precedence *precedence);
bool gw_precedence_admits (struct gw_precedence *precedence,
                           const struct gw_precedence_request *request,
                           GRand *random,
                           int64_t now_us);
bool gw_precedence_outranks_others (const struct gw_precedence *precedence, unsigned rank);
void gw_precedence_note_result (struct gw_precedence *precedence,
                                const struct gw_precedence_result *result,
                                int64_t now_us);
void gw_precedence_note_served (struct gw_precedence *precedence, double cost, int64_t now_us);
int64_t gw_precedence_retry_ms (const struct gw_precedence *precedence);
double gw_precedence_admitted_share (const struct gw_precedence *precedence);
