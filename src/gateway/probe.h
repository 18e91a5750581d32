/* A small listener for the balancer's question whether this instance takes requests, and for
 * whoever reads its counters. */
#pragma once

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <uv.h>

struct gw_probe_options
{
  uv_loop_t *loop;
  struct sockaddr_in address;
  void *data;
  /* Returns the status for a GET of PATH and appends the body. */
  unsigned (*answer) (const char *path, GString *body, void *data);
};

bool gw_probe_listen (const struct gw_probe_options *options);
