/* An HTTP/1.1 call whose bytes the test supplies unchanged, including the Host header that other
 * clients generate. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

struct raw_http_response
{
  int status;    /* 0: no response */
  bool complete; /* the response is complete according to its framing */
  bool closed;   /* the peer has closed the connection without a reset */
  GString *body;
  double retry_after_s;
  GString *seal; /* X-Response-Seal of the response; empty: none */
};

struct raw_http_response *
raw_http_call (const char *address, unsigned port, const char *bytes, size_t length, int limit_s);
void raw_reply_free (struct raw_http_response *reply);
