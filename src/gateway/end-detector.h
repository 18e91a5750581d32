/* Detects the end of a backend server's process by its connections: a server that ends closes all
 * of them at once and accepts no new one, while one that loses single answers keeps the others.
 * Reports each end, with the requests that were unanswered, to the quarantine. */
#pragma once

#include "gateway/gateway.h"

struct end_detector;

struct end_detector *end_detector_new (struct gw_context *context);
void end_detector_note_closed (struct end_detector *detector,
                               struct gw_backend *backend,
                               const struct quarantine_parts *parts,
                               uint64_t team,
                               enum quarantine_progress progress);
