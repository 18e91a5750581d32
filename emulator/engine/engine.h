/* The engine stand-in: execution slots, a queue of waiting runs, token generation at a fixed rate,
 * cancellation and a ledger of consumed tokens. */
#pragma once

#include "emulator/common/server.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct engine_options
{
  GPtrArray *models; /* char *, names of the models served */
  int slots;         /* concurrent runs */
  int queue_max;     /* waiting runs */
  int64_t token_interval_us;
  int64_t prefill_us_per_token; /* for uncached tokens */
  int64_t load_lag_us;          /* age of the reported load */
  unsigned prefix_capacity;     /* cached prefixes */
  bool checks_fence;            /* refuse calls with an outdated fencing number */
};

enum engine_fault
{
  ENGINE_FAULT_NONE,
  ENGINE_FAULT_HANG,    /* stops generating until the caller closes the connection */
  ENGINE_FAULT_REFUSE,  /* refuses calls as if the queue were full */
  ENGINE_FAULT_LOADING, /* refuses calls as if the model were loading */
  ENGINE_FAULT_CUT,     /* closes the connection */
  ENGINE_FAULT_COUNT
};

enum engine_verdict
{
  ENGINE_ADMITTED,
  ENGINE_UNKNOWN_MODEL,
  ENGINE_OLD_FENCE,
  ENGINE_CANCELLED, /* the request was cancelled earlier, perhaps before its call was received */
  ENGINE_QUEUE_FULL,
  ENGINE_LOADING
};

/* A call to generate text. The strings are copied. */
struct engine_call
{
  const char *request; /* TEAM/ID/ATTEMPT */
  const char *budget;
  const char *model;
  const char *prompt;
  size_t prompt_length;
  int64_t max_tokens;
  int64_t offset; /* index of the first token to generate */
  int priority;   /* runs with lower values get slots first */
  int64_t fence;
};

enum engine_step
{
  ENGINE_STEP_TOKEN, /* one more token has been generated */
  ENGINE_STEP_END,   /* all tokens had been generated; the run has ended */
  ENGINE_STEP_CUT    /* cancelled, cut by a fault, or closed by the caller */
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
void engine_set_token_interval (struct engine *engine, int64_t token_interval_us);
void engine_report_no_load (struct engine *engine, bool zero);
