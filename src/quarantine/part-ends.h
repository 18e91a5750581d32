/* The ends of server processes at which one prompt part was unanswered, and what follows from them.
 * Reports of the same ends lead to the same result in any order. No thread, socket or clock. */
#pragma once

#include "quarantine/quarantine.h"

#include <jansson.h>

struct part_end
{
  uint64_t backend; /* gw_backend_key of the server */
  int64_t started_ms;
  int64_t at_us;
  uint64_t team;                     /* hash of the team whose request it was; 0: no team */
  enum quarantine_progress progress; /* of the request with the part that is the likeliest cause */
  bool survived_before;              /* requests with the part were answered shortly before */
};

struct part_ends
{
  struct part_end ends[QUARANTINE_ENDS_MAX]; /* by time */
  unsigned n;
};

void part_ends_add (struct part_ends *ends, const struct part_end *end);
void part_ends_put (struct part_ends *ends, const struct part_end *end);
bool part_ends_remove (struct part_ends *ends, const struct part_end *end);
bool part_ends_are_conclusive (const struct part_ends *ends);
int64_t part_ends_trial_due_us (const struct part_ends *ends);
bool part_ends_concern_team (const struct part_ends *ends, uint64_t team);
bool part_ends_equal (const struct part_ends *a, const struct part_ends *b);
bool
part_ends_accuse_elsewhere (const struct part_ends *ends, uint64_t backend, int64_t started_ms);
unsigned part_ends_to_reports (const struct part_ends *ends,
                               enum quarantine_report_kind kind,
                               uint64_t part,
                               struct quarantine_report *reports);
json_t *part_ends_to_json (const struct part_ends *ends, int64_t now_us);
