/* Faults of the platform stand-in: outage, no response, delay, lost responses, rate limits, and an
 * instance list that is updated late. */
#pragma once

#include "emulator/common/server.h"

enum platform_mode
{
  PLATFORM_MODE_NONE,
  PLATFORM_MODE_OUTAGE, /* calls fail with 503 */
  PLATFORM_MODE_SILENT, /* calls get no response */
  PLATFORM_MODE_SLOW,   /* calls are delayed */
  PLATFORM_MODE_COUNT
};

enum platform_verdict
{
  PLATFORM_PASS,
  PLATFORM_UNAVAILABLE,  /* reply 503 */
  PLATFORM_RATE_LIMITED, /* reply 429 */
  PLATFORM_CLOSE         /* close the connection without a response */
};

struct faults;

struct faults *faults_new (void);
enum platform_verdict
faults_admit (struct faults *faults, struct standin_request *request, bool write);
bool faults_lose_response (struct faults *faults, const char *kind);
json_t *faults_instances (struct faults *faults);
bool
faults_control (struct faults *faults, struct standin_request *request, enum MHD_Result *result);
