/* Bills: one line for each answered request. A second copy, at a peer or on the platform, exists
 * before the last byte of the response is sent. */
#pragma once

#include "member/member.h"
#include "peer/peer.h"
#include "platform/platform.h"

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

/* Strings are copied; platform, peers and members must outlive the struct sr_bills. */
struct sr_bills_options
{
  struct sr_platform *platform;
  struct sr_peer_client *peers; /* NULL: the second copy is made on the platform */
  struct sr_members *members;   /* NULL: no peers, unless get_view is set */
  /* Returns the view of the peers, of which the caller owns a reference; NULL: sr_members_view
   * of members. */
  struct sr_member_view *(*get_view) (void *data);
  void *get_view_data;
  const char *instance;
  const char *data_centre;
  uint64_t incarnation;
  unsigned write_interval_ms; /* between batches; 0: 5000 */
};

struct sr_bills *sr_bills_new (const struct sr_bills_options *options);
bool sr_bills_start (struct sr_bills *bills);
void sr_bills_stop (struct sr_bills *bills);
void sr_bills_delete (struct sr_bills *bills);
void sr_bills_add_to_server (struct sr_bills *bills, struct sr_peer_server *server);
bool sr_bills_record (struct sr_bills *bills, const struct sr_bill *bill, int64_t deadline_us);
bool sr_bills_are_stalled (struct sr_bills *bills, int64_t now_us);
bool sr_bills_flush (struct sr_bills *bills, int64_t deadline_us);

/* Selects bills; a NULL field matches all. */
struct sr_bill_filter
{
  const char *team;
  const char *budget;
};

typedef bool (*sr_bill_callback) (const struct sr_bill *bill, void *data);

enum sr_platform_status sr_bills_read (struct sr_platform *platform,
                                       const struct sr_bill_filter *filter,
                                       sr_bill_callback callback,
                                       void *data);
