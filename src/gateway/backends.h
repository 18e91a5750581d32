/* Table of the backend servers, from their entries in the store. */
#pragma once

#include "gateway/cold-start.h"
#include "gateway/routes.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/* What the entry of a backend server in the store says. */
struct gw_backend_facts
{
  char *id;
  char *service;
  char *data_centre;
  struct sockaddr_in address;
  unsigned slots; /* requests that it runs at once */
  bool is_leaving;
  int64_t warm_up_ms; /* remaining time in which it is slow after its start, when the entry was
                         written */
  int64_t started_ms; /* real time; identifies the process among those of this id. 0: not known */
};

void gw_backend_facts_clear (struct gw_backend_facts *facts);

/* One backend server. Reference counted: requests hold the one to which they are sent. */
struct gw_backend
{
  int reference_count;
  struct gw_backend_facts facts;
  uint64_t key;    /* gw_backend_key of the id */
  bool is_removed; /* removed from the table: no new requests, those running may finish */
  bool is_new;     /* appeared after the first complete list */
  bool is_missing; /* not listed after a store outage: removed unless listed again in time */
  struct gw_backend_load *load; /* owned by the placement */
  struct gw_cold_server cold;
  struct gw_latency_model *latency_model; /* latency model of its service */
  GQueue idle_connections;                /* owned by the connection pool */
  unsigned connections;
  unsigned open_connections; /* those whose handshake is complete */
  unsigned connections_lost; /* those that it has closed, in all */
};

struct gw_backends;

/* Called once for each process that is reported to be leaving, by itself or by a peer. */
typedef void (*gw_backends_leaving_func) (uint64_t key, int64_t started_ms, void *data);

uint64_t gw_backend_key (const char *id);
struct gw_backends *gw_backends_new (void);
void gw_backends_set_leaving_func (struct gw_backends *backends,
                                   gw_backends_leaving_func func,
                                   void *data);
void gw_backends_delete (struct gw_backends *backends);
struct gw_backend *gw_backend_ref (struct gw_backend *backend);
void gw_backend_unref (struct gw_backend *backend);
void gw_backends_put (struct gw_backends *backends, struct gw_backend_facts *facts);
void gw_backends_remove (struct gw_backends *backends, const char *id, bool may_be_renewed);
void gw_backends_begin_list (struct gw_backends *backends);
bool gw_backends_end_list (struct gw_backends *backends, bool may_be_renewed);
void gw_backends_drop_missing (struct gw_backends *backends);
bool gw_backends_set_leaving (struct gw_backends *backends, uint64_t key, int64_t started_ms);
void gw_backends_assume_cold (struct gw_backends *backends,
                              const struct gw_routes *routes,
                              const char *data_centre,
                              int64_t now_us);
int64_t gw_backends_mean_response_ms (const struct gw_backends *backends, const char *service);
struct gw_backend *gw_backends_find (const struct gw_backends *backends, uint64_t key);
/* Defined by the connection pool: closes the idle connections to BACKEND. */
void gw_upstream_close_idle (struct gw_backend *backend);
const GPtrArray *gw_backends_of_service (const struct gw_backends *backends, const char *service);
GPtrArray *gw_backends_all (const struct gw_backends *backends);
unsigned gw_backends_count (const struct gw_backends *backends);
