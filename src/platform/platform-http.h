/* Client of the platform over HTTP. */
#pragma once

#include "platform/platform.h"

struct sr_platform_http_options
{
  const char *address; /* IP address of the platform */
  unsigned port;
  const char *source_address; /* bound for outgoing connections; NULL for any */
  int idle_timeout_s;         /* without a byte received, until a call fails */
};

struct sr_platform *sr_platform_http_new (const struct sr_platform_http_options *options);
