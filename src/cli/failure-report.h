/* The failed requests of logs and what their lines say of the cause. */
#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

struct failure_report;

/* One request that was not answered with success. */
struct failure
{
  const char *request;
  const char *instance;
  char *cause;      /* in words; NULL: its lines do not tell */
  GPtrArray *lines; /* json_t, its events in order */
};

typedef void (*failure_callback) (const struct failure *failure, void *data);

struct failure_report *failure_report_new (void);
void failure_report_delete (struct failure_report *report);
bool failure_report_add (struct failure_report *report, const char *line);
unsigned failure_report_each (struct failure_report *report, failure_callback callback, void *data);
