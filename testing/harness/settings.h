/* Writes the settings files of a test's instances. */
#pragma once

#include "testing/harness/harness.h"

char *harness_write_settings (const struct harness *harness, unsigned instance);
