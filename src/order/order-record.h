/* The body of a claim object: one line of JSON, then the stored answer as it was. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum sr_order_state
{
  SR_ORDER_CLAIMED,
  SR_ORDER_ANSWERED,
  SR_ORDER_NOT_RUN,
  SR_ORDER_UNKNOWN
};

struct sr_order_record
{
  enum sr_order_state state;
  uint64_t nonce;
  uint64_t fingerprint[2];
  char holder[64];
  bool has_answer;
  GString *answer; /* empty when there is none */
};

void sr_order_record_init (struct sr_order_record *record);
void sr_order_record_clear (struct sr_order_record *record);
void sr_order_record_encode (const struct sr_order_record *record, GString *body);
bool sr_order_record_decode (const GString *body, struct sr_order_record *record);
