#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  HEAD_MAX_BYTES = 32768,
  READY_LIMIT_MS = 20000,
  SLOW_RECEIVE_BUFFER_BYTES = 4096,
  ETHERNET_SEGMENT_BYTES = 1400 /* loopback's own segments of 64 KiB exist on no network */
};

struct server
{
  int listener;
  char id[TEXT_BYTES];
  server_handler handler;
};

struct session
{
  struct server *server;
  int fd;
};

struct deployment deployment;

static FILE *record_file;
static int64_t begin_ms;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static const char store_ip[] = "127.0.9.100";
static const char server_ip[] = "127.0.9.101";

static void
kill_children (void)
{
  pid_t children[GATEWAYS_MAX + 2];
  unsigned n = 0;

  if (deployment.store > 0)
    children[n++] = deployment.store;
  for (unsigned i = 1; i <= GATEWAYS_MAX; i++)
    if (deployment.gateways[i] > 0)
      children[n++] = deployment.gateways[i];
  for (unsigned i = 0; i < n; i++)
    {
      kill (children[i], SIGCONT);
      kill (children[i], SIGKILL);
    }
  for (unsigned i = 0; i < n; i++)
    waitpid (children[i], NULL, 0);
}

static void
remove_directory (void)
{
  static const char *const names[]
      = { "gateway-1.ini", "gateway-2.ini", "gateway-3.ini", "gateway-4.ini", "gateway-1.log",
          "gateway-2.log", "gateway-3.log", "gateway-4.log", "store.log" };
  char path[256];

  if (deployment.directory[0] == '\0' || getenv ("KEEP_LOGS") != NULL)
    return;
  for (unsigned i = 0; i < sizeof names / sizeof *names; i++)
    {
      snprintf (path, sizeof path, "%s/%s", deployment.directory, names[i]);
      unlink (path);
    }
  rmdir (deployment.directory);
}

static void
on_signal (int number)
{
  kill_children ();
  remove_directory ();
  _exit (CASE_NOT_RUN);
}

/* The disruption is left out with TROUBLE=0. */
bool
case_has_trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

/* Opens the record. The case ends with CASE_NOT_RUN after LIMIT_S. */
void
case_begin (const char *record_path, unsigned limit_s)
{
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGALRM, on_signal);
  alarm (limit_s);
  begin_ms = now_ms ();
  record_file = fopen (record_path, "w");
  if (record_file == NULL)
    {
      perror (record_path);
      exit (CASE_NOT_RUN);
    }
  record ("disruption: %s", case_has_trouble () ? "yes" : "no (TROUBLE=0)");
}

/* Ends all processes and exits with STATUS. */
void
case_end (int status)
{
  static const char *const verdicts[] = { "rule kept", "RULE BROKEN", "case could not run" };

  record ("verdict: %s", verdicts[status]);
  kill_children ();
  remove_directory ();
  fclose (record_file);
  printf ("%s\n", verdicts[status]);
  fflush (stdout);
  _exit (status);
}

int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
sleep_ms (int64_t ms)
{
  struct timespec span = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

  while (nanosleep (&span, &span) != 0 && errno == EINTR)
    ;
}

/* Adds a line with the time since the begin to the record. */
void
record (const char *format, ...)
{
  int64_t at_ms = now_ms () - begin_ms;
  va_list args;

  pthread_mutex_lock (&record_mutex);
  fprintf (record_file, "%7.3f  ", (double)at_ms / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_mutex);
}

static void
not_run (const char *why)
{
  record ("%s", why);
  case_end (CASE_NOT_RUN);
}

static struct sockaddr_in
address_of (const char *ip, unsigned port)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

static bool
is_free (const char *ip, unsigned port, int type)
{
  struct sockaddr_in address = address_of (ip, port);
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  int on = 1;
  bool is_bound;

  if (type == SOCK_STREAM)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  is_bound = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
  close (fd);
  return is_bound;
}

static bool
ports_are_free (unsigned base, unsigned n_gateways)
{
  bool all = is_free (store_ip, base, SOCK_STREAM) && is_free (store_ip, base + 1, SOCK_STREAM);

  for (unsigned i = 1; i <= n_gateways; i++)
    all = all && is_free (gateway_ip (i), base + 2, SOCK_STREAM)
          && is_free (gateway_ip (i), base + 3, SOCK_STREAM)
          && is_free (gateway_ip (i), base + 4, SOCK_STREAM)
          && is_free (gateway_ip (i), base + 4, SOCK_DGRAM);
  return all;
}

const char *
gateway_ip (unsigned number)
{
  static const char *const ips[] = { "", "127.0.9.1", "127.0.9.2", "127.0.9.3", "127.0.9.4" };

  return ips[number];
}

static pid_t
spawn (char *const *argv, const char *log_name, const char *settings)
{
  char log_path[256];
  pid_t parent = getpid ();
  pid_t pid;

  snprintf (log_path, sizeof log_path, "%s/%s", deployment.directory, log_name);
  pid = fork ();
  if (pid < 0)
    not_run ("fork failed");
  if (pid == 0)
    {
      int log = open (log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent)
        _exit (127);
      signal (SIGPIPE, SIG_DFL);
      signal (SIGTERM, SIG_DFL);
      signal (SIGINT, SIG_DFL);
      signal (SIGALRM, SIG_DFL);
      dup2 (log, 1);
      dup2 (log, 2);
      if (settings != NULL)
        setenv ("SAPPHIRERUN_NODE_FILE", settings, 1);
      execv (argv[0], argv);
      _exit (127);
    }
  return pid;
}

/* Starts the store, puts CONFIGURATION into it and starts the gateways, without waiting for them.
 * Backend servers may be started before or after. */
void
deployment_start (unsigned n_gateways, const char *configuration)
{
  char template[] = "/tmp/sapphirerun-case-XXXXXX";
  unsigned base = 21000 + (unsigned)getpid () % 4000 * 5;
  char port[16];
  char *store[] = { "target/standin-site",
                    "--address",
                    (char *)store_ip,
                    "--port",
                    port,
                    "--models",
                    "0",
                    "--plains",
                    "0",
                    NULL };
  struct answer answer;
  char *text;
  int64_t end_ms = now_ms () + READY_LIMIT_MS;

  if (access (store[0], X_OK) != 0 || access ("target/sapphirerun", X_OK) != 0)
    not_run ("target/sapphirerun or target/standin-site is missing: run the build first");
  if (mkdtemp (template) == NULL)
    not_run ("no temporary folder");
  snprintf (deployment.directory, sizeof deployment.directory, "%s", template);
  while (!ports_are_free (base, n_gateways))
    base = base >= 45000 ? 21000 : base + 5;
  deployment.store_port = base;
  deployment.entry_port = base + 2;
  deployment.ready_port = base + 3;
  deployment.peer_port = base + 4;
  deployment.n_gateways = n_gateways;
  snprintf (port, sizeof port, "%u", base);
  deployment.store = spawn (store, "store.log", NULL);
  text = malloc (strlen (configuration) + 256);
  sprintf (text,
           "POST /configuration HTTP/1.1\r\nHost: site\r\nConnection: close\r\n"
           "Content-Length: %zu\r\n\r\n%s",
           strlen (configuration), configuration);
  do
    {
      struct call control = { .ip = store_ip, .port = base + 1, .bytes = text, .limit_ms = 2000 };

      call (&control, &answer);
      answer_free (&answer);
      if (answer.status == 0)
        sleep_ms (50);
    }
  while (answer.status == 0 && now_ms () < end_ms);
  if (answer.status != 200)
    not_run ("the store did not take the configuration");
  free (text);
  for (unsigned i = 1; i <= n_gateways; i++)
    gateway_start (i);
}

/* Starts gateway NUMBER as the deploy file does, with deploy/instance.ini filled in. */
void
gateway_start (unsigned number)
{
  char *argv[] = { "target/sapphirerun", "serve", NULL };
  char path[256];
  char log_name[64];
  FILE *file;

  snprintf (path, sizeof path, "%s/gateway-%u.ini", deployment.directory, number);
  snprintf (log_name, sizeof log_name, "gateway-%u.log", number);
  file = fopen (path, "w");
  if (file == NULL)
    not_run ("no settings file");
  fprintf (file,
           "[instance]\nname = front-zone-%u\ndata_centre = zone\n\n[listen]\naddress = %s\n"
           "entry = %s:%u\nready = %s:%u\npeer_port = %u\n\n[store]\naddress = %s:%u\n\n"
           "[retries]\nratio = 0.2\nextra = 54\nwindow_s = 10\n\n[limits]\nlink_mbps = 1000.0\n\n"
           "[prompts]\npart_memory_s = 9.2\n\n[backends]\nleave_ms = 2000\n\n[stop]\nlimit_s = 8\n",
           number, gateway_ip (number), gateway_ip (number), deployment.entry_port,
           gateway_ip (number), deployment.ready_port, deployment.peer_port, store_ip,
           deployment.store_port);
  fclose (file);
  deployment.gateways[number] = spawn (argv, log_name, path);
  record ("gateway %u started", number);
}

void
gateway_signal (unsigned number, int signal)
{
  record ("gateway %u gets %s", number, strsignal (signal));
  kill (deployment.gateways[number], signal);
  if (signal == SIGKILL)
    {
      waitpid (deployment.gateways[number], NULL, 0);
      deployment.gateways[number] = 0;
    }
}

bool
gateway_wait_ready (unsigned number, int64_t limit_ms)
{
  const struct call probe = { .ip = gateway_ip (number),
                              .port = deployment.ready_port,
                              .bytes = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: "
                                       "close\r\n\r\n",
                              .limit_ms = 1000 };
  int64_t end_ms = now_ms () + limit_ms;

  while (now_ms () < end_ms)
    {
      struct answer answer;

      call (&probe, &answer);
      answer_free (&answer);
      if (answer.status == 200)
        {
          record ("gateway %u is ready", number);
          return true;
        }
      sleep_ms (50);
    }
  return false;
}

void
gateway_wait_end (unsigned number, int64_t limit_ms)
{
  int64_t end_ms = now_ms () + limit_ms;
  int status;

  while (now_ms () < end_ms)
    {
      if (waitpid (deployment.gateways[number], &status, WNOHANG) > 0)
        {
          deployment.gateways[number] = 0;
          record ("gateway %u ended (wait status %d)", number, status);
          return;
        }
      sleep_ms (5);
    }
}

/* A call to the control port of the store's stand-in. */
void
store_control (const char *target)
{
  char text[256];
  struct call control = { .ip = store_ip, .port = deployment.store_port + 1, .limit_ms = 5000 };
  struct answer answer;

  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: site\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            target);
  control.bytes = text;
  call (&control, &answer);
  record ("store: %s: %d", target, answer.status);
  if (answer.status != 200)
    not_run ("the store's stand-in did not do it");
  answer_free (&answer);
}

/* Returns the body of a GET call to the store, owned by the caller, or NULL. */
char *
store_get (const char *target)
{
  char text[256];
  struct call get = { .ip = store_ip, .port = deployment.store_port, .limit_ms = 2000 };
  struct answer answer;
  char *body;

  snprintf (text, sizeof text, "GET %s HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\r\n",
            target);
  get.bytes = text;
  call (&get, &answer);
  body = answer.status == 200 ? strdup (answer.body) : NULL;
  answer_free (&answer);
  return body;
}

static bool
header_value (const char *head, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);

  for (const char *line = strstr (head, "\r\n"); line != NULL; line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *from = line + length + 1;
          size_t n;

          while (*from == ' ')
            from++;
          n = strcspn (from, "\r");
          if (n >= size)
            n = size - 1;
          memcpy (value, from, n);
          value[n] = '\0';
          return true;
        }
    }
  value[0] = '\0';
  return false;
}

bool
server_write_bytes (int fd, const char *bytes, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, bytes, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      bytes += sent;
      length -= (size_t)sent;
    }
  return true;
}

void
server_write (int fd, const char *format, ...)
{
  char text[4096];
  va_list args;
  int length;

  va_start (args, format);
  length = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  server_write_bytes (fd, text, (size_t)length);
}

/* Reads one request with its body (by Content-Length). Returns false when there is no further one.
 */
static bool
read_request (int fd, struct server_request *request)
{
  char *head = malloc (HEAD_MAX_BYTES + 1);
  char text[TEXT_BYTES];
  size_t have = 0;
  char *end = NULL;

  memset (request, 0, sizeof *request);
  head[0] = '\0';
  while (end == NULL && have < HEAD_MAX_BYTES)
    {
      ssize_t got = recv (fd, head + have, 1, 0);

      if (got <= 0)
        {
          free (head);
          return false;
        }
      have += (size_t)got;
      head[have] = '\0';
      if (have >= 4 && strcmp (head + have - 4, "\r\n\r\n") == 0)
        end = head + have;
    }
  sscanf (head, "%15s %127s", request->method, request->target);
  header_value (head, "X-Request-Id", request->id, sizeof request->id);
  header_value (head, "X-Expect-Instance", request->expected, sizeof request->expected);
  header_value (head, "X-Token-Counts", request->counts, sizeof request->counts);
  if (header_value (head, "Content-Length", text, sizeof text))
    request->body_length = strtoul (text, NULL, 10);
  free (head);
  request->body = calloc (1, request->body_length + 1);
  for (size_t at = 0; at < request->body_length;)
    {
      ssize_t got = recv (fd, request->body + at, request->body_length - at, 0);

      if (got <= 0)
        {
          free (request->body);
          return false;
        }
      at += (size_t)got;
    }
  return true;
}

static void *
serve_session (void *data)
{
  struct session *session = data;
  struct server_request request;
  unsigned number = 0;
  bool goes_on = true;

  while (goes_on && read_request (session->fd, &request))
    {
      request.number = ++number;
      if (strcmp (request.method, "GET") == 0 && strcmp (request.target, "/health") == 0)
        server_write (session->fd,
                      "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
                      session->server->id);
      else if (request.expected[0] != '\0' && strcmp (request.expected, session->server->id) != 0)
        server_write (session->fd,
                      "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\n"
                      "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                      request.id);
      else
        goes_on = session->server->handler (session->fd, &request);
      free (request.body);
    }
  close (session->fd);
  free (session);
  return NULL;
}

static void
start_thread (void *(*run) (void *), void *data)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, data) != 0)
    not_run ("no thread");
  pthread_detach (thread);
}

static void *
accept_sessions (void *data)
{
  struct server *server = data;

  for (;;)
    {
      struct session *session = malloc (sizeof *session);
      int on = 1;

      session->server = server;
      session->fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC);
      if (session->fd < 0)
        {
          free (session);
          return NULL;
        }
      setsockopt (session->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      start_thread (serve_session, session);
    }
}

/* Starts a backend server and registers it in the store. Returns its port. */
unsigned
server_start (const char *id, const char *service, unsigned slots, server_handler handler)
{
  struct server *server = calloc (1, sizeof *server);
  struct sockaddr_in address = address_of (server_ip, 0);
  socklen_t size = sizeof address;
  char entry[512];
  char text[1024];
  struct call post = { .ip = store_ip, .port = deployment.store_port, .limit_ms = 2000 };
  struct answer answer;

  snprintf (server->id, sizeof server->id, "%s", id);
  server->handler = handler;
  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (server->listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (server->listener, 512) != 0
      || getsockname (server->listener, (struct sockaddr *)&address, &size) != 0)
    not_run ("a backend server can't listen");
  start_thread (accept_sessions, server);
  snprintf (entry, sizeof entry,
            "{\"metadata\":{\"name\":\"%s\"},\"spec\":{\"service\":\"%s\",\"address\":\"%s:%u\","
            "\"zone\":\"zone\",\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
            "\"coldRemainingMs\":0,\"seq\":1,\"born\":1700000000000}}",
            id, service, server_ip, ntohs (address.sin_port), slots);
  snprintf (text, sizeof text,
            "POST /objects/servers HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
            "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
            strlen (entry), entry);
  post.bytes = text;
  call (&post, &answer);
  if (answer.status != 200)
    not_run ("the store did not take the entry of a backend server");
  answer_free (&answer);
  record ("backend server %s of service %s is in the store", id, service);
  return ntohs (address.sin_port);
}

/* Decodes the chunks of RAW into ANSWER. Sets is_complete if the last one is there. */
static void
decode_chunks (struct answer *answer, const char *raw, size_t length)
{
  size_t at = 0;

  answer->body = malloc (length + 1);
  for (;;)
    {
      const char *line = memmem (raw + at, length - at, "\r\n", 2);
      size_t size;

      if (line == NULL)
        break;
      size = strtoul (raw + at, NULL, 16);
      at = (size_t)(line - raw) + 2;
      if (size == 0)
        {
          answer->is_complete = length - at >= 2;
          break;
        }
      if (length - at < size)
        size = length - at;
      memcpy (answer->body + answer->body_length, raw + at, size);
      answer->body_length += size;
      at += size;
      if (length - at < 2)
        break;
      at += 2;
    }
  answer->body[answer->body_length] = '\0';
}

/* Makes CALL on a connection of its own and reads its answer until that is complete, or the
 * connection ends, or the time is over. */
void
call (const struct call *call, struct answer *answer)
{
  struct sockaddr_in address = address_of (call->ip, call->port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int64_t end_ms = now_ms () + call->limit_ms;
  size_t length = call->length > 0 ? call->length : strlen (call->bytes);
  size_t room = 65536;
  size_t have = 0;
  char *raw = malloc (room + 1);
  char *head_end = NULL;
  bool was_closed = false;
  char value[TEXT_BYTES];
  int64_t start_ms;

  memset (answer, 0, sizeof *answer);
  raw[0] = '\0';
  if (call->bytes_per_s > 0)
    {
      int buffer = SLOW_RECEIVE_BUFFER_BYTES;
      int segment = ETHERNET_SEGMENT_BYTES;

      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
      setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    }
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0
      || !server_write_bytes (fd, call->bytes, length))
    goto out;
  start_ms = now_ms ();
  while (now_ms () < end_ms)
    {
      struct pollfd ready = { .fd = fd, .events = POLLIN };
      size_t body_from;
      size_t most = room - have;
      ssize_t got;

      if (head_end != NULL && !answer->is_chunked && answer->has_length)
        {
          body_from = (size_t)(head_end - raw);
          if (have - body_from >= answer->length)
            break;
        }
      if (head_end != NULL && answer->is_chunked && have >= 5
          && memcmp (raw + have - 5, "0\r\n\r\n", 5) == 0)
        break;
      if (poll (&ready, 1, 50) <= 0)
        {
          if (have == 0)
            start_ms = now_ms ();
          continue;
        }
      if (call->bytes_per_s > 0)
        {
          int64_t allowed = (now_ms () - start_ms + 20) * (int64_t)call->bytes_per_s / 1000;

          if (have == 0)
            start_ms = now_ms ();
          else if (allowed <= (int64_t)have)
            {
              sleep_ms (5);
              continue;
            }
          if (most > 2048)
            most = 2048;
        }
      got = recv (fd, raw + have, most, 0);
      if (got == 0)
        {
          was_closed = true;
          break;
        }
      if (got < 0)
        {
          answer->was_reset = true;
          break;
        }
      have += (size_t)got;
      if (have == room)
        {
          size_t offset = head_end == NULL ? 0 : (size_t)(head_end - raw);

          room *= 2;
          raw = realloc (raw, room + 1);
          if (head_end != NULL)
            head_end = raw + offset;
        }
      raw[have] = '\0';
      if (head_end == NULL && (head_end = strstr (raw, "\r\n\r\n")) != NULL)
        {
          head_end += 4;
          answer->head = strndup (raw, (size_t)(head_end - raw));
          sscanf (raw, "HTTP/1.%*d %d", &answer->status);
          if (header_value (answer->head, "Content-Length", value, sizeof value))
            {
              answer->has_length = true;
              answer->length = strtoul (value, NULL, 10);
            }
          if (header_value (answer->head, "Transfer-Encoding", value, sizeof value))
            answer->is_chunked = strcasecmp (value, "chunked") == 0;
          if (header_value (answer->head, "Retry-After", value, sizeof value))
            answer->retry_after_s = strtod (value, NULL);
        }
    }
  if (head_end != NULL)
    {
      size_t body_length = have - (size_t)(head_end - raw);

      if (answer->is_chunked)
        decode_chunks (answer, head_end, body_length);
      else
        {
          answer->body = malloc (body_length + 1);
          memcpy (answer->body, head_end, body_length);
          answer->body[body_length] = '\0';
          answer->body_length = body_length;
          answer->is_complete = answer->has_length ? body_length >= answer->length : was_closed;
        }
    }
out:
  free (raw);
  close (fd);
}

/* Copies the value of header NAME, of less than TEXT_BYTES, into VALUE. Returns VALUE, or NULL when
 * there is no such header. */
const char *
answer_header (const struct answer *answer, const char *name, char *value)
{
  return answer->head != NULL && header_value (answer->head, name, value, TEXT_BYTES) ? value
                                                                                      : NULL;
}

void
answer_free (struct answer *answer)
{
  free (answer->head);
  free (answer->body);
  answer->head = answer->body = NULL;
}
