/* Audit entries of top-ups and corrections, derived from the record of the budget. */
#pragma once

#include "audit/audit.h"
#include "budget/record.h"

GPtrArray *sr_audit_top_up_entries (const char *budget, const struct sr_record *record);
enum sr_platform_status sr_audit_write_top_ups (struct sr_platform *platform,
                                                const char *budget,
                                                const char *id,
                                                int64_t deadline_us);
