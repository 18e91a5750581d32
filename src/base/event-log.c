#include "base/event-log.h"

#include "base/counters.h"
#include "base/log.h"
#include "base/thread.h"

#include <errno.h>
#include <jansson.h>
#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  BUFFER_MAX_BYTES = 256 * 1024, /* two seconds at LINES_PER_S */
  INFO_LINES_PER_S = 400,        /* 25 requests a second with all their events */
  LINES_PER_S = 800, /* all levels together; the rest above INFO_LINES_PER_S is for warnings */
  WRITE_INTERVAL_MS = 250, /* longest delay until a line is written */
  STALL_WAIT_MS = 100,     /* interval at which a blocked write checks for the end of the log */
  STACK_BYTES = 64 * 1024
};

static pthread_mutex_t mutex_ = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t stop_cond_;
static GString *buffer_;
static char *instance_;
static pthread_t thread_;
static bool running_;
static bool stopping_;
static int64_t second_;
static unsigned lines_in_second_;
static unsigned dropped_in_second_;

static struct sr_counter lines_counter_
    = { .name = "sapphirerun_log_lines_total", .help = "Log lines written." };
static struct sr_counter dropped_counter_
    = { .name = "sapphirerun_log_lines_dropped_total", .help = "Log lines left out." };

static void *write_lines_ (void *data);
static void write_all_ (const char *bytes, size_t length);
static void append_ (const char *level, const char *event, json_t *fields);
static bool may_log_ (enum sr_event_level level, int64_t now_s);

/* Starts the writing thread. INSTANCE is part of every line. Events logged before this call or
 * after sr_event_log_stop are dropped. Returns false when the thread can't be started. */
bool
sr_event_log_start (const char *instance)
{
  sr_counter_register (&lines_counter_);
  sr_counter_register (&dropped_counter_);
  instance_ = g_strdup (instance);
  buffer_ = g_string_sized_new (4096);
  sr_cond_init (&stop_cond_);
  stopping_ = false;
  running_ = sr_thread_start (&thread_, STACK_BYTES, write_lines_, NULL);
  return running_;
}

/* Writes the buffered lines as far as the reader accepts them without delay, and ends the
 * thread. */
void
sr_event_log_stop (void)
{
  if (!running_)
    return;
  pthread_mutex_lock (&mutex_);
  stopping_ = true;
  pthread_cond_signal (&stop_cond_);
  pthread_mutex_unlock (&mutex_);
  pthread_join (thread_, NULL);
  running_ = false;
  g_string_free (buffer_, TRUE);
  buffer_ = NULL;
  g_clear_pointer (&instance_, g_free);
}

/* Logs EVENT, a constant identifier, with the fields of the JSON object that FORMAT and the
 * further arguments describe as for json_pack. Never blocks on the reader; may be called from
 * any thread. */
void
sr_event (enum sr_event_level level, const char *event, const char *format, ...)
{
  int64_t now_s = g_get_monotonic_time () / G_USEC_PER_SEC;
  json_error_t error;
  json_t *fields = NULL;
  va_list args;
  bool is_logged;

  pthread_mutex_lock (&mutex_);
  is_logged = running_ && !stopping_ && may_log_ (level, now_s);
  /* Packing takes the references of values ("o"), which a line that is dropped must release, too.
   */
  if (is_logged || strchr (format, 'o') != NULL)
    {
      va_start (args, format);
      fields = json_vpack_ex (&error, 0, format, args);
      va_end (args);
    }
  if (is_logged)
    {
      if (fields == NULL)
        fields = json_pack ("{s:s}", "log_error", error.text);
      append_ (level == SR_EVENT_WARNING ? "warning" : "info", event, fields);
    }
  pthread_mutex_unlock (&mutex_);
  json_decref (fields);
}

/* Returns whether the limit for the current second allows another line. The first line of a new
 * second is preceded by the number of lines dropped in an earlier one. */
static bool
may_log_ (enum sr_event_level level, int64_t now_s)
{
  unsigned limit = level == SR_EVENT_WARNING ? LINES_PER_S : INFO_LINES_PER_S;

  if (now_s != second_)
    {
      unsigned dropped = dropped_in_second_;

      second_ = now_s;
      lines_in_second_ = 0;
      dropped_in_second_ = 0;
      if (dropped > 0)
        {
          json_t *fields = json_pack ("{s:i}", "lines", (int)dropped);

          append_ ("warning", "log_lines_dropped", fields);
          json_decref (fields);
        }
    }
  if (lines_in_second_ >= limit || buffer_->len > BUFFER_MAX_BYTES)
    {
      dropped_in_second_++;
      sr_counter_add (&dropped_counter_, 1);
      return false;
    }
  lines_in_second_++;
  return true;
}

static void
append_ (const char *level, const char *event, json_t *fields)
{
  struct timespec now;
  char time[64];
  struct tm parts;
  size_t length;
  char *text;

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &parts);
  length = strftime (time, sizeof time, "%Y-%m-%dT%H:%M:%S", &parts);
  g_snprintf (time + length, sizeof time - length, ".%03ldZ", now.tv_nsec / 1000000);
  text = json_dumps (fields, JSON_COMPACT | JSON_PRESERVE_ORDER);
  if (text == NULL)
    return;
  g_string_append_printf (buffer_,
                          "{\"time\":\"%s\",\"level\":\"%s\",\"instance\":\"%s\",\"event\":\"%s\"",
                          time, level, instance_, event);
  if (text[1] != '}')
    g_string_append_c (buffer_, ',');
  g_string_append (buffer_, text + 1);
  g_string_append_c (buffer_, '\n');
  free (text);
  sr_counter_add (&lines_counter_, 1);
}

static void *
write_lines_ (void *data)
{
  GString *batch = g_string_sized_new (4096);
  bool stop = false;

  while (!stop)
    {
      GString *swap;

      pthread_mutex_lock (&mutex_);
      if (!stopping_)
        sr_cond_wait_until (&stop_cond_, &mutex_,
                            g_get_monotonic_time () + WRITE_INTERVAL_MS * 1000);
      stop = stopping_;
      swap = buffer_;
      buffer_ = batch;
      batch = swap;
      pthread_mutex_unlock (&mutex_);
      write_all_ (batch->str, batch->len);
      g_string_truncate (batch, 0);
    }
  g_string_free (batch, TRUE);
  return NULL;
}

/* Writes to standard output. If the reader has closed it, the lines are lost; while the reader
 * is blocked this thread waits, except when the log is being stopped. */
static void
write_all_ (const char *bytes, size_t length)
{
  size_t done = 0;

  while (done < length)
    {
      struct pollfd ready = { .fd = STDOUT_FILENO, .events = POLLOUT };
      ssize_t written;

      if (poll (&ready, 1, STALL_WAIT_MS) == 0)
        {
          bool stopping;

          pthread_mutex_lock (&mutex_);
          stopping = stopping_;
          pthread_mutex_unlock (&mutex_);
          if (stopping)
            return;
          continue;
        }
      written = write (STDOUT_FILENO, bytes + done, MIN (length - done, (size_t)4096));
      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        return;
      done += (size_t)written;
    }
}
