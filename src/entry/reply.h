/* JSON bodies of replies to callers, see docs/API.md. */
#pragma once

#include "request/run.h"

enum
{
  SR_HTTP_OK = 200,
  SR_HTTP_ACCEPTED = 202,
  SR_HTTP_NOT_FOUND = 404,
  SR_HTTP_METHOD_NOT_ALLOWED = 405,
  SR_HTTP_UNAVAILABLE = 503
};

char *sr_reply_error (const char *request,
                      enum sr_outcome outcome,
                      enum sr_error error,
                      int64_t retry_after_ms);
char *sr_reply_answer (struct sr_run *run);
char *sr_reply_in_progress (struct sr_run *run);
void sr_reply_stream_text (const GString *text, GString *out);
void sr_reply_stream_end (struct sr_run *run, GString *out);
