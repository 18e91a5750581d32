/* Included before every source file by a compiler option in the Makefile. */
#pragma once

#define G_LOG_DOMAIN "sapphirerun"
