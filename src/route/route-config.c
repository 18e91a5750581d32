#include "route/route.h"

/* Applies the backend servers of CONFIG; see sr_router_apply_backends. */
void
sr_router_apply (struct sr_router *router, struct sr_config *config, int64_t now_us)
{
  sr_router_apply_backends (router, sr_config_backends (config), now_us);
}
