#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  /* Ports, as offsets from base_port, which is the store's port. */
  CONTROL_OFFSET = 1,
  ENTRY_OFFSET = 18,
  READY_OFFSET = 19,
  PEERS_OFFSET = 20,
  PORTS = 24,
  BASE_FIRST = 21000,
  BASE_STEP = 32,
  BASES = 300,
  CALL_LIMIT_MS = 5000
};

static const char platform_address_[] = "127.0.7.100";

FILE *record;
static pthread_mutex_t record_mutex_ = PTHREAD_MUTEX_INITIALIZER;
static int64_t started_ms_;
static struct deployment *current_;

int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

int64_t
now_ms (void)
{
  return now_us () / 1000;
}

/* Writes a line to the record, with the time since the start. */
void
note (const char *format, ...)
{
  va_list args;

  if (started_ms_ == 0)
    started_ms_ = now_ms ();
  pthread_mutex_lock (&record_mutex_);
  fprintf (record, "%8.3f s  ", (double)(now_ms () - started_ms_) / 1000);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_mutex_);
}

bool
trouble_is_wanted (void)
{
  const char *value = getenv ("TROUBLE");

  return value == NULL || strcmp (value, "0") != 0;
}

void
fail_to_run (const char *reason)
{
  note ("the case could not run: %s", reason);
  if (current_ != NULL)
    deployment_end (current_);
  exit (EXIT_NOT_RUN);
}

static void
gateway_address_ (unsigned gateway, char address[16])
{
  snprintf (address, 16, "127.0.7.%u", gateway);
}

static int
connect_ (const char *address, unsigned port)
{
  struct sockaddr_in target = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int peer = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  inet_pton (AF_INET, address, &target.sin_addr);
  if (connect (peer, (struct sockaddr *)&target, sizeof target) != 0)
    {
      close (peer);
      return -1;
    }
  setsockopt (peer, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return peer;
}

static bool
port_is_free_ (const char *address, unsigned port)
{
  struct sockaddr_in target = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int peer = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool free_port;
  int one = 1;

  setsockopt (peer, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  inet_pton (AF_INET, address, &target.sin_addr);
  free_port = bind (peer, (struct sockaddr *)&target, sizeof target) == 0;
  close (peer);
  return free_port;
}

static unsigned
find_base_port_ (unsigned gateways)
{
  unsigned first = (unsigned)getpid () % BASES;

  for (unsigned i = 0; i < BASES; i++)
    {
      unsigned base = BASE_FIRST + (first + i) % BASES * BASE_STEP;
      bool all_free = true;

      for (unsigned port = base; port < base + PORTS && all_free; port++)
        {
          all_free = port_is_free_ (platform_address_, port);
          for (unsigned gateway = 1; gateway <= gateways && all_free; gateway++)
            {
              char address[16];

              gateway_address_ (gateway, address);
              all_free = port_is_free_ (address, port);
            }
        }
      if (all_free)
        return base;
    }
  fail_to_run ("no free ports");
}

/* Starts a program whose output goes to LOG. It ends with the thread that starts it at the latest. */
static pid_t
spawn_ (char *const arguments[], const char *log, const char *settings)
{
  pid_t parent = getpid ();
  pid_t pid = fork ();
  FILE *output;

  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (127);
  output = fopen (log, "a");
  if (output == NULL)
    _exit (127);
  dup2 (fileno (output), STDOUT_FILENO);
  dup2 (fileno (output), STDERR_FILENO);
  if (settings != NULL)
    setenv ("SAPPHIRERUN_NODE_FILE", settings, 1);
  execv (arguments[0], arguments);
  _exit (127);
}

bool
send_all (int peer, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (peer, bytes, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      bytes += sent;
      length -= (size_t)sent;
    }
  return true;
}

/* Receives from PEER until its end or LIMIT_MS. Returns the text, which the caller frees. */
static char *
receive_text_ (int peer, int limit_ms)
{
  int64_t end_ms = now_ms () + limit_ms;
  size_t size = 65536;
  size_t length = 0;
  char *text = malloc (size);

  for (;;)
    {
      struct pollfd ready = { .fd = peer, .events = POLLIN };
      int64_t left_ms = end_ms - now_ms ();
      ssize_t got;

      if (left_ms <= 0 || poll (&ready, 1, (int)left_ms) <= 0)
        break;
      if (size - length < 32768)
        text = realloc (text, size *= 2);
      got = recv (peer, text + length, size - length - 1, 0);
      if (got <= 0)
        break;
      length += (size_t)got;
    }
  text[length] = '\0';
  return text;
}

/* A call to PORT of the stand-in. Returns the response as text, which the caller frees. */
static char *
call_ (unsigned port, const char *method, const char *path, const char *body)
{
  int peer = connect_ (platform_address_, port);
  size_t size = strlen (path) + strlen (body) + 256;
  char *request = malloc (size);
  char *text = NULL;
  char *body_start;
  size_t expected = 0;
  size_t received = 0;
  size_t capacity = 65536;

  snprintf (request, size, "%s %s HTTP/1.1\r\nHost: control\r\nContent-Length: %zu\r\n\r\n%s", method,
            path, strlen (body), body);
  if (peer >= 0 && send_all (peer, request, strlen (request)))
    {
      text = malloc (capacity);
      for (;;)
        {
          struct pollfd ready = { .fd = peer, .events = POLLIN };
          ssize_t got;

          if (poll (&ready, 1, CALL_LIMIT_MS) <= 0)
            break;
          if (capacity - received < 32768)
            text = realloc (text, capacity *= 2);
          got = recv (peer, text + received, capacity - received - 1, 0);
          if (got <= 0)
            break;
          received += (size_t)got;
          text[received] = '\0';
          body_start = strstr (text, "\r\n\r\n");
          if (body_start == NULL)
            continue;
          if (expected == 0)
            {
              const char *length = strstr (text, "Content-Length: ");

              expected = (size_t)(body_start + 4 - text)
                         + (length == NULL ? 0 : strtoul (length + 16, NULL, 10));
            }
          if (received >= expected)
            break;
        }
    }
  if (peer >= 0)
    close (peer);
  free (request);
  return text;
}

static char *
control_ (const struct deployment *deployment, const char *method, const char *path, const char *body)
{
  return call_ (deployment->base_port + CONTROL_OFFSET, method, path, body);
}

/* Returns an object of the store, as the response to a read call, which the caller frees. */
char *
deployment_object (const struct deployment *deployment, const char *kind, const char *name)
{
  char path[200];
  char *text;

  snprintf (path, sizeof path, "/objects/%s/%s", kind, name);
  text = call_ (deployment->base_port, "GET", path, "");
  if (text == NULL || strncmp (text, "HTTP/1.1 200", 12) != 0)
    fail_to_run ("the store has no such object");
  return text;
}

/* Creates an object of the store; OBJECT is its whole text. */
void
deployment_put_object (const struct deployment *deployment, const char *kind, const char *object)
{
  char path[100];
  char *text;

  snprintf (path, sizeof path, "/objects/%s", kind);
  text = call_ (deployment->base_port, "POST", path, object);
  if (text == NULL || strncmp (text, "HTTP/1.1 200", 12) != 0)
    fail_to_run ("the store did not take an object");
  free (text);
}

void
deployment_control (const struct deployment *deployment, const char *path)
{
  char *text = control_ (deployment, "POST", path, "");

  if (text == NULL || strncmp (text, "HTTP/1.1 200", 12) != 0)
    fail_to_run ("the stand-in for the platform refused a control call");
  free (text);
}

/* Returns what the stand-in has counted, as text, which the caller frees. */
char *
deployment_counts (const struct deployment *deployment)
{
  char *text = control_ (deployment, "GET", "/counts", "");

  if (text == NULL || strncmp (text, "HTTP/1.1 200", 12) != 0)
    fail_to_run ("the stand-in for the platform gave no counts");
  return text;
}

void
deployment_configure (struct deployment *deployment, const char *configuration)
{
  char *text = control_ (deployment, "POST", "/configuration", configuration);

  if (text == NULL || strncmp (text, "HTTP/1.1 200", 12) != 0)
    fail_to_run ("the stand-in for the platform refused the configuration");
  free (text);
}

/* Starts the stand-in for the platform with MODELS engines and PLAINS plain services. The gateways
 * are started by deployment_start_gateway, after the first configuration. */
void
deployment_start (struct deployment *deployment,
                  unsigned gateways,
                  unsigned models,
                  unsigned plains,
                  unsigned event_interval_ms)
{
  char port[16], models_text[16], plains_text[16], pace[16], log[300];
  char *const arguments[] = { "target/standin-site", "--address",    (char *)platform_address_,
                              "--port",              port,           "--models",
                              models_text,           "--plains",     plains_text,
                              "--pace-ms",           pace,           NULL };
  const char *temporary = getenv ("TMPDIR");

  *deployment = (struct deployment){ .gateways = gateways, .grace_s = 8 };
  current_ = deployment;
  signal (SIGPIPE, SIG_IGN);
  snprintf (deployment->directory, sizeof deployment->directory, "%s/review-XXXXXX",
            temporary == NULL ? "/tmp" : temporary);
  if (mkdtemp (deployment->directory) == NULL)
    fail_to_run ("no temporary folder");
  deployment->base_port = find_base_port_ (gateways);
  snprintf (port, sizeof port, "%u", deployment->base_port);
  snprintf (models_text, sizeof models_text, "%u", models);
  snprintf (plains_text, sizeof plains_text, "%u", plains);
  snprintf (pace, sizeof pace, "%u", event_interval_ms);
  snprintf (log, sizeof log, "%s/platform.log", deployment->directory);
  deployment->platform = spawn_ (arguments, log, NULL);
  for (int i = 0; i < 200; i++)
    {
      int peer = connect_ (platform_address_, deployment->base_port + CONTROL_OFFSET);

      if (peer >= 0)
        {
          close (peer);
          return;
        }
      usleep (20000);
    }
  fail_to_run ("the stand-in for the platform did not start");
}

/* Starts GATEWAY with the command of the deploy file and the settings that its template gives for a
 * small deployment. */
void
deployment_start_gateway (struct deployment *deployment, unsigned gateway)
{
  char *const arguments[] = { "target/sapphirerun", "serve", NULL };
  char address[16], settings[300], log[300];
  unsigned base = deployment->base_port;
  FILE *file;

  gateway_address_ (gateway, address);
  snprintf (settings, sizeof settings, "%s/gateway-%u.ini", deployment->directory, gateway);
  snprintf (log, sizeof log, "%s/gateway-%u.log", deployment->directory, gateway);
  file = fopen (settings, "w");
  if (file == NULL)
    fail_to_run ("no settings file");
  fprintf (file,
           "[instance]\nname = front-%u\ndata_centre = zone-1\n"
           "[listen]\naddress = %s\nentry = %s:%u\nready = %s:%u\npeer_port = %u\n"
           "[store]\naddress = %s:%u\n"
           "[retries]\nratio = 0.2\nextra = 54\nwindow_s = 10\n"
           "[limits]\nlink_mbps = 1000.0\nmemory_mb = 110\ndescriptors = 4100\n"
           "[prompts]\npart_memory_s = 9.2\n[backends]\nleave_ms = 2000\n"
           "[callers]\ncontracts = base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n"
           "[stop]\nlimit_s = %u\n",
           gateway, address, address, base + ENTRY_OFFSET, address, base + READY_OFFSET,
           base + PEERS_OFFSET, platform_address_, base, deployment->grace_s);
  fclose (file);
  deployment->gateway_pids[gateway] = spawn_ (arguments, log, settings);
}

/* Waits until GATEWAY answers the platform's question with 200. */
bool
deployment_wait_ready (const struct deployment *deployment, unsigned gateway, int limit_ms)
{
  int64_t end_ms = now_ms () + limit_ms;
  char address[16];

  gateway_address_ (gateway, address);
  while (now_ms () < end_ms)
    {
      static const char request[]
          = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
      int peer = connect_ (address, deployment->base_port + READY_OFFSET);

      if (peer >= 0)
        {
          char *text = send_all (peer, request, strlen (request)) ? receive_text_ (peer, 1000) : NULL;
          bool is_ready = text != NULL && strncmp (text, "HTTP/1.1 200", 12) == 0;

          free (text);
          close (peer);
          if (is_ready)
            return true;
        }
      usleep (20000);
    }
  return false;
}

/* Connects to the entry of GATEWAY. Returns -1 when that fails. */
int
deployment_connect (const struct deployment *deployment, unsigned gateway)
{
  char address[16];

  gateway_address_ (gateway, address);
  return connect_ (address, deployment->base_port + ENTRY_OFFSET);
}

/* Returns how often TEXT is in the log of GATEWAY. */
unsigned
deployment_log_count (const struct deployment *deployment, unsigned gateway, const char *text)
{
  char path[300];
  char *line = NULL;
  size_t size = 0;
  unsigned count = 0;
  FILE *file;

  snprintf (path, sizeof path, "%s/gateway-%u.log", deployment->directory, gateway);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  while (getline (&line, &size, file) > 0)
    count += strstr (line, text) != NULL;
  free (line);
  fclose (file);
  return count;
}

bool
deployment_log_has (const struct deployment *deployment, unsigned gateway, const char *text)
{
  return deployment_log_count (deployment, gateway, text) > 0;
}

/* Ends all processes and removes the temporary folder, unless KEEP is set in the environment. */
void
deployment_end (struct deployment *deployment)
{
  char path[320];

  for (unsigned gateway = 1; gateway <= deployment->gateways; gateway++)
    if (deployment->gateway_pids[gateway] > 0)
      {
        kill (deployment->gateway_pids[gateway], SIGKILL);
        waitpid (deployment->gateway_pids[gateway], NULL, 0);
      }
  if (deployment->platform > 0)
    {
      kill (deployment->platform, SIGKILL);
      waitpid (deployment->platform, NULL, 0);
    }
  if (getenv ("KEEP") != NULL)
    return;
  for (unsigned gateway = 1; gateway <= deployment->gateways; gateway++)
    {
      snprintf (path, sizeof path, "%s/gateway-%u.ini", deployment->directory, gateway);
      unlink (path);
      snprintf (path, sizeof path, "%s/gateway-%u.log", deployment->directory, gateway);
      unlink (path);
    }
  snprintf (path, sizeof path, "%s/platform.log", deployment->directory);
  unlink (path);
  rmdir (deployment->directory);
}

/* Reads one response from PEER: with a length, or in chunks. Counts the complete events of a stream
 * and ignores what they say. */
struct response
read_response (int peer, int limit_ms)
{
  struct response response = { 0 };
  int64_t end_ms = now_ms () + limit_ms;
  char *text = malloc (TEXT_MAX);
  size_t length = 0;

  while (length < TEXT_MAX - 1)
    {
      struct pollfd ready = { .fd = peer, .events = POLLIN };
      int64_t left_ms = end_ms - now_ms ();
      const char *head_end;
      const char *field;
      ssize_t got;

      if (left_ms <= 0 || poll (&ready, 1, (int)left_ms) <= 0)
        break;
      got = recv (peer, text + length, TEXT_MAX - 1 - length, 0);
      if (got <= 0)
        {
          response.closed = true;
          break;
        }
      length += (size_t)got;
      text[length] = '\0';
      head_end = strstr (text, "\r\n\r\n");
      if (head_end == NULL)
        continue;
      field = strstr (text, "Content-Length: ");
      if (field != NULL && field < head_end
          && length < (size_t)(head_end + 4 - text) + strtoul (field + 16, NULL, 10))
        continue;
      if ((field == NULL || field > head_end)
          && (length < 5 || memcmp (text + length - 5, "0\r\n\r\n", 5) != 0))
        continue;
      response.status = atoi (text + 9);
      field = strstr (text, "Retry-After: ");
      if (field != NULL && field < head_end)
        response.retry_after = strtod (field + 13, NULL);
      break;
    }
  response.received = length;
  text[length] = '\0';
  for (const char *at = text; (at = strstr (at, "\ndata: ")) != NULL; at++)
    response.events++;
  free (text);
  return response;
}
