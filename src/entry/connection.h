/* One connection of a caller. Its requests are handled one after the other; a pipelined request
 * waits until the reply before it is complete. All functions run on the entry's thread. */
#pragma once

#include "entry/entry-private.h"

struct sr_connection;

struct sr_reply_head
{
  unsigned status;
  const char *type;       /* media type */
  const char *request;    /* request id; NULL: not known */
  int64_t retry_after_ms; /* 0: no Retry-After header */
  bool is_streamed;       /* the body's length is not known in advance */
  size_t length;          /* of the body, unless streamed */
};

void sr_connection_register_metrics (void);
void sr_connection_update_metrics (const struct sr_entry *entry);
void sr_connection_accept (struct sr_entry *entry);
void sr_connection_close_all (struct sr_entry *entry);
void sr_connection_close_idle (struct sr_entry *entry);
void sr_connection_begin_reply (struct sr_connection *connection, const struct sr_reply_head *head);
void sr_connection_send_body (struct sr_connection *connection, const char *data, size_t length);
size_t sr_connection_queued_bytes (const struct sr_connection *connection);
void sr_connection_end_reply (struct sr_connection *connection);
bool sr_connection_begin_service (struct sr_connection *connection);
void sr_connection_reset (struct sr_connection *connection);
