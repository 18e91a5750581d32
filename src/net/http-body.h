/* The body of one HTTP/1.1 message: separates its payload from the framing in the bytes that
 * arrive, and decides whether the message is complete. Without a socket. */
#pragma once

#include "net/string-view.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum net_body_framing
{
  NET_BODY_ABSENT,
  NET_BODY_LENGTH,    /* Content-Length */
  NET_BODY_CHUNKED,   /* Transfer-Encoding: chunked */
  NET_BODY_CONNECTION /* responses with neither: an orderly end of the connection completes it */
};

enum net_body_state
{
  NET_BODY_READING,
  NET_BODY_COMPLETE,
  NET_BODY_MALFORMED
};

/* Its users read the framing and the state only. */
struct net_http_body
{
  enum net_body_framing framing;
  enum net_body_state state;
  uint64_t left;        /* bytes of payload, of the body or of the current chunk */
  unsigned step;        /* of the chunked framing */
  size_t framing_bytes; /* of the current line that begins a chunk, or of the trailer section */
};

void
net_http_body_begin (struct net_http_body *body, enum net_body_framing framing, uint64_t length);
size_t net_http_body_read (struct net_http_body *body,
                           struct net_string_view bytes,
                           struct net_string_view *payload);
void net_http_body_end_input (struct net_http_body *body, bool in_order);
