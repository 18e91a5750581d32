/* Stand-in of the users' platform: its object store, model engines and plain services, each on its
 * own port, in one process with one event loop. Keeps counts of the executed requests for the
 * tests. */
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

/* A string value in an entry that the store writes out as odd_value of the site. */
#define SITE_ODD_VALUE_MARK "@odd@"

enum
{
  SITE_PAGE_OBJECTS = 500 /* of a list of the store, until a test sets another number */
};

#define SITE_KIND_EVACUATIONS "evacuations"

enum site_store_mode
{
  SITE_STORE_UP,
  SITE_STORE_SILENT,         /* accepts calls and sends no response */
  SITE_STORE_UNAVAILABLE,    /* replies 503 */
  SITE_STORE_LOSE_RESPONSES, /* executes writes and sends no response to them */
  SITE_STORE_MISS_CHANGES    /* watches show no changes and continue after them */
};

enum site_backend_mode
{
  SITE_BACKEND_OK,
  SITE_BACKEND_SHED,           /* refuses with 503 and X-Not-Executed */
  SITE_BACKEND_CUT,            /* closes in the middle of the response */
  SITE_BACKEND_RESET,          /* runs the request and closes without a response */
  SITE_BACKEND_SILENT,         /* runs the request and sends no response */
  SITE_BACKEND_ERROR,          /* runs the request and replies 500 */
  SITE_BACKEND_EXTRA,          /* sends a second response after each one */
  SITE_BACKEND_UNFRAMED,       /* responses without length, ended early by closing the connection */
  SITE_BACKEND_WRONG_INSTANCE, /* replies 421: not the instance that the request expects */
  SITE_BACKEND_ENDLESS,        /* sends an endless response until the caller closes */
  SITE_BACKEND_STALE,          /* from the second request of a connection on, sends an earlier
                                  refusal once more, without an id, before the response */
  SITE_BACKEND_STALE_421,      /* the same with status 421 */
  SITE_BACKEND_JSON_ERROR,     /* runs the request and replies 200 with an error in JSON */
  SITE_BACKEND_TORN,           /* streams end inside an event, as if they were complete */
  SITE_BACKEND_TORN_UNFRAMED,  /* the same without chunks: with the connection */
  SITE_BACKEND_RESET_UNFRAMED, /* streams without chunks, reset with their middle event */
  SITE_BACKEND_SHORT_UNFRAMED, /* streams without chunks, ended in order after their middle event */
  SITE_BACKEND_UNNAMED_421,    /* replies 421 without saying which instance it is */
  SITE_BACKEND_REPEAT          /* streams send their events a second time behind the last one */
};

/* Which part of an endless response has no end. */
enum site_endless
{
  SITE_ENDLESS_HEAD,       /* header lines */
  SITE_ENDLESS_LINE,       /* one header line */
  SITE_ENDLESS_INTERIM,    /* interim (100) responses */
  SITE_ENDLESS_CHUNK_SIZE, /* the digits of a chunk's size */
  SITE_ENDLESS_TRAILER,
  SITE_ENDLESS_EVENT,        /* one event of a stream */
  SITE_ENDLESS_EVENTS,       /* complete events, one after the other */
  SITE_ENDLESS_BODY,         /* of a response that ends with its connection */
  SITE_ENDLESS_EXCESS,       /* bytes after a complete response */
  SITE_ENDLESS_WRONG_REQUEST /* the response to another request */
};

/* Where a faulty plain server puts bytes that belong to no response. */
enum site_stray_place
{
  SITE_STRAY_BEFORE,
  SITE_STRAY_INSTEAD, /* in place of the response */
  SITE_STRAY_BEHIND,
  SITE_STRAY_LATE /* behind it, some milliseconds later */
};

/* How a plain server sends its next responses. */
struct site_reply_form
{
  GBytes *stray; /* "@" stands for the id of the request; NULL: none */
  enum site_stray_place place;
  unsigned status; /* 0: 200 */
  bool is_chunked;
  bool is_unframed;      /* neither a length nor chunks: it ends with its connection */
  bool is_early;         /* sent while the request's body is left unread */
  bool resets;           /* the connection is reset with the last bytes */
  bool in_pieces;        /* with a pause in the middle of the head */
  unsigned filler_bytes; /* added to the body */
  unsigned cut_bytes;    /* the connection ends after so many bytes of the response; 0: never */
};

struct site_backend
{
  char id[16];
  unsigned index;
  unsigned port;
  bool is_model;
  enum site_backend_mode mode;
  enum site_endless endless; /* for SITE_BACKEND_ENDLESS */
  bool trickles;             /* for SITE_BACKEND_ENDLESS: a byte every 20 ms, not at link speed */
  int64_t started_ms;        /* start time in its store entry; a changed one means a new process */
  bool announces_leaving;    /* sends Server-Leaving in the head of each response */
  char *retry_after;         /* Retry-After header of refusals (SITE_BACKEND_SHED), or NULL */
  int64_t paused_from_us;    /* start (monotonic) of the pause after a Retry-After */
  int64_t paused_until_us;   /* end of that pause */
  unsigned arrivals_paused;  /* requests received during that pause */
  int64_t leaving_since_us;  /* monotonic; 0: not leaving */
  int64_t latest_after_leaving_ms;    /* time from leaving_since_us to the last request received */
  unsigned zone;                      /* number of its data centre, from 1 */
  int64_t evacuated_since_us;         /* monotonic; 0: its data centre is not evacuated */
  int64_t latest_after_evacuation_ms; /* time from evacuated_since_us to the last request received
                                         in any evacuation, 421 not counted */
  unsigned arrivals;                  /* requests received */
  int64_t cold_until_us;              /* monotonic */
  unsigned cold_count;      /* how often it became cold; a part of its entry, so that it differs */
  GArray *cold_arrivals_us; /* int64_t: requests received while cold */
  unsigned running;
  uv_tcp_t listener;
  GPtrArray *sessions; /* connections to this backend server */
  uint64_t crash_part; /* id of the prompt part on which its process ends before the first event;
                          0: none */
  unsigned down_ms;    /* from such an end to the next process */
  bool is_down;
  struct site_reply_form form; /* of plain servers in mode SITE_BACKEND_OK */
  uv_timer_t restart_timer;
  struct site *site;
};

struct site
{
  uv_loop_t loop;
  const char *address;
  unsigned event_interval_ms; /* between the events of a stream */
  struct objects *objects;
  enum site_store_mode store_mode;
  unsigned page_objects;       /* most objects in one page of a list */
  char *odd_value;             /* JSON text that is written for SITE_ODD_VALUE_MARK; NULL: none */
  json_t *saved_configuration; /* configuration before a restore, written again by the operator
                                  timer; or NULL */
  uv_timer_t operator_timer;
  GPtrArray *watches; /* struct store_session_ with a pending watch */
  uv_tcp_t store_listener;
  uv_tcp_t control_listener;
  struct site_backend backends[SITE_BACKENDS_MAX];
  unsigned n_backends;
  /* Counts for the tests. */
  json_t *runs;       /* request id: array of backend ids */
  json_t *statuses;   /* request id: array of the statuses that plain servers answered */
  json_t *urgencies;  /* request id: urgency that the last request with this id stated, or null */
  json_t *consumed;   /* team: tokens */
  unsigned abandoned; /* requests whose caller closed the connection while they ran */
  unsigned arrivals;
  unsigned evacuation_calls; /* lists and watches of evacuations */
  unsigned keys_seen;        /* requests with an Authorization header */
  unsigned crashes;          /* ends of backend server processes because of crash_part */
  unsigned crash_arrivals;   /* requests with that part that were received */
};

bool site_listen (struct site *site, uv_tcp_t *listener, unsigned port, uv_connection_cb accept);
void site_store_accept (uv_stream_t *listener, int status);
void site_store_changed (struct site *site);
void site_backend_accept (uv_stream_t *listener, int status);
void site_backend_init (struct site_backend *backend);
void site_backend_crash (struct site_backend *backend);
void site_backend_announce (struct site_backend *backend, const char *state);
void site_reply_form_set (struct site_reply_form *form, const char *target);
GString *
site_reply_form_encode (const struct site_reply_form *form, const char *id, const char *headers);
GString *site_reply_form_stray (const struct site_reply_form *form, const char *id);
void site_control_accept (uv_stream_t *listener, int status);
void
site_reply (struct net_http_conn *conn, unsigned status, const char *headers, const char *body);
char *site_header (const struct net_http_head *head, const char *name);
char *site_query (const char *target, const char *name);
char *site_decode (const char *value);
