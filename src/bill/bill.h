/* Bills: one line for each answered request, kept by a second place before the answer's last byte.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sr_bill
{
  const char *team;
  const char *budget;
  const char *request;
  const char *service;
  int64_t prompt_tokens;
  int64_t output_tokens;
  int64_t billed_tokens;
  int64_t time_ms; /* real time */
};

struct sr_bills;

/* Returns once a peer or the platform holds the bill, or false when neither did until deadline_us.
 */
bool
sr_bills_record (struct sr_bills *bills, const struct sr_bill *bill, int64_t deadline_us);
bool
sr_bills_hand_over (struct sr_bills *bills, int64_t deadline_us);
