/* The platform over HTTP. */
#pragma once

#include "platform/platform.h"

struct sr_platform_http_options
{
  const char *address; /* the platform's IP number */
  unsigned port;
  const char *source_address; /* bound for outgoing connections; NULL for any */
  int timeout_s;              /* longest silence of a call */
};

struct sr_platform *sr_platform_http_new (const struct sr_platform_http_options *options);
