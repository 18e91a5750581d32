/* Child processes of a test. Each writes to its own log file and is ended by its process ID. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct harness_process
{
  char *name;
  char *directory;
  GPtrArray *arguments; /* char *, NULL-terminated */
  char *log_path;       /* of the current run */
  unsigned runs;
  pid_t pid; /* 0: not running */
};

struct harness_process *
harness_process_new (const char *directory, const char *name, GPtrArray *arguments);
void harness_process_delete (struct harness_process *process);
bool harness_process_start (struct harness_process *process);
bool harness_process_wait_ready (struct harness_process *process, int64_t limit_ms);
void harness_process_kill (struct harness_process *process);
bool harness_process_terminate (struct harness_process *process, int64_t limit_ms, int *exit_code);
bool harness_process_wait (struct harness_process *process, int64_t limit_ms, int *exit_code);
void harness_process_signal (struct harness_process *process, int number);
bool harness_process_is_running (struct harness_process *process);
int64_t harness_process_rss_kib (const struct harness_process *process);
int64_t harness_process_peak_rss_kib (const struct harness_process *process);
unsigned harness_process_descriptors (const struct harness_process *process);
int64_t harness_process_cpu_us (const struct harness_process *process);
char *harness_process_log (const struct harness_process *process);
