/* Limit for requests to cold backend servers. A server that has just started, or whose caches are
 * cold for another reason, sustains only a few requests per second, and far more crash it. The
 * limit applies to the sum over all instances, also those that can't reach each other. Each cold
 * server therefore takes requests only from a few instances, chosen by rendezvous hashing over the
 * list of instances in the store, and each of these sends a fixed number per window. No thread,
 * socket or clock. See docs/design/cold-start.md. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  GW_COLD_STALE_US = 32000000, /* an older list of instances is not used: a watch of the list (15 s)
                                * that ended late with a change, the pause after it, the next watch
                                * and a margin */
  GW_COLD_SETTLE_US = 36000000 /* until all lists in use show that an instance was added:
                                * GW_COLD_STALE_US, the window and a margin for delays */
};

struct gw_cold_start;

/* What this instance knows of one backend server, and has sent to it. All zeros: not cold. */
struct gw_cold_server
{
  int64_t cold_until_us;
  int64_t entry_era;      /* of the entry whose remaining time was last counted */
  int64_t entry_revision; /* 0: none */
  GArray *sent_us;        /* int64_t: of the requests in the window, in order; NULL: none */
};

struct gw_cold_start *gw_cold_start_new (const char *own_name);
void gw_cold_start_delete (struct gw_cold_start *cold);
void gw_cold_start_set_limits (struct gw_cold_start *cold, double overage, unsigned slack);
bool gw_cold_start_is_on (const struct gw_cold_start *cold);
void gw_cold_start_add_instance (struct gw_cold_start *cold, const char *name);
void gw_cold_start_remove_instance (struct gw_cold_start *cold, const char *name, int64_t now_us);
void gw_cold_start_confirm_list (struct gw_cold_start *cold, int64_t as_of_us);
unsigned gw_cold_start_share (const struct gw_cold_start *cold,
                              uint64_t server_key,
                              double cold_per_s,
                              int64_t now_us);
int64_t gw_cold_start_wait_us (const struct gw_cold_start *cold,
                               const struct gw_cold_server *server,
                               uint64_t server_key,
                               double cold_per_s,
                               int64_t now_us);

bool gw_cold_server_note_entry (struct gw_cold_server *server,
                                int64_t era,
                                int64_t revision,
                                int64_t remaining_ms,
                                int64_t now_us);
bool
gw_cold_server_note_remaining (struct gw_cold_server *server, int64_t remaining_ms, int64_t now_us);
bool gw_cold_server_is_cold (const struct gw_cold_server *server, int64_t now_us);
void gw_cold_server_note_sent (struct gw_cold_server *server, int64_t now_us);
void gw_cold_server_clear (struct gw_cold_server *server);
