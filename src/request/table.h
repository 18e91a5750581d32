/* Table of the runs of this instance by team and request id, so that retries join a run in progress
 * or get its stored answer. Safe to call from any thread. */
#pragma once

#include "request/run.h"

struct sr_run_table;

struct sr_run_table_options
{
  unsigned answers_kept_max;
  int64_t answer_kept_us; /* from the end of the run */
};

enum sr_run_found
{
  SR_RUN_FOUND_NEW,       /* the candidate was added */
  SR_RUN_FOUND_JOINED,    /* the same request is in the table, in progress or answered */
  SR_RUN_FOUND_OTHER_BODY /* the request id is in the table with another body */
};

struct sr_run_table *sr_run_table_new (const struct sr_run_table_options *options);
void sr_run_table_delete (struct sr_run_table *table);
enum sr_run_found sr_run_table_find_or_add (struct sr_run_table *table,
                                            struct sr_run *candidate,
                                            struct sr_run **run);
struct sr_run *
sr_run_table_find (struct sr_run_table *table, const char *team, const char *request);
void sr_run_table_ended (struct sr_run_table *table, struct sr_run *run);
void sr_run_table_expire (struct sr_run_table *table, int64_t now_us);
unsigned sr_run_table_in_progress (struct sr_run_table *table);
