/* One connection of a caller on the entry's loop: HTTP around requests that come one by one. */
#pragma once

#include "entry/entry-private.h"

struct sr_connection;

/* The head of a reply. */
struct sr_reply_head
{
  unsigned status;
  const char *type;       /* media type */
  const char *request;    /* id; NULL: not known */
  int64_t retry_after_ms; /* 0: not said */
  bool is_streamed;       /* the body's length is not known */
  size_t length;          /* else */
};

void sr_connection_register_metrics (void);
void sr_connection_accept (struct sr_entry *entry);
void sr_connection_close_all (struct sr_entry *entry);
void sr_connection_close_idle (struct sr_entry *entry);
void sr_connection_begin (struct sr_connection *connection, const struct sr_reply_head *head);
void sr_connection_body (struct sr_connection *connection, const char *data, size_t length);
size_t sr_connection_queued (const struct sr_connection *connection);
void sr_connection_end (struct sr_connection *connection);
void sr_connection_break_off (struct sr_connection *connection);
