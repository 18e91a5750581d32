/* Operators' side of a budget: top-ups, corrections, and what there is to see. */
#pragma once

#include "budget/record.h"
#include "platform/platform.h"

/* What one top-up came to. */
struct sr_top_up_result
{
  enum sr_platform_status status; /* OK: the verdict holds; else nobody could be asked */
  enum sr_top_up_verdict verdict;
  int64_t prepaid;
  int64_t beyond; /* tokens held by instances beyond the prepaid ones: they are recalled */
  int64_t version;
  int64_t time_ms; /* when it was applied */
};

struct sr_top_up_request
{
  const char *budget;
  const char *id;
  const char *who;
  int64_t tokens;
  int64_t time_ms; /* real time */
};

void sr_top_up_apply (struct sr_platform *platform,
                      const struct sr_top_up_request *request,
                      struct sr_top_up_result *result);

typedef bool (*sr_budget_callback) (const char *name, const struct sr_record *record, void *data);

enum sr_platform_status sr_budget_read_all (struct sr_platform *platform,
                                            const char *prefix,
                                            sr_budget_callback callback,
                                            void *data);
