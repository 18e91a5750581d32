/* Encoding of reports on prompt parts in a datagram. */
#pragma once

#include "mesh/mesh.h"

#include <rpc/rpc.h>

bool
part_reports_xdr (XDR *xdr, struct quarantine_report *reports, unsigned *n_reports, int64_t now_us);
