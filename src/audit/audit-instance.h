/* Audit entries about the shutdown of an instance, written by the instance itself. */
#pragma once

#include "audit/audit.h"

enum sr_platform_status sr_audit_write_instance (struct sr_platform *platform,
                                                 enum sr_audit_type type,
                                                 const char *instance,
                                                 uint64_t incarnation,
                                                 const char *detail,
                                                 int64_t when_ms,
                                                 int64_t deadline_us);
