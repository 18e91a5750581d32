/* Orders, that is calls that may not be repeated: at most one execution each. An order is claimed
 * in the platform before it is dispatched, and its outcome is stored in the claim. Safe to call
 * from any thread unless stated otherwise. */
#pragma once

#include "base/outcome.h"
#include "platform/platform.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  SR_ORDER_ANSWER_MAX_BYTES = 1000000 /* a longer answer is not stored */
};

enum sr_claim_verdict
{
  SR_CLAIM_WON,          /* claimed by this attempt: dispatch it once */
  SR_CLAIM_TAKEN,        /* claimed before: the outcome and, if stored, the answer are set */
  SR_CLAIM_OTHER_BODY,   /* claimed before with another body */
  SR_CLAIM_EXPIRED,      /* the day of the key is over, has not begun, or is missing */
  SR_CLAIM_PLATFORM_OUT, /* certainly not claimed by this attempt; whether by another is unknown */
  SR_CLAIM_UNCONFIRMED,  /* the write may have taken effect but could not be confirmed: never
                            dispatch */
  SR_CLAIM_ABSENT        /* look-up only: the key is not claimed */
};

struct sr_claim_request
{
  const char *team;
  const char *request;
  uint64_t fingerprint[2]; /* XXH3-128 of service and body */
  const char *instance;
  uint64_t nonce;     /* random, one for each attempt to claim */
  int64_t now_ms;     /* real time */
  bool first_attempt; /* the caller asserts that it has not sent this key before */
};

struct sr_claim
{
  enum sr_claim_verdict verdict;
  enum sr_outcome outcome; /* outcome to report for the request, for any verdict */
  bool in_progress;        /* for TAKEN: no outcome is stored yet */
  GString *answer;         /* for TAKEN and answered: the stored answer, else NULL */
  int64_t version;         /* of the claim object; for WON also the fencing token */
  char holder[64];         /* for TAKEN: instance that claimed the order */
};

struct sr_orders;

struct sr_orders *sr_orders_new (struct sr_platform *platform);
void sr_orders_delete (struct sr_orders *orders);
void sr_orders_claim (struct sr_orders *orders,
                      const struct sr_claim_request *request,
                      struct sr_claim *claim);
bool sr_orders_finish (struct sr_orders *orders,
                       const struct sr_claim_request *request,
                       struct sr_claim *claim,
                       enum sr_outcome outcome,
                       const char *answer,
                       size_t length);
void sr_orders_check_claim (struct sr_orders *orders,
                            const struct sr_claim_request *request,
                            struct sr_claim *claim);
void sr_orders_look_up (struct sr_orders *orders,
                        const char *team,
                        const char *request,
                        struct sr_claim *claim);
unsigned sr_orders_retry_pending (struct sr_orders *orders);
unsigned sr_orders_remove_expired (struct sr_orders *orders, int64_t now_ms, unsigned page);
const char *sr_claim_verdict_to_string (enum sr_claim_verdict verdict);
void sr_claim_clear (struct sr_claim *claim);
