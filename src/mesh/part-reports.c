#include "mesh/part-reports.h"

enum
{
  US_PER_MS = 1000,
  AGE_MAX_MS = 86400000 /* older reports are malformed */
};

static bool xdr_report_ (XDR *xdr, struct quarantine_report *report, int64_t now_us);

/* Encodes or decodes up to MESH_PART_REPORTS_MAX REPORTS. Returns false if they are malformed: too
 * many, of an unknown kind, or in the future. */
bool
part_reports_xdr (XDR *xdr, struct quarantine_report *reports, unsigned *n_reports, int64_t now_us)
{
  if (!xdr_u_int (xdr, n_reports) || *n_reports > MESH_PART_REPORTS_MAX)
    return false;
  for (unsigned i = 0; i < *n_reports; i++)
    if (!xdr_report_ (xdr, &reports[i], now_us))
      return false;
  return true;
}

/* Times are sent as ages, as instances have no common clock. */
static bool
xdr_report_ (XDR *xdr, struct quarantine_report *report, int64_t now_us)
{
  u_int kind = report->kind;
  int64_t age_ms = MAX ((now_us - report->at_us) / US_PER_MS, 0);
  u_int progress = report->progress;
  bool_t survived_before = report->survived_before;

  if (!xdr_u_int (xdr, &kind) || !xdr_uint64_t (xdr, &report->part) || !xdr_int64_t (xdr, &age_ms)
      || !xdr_uint64_t (xdr, &report->backend) || !xdr_int64_t (xdr, &report->started_ms)
      || !xdr_uint64_t (xdr, &report->team) || !xdr_u_int (xdr, &progress)
      || !xdr_bool (xdr, &survived_before) || kind > QUARANTINE_CLEARED
      || progress > QUARANTINE_BEGUN || age_ms < 0 || age_ms > AGE_MAX_MS)
    return false;
  report->kind = (enum quarantine_report_kind)kind;
  report->at_us = now_us - age_ms * US_PER_MS;
  report->progress = (enum quarantine_progress)progress;
  report->survived_before = survived_before;
  return true;
}
