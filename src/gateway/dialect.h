/* Decoded heads of callers' requests, of requests to backend servers and of their responses. Header
 * names are defined by the platform adapter, which implements struct gw_dialect. */
#pragma once

#include "gateway/routes.h"
#include "net/http-conn.h"

enum
{
  GW_PROMPT_PARTS_MAX
  = 16 /* parts of one prompt that are tracked; any further ones count as not shared */
};

/* A segment of a prompt, such as a prefix, that several requests may share and a server may cache.
 */
struct gw_prompt_part
{
  uint64_t id;
  int64_t tokens;
};

/* The size of a request's prompt and output, as the caller declares it. */
struct gw_prompt
{
  bool is_declared; /* false: the request declares nothing, and the fields below are 0 */
  int64_t input_tokens;
  int64_t output_tokens_max;
  struct gw_prompt_part parts[GW_PROMPT_PARTS_MAX];
  unsigned n_parts;
};

/* Head of a caller's request. Texts point into the struct net_http_head it was decoded from. */
struct gw_request_head
{
  struct net_string_view request_id; /* of the request; a caller that retries sends a new one */
  struct net_string_view host;
  struct net_string_view key; /* access key of the caller's team */
  bool has_key;
  int64_t timeout_ms; /* time the caller will wait for the response; 0: not declared */
  struct net_string_view
      last_event_id; /* event after which a stream is resumed; empty: from its beginning */
  struct gw_prompt prompt;
  bool expects_continue;
  bool is_valid; /* false: a required header is missing or malformed */
};

/* Head of a backend server's response. Texts point into the struct net_http_head it was decoded
 * from. */
struct gw_response_head
{
  struct net_string_view request_id;
  bool is_ambiguous;    /* a header that decides about the response is there more than once */
  bool is_signed;       /* the server has signed the response */
  bool not_executed;    /* the server guarantees that it has not run and will not run the request */
  bool is_encoded;      /* the body has a content coding, which the gateway can't read */
  bool is_event_stream; /* the body is a stream of server-sent events */
  bool has_load;        /* false: running, waiting and slots are not reported */
  unsigned running;
  unsigned waiting;
  unsigned slots;
  unsigned work_time_percent; /* time that work takes there now; 100: as usual, or not reported */
  struct net_string_view backend_id; /* id of the server that responded; empty: not given */
  bool is_leaving;                   /* the server that responded is shutting down */
  int64_t
      cold_ms; /* the server that responded stays cold for this long; 0: not given or not cold */
  int64_t retry_after_ms; /* the server asks this instance to send no requests for this long; 0: not
                             asked */
  bool has_idle_timeout;  /* false: not given; the next field is 0 */
  unsigned idle_timeout_ms; /* the server closes a connection that is idle for this long */
};

/* Head of a request to a backend server: the caller's, with what the gateway adds. */
struct gw_outbound_request
{
  struct net_string_view method;
  struct net_string_view target;
  const GString *headers; /* header lines passed on unchanged from the caller */
  const char
      *backend_id;      /* id of the server that is meant; any other one must reject the request */
  const char *team;     /* NULL: the route is public */
  int64_t remaining_ms; /* time until the caller's deadline; 0: no limit */
  struct net_string_view last_event_id;
  size_t body_length;
  bool has_body;
  bool has_rank; /* false: the server is told no rank */
  unsigned rank; /* 0: served first */
};

struct gw_dialect
{
  /* Sets every field of REQUEST and appends to HEADERS the header lines to pass on unchanged. */
  void (*decode_request) (const struct net_http_head *head,
                          struct gw_request_head *request,
                          GString *headers);
  /* Appends the encoded request head to OUT. */
  void (*encode_request) (const struct gw_outbound_request *request, GString *out);
  /* Sets every field of RESPONSE and appends to HEADERS the header lines to pass back unchanged. */
  void (*decode_response) (const struct net_http_head *head,
                           struct gw_response_head *response,
                           GString *headers);
};
