/* The execution of one run by a worker, shared by the files that implement it. */
#pragma once

#include "backend/backend.h"
#include "dispatch/dispatch-private.h"

enum
{
  SR_EXECUTION_CALL_ID_MAX_BYTES = 512,
  SR_EXECUTION_RETRY_AFTER_MS = 2000,
  SR_EXECUTION_ATTEMPTS_WITHOUT_PROGRESS_MAX = 3 /* consecutive attempts without a new token */
};

struct execution
{
  struct sr_dispatch *dispatch;
  struct sr_run *run;
  const struct sr_run_params *params;
  const struct sr_config_service *service;
  int64_t started_us;
  bool has_had_slot; /* no longer counted in awaiting_slot */
  bool may_have_run; /* an attempt, here or at a peer, may have run at a backend server */
  unsigned attempts_without_progress;
  GPtrArray *failed_backends; /* names (char *), excluded from the next picks */
  struct sr_route route;
  struct sr_reservation *reservation;
  char call_id[SR_EXECUTION_CALL_ID_MAX_BYTES];
};

void sr_execution_run_model_ (struct execution *execution);
void sr_execution_run_plain_ (struct execution *execution);
void sr_execution_run_order_ (struct execution *execution);
void sr_execution_look_up_ (struct execution *execution);
bool sr_execution_after_failed_attempt_ (struct execution *execution,
                                         enum sr_backend_status status,
                                         bool has_new_tokens);
bool sr_execution_reserve_ (struct execution *execution, int64_t tokens);
bool sr_execution_take_slot_ (struct execution *execution);
void sr_execution_release_slot_ (struct execution *execution,
                                 enum sr_route_result result,
                                 const struct sr_backend_report *report);
enum sr_route_result sr_execution_route_result_ (enum sr_backend_status status);
void sr_execution_prepare_call_ (struct execution *execution, struct sr_backend_call *call);
bool sr_execution_record_bill_ (struct execution *execution, const struct sr_run_result *result);
void
sr_execution_refuse_ (struct execution *execution, enum sr_error error, int64_t retry_after_ms);
void sr_execution_finish_ (struct execution *execution, const struct sr_run_result *result);
void sr_execution_answer_plain_ (struct execution *execution,
                                 struct sr_backend_report *report,
                                 bool is_recorded);
enum sr_route_verdict sr_execution_wait_for_slot_ (struct execution *execution);
void sr_execution_register_model_metrics_ (void);
