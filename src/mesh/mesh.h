/* Datagrams between instances on an event loop: asks for loans of tokens and their answers, in XDR.
 * Any of them may be lost, repeated or reordered; who sent one repeats it. */
#pragma once

#include "allotment/allotment.h"

#include <netinet/in.h>
#include <uv.h>

/* How far an instance has seen the store's changes, by what it watches. Who is told of a higher
 * revision than its own watch has shown looks itself: a watch can be deaf. */
struct mesh_news
{
  int64_t era; /* of the store: revisions of two eras can't be compared */
  int64_t configuration_revision;
  int64_t backends_revision;
  int64_t configuration_version; /* in force; 0: none */
};

struct mesh;

struct mesh_options
{
  uv_loop_t *loop;
  struct sockaddr_in address; /* to listen on */
  const char *instance;
  void *data;
  void (*asked) (uint64_t handle, const struct allotment_ask *ask, void *data);
  void (*answered) (const char *peer, const struct allotment_answer *answer, void *data);
  void (*told) (const struct mesh_news *news, void *data);
  void (*asked_news) (struct mesh_news *news, void *data); /* sets *NEWS to its own */
  /* BACKEND (hash of its id) is gone: another one answers at its address. */
  void (*replaced) (uint64_t backend, void *data);
  /* PEER, asked at ASKED_US, says that it is REAL_MS. */
  void (*told_time) (const char *peer, int64_t real_ms, int64_t asked_us, void *data);
  /* BACKEND (hash of its id), as it started at STARTED_MS, has said that it is leaving. */
  void (*left) (uint64_t backend, int64_t started_ms, void *data);
};

struct mesh *mesh_new (const struct mesh_options *options);
void mesh_delete (struct mesh *mesh);
void mesh_set_peer (struct mesh *mesh, const char *name, const struct sockaddr_in *address);
void mesh_remove_peer (struct mesh *mesh, const char *name);
GPtrArray *mesh_peer_names (const struct mesh *mesh);
void mesh_send_ask (struct mesh *mesh, const char *peer, const struct allotment_ask *ask);
void mesh_spread_news (struct mesh *mesh, const struct mesh_news *news, GRand *random);
void mesh_spread_replaced (struct mesh *mesh, uint64_t backend, GRand *random);
void mesh_spread_left (struct mesh *mesh, uint64_t backend, int64_t started_ms, GRand *random);
void mesh_repeat_news (struct mesh *mesh, const struct mesh_news *news, GRand *random);
void mesh_ask_news (struct mesh *mesh, GRand *random);
void mesh_ask_time (struct mesh *mesh, int64_t now_us, GRand *random);
void mesh_send_answer (struct mesh *mesh, uint64_t handle, const struct allotment_answer *answer);
