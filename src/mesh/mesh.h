/* Datagrams between instances on an event loop, in XDR: loan requests and replies, updates on the
 * configuration and the backend servers, and the time of day. Any datagram may be lost, duplicated
 * or reordered; the sender of a request repeats it. */
#pragma once

#include "allotment/allotment.h"
#include "quarantine/quarantine.h"

#include <netinet/in.h>
#include <uv.h>

/* The revisions of the store's objects that an instance has seen by its watches. A receiver whose
 * own watch has shown a lower revision reads from the store, as a watch may miss changes. */
struct mesh_update
{
  int64_t era; /* of the store: revisions of different eras can't be compared */
  int64_t configuration_revision;
  int64_t backends_revision;
  int64_t configuration_version; /* in force; 0: none */
  int64_t evacuations_revision;  /* 0: none seen, or evacuations are not followed */
};

enum
{
  MESH_PART_REPORTS_MAX = 24 /* in one datagram */
};

struct mesh;

struct mesh_options
{
  uv_loop_t *loop;
  struct sockaddr_in address; /* where to listen */
  const char *instance;       /* own name; must remain valid */
  void *data;
  /* Loan request; HANDLE is for mesh_send_loan_reply. The texts are valid during the call. */
  void (*on_loan_request) (uint64_t handle,
                           const struct allotment_loan_request *request,
                           void *data);
  /* Loan reply of PEER, which may be a late or duplicate one. */
  void (*on_loan_reply) (const char *peer, const struct allotment_loan_reply *reply, void *data);
  /* Update of a peer. */
  void (*on_update) (const struct mesh_update *update, void *data);
  /* A peer requests an update: sets *UPDATE to this instance's. */
  void (*on_update_request) (struct mesh_update *update, void *data);
  /* A peer has found another server at the address of BACKEND (gw_backend_key). */
  void (*on_replaced) (uint64_t backend, void *data);
  /* The time of day of PEER is REAL_MS, in response to mesh_request_time at REQUESTED_US. Not
   * checked: a peer may send this without a request. */
  void (*on_time) (const char *peer, int64_t real_ms, int64_t requested_us, void *data);
  /* The process of BACKEND (gw_backend_key) that started at STARTED_MS is leaving. */
  void (*on_leaving) (uint64_t backend, int64_t started_ms, void *data);
  /* Reports of a peer on prompt parts. */
  void (*on_part_reports) (const struct quarantine_report *reports, unsigned n_reports, void *data);
  /* A peer requests an update: sets up to MAX REPORTS on prompt parts. Returns their number. */
  unsigned (*on_part_reports_request) (struct quarantine_report *reports, unsigned max, void *data);
};

struct mesh *mesh_new (const struct mesh_options *options);
void mesh_delete (struct mesh *mesh);
int64_t mesh_last_received_us (const struct mesh *mesh);
void mesh_set_peer (struct mesh *mesh, const char *name, const struct sockaddr_in *address);
void mesh_remove_peer (struct mesh *mesh, const char *name);
GPtrArray *mesh_peer_names (const struct mesh *mesh);
void mesh_send_loan_request (struct mesh *mesh,
                             const char *peer,
                             const struct allotment_loan_request *request);
void mesh_announce_update (struct mesh *mesh, const struct mesh_update *update, GRand *random);
void mesh_announce_replaced (struct mesh *mesh, uint64_t backend, GRand *random);
void mesh_announce_leaving (struct mesh *mesh, uint64_t backend, int64_t started_ms, GRand *random);
void mesh_announce_part_reports (struct mesh *mesh,
                                 const struct quarantine_report *reports,
                                 unsigned n_reports,
                                 GRand *random);
void mesh_repeat_part_reports (struct mesh *mesh,
                               const struct quarantine_report *reports,
                               unsigned n_reports,
                               GRand *random);
void mesh_repeat_update (struct mesh *mesh, const struct mesh_update *update, GRand *random);
void mesh_request_updates (struct mesh *mesh, GRand *random);
void mesh_request_time (struct mesh *mesh, int64_t now_us, GRand *random);
void
mesh_send_loan_reply (struct mesh *mesh, uint64_t handle, const struct allotment_loan_reply *reply);
