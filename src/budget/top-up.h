/* Operator functions on budgets: top-ups, corrections and listing. */
#pragma once

#include "budget/record.h"
#include "platform/platform.h"

struct sr_top_up_result
{
  enum sr_platform_status status; /* the rest is valid only if SR_PLATFORM_OK */
  enum sr_top_up_verdict verdict;
  int64_t prepaid;
  int64_t excess;  /* tokens spent or held by instances in excess of the prepaid ones */
  int64_t version; /* of the platform's object afterwards */
  int64_t time_ms; /* when it was first applied, Unix time */
};

struct sr_top_up_request
{
  const char *budget;
  const char *id;
  const char *who;
  int64_t tokens;  /* negative: a correction */
  int64_t time_ms; /* now, Unix time */
};

void sr_top_up_apply (struct sr_platform *platform,
                      const struct sr_top_up_request *request,
                      struct sr_top_up_result *result);

/* Returns false to end the listing. RECORD is valid during the call. */
typedef bool (*sr_budget_callback) (const char *name, const struct sr_record *record, void *data);

enum sr_platform_status sr_budget_read_all (struct sr_platform *platform,
                                            const char *prefix,
                                            sr_budget_callback callback,
                                            void *data);
