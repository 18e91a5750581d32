/* Bills: one line for each answered request, kept by a second place before the answer's last byte.
 */
#pragma once

#include "platform/platform.h"

#include <glib.h>
#include <stdatomic.h>
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

struct sr_bills_options
{
  struct sr_platform *platform;
  const char *instance;
  uint64_t incarnation;
};

struct sr_bills *
sr_bills_new (const struct sr_bills_options *options);
void
sr_bills_delete (struct sr_bills *bills);

/* Returns once a peer or the platform holds the bill, or false when neither did until deadline_us.
 */
bool
sr_bills_record (struct sr_bills *bills, const struct sr_bill *bill, int64_t deadline_us);
bool
sr_bills_hand_over (struct sr_bills *bills, int64_t deadline_us);
