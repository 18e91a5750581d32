/* A plain HTTP/1.1 call whose bytes the test gives: the Host header, too, which other clients set
 * by themselves. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

struct raw_reply
{
  int status; /* 0: no answer */
  bool whole; /* the answer came to its end, as it is framed */
  GString *body;
  double retry_after_s;
};

struct raw_reply *
raw_http_call (const char *address, unsigned port, const char *bytes, size_t length, int limit_s);
void raw_reply_free (struct raw_reply *reply);
