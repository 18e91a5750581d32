#include "testing/harness/process.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  US_PER_MS = 1000,
  US_PER_S = 1000000,
  POLL_MS = 10,
  LOG_MODE = 0644
};

static void run_child_ (const struct harness_process *process, int log_fd, pid_t parent);
static int64_t memory_kib_ (const struct harness_process *process, const char *field);
static bool reap_ (struct harness_process *process, int *exit_code);

/* Creates a process without starting it. Takes ownership of ARGUMENTS (char *, program first). */
struct harness_process *
harness_process_new (const char *directory, const char *name, GPtrArray *arguments)
{
  struct harness_process *process = g_new0 (struct harness_process, 1);

  process->name = g_strdup (name);
  process->directory = g_strdup (directory);
  process->arguments = arguments;
  g_ptr_array_add (arguments, NULL);
  return process;
}

/* Kills the process if it runs and frees PROCESS. */
void
harness_process_delete (struct harness_process *process)
{
  if (process == NULL)
    return;
  harness_process_kill (process);
  g_ptr_array_free (process->arguments, TRUE);
  g_free (process->name);
  g_free (process->directory);
  g_free (process->log_path);
  g_free (process);
}

/* Starts the process; its output goes to DIRECTORY/NAME.RUN.log. It is killed by the kernel when
 * the thread that started it ends. */
bool
harness_process_start (struct harness_process *process)
{
  pid_t parent = getpid ();
  pid_t pid;
  int log_fd;

  g_assert (process->pid == 0);
  g_free (process->log_path);
  process->log_path
      = g_strdup_printf ("%s/%s.%u.log", process->directory, process->name, ++process->runs);
  log_fd = open (process->log_path, O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, LOG_MODE);
  if (log_fd < 0)
    return false;
  pid = fork ();
  if (pid == 0)
    run_child_ (process, log_fd, parent);
  close (log_fd);
  process->pid = MAX (pid, 0);
  return pid > 0;
}

/* Waits until the process has printed its line "ready ..". */
bool
harness_process_wait_ready (struct harness_process *process, int64_t limit_ms)
{
  int64_t end_us = g_get_monotonic_time () + limit_ms * US_PER_MS;

  while (harness_process_is_running (process))
    {
      g_autofree char *log = harness_process_log (process);

      if (g_str_has_prefix (log, "ready ") || strstr (log, "\nready ") != NULL)
        return true;
      if (g_get_monotonic_time () >= end_us)
        return false;
      g_usleep (POLL_MS * US_PER_MS);
    }
  return false;
}

/* Ends the process immediately (SIGKILL). */
void
harness_process_kill (struct harness_process *process)
{
  if (process->pid == 0)
    return;
  kill (process->pid, SIGKILL);
  while (waitpid (process->pid, NULL, 0) < 0 && errno == EINTR)
    ;
  process->pid = 0;
}

/* Requests the process to stop (SIGTERM) and waits until it exits. Returns false when it is still
 * running after LIMIT_MS. EXIT_CODE is -1 when a signal ended it. */
bool
harness_process_terminate (struct harness_process *process, int64_t limit_ms, int *exit_code)
{
  harness_process_signal (process, SIGTERM);
  return harness_process_wait (process, limit_ms, exit_code);
}

/* Waits until the process exits; false after LIMIT_MS. */
bool
harness_process_wait (struct harness_process *process, int64_t limit_ms, int *exit_code)
{
  int64_t end_us = g_get_monotonic_time () + limit_ms * US_PER_MS;

  while (!reap_ (process, exit_code))
    {
      if (g_get_monotonic_time () >= end_us)
        return false;
      g_usleep (POLL_MS * US_PER_MS);
    }
  return true;
}

/* Sends a signal, for example SIGSTOP. */
void
harness_process_signal (struct harness_process *process, int number)
{
  if (process->pid != 0)
    kill (process->pid, number);
}

bool
harness_process_is_running (struct harness_process *process)
{
  int exit_code;

  return !reap_ (process, &exit_code);
}

/* Resident memory in KiB, or 0. */
int64_t
harness_process_rss_kib (const struct harness_process *process)
{
  return memory_kib_ (process, "VmRSS:");
}

/* The highest resident memory since the process started in KiB, or 0. */
int64_t
harness_process_peak_rss_kib (const struct harness_process *process)
{
  return memory_kib_ (process, "VmHWM:");
}

/* The number of open descriptors, or 0. */
unsigned
harness_process_descriptors (const struct harness_process *process)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/fd", (int)process->pid);
  GDir *directory = g_dir_open (path, 0, NULL);
  unsigned count = 0;

  if (directory == NULL)
    return 0;
  while (g_dir_read_name (directory) != NULL)
    count++;
  g_dir_close (directory);
  return count;
}

/* The value of FIELD, with its colon, in the status file of the process. */
static int64_t
memory_kib_ (const struct harness_process *process, const char *field)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", (int)process->pid);
  g_autofree char *text = NULL;
  const char *line;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  line = strstr (text, field);
  return line != NULL ? strtoll (line + strlen (field), NULL, 10) : 0;
}

/* Processor time used so far, user and system, in microseconds. */
int64_t
harness_process_cpu_us (const struct harness_process *process)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/stat", (int)process->pid);
  g_autofree char *text = NULL;
  long long user = 0, system = 0;
  const char *rest;

  if (!g_file_get_contents (path, &text, NULL, NULL) || (rest = strrchr (text, ')')) == NULL)
    return 0;
  /* Fields 14 and 15 of proc(5); the third follows the name in parentheses. */
  for (int field = 2; field < 13 && rest != NULL; field++)
    rest = strchr (rest + 1, ' ');
  if (rest != NULL)
    {
      char *next;

      user = strtoll (rest, &next, 10);
      system = strtoll (next, NULL, 10);
    }
  return (user + system) * US_PER_S / sysconf (_SC_CLK_TCK);
}

/* The output of the current run; the caller frees it. */
char *
harness_process_log (const struct harness_process *process)
{
  char *text = NULL;

  if (process->log_path == NULL || !g_file_get_contents (process->log_path, &text, NULL, NULL))
    return g_strdup ("");
  return text;
}

static void
run_child_ (const struct harness_process *process, int log_fd, pid_t parent)
{
  sigset_t none;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (1);
  sigemptyset (&none);
  sigprocmask (SIG_SETMASK, &none, NULL);
  dup2 (log_fd, STDOUT_FILENO);
  dup2 (log_fd, STDERR_FILENO);
  execv (process->arguments->pdata[0], (char **)process->arguments->pdata);
  perror (process->arguments->pdata[0]);
  _exit (1);
}

/* Reaps the process if it has exited; returns whether it is no longer running. */
static bool
reap_ (struct harness_process *process, int *exit_code)
{
  int status;

  *exit_code = -1;
  if (process->pid == 0)
    return true;
  if (waitpid (process->pid, &status, WNOHANG) != process->pid)
    return false;
  if (WIFEXITED (status))
    *exit_code = WEXITSTATUS (status);
  process->pid = 0;
  return true;
}
