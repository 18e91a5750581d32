/* Finds the failed requests in the logs of gateways and their causes. */
#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

struct failure_report;

/* A request without a successful response. */
struct failure
{
  const char *request;
  const char *instance;
  char *cause;      /* as text; NULL: can't be determined from its lines */
  GPtrArray *lines; /* json_t, its events in the order they were added */
};

typedef void (*failure_callback) (const struct failure *failure, void *data);

struct failure_report *failure_report_new (void);
void failure_report_delete (struct failure_report *report);
bool failure_report_add (struct failure_report *report, const char *line);
unsigned
failure_report_for_each (struct failure_report *report, failure_callback callback, void *data);
