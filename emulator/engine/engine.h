/* The engine stand-in: slots, a waiting queue, paced tokens, cancels and a ledger of what was
 * consumed. */
#pragma once

#include "emulator/common/server.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct engine_options
{
  GPtrArray *models; /* char * */
  int slots;
  int queue_max;
  int64_t pace_us;
  int64_t prefill_us_per_token;
  int64_t load_lag_us;
  unsigned prefix_capacity;
  bool checks_fence;
};

enum engine_fault
{
  ENGINE_FAULT_NONE,
  ENGINE_FAULT_HANG,
  ENGINE_FAULT_REFUSE,
  ENGINE_FAULT_LOADING,
  ENGINE_FAULT_CUT,
  ENGINE_FAULT_COUNT
};

enum engine_verdict
{
  ENGINE_ADMITTED,
  ENGINE_MODEL,
  ENGINE_FENCE,
  ENGINE_CANCELLED, /* cancelled before it came */
  ENGINE_FULL,
  ENGINE_LOADING
};

/* What a caller asks for. The strings are copied. */
struct engine_call
{
  const char *request; /* TEAM/ID/ATTEMPT */
  const char *budget;
  const char *model;
  const char *prompt;
  size_t prompt_length;
  int64_t max_tokens;
  int64_t offset;
  int priority; /* 0 goes first */
  int64_t fence;
};

enum engine_step
{
  ENGINE_STEP_TOKEN, /* one more token is made */
  ENGINE_STEP_END,   /* all tokens are made */
  ENGINE_STEP_CUT    /* cancelled, cut by a fault, or nobody listens */
};

struct engine;
struct engine_run;

struct engine *engine_new (const struct engine_options *options);
enum engine_verdict
engine_admit (struct engine *engine, const struct engine_call *call, struct engine_run **run);
bool engine_run_start (struct engine_run *run, const struct standin_request *request);
enum engine_step engine_run_step (struct engine_run *run, const struct standin_request *request);
void engine_run_finish (struct engine_run *run);
const GString *engine_run_prompt (const struct engine_run *run);
int64_t engine_run_next_index (const struct engine_run *run);
const char *engine_run_request (const struct engine_run *run);
json_t *engine_run_end (struct engine_run *run);

json_t *engine_cancel (struct engine *engine, const char *request);
json_t *engine_load (struct engine *engine);
json_t *engine_ledger (struct engine *engine);
bool
engine_set_fault (struct engine *engine, const char *mode, int64_t after_tokens, int64_t count);
void engine_set_pace (struct engine *engine, int64_t pace_us);
void engine_set_load_zero (struct engine *engine, bool zero);
