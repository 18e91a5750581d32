/* Orders that may not be repeated: a claim on the platform before dispatch. */
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
  SR_CLAIM_WON,          /* ours: dispatch once */
  SR_CLAIM_TAKEN,        /* claimed before: outcome and, when stored, the answer are given */
  SR_CLAIM_OTHER_BODY,   /* the same key with another body */
  SR_CLAIM_EXPIRED,      /* the key's day is over, or it has no day */
  SR_CLAIM_PLATFORM_OUT, /* certainly not claimed by us, nothing known of others */
  SR_CLAIM_DOUBT, /* the write may have taken effect and could not be read back: never dispatch */
  SR_CLAIM_ABSENT /* look-up only: there is no claim of this key */
};

struct sr_claim_request
{
  const char *team;
  const char *request;
  uint64_t fingerprint[2]; /* XXH3-128 of service and body */
  const char *instance;
  uint64_t nonce;     /* random, one for each attempt to claim */
  int64_t now_ms;     /* real time */
  bool first_attempt; /* the caller vouches that it never sent this key before */
};

struct sr_claim
{
  enum sr_claim_verdict verdict;
  enum sr_outcome outcome; /* what may be told of the request, whatever the verdict */
  bool in_progress;        /* for TAKEN: no outcome stored yet */
  GString *answer;         /* for TAKEN and answered: the stored answer; the caller frees it */
  int64_t version;         /* of the claim object; for WON the fencing number */
  char holder[64];         /* instance that claimed */
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
void sr_orders_peek (struct sr_orders *orders,
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
