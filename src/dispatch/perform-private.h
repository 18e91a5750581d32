/* One request in a worker's hands, shared by the files that carry requests out. */
#pragma once

#include "backend/backend.h"
#include "dispatch/dispatch-private.h"

enum
{
  SR_PERFORM_NAME_MAX_BYTES = 512,
  SR_PERFORM_RETRY_LATER_MS = 2000,
  SR_PERFORM_ATTEMPTS_IN_VAIN_MAX = 3 /* in a row, without a token gained */
};

struct performance
{
  struct sr_dispatch *dispatch;
  struct sr_run *run;
  const struct sr_run_order *order;
  const struct sr_config_service *service;
  int64_t started_us;
  bool has_place; /* counted as handed out no longer */
  bool may_have_run;
  unsigned attempts_in_vain;
  GPtrArray *failed; /* names of backend servers that failed this request */
  struct sr_route route;
  struct sr_reservation *reservation;
  char call_id[SR_PERFORM_NAME_MAX_BYTES];
};

void sr_perform_model_ (struct performance *p);
void sr_perform_plain_ (struct performance *p);
void sr_perform_order_ (struct performance *p);
void sr_perform_look_up_ (struct performance *p);
bool sr_perform_after_failed_attempt_ (struct performance *p,
                                       enum sr_backend_status status,
                                       bool has_gained);
bool sr_perform_reserve_ (struct performance *p, int64_t tokens);
bool sr_perform_take_place_ (struct performance *p);
void sr_perform_give_up_place_ (struct performance *p,
                                enum sr_route_result result,
                                const struct sr_backend_report *report);
enum sr_route_result sr_perform_route_result_ (enum sr_backend_status status);
void sr_perform_prepare_call_ (struct performance *p, struct sr_backend_call *call);
bool sr_perform_place_bill_ (struct performance *p, const struct sr_run_result *result);
void sr_perform_refuse_ (struct performance *p, enum sr_error error, int64_t retry_after_ms);
void sr_perform_finish_ (struct performance *p, const struct sr_run_result *result);
void sr_perform_answer_plain_ (struct performance *p,
                               struct sr_backend_report *report,
                               bool is_recorded);
enum sr_route_verdict sr_perform_wait_for_place_ (struct performance *p);
void sr_perform_model_register_ (void);
