/* Encoding of a claim object on the platform: one line of JSON, then the bytes of the stored
 * answer. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum sr_order_state
{
  SR_ORDER_CLAIMED, /* no outcome stored yet */
  SR_ORDER_ANSWERED,
  SR_ORDER_NOT_RUN,
  SR_ORDER_UNKNOWN /* may have been executed */
};

struct sr_order_record
{
  enum sr_order_state state;
  uint64_t nonce; /* identifies the attempt that wrote the claim */
  uint64_t fingerprint[2];
  char holder[64]; /* instance that claimed the order */
  bool has_answer; /* false also when the answer was too long to store */
  GString *answer; /* empty when there is none */
};

void sr_order_record_init (struct sr_order_record *record);
void sr_order_record_clear (struct sr_order_record *record);
void sr_order_record_encode (const struct sr_order_record *record, GString *body);
bool sr_order_record_decode (const GString *body, struct sr_order_record *record);
