/* HTTP listener for the balancer's readiness probes and for reading the metrics. It serves until
 * the process ends. */
#pragma once

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

struct gw_probe_options
{
  uv_loop_t *loop;
  struct sockaddr_in address;
  unsigned connections_max; /* beyond it, the one that was used longest ago is closed */
  void *data;
  /* Appends the body of the response to a GET of PATH; returns its HTTP status. */
  unsigned (*respond) (const char *path, GString *body, void *data);
};

bool gw_probe_listen (const struct gw_probe_options *options);
