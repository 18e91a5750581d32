/* Callers' connections: one request at a time on each, the next one waits for the answer. */
#pragma once

#include "gateway/gateway.h"

#include <netinet/in.h>

struct gw_ingress;

struct gw_ingress *gw_ingress_new (struct gw_context *context, const struct sockaddr_in *address);
void gw_ingress_close_idle (struct gw_ingress *ingress);
unsigned gw_ingress_connections (const struct gw_ingress *ingress);
