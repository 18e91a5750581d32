/* The reports that an instance has had, in bounded memory, so that it passes each on only once.
 * What one report on an end adds to another is kept as a union, which is the same in any order. No
 * thread, socket or clock. */
#pragma once

#include "quarantine/quarantine.h"

struct known_reports;

struct known_reports *known_reports_new (void);
void known_reports_delete (struct known_reports *known);
bool known_reports_add (struct known_reports *known, const struct quarantine_report *report);
bool known_reports_is_cleared (struct known_reports *known, const struct quarantine_report *report);
