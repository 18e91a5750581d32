/* Connections from callers. Each carries one request at a time; a pipelined request is read after
 * the response to the one before. */
#pragma once

#include "gateway/gateway.h"

#include <netinet/in.h>

struct gw_ingress;

struct gw_ingress *gw_ingress_new (struct gw_context *context, const struct sockaddr_in *address);
void gw_ingress_close_idle (struct gw_ingress *ingress);
void gw_ingress_stop_listening (struct gw_ingress *ingress);
bool gw_ingress_is_listening (const struct gw_ingress *ingress);
void gw_ingress_end_requests (struct gw_ingress *ingress);
void gw_ingress_close_all (struct gw_ingress *ingress);
void gw_ingress_update_metrics (const struct gw_ingress *ingress);
unsigned gw_ingress_connection_count (const struct gw_ingress *ingress);
