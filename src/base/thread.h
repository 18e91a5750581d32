/* POSIX threads: condition variables on the monotonic clock, and threads with a given stack
 * size. */
#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

void sr_cond_init (pthread_cond_t *cond);
bool sr_cond_wait_until (pthread_cond_t *cond, pthread_mutex_t *mutex, int64_t end_us);
bool sr_thread_start (pthread_t *thread, size_t stack_bytes, void *(*body) (void *), void *data);
