/* A run: one execution of a request by this instance, with its state and answer. The first caller
 * and callers that retry listen to the same run. */
#pragma once

#include "admit/admit.h"
#include "base/outcome.h"
#include "config/config.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

enum sr_run_state
{
  SR_RUN_QUEUED,
  SR_RUN_RUNNING,
  SR_RUN_DONE
};

/* Why a request was not answered. The order is that of the error table in run.c. */
enum sr_error
{
  SR_ERROR_NONE,
  SR_ERROR_BAD_JSON,
  SR_ERROR_BAD_FIELD,
  SR_ERROR_BAD_HEADER,
  SR_ERROR_TRUNCATED,
  SR_ERROR_BAD_KEY,
  SR_ERROR_NO_BUDGET,
  SR_ERROR_BUDGET_NOT_YOURS,
  SR_ERROR_UNKNOWN_SERVICE,
  SR_ERROR_UNKNOWN_REQUEST,
  SR_ERROR_KEY_REUSED,
  SR_ERROR_KEY_EXPIRED,
  SR_ERROR_TOO_LARGE,
  SR_ERROR_QUEUE_FULL,
  SR_ERROR_DEADLINE,
  SR_ERROR_BACKEND_FAILED,
  SR_ERROR_PLATFORM_OUT,
  SR_ERROR_NO_BACKEND,
  SR_ERROR_STOPPING,
  SR_ERROR_STARTING,
  SR_ERROR_TIMEOUT,
  SR_ERROR_IN_PROGRESS,
  SR_ERROR_ABANDONED,
  SR_ERROR_BILL_NOT_PLACED
};

/* The request as received from the caller. Immutable once the run exists. */
struct sr_run_params
{
  GString *team;
  GString *id;
  bool id_is_from_caller; /* the caller chose the id, so it may retry */
  bool is_first_attempt;  /* the caller asserts that it has not sent this id before */
  GString *service;
  GString *budget;
  GString *text; /* model: the prompt; plain: the JSON body */
  int64_t max_tokens;
  unsigned team_weight;
  enum sr_priority priority;
  int64_t deadline_us; /* monotonic */
  uint64_t fingerprint[2];
  bool is_look_up; /* only queries the outcome of an order; nothing is run */
};

/* How a run ended. */
struct sr_run_result
{
  enum sr_outcome outcome;
  enum sr_error error;
  int64_t retry_after_ms; /* 0: a retry would not help */
  int64_t prompt_tokens;
  int64_t output_tokens;
  int64_t billed_tokens;
};

struct sr_run;

/* Called once when there is more text or the run has ended. It is called with the run locked, so it
 * must not call functions of the run. */
typedef void (*sr_run_listener) (void *data);

struct sr_run *sr_run_new (struct sr_run_params *params, struct sr_config *config);
struct sr_run *sr_run_ref (struct sr_run *run);
void sr_run_unref (struct sr_run *run);
const struct sr_run_params *sr_run_params (const struct sr_run *run);
const struct sr_config_service *sr_run_service (const struct sr_run *run);
void sr_run_params_free (struct sr_run_params *params);

enum sr_run_state sr_run_state (struct sr_run *run);
void sr_run_set_running (struct sr_run *run);
void sr_run_append (struct sr_run *run, const char *text, size_t length, unsigned tokens);
void sr_run_set_result_text (struct sr_run *run, const char *text, size_t length);
void sr_run_finish (struct sr_run *run, const struct sr_run_result *result);
const struct sr_run_result *sr_run_result (struct sr_run *run);
int64_t sr_run_tokens (struct sr_run *run);
int64_t sr_run_finished_us (struct sr_run *run);

size_t sr_run_text_length (struct sr_run *run);
void sr_run_copy_text (struct sr_run *run, size_t offset, GString *out);
void sr_run_copy_text_bounded (struct sr_run *run, size_t offset, size_t max_bytes, GString *out);
void sr_run_copy_text_and_tokens (struct sr_run *run, size_t offset, GString *out, int64_t *tokens);
bool sr_run_wait_for_more (
    struct sr_run *run, size_t offset, bool until_end, sr_run_listener listener, void *data);
void sr_run_add_listener (struct sr_run *run);
void sr_run_remove_listener (struct sr_run *run, void *data);
bool sr_run_is_abandoned (struct sr_run *run, int64_t now_us);

enum sr_outcome sr_run_refusal_outcome (const struct sr_run_params *params);
const char *sr_run_state_to_string (enum sr_run_state state);
const char *sr_error_code (enum sr_error error);
const char *sr_error_message (enum sr_error error);
int sr_error_http_status (enum sr_error error);
