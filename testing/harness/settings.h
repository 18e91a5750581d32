/* Settings files of the instances of a test. */
#pragma once

#include "testing/harness/harness.h"

char *harness_write_settings (const struct harness *harness, unsigned instance);
