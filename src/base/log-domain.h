/* Included before every source file by the Makefile. */
#pragma once

#define G_LOG_DOMAIN "sapphirerun"
