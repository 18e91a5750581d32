/* Stand-in of the users' platform: its object store, its model engines and its plain services, each
 * on a port of its own, in one process with one event loop. What runs is counted here. */
#pragma once

#include "emulator/site/objects.h"
#include "net/http-conn.h"

#include <glib.h>
#include <jansson.h>
#include <uv.h>

enum
{
  SITE_BACKENDS_MAX = 16,
  SITE_TOKENS_PER_EVENT = 6
};

enum site_store_mode
{
  SITE_STORE_UP,
  SITE_STORE_SILENT, /* takes calls and says nothing */
  SITE_STORE_BUSY,
  SITE_STORE_LOST /* writes are done and not answered */
};

enum site_backend_mode
{
  SITE_BACKEND_OK,
  SITE_BACKEND_SHED,     /* refuses, and says that it did not run the request */
  SITE_BACKEND_CUT,      /* closes in the middle of the answer */
  SITE_BACKEND_RESET,    /* runs the request and closes without an answer */
  SITE_BACKEND_SILENT,   /* runs the request and says nothing */
  SITE_BACKEND_ERROR,    /* runs it and answers 500 */
  SITE_BACKEND_EXTRA,    /* sends a second answer after each one */
  SITE_BACKEND_UNFRAMED, /* answers end with their connection, and are cut */
  SITE_BACKEND_OTHER,    /* is not the one that is expected */
  SITE_BACKEND_ENDLESS   /* sends bytes that are no answer, until the caller closes */
};

/* What has no end. */
enum site_endless
{
  SITE_ENDLESS_HEAD,       /* header lines */
  SITE_ENDLESS_LINE,       /* one header line */
  SITE_ENDLESS_INTERIM,    /* interim answers */
  SITE_ENDLESS_CHUNK_SIZE, /* the digits of a chunk's size */
  SITE_ENDLESS_TRAILER,
  SITE_ENDLESS_EVENT,  /* one event of a stream */
  SITE_ENDLESS_EVENTS, /* whole events */
  SITE_ENDLESS_BODY,   /* of an answer that ends with its connection */
  SITE_ENDLESS_BEYOND, /* bytes after a whole answer */
  SITE_ENDLESS_OTHER   /* the answer to another request */
};

struct site_backend
{
  char id[16];
  unsigned index;
  unsigned port;
  bool is_model;
  enum site_backend_mode mode;
  enum site_endless endless; /* SITE_BACKEND_ENDLESS: what, */
  bool drips;                /* a byte now and then */
  int64_t started_ms;        /* as its entry says; another one is another process */
  bool says_leaving;         /* in the head of each answer */
  char *retry_after;         /* header of a refusal (SITE_BACKEND_SHED), or NULL */
  int64_t paused_from_us;    /* it wants nothing after this, */
  int64_t paused_until_us;   /* before this */
  unsigned arrivals_paused;  /* requests that came all the same */
  int64_t leaving_since_us;  /* 0: it is not leaving */
  int64_t latest_after_leaving_ms;
  unsigned running;
  uv_tcp_t listener;
  struct site *site;
};

struct site
{
  uv_loop_t loop;
  const char *address;
  unsigned pace_ms; /* between the events of a stream */
  struct objects *objects;
  enum site_store_mode store_mode;
  json_t *lost_configuration; /* to be written again after a return from a copy, or NULL */
  uv_timer_t operator_timer;
  GPtrArray *watches; /* struct store_visit_ that wait */
  uv_tcp_t store_listener;
  uv_tcp_t control_listener;
  struct site_backend backends[SITE_BACKENDS_MAX];
  unsigned n_backends;
  /* What was run. */
  json_t *runs;       /* request id: array of backend ids */
  json_t *consumed;   /* team: tokens */
  unsigned abandoned; /* requests whose connection was closed while they ran */
  unsigned arrivals;
  unsigned keys_seen; /* requests that came with a caller's key */
};

bool site_listen (struct site *site, uv_tcp_t *listener, unsigned port, uv_connection_cb accept);
void site_store_accept (uv_stream_t *listener, int status);
void site_store_changed (struct site *site);
void site_backend_accept (uv_stream_t *listener, int status);
void site_backend_announce (struct site_backend *backend, const char *state);
void site_control_accept (uv_stream_t *listener, int status);
void
site_reply (struct net_http_conn *conn, unsigned status, const char *headers, const char *body);
char *site_header (const struct net_http_head *head, const char *name);
char *site_query (const char *target, const char *name);
