/* One request of a caller on its connection, from its head to the last byte of its reply. */
#pragma once

#include "entry/entry-private.h"

struct sr_caller
{
  struct sr_entry *entry;
  struct MHD_Connection *connection;
  GList link; /* in the entry's list */
  GString *body;
  bool body_too_large;
  GString *request; /* id, once known */
  struct sr_run *run;
  bool stream;
  size_t sent;    /* bytes of the run's text already in lines */
  GString *lines; /* of a streamed reply, not yet taken by libmicrohttpd */
  size_t lines_taken;
  bool last_line_made;
  pthread_mutex_t mutex;
  bool suspended; /* under mutex */
  atomic_bool gone;
};

struct sr_caller *sr_caller_new (struct sr_entry *entry, struct MHD_Connection *connection);
void sr_caller_delete (struct sr_caller *caller);
void sr_caller_set_request (struct sr_caller *caller, const char *request);
void sr_caller_listen (struct sr_caller *caller, struct sr_run *run);
enum MHD_Result sr_caller_go_on (struct sr_caller *caller);
void sr_caller_check_gone (struct sr_caller *caller);
enum MHD_Result
sr_caller_reply_text (struct sr_caller *caller, int status, const char *type, const char *text);
enum MHD_Result sr_caller_reply_error (struct sr_caller *caller,
                                       enum sr_outcome outcome,
                                       enum sr_error error,
                                       int64_t retry_after_ms);
enum MHD_Result sr_caller_reply_in_progress (struct sr_caller *caller, struct sr_run *run);
