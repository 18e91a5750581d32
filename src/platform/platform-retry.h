/* Platform calls that are repeated until they succeed, fail for good or reach their deadline. */
#pragma once

#include "platform/platform.h"

enum sr_platform_status sr_platform_create_with_retry (struct sr_platform *platform,
                                                       const char *kind,
                                                       const char *name,
                                                       const char *body,
                                                       size_t length,
                                                       int64_t deadline_us);
enum sr_platform_status sr_platform_get_with_retry (struct sr_platform *platform,
                                                    const char *kind,
                                                    const char *name,
                                                    GString *body,
                                                    int64_t *version,
                                                    int64_t deadline_us);
