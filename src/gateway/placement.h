/* Choice of the backend server for one request, by the earliest expected first byte. Long prompts
 * delay whatever else a server runs, so the estimate covers the prompt tokens that this instance
 * has sent there and that are not prefilled yet, the prompt parts assumed cached and the load last
 * reported. No thread, socket or clock. */
#pragma once

#include "gateway/backends.h"
#include "gateway/dialect.h"
#include "gateway/evacuation.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct gw_backend_load;

/* This instance among those that pace new and returning servers. */
struct gw_placement_fleet
{
  uint64_t instance_hash; /* of its name */
  unsigned instances;     /* with this one */
};

struct gw_placement_query
{
  const GPtrArray *backends; /* struct gw_backend, of the service; may be NULL */
  const struct gw_service *service;
  const struct gw_prompt *prompt;
  const char *data_centre;
  double connect_ms;              /* estimated cost of a new connection */
  int64_t part_cache_lifetime_us; /* a prompt part is assumed cached this long after use; 0: 9 s */
  const GPtrArray *excluded;  /* struct gw_backend: servers of earlier attempts at this request */
  int64_t responded_since_us; /* only servers that have responded since then; 0: any */
  const struct evacuation *evacuation;    /* NULL: evacuations are not followed */
  const struct gw_cold_start *cold_start; /* limit for cold servers; NULL: off */
  const struct gw_placement_fleet *paced; /* new and returning servers have a pace; NULL: off */
  unsigned instances;    /* that share the memory of the servers; 0: it is not bounded */
  bool protects_streams; /* weighs the delay that the prompt causes to requests running there */
  unsigned rank;         /* urgent requests may use more of the memory */
  int64_t now_us;
};

enum gw_placement_verdict
{
  GW_PLACEMENT_PICKED,
  GW_PLACEMENT_ALL_FULL,   /* a server is set, but all candidates have overlong queues */
  GW_PLACEMENT_ALL_PAUSED, /* all candidates have asked for no requests for some time */
  GW_PLACEMENT_ALL_COLD, /* no candidate but cold ones, to which this instance may send nothing now
                          */
  GW_PLACEMENT_NO_RECENT_RESPONSE, /* no candidate has responded recently enough for the query */
  GW_PLACEMENT_ALL_EVACUATED,      /* every data centre with servers of the service is evacuated */
  GW_PLACEMENT_NO_MEMORY,          /* the memory of all candidates is in use */
  GW_PLACEMENT_NO_BACKEND          /* no server takes new requests */
};

struct gw_placement
{
  struct gw_backend *backend;
  double expected_ms;           /* until the first byte */
  int64_t uncached_tokens;      /* uncached tokens of the prompt, estimated */
  int64_t prefill_queue_tokens; /* uncached tokens of all prompts sent there and not prefilled yet,
                            this prompt included */
  unsigned in_flight;           /* requests sent by this instance, without this one */
  unsigned reported_load;       /* requests of peers there, by its last load report */
  int64_t report_age_ms;        /* -1: no load report yet */
  unsigned evacuated;           /* servers excluded because their data centre is evacuated */
  unsigned cold_withheld;       /* cold servers to which this instance may send nothing now */
  int64_t resumes_in_ms;        /* GW_PLACEMENT_ALL_PAUSED, GW_PLACEMENT_ALL_COLD: until the first
                                   candidate accepts requests again */
};

enum gw_attempt_outcome
{
  GW_ATTEMPT_OK,
  GW_ATTEMPT_NOT_EXECUTED, /* the server is full and confirms that it did not run the request */
  GW_ATTEMPT_MISDIRECTED,  /* another server responds at its address */
  GW_ATTEMPT_ERROR,        /* the response is a failure */
  GW_ATTEMPT_BROKEN,       /* connection failed, cut, silent or malformed */
  GW_ATTEMPT_ABANDONED /* ended through no fault of the server, such as when the caller disconnects
                        */
};

struct gw_backend_load *gw_backend_load_new (void);
void gw_backend_load_delete (struct gw_backend_load *load);
enum gw_placement_verdict gw_placement_pick (const struct gw_placement_query *query,
                                             GRand *random,
                                             struct gw_placement *place);
void gw_placement_begin_request (const struct gw_placement *place,
                                 const struct gw_placement_query *query,
                                 int64_t memory_tokens);
void gw_placement_note_received (struct gw_backend *backend, int64_t now_us);
void
gw_placement_note_first_byte (struct gw_backend *backend, int64_t uncached_tokens, int64_t now_us);
void gw_placement_note_latency (struct gw_backend *backend,
                                bool has_failed,
                                double expected_ms,
                                int64_t took_ms,
                                int64_t now_us);
void gw_placement_note_response (struct gw_backend *backend,
                                 const struct gw_response_head *response,
                                 int64_t now_us);
void gw_placement_end_request (struct gw_backend *backend,
                               int64_t uncached_tokens,
                               int64_t memory_tokens,
                               enum gw_attempt_outcome outcome,
                               int64_t now_us);
bool gw_placement_set_replaced (struct gw_backend *backend, int64_t now_us);
void gw_placement_pause (struct gw_backend *backend, int64_t pause_ms, int64_t now_us);
int64_t gw_placement_cold_wait_us (const struct gw_cold_start *cold_start,
                                   const struct gw_service *service,
                                   const struct gw_backend *backend,
                                   int64_t now_us);
bool gw_placement_is_paused (const struct gw_backend *backend, int64_t now_us);
bool gw_placement_has_queue (const struct gw_backend *backend, int64_t now_us);
bool gw_placement_is_silent (const struct gw_backend *backend, int64_t now_us);
