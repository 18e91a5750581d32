/* Faults of the platform stand-in: outage, silence, slowness, lost answers, rates, a late list. */
#pragma once

#include "emulator/common/server.h"

enum platform_mode
{
  PLATFORM_MODE_NONE,
  PLATFORM_MODE_OUTAGE,
  PLATFORM_MODE_SILENT,
  PLATFORM_MODE_SLOW,
  PLATFORM_MODE_COUNT
};

enum platform_verdict
{
  PLATFORM_PASS,
  PLATFORM_OUT,     /* answer 503 */
  PLATFORM_LIMITED, /* answer 429 */
  PLATFORM_CLOSE    /* close without an answer */
};

struct faults;

struct faults *faults_new (void);
enum platform_verdict
faults_admit (struct faults *faults, struct standin_request *request, bool write);
bool faults_lose_answer (struct faults *faults, const char *kind);
json_t *faults_instances (struct faults *faults);
bool
faults_control (struct faults *faults, struct standin_request *request, enum MHD_Result *result);
