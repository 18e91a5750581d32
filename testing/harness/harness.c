#include "testing/harness/harness.h"

#include "testing/harness/settings.h"
#include "testing/harness/port-lock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PORT_LOCK_TIMEOUT_MS = 200000, /* waits for another run that uses the same ports */
  PLATFORM_HOST = 200,           /* last byte of the platform's address */
  BACKEND_HOST_BASE = 100,       /* last byte of a backend server's address, minus its number */
  POLL_MS = 20,
  US_PER_MS = 1000,
  DEFAULT_SLOTS = 8,
  DEFAULT_QUEUE_MAX = 256,
  DEFAULT_TOKEN_INTERVAL_MS = 1,
  DEFAULT_TEAMS = 3,
  DEFAULT_PREPAID_TOKENS = 1000000
};

static const char *const one_data_centre[] = { "dc1", NULL };
static const char control_address[] = "127.0.0.1";

static void fill_defaults_ (struct harness_options *options);
static bool start_platform_ (struct harness *harness);
static bool start_backends_ (struct harness *harness);
static bool start_proxy_ (struct harness *harness);
static void
add_link_ (GPtrArray *arguments, enum harness_port port, unsigned number, unsigned port_number);
static bool start_instances_ (struct harness *harness);
static bool configure_ (struct harness *harness);
static GPtrArray *new_arguments_ (const struct harness *harness, const char *program);
static void add_argument_ (GPtrArray *arguments, const char *format, ...) G_GNUC_PRINTF (2, 3);
static bool is_ready_or_exited_ (void *data);
static void print_log_ (const struct harness_process *process);

/* Waits until CONDITION holds; false after LIMIT_MS. */
bool
harness_wait_until (bool (*condition) (void *data), void *data, int64_t limit_ms)
{
  int64_t end_us = g_get_monotonic_time () + limit_ms * US_PER_MS;

  while (!condition (data))
    {
      if (g_get_monotonic_time () >= end_us)
        return false;
      g_usleep (POLL_MS * US_PER_MS);
    }
  return true;
}

/* Starts a fleet, submits its configuration, tops up its budgets and waits until every instance is
 * ready. On failure prints the logs, ends all processes and returns NULL. */
struct harness *
harness_start (const struct harness_options *options)
{
  struct harness *harness = harness_start_standins (options);

  if (harness == NULL)
    return NULL;
  if (configure_ (harness) && start_instances_ (harness))
    return harness;
  harness_print_logs (harness);
  harness_stop (harness);
  return NULL;
}

/* Starts the platform, the backend servers and the fault proxy, without instances. */
struct harness *
harness_start_standins (const struct harness_options *options)
{
  struct harness *harness = g_new0 (struct harness, 1);
  const char *build = getenv ("BUILD");

  harness->options = *options;
  harness->port_lock
      = harness_lock_ports (options->port_base + HARNESS_PORT_LOCK, PORT_LOCK_TIMEOUT_MS);
  fill_defaults_ (&harness->options);
  harness->build = g_strdup (build != NULL ? build : "build");
  harness->directory
      = g_strdup_printf ("%s/test-logs/%s-fleet", harness->build, harness->options.name);
  harness->other_processes
      = g_ptr_array_new_with_free_func ((GDestroyNotify)harness_process_delete);
  g_mkdir_with_parents (harness->directory, 0755);
  if (start_platform_ (harness) && start_backends_ (harness) && start_proxy_ (harness))
    return harness;
  harness_print_logs (harness);
  harness_stop (harness);
  return NULL;
}

/* Kills every process of the fleet and frees HARNESS. Accepts NULL. */
void
harness_stop (struct harness *harness)
{
  if (harness == NULL)
    return;
  for (unsigned i = 0; i <= HARNESS_INSTANCES_MAX; i++)
    harness_process_delete (harness->instances[i]);
  for (unsigned i = 0; i <= HARNESS_BACKENDS_MAX; i++)
    harness_process_delete (harness->backends[i]);
  harness_process_delete (harness->proxy);
  harness_process_delete (harness->platform);
  g_ptr_array_free (harness->other_processes, TRUE);
  harness_unlock_ports (harness->port_lock);
  g_free (harness->directory);
  g_free (harness->build);
  g_free (harness);
}

/* Starts or restarts instance INSTANCE (from 1). */
bool
harness_start_instance (struct harness *harness, unsigned instance)
{
  if (harness->instances[instance] == NULL)
    {
      g_autofree char *name = g_strdup_printf ("entry-%u", instance);
      g_autofree char *settings = harness_write_settings (harness, instance);
      GPtrArray *arguments = new_arguments_ (harness, "sapphirerun");

      add_argument_ (arguments, "serve");
      add_argument_ (arguments, "--settings");
      add_argument_ (arguments, "%s", settings);
      harness->instances[instance] = harness_process_new (harness->directory, name, arguments);
    }
  return harness_process_start (harness->instances[instance]);
}

struct ready_query
{
  struct harness *harness;
  unsigned instance;
};

/* Waits until an instance reports that it accepts new requests. */
bool
harness_wait_instance_ready (struct harness *harness, unsigned instance, int64_t limit_ms)
{
  struct ready_query query = { harness, instance };

  return harness_wait_until (is_ready_or_exited_, &query, limit_ms)
         && harness_process_is_running (harness->instances[instance]);
}

/* Submits a configuration with the operator's tool. */
bool
harness_submit (struct harness *harness, const char *configuration)
{
  g_autofree char *path = g_strdup_printf ("%s/configuration.ini", harness->directory);
  GPtrArray *arguments = new_arguments_ (harness, "sapphirerun");
  int exit_code;

  if (!g_file_set_contents (path, configuration, -1, NULL))
    return false;
  add_argument_ (arguments, "submit");
  add_argument_ (arguments, "%s", path);
  add_argument_ (arguments, "--platform");
  add_argument_ (arguments, "127.0.1.%d:%u", PLATFORM_HOST,
                 harness_port (harness, HARNESS_PORT_PLATFORM));
  return harness_run (harness, "submit", arguments, &exit_code) && exit_code == 0;
}

/* Adds tokens to a budget with the operator's tool. */
bool
harness_top_up (struct harness *harness, const char *budget, int64_t tokens, const char *id)
{
  GPtrArray *arguments = new_arguments_ (harness, "sapphirerun");
  int exit_code;

  add_argument_ (arguments, "topup");
  add_argument_ (arguments, "%s", budget);
  add_argument_ (arguments, "--tokens=%" G_GINT64_FORMAT, tokens);
  add_argument_ (arguments, "--id");
  add_argument_ (arguments, "%s", id);
  add_argument_ (arguments, "--platform");
  add_argument_ (arguments, "127.0.1.%d:%u", PLATFORM_HOST,
                 harness_port (harness, HARNESS_PORT_PLATFORM));
  return harness_run (harness, "topup", arguments, &exit_code) && exit_code == 0;
}

/* Runs a program until it exits; prints its output when it fails. Takes ownership of ARGUMENTS. */
bool
harness_run (struct harness *harness, const char *name, GPtrArray *arguments, int *exit_code)
{
  struct harness_process *process = harness_process_new (harness->directory, name, arguments);
  bool ended = harness_process_start (process)
               && harness_process_wait (process, HARNESS_WAIT_MS, exit_code);

  if (!ended || *exit_code != 0)
    print_log_ (process);
  harness_process_delete (process);
  return ended;
}

const char *
harness_data_centre (const struct harness *harness, unsigned number)
{
  unsigned count = 0;

  while (harness->options.data_centres[count] != NULL)
    count++;
  g_assert (count > 0);
  return harness->options.data_centres[(number - 1) % count];
}

/* The port that all processes of a kind listen on. */
unsigned
harness_port (const struct harness *harness, enum harness_port port)
{
  return harness->options.port_base + port;
}

/* The IP address of instance or backend server NUMBER; if ADVERTISED, that of the fault proxy in
 * front of it. The caller frees it. */
char *
harness_address (enum harness_port port, unsigned number, bool advertised)
{
  unsigned last = number;

  if (port == HARNESS_PORT_PLATFORM)
    last = PLATFORM_HOST;
  else if (port == HARNESS_PORT_BACKEND)
    last = BACKEND_HOST_BASE + number;
  return g_strdup_printf ("127.0.%d.%u", advertised ? 2 : 1, last);
}

/* The tokens consumed and requests executed by a backend server; the caller owns the result. */
json_t *
harness_ledger (struct harness *harness, unsigned backend)
{
  g_autofree char *address = harness_address (HARNESS_PORT_BACKEND, backend, false);

  return harness_get_json (address, harness_port (harness, HARNESS_PORT_BACKEND),
                           "/control/ledger");
}

bool
harness_control_backend (struct harness *harness, unsigned backend, const char *path)
{
  g_autofree char *address = harness_address (HARNESS_PORT_BACKEND, backend, false);

  return harness_post (address, harness_port (harness, HARNESS_PORT_BACKEND), path);
}

bool
harness_control_platform (struct harness *harness, const char *path)
{
  g_autofree char *address = harness_address (HARNESS_PORT_PLATFORM, 0, false);

  return harness_post (address, harness_port (harness, HARNESS_PORT_PLATFORM), path);
}

/* The platform's call counters; the caller owns the result. */
json_t *
harness_platform_counts (struct harness *harness)
{
  g_autofree char *address = harness_address (HARNESS_PORT_PLATFORM, 0, false);

  return harness_get_json (address, harness_port (harness, HARNESS_PORT_PLATFORM),
                           "/control/counts");
}

/* Adds a rule to the fault proxy. */
bool
harness_add_rule (
    struct harness *harness, const char *from, const char *to, const char *mode, int delay_ms)
{
  g_autofree char *path = g_strdup_printf ("/control/rule?from=%s&to=%s&mode=%s&delay_ms=%d", from,
                                           to, mode, delay_ms);

  return harness_post (control_address, harness_port (harness, HARNESS_PORT_PROXY), path);
}

/* Removes all rules of the fault proxy. */
bool
harness_clear_rules (struct harness *harness)
{
  return harness_post (control_address, harness_port (harness, HARNESS_PORT_PROXY),
                       "/control/clear");
}

/* Prints the logs of all processes on stderr. */
void
harness_print_logs (struct harness *harness)
{
  print_log_ (harness->platform);
  print_log_ (harness->proxy);
  for (unsigned i = 1; i <= HARNESS_BACKENDS_MAX; i++)
    print_log_ (harness->backends[i]);
  for (unsigned i = 1; i <= HARNESS_INSTANCES_MAX; i++)
    print_log_ (harness->instances[i]);
}

static void
fill_defaults_ (struct harness_options *options)
{
  g_assert (options->instances <= HARNESS_INSTANCES_MAX);
  g_assert (options->engines + options->services <= HARNESS_BACKENDS_MAX);
  if (options->data_centres == NULL)
    options->data_centres = one_data_centre;
  if (options->slots == 0)
    options->slots = DEFAULT_SLOTS;
  if (options->queue_max == 0)
    options->queue_max = DEFAULT_QUEUE_MAX;
  if (options->token_interval_ms == 0)
    options->token_interval_ms = DEFAULT_TOKEN_INTERVAL_MS;
  if (options->teams == 0)
    options->teams = DEFAULT_TEAMS;
  if (options->prepaid_tokens == 0)
    options->prepaid_tokens = DEFAULT_PREPAID_TOKENS;
}

static bool
start_platform_ (struct harness *harness)
{
  GPtrArray *arguments = new_arguments_ (harness, "standin-platform");

  add_argument_ (arguments, "--address=127.0.1.%d", PLATFORM_HOST);
  add_argument_ (arguments, "--port=%u", harness_port (harness, HARNESS_PORT_PLATFORM));
  harness->platform = harness_process_new (harness->directory, "platform", arguments);
  return harness_process_start (harness->platform)
         && harness_process_wait_ready (harness->platform, HARNESS_WAIT_MS);
}

static bool
start_backends_ (struct harness *harness)
{
  const struct harness_options *options = &harness->options;

  for (unsigned i = 1; i <= options->engines + options->services; i++)
    {
      bool engine = i <= options->engines;
      g_autofree char *name = g_strdup_printf ("%s-%u", engine ? "engine" : "service", i);
      GPtrArray *arguments
          = new_arguments_ (harness, engine ? "standin-engine" : "standin-service");

      add_argument_ (arguments, "--address=127.0.1.%u", BACKEND_HOST_BASE + i);
      add_argument_ (arguments, "--port=%u", harness_port (harness, HARNESS_PORT_BACKEND));
      add_argument_ (arguments, "--name=%s", name);
      if (options->checks_fence)
        add_argument_ (arguments, "--fence");
      if (engine)
        {
          add_argument_ (arguments, "--models=coder");
          add_argument_ (arguments, "--slots=%u", options->slots);
          add_argument_ (arguments, "--queue=%u", options->queue_max);
          add_argument_ (arguments, "--pace-ms=%u", options->token_interval_ms);
          add_argument_ (arguments, "--prefill-us-per-token=%u", options->prefill_us_per_token);
          add_argument_ (arguments, "--load-lag-ms=%u", options->load_lag_ms);
        }
      else
        add_argument_ (arguments, "--delay-ms=%u", options->service_delay_ms);
      harness->backends[i] = harness_process_new (harness->directory, name, arguments);
      if (!harness_process_start (harness->backends[i])
          || !harness_process_wait_ready (harness->backends[i], HARNESS_WAIT_MS))
        return false;
    }
  return true;
}

static bool
start_proxy_ (struct harness *harness)
{
  const struct harness_options *options = &harness->options;
  GPtrArray *arguments;

  if (options->without_proxy)
    return true;
  arguments = new_arguments_ (harness, "standin-proxy");
  add_argument_ (arguments, "--control-address=%s", control_address);
  add_argument_ (arguments, "--control-port=%u", harness_port (harness, HARNESS_PORT_PROXY));
  add_link_ (arguments, HARNESS_PORT_PLATFORM, 0, harness_port (harness, HARNESS_PORT_PLATFORM));
  for (unsigned i = 1; i <= options->engines + options->services; i++)
    add_link_ (arguments, HARNESS_PORT_BACKEND, i, harness_port (harness, HARNESS_PORT_BACKEND));
  for (unsigned i = 1; i <= options->instances; i++)
    {
      add_link_ (arguments, HARNESS_PORT_ENTRY, i, harness_port (harness, HARNESS_PORT_ENTRY));
      add_link_ (arguments, HARNESS_PORT_PEER, i, harness_port (harness, HARNESS_PORT_PEER));
    }
  harness->proxy = harness_process_new (harness->directory, "proxy", arguments);
  return harness_process_start (harness->proxy)
         && harness_process_wait_ready (harness->proxy, HARNESS_WAIT_MS);
}

static void
add_link_ (GPtrArray *arguments, enum harness_port port, unsigned number, unsigned port_number)
{
  g_autofree char *listen = harness_address (port, number, true);
  g_autofree char *target = harness_address (port, number, false);

  add_argument_ (arguments, "--link=%s:%u=%s:%u%s", listen, port_number, target, port_number,
                 port == HARNESS_PORT_PEER ? ",udp" : "");
}

static bool
start_instances_ (struct harness *harness)
{
  for (unsigned i = 1; i <= harness->options.instances; i++)
    if (!harness_start_instance (harness, i))
      return false;
  for (unsigned i = 1; i <= harness->options.instances; i++)
    if (!harness_wait_instance_ready (harness, i, HARNESS_WAIT_MS))
      {
        fprintf (stderr, "entry-%u did not become ready\n", i);
        return false;
      }
  return true;
}

/* Submits the configuration and tops up every budget. */
static bool
configure_ (struct harness *harness)
{
  GString *text = harness_configuration (harness);
  bool done = harness_submit (harness, text->str);

  g_string_free (text, TRUE);
  for (unsigned team = 1; done && team <= harness->options.teams; team++)
    {
      g_autofree char *budget = g_strdup_printf ("budget-%u", team);

      if (harness->options.prepaid_tokens > 0)
        done = harness_top_up (harness, budget, harness->options.prepaid_tokens, "first");
    }
  return done;
}

static GPtrArray *
new_arguments_ (const struct harness *harness, const char *program)
{
  GPtrArray *arguments = g_ptr_array_new_with_free_func (g_free);

  add_argument_ (arguments, "%s/%s", harness->build, program);
  return arguments;
}

static void
add_argument_ (GPtrArray *arguments, const char *format, ...)
{
  va_list list;

  va_start (list, format);
  g_ptr_array_add (arguments, g_strdup_vprintf (format, list));
  va_end (list);
}

/* Whether an instance is ready or has exited; in both cases the wait is over. */
static bool
is_ready_or_exited_ (void *data)
{
  struct ready_query *query = data;
  g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, query->instance, false);
  struct harness_call call = { .address = address,
                               .port = harness_port (query->harness, HARNESS_PORT_ENTRY),
                               .path = "/readyz" };
  struct harness_http_response *reply = harness_call (&call);
  bool ready = reply->status == 200;

  harness_reply_free (reply);
  return ready || !harness_process_is_running (query->harness->instances[query->instance]);
}

static void
print_log_ (const struct harness_process *process)
{
  g_autofree char *log = process != NULL ? harness_process_log (process) : NULL;

  if (log != NULL && *log != '\0')
    fprintf (stderr, "--- %s\n%s", process->name, log);
}
