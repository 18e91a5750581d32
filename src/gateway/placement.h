/* Choice of the backend server for one request. Answers a load in which long prompts delay whatever
 * runs beside them: the expected time to the first byte decides, from the prompts that this
 * instance knows to be unread there, the parts believed cached and the load last reported. No
 * thread, socket or clock. */
#pragma once

#include "gateway/backends.h"
#include "gateway/dialect.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct gw_backend_load;

struct gw_place_query
{
  const GPtrArray *backends; /* struct gw_backend, of the service; may be NULL */
  const struct gw_service *service;
  const struct gw_prompt *prompt;
  const char *data_centre;
  double connect_ms;         /* what a new connection costs now */
  int64_t part_memory_us;    /* a cached part is believed to be there for this long; 0: 9 s */
  const GPtrArray *excluded; /* struct gw_backend that failed this request */
  int64_t answered_since_us; /* only those that have answered since then; 0: any */
  int64_t now_us;
};

enum gw_place_verdict
{
  GW_PLACE_PICKED,
  GW_PLACE_FULL,    /* all that take new work have more waiting than can be worth it */
  GW_PLACE_PAUSED,  /* all that could take it want nothing from here for a while */
  GW_PLACE_UNHEARD, /* none has answered since the time of the query */
  GW_PLACE_NONE     /* nobody takes new work */
};

struct gw_place
{
  struct gw_backend *backend;
  double expected_ms;    /* to the first byte */
  int64_t unread_tokens; /* of the prompt, believed not cached */
  int64_t queued_tokens; /* of all prompts there, this one included, believed not read yet */
  unsigned in_flight;    /* from here, before this request */
  unsigned reported;     /* requests there, as it last said */
  int64_t report_age_ms; /* -1: it has said nothing */
  int64_t paused_ms;     /* GW_PLACE_PAUSED: until the first of them takes requests again */
};

enum gw_place_end
{
  GW_PLACE_END_OK,
  GW_PLACE_END_NOT_EXECUTED, /* it vouched for that: full */
  GW_PLACE_END_MISDIRECTED,  /* another one is at its address */
  GW_PLACE_END_ERROR,        /* it answered with a failure */
  GW_PLACE_END_BROKEN,       /* no connection, cut, silent or malformed */
  GW_PLACE_END_ABANDONED     /* the caller left */
};

struct gw_backend_load *gw_backend_load_new (void);
void gw_backend_load_delete (struct gw_backend_load *load);
enum gw_place_verdict
gw_place_pick (const struct gw_place_query *query, GRand *random, struct gw_place *place);
void gw_place_begin (const struct gw_place *place,
                     const struct gw_place_query *query,
                     int64_t memory_tokens);
void gw_place_heard (struct gw_backend *backend, int64_t now_us);
void gw_place_first_byte (struct gw_backend *backend, int64_t unread_tokens, int64_t now_us);
void gw_place_report (struct gw_backend *backend, const struct gw_answer *answer, int64_t now_us);
void gw_place_finish (struct gw_backend *backend,
                      int64_t unread_tokens,
                      int64_t memory_tokens,
                      enum gw_place_end end,
                      int64_t now_us);
bool gw_place_set_replaced (struct gw_backend *backend, int64_t now_us);
void gw_place_pause (struct gw_backend *backend, int64_t pause_ms, int64_t now_us);
bool gw_place_is_paused (const struct gw_backend *backend, int64_t now_us);
bool gw_place_is_silent (const struct gw_backend *backend, int64_t now_us);
