#include "bill/bill.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

struct sr_bills
{
  struct sr_bills_options options;
  _Atomic uint64_t next_batch;
};

/* Creates the bills of one instance. The platform must outlive them. The caller owns them. */
struct sr_bills *
sr_bills_new (const struct sr_bills_options *options)
{
  struct sr_bills *bills = g_new0 (struct sr_bills, 1);

  bills->options = *options;
  return bills;
}

/* Frees BILLS. NULL is allowed. */
void
sr_bills_delete (struct sr_bills *bills)
{
  g_free (bills);
}

/* Writes BILL to the platform as a batch of one. Returns false when the platform did not take it.
 */
bool
sr_bills_record (struct sr_bills *bills, const struct sr_bill *bill, int64_t deadline_us)
{
  json_t *root = json_pack ("[{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I}]", "team", bill->team, "budget",
                            bill->budget, "request", bill->request, "service", bill->service,
                            "prompt_tokens", (json_int_t)bill->prompt_tokens, "output_tokens",
                            (json_int_t)bill->output_tokens, "billed_tokens",
                            (json_int_t)bill->billed_tokens, "time_ms", (json_int_t)bill->time_ms);
  char *text = json_dumps (root, JSON_COMPACT);
  enum sr_platform_status status;
  char name[128];
  int64_t version;

  snprintf (name, sizeof name, "%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "u",
            bills->options.instance, bills->options.incarnation,
            (guint64)atomic_fetch_add (&bills->next_batch, 1));
  status
      = sr_platform_put (bills->options.platform, "bills", name, text, strlen (text), 0, &version);
  free (text);
  json_decref (root);
  return status == SR_PLATFORM_OK || status == SR_PLATFORM_CONFLICT;
}

/* Nothing is held here, so there is nothing to hand over. */
bool
sr_bills_hand_over (struct sr_bills *bills, int64_t deadline_us)
{
  return true;
}
