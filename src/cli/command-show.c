#include "bill/bill.h"
#include "budget/record.h"
#include "cli/cli.h"
#include "cli/print-table.h"
#include "config/store.h"
#include "http/exchange.h"
#include "platform/platform-retry.h"
#include "settings/ini-reader.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TIMEOUT_S = 5,
  STATUS_MAX_BYTES = 64 << 20,
  PAGE_NAMES = 200, /* budget names per list call */
  HTTP_OK = 200
};

enum topic_
{
  TOPIC_CONFIG,
  TOPIC_BUDGETS,
  TOPIC_INSTANCES,
  TOPIC_BACKENDS,
  TOPIC_BILLS
};

static const char *const topic_names_[]
    = { "config", "budgets", "instances", "backends", "bills", NULL };

/* For each topic: the member of an instance's status that is shown, or NULL. */
static const char *const status_members_[] = { NULL, "budgets", "members", "backends", NULL };

static const char *const revision_columns_[]
    = { "instance", "data_centre", "revision", "in_progress", NULL };
static const char *const held_columns_[]
    = { "budget", "granted", "used", "reserved", "available", NULL };
static const char *const prepaid_columns_[]
    = { "budget", "prepaid", "settled", "written_off", "held", "left", NULL };
static const char *const instance_columns_[]
    = { "name", "data_centre", "address", "entry_port", "state", "revision", NULL };
static const char *const backend_columns_[] = { "service",   "name",    "data_centre",
                                                "in_flight", "limit",   "load",
                                                "failures",  "ejected", NULL };
static const char *const bill_columns_[]
    = { "team",          "request",       "budget",        "service",
        "prompt_tokens", "output_tokens", "billed_tokens", NULL };

static bool find_topic_ (const struct arg_str *name, enum topic_ *topic);
static int show_instance_ (const char *address, enum topic_ topic, bool json);
static void print_status_ (const json_t *status, enum topic_ topic, bool json);
static json_t *rows_by_name_ (const json_t *members, const char *column);
static json_t *rows_by_service_ (const json_t *backends);
static json_t *read_status_ (const char *ip, unsigned port);
static int show_platform_ (struct sr_platform *platform, enum topic_ topic, bool json);
static int show_config_ (struct sr_platform *platform, bool json);
static int show_instances_ (struct sr_platform *platform, bool json);
static int show_budgets_ (struct sr_platform *platform, bool json);
static enum sr_platform_status
add_budget_ (struct sr_platform *platform, const char *name, json_t *rows);
static int show_bills_ (struct sr_platform *platform, bool json);
static bool add_bill_ (const struct sr_bill *bill, void *rows);
static int report_ (enum sr_platform_status status);

/* Runs "show": prints the state of an instance, or what is stored on the platform. */
int
cli_command_show (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *name
      = arg_str0 (NULL, NULL, "TOPIC", "config (default), budgets, instances, backends or bills");
  struct arg_str *instance = arg_str0 (NULL, "instance", "IP:PORT", "ask an instance's entry");
  struct arg_str *address = arg_str0 (NULL, "platform", "IP:PORT", "ask the platform");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_end *end = arg_end (10);
  void *table[] = { help, name, instance, address, json, end };
  struct sr_platform *platform = NULL;
  enum topic_ topic = TOPIC_CONFIG;
  int code = cli_parse (argc, argv, table, help, end,
                        "Prints what an instance knows, or what the platform holds.");

  if (code != CLI_CONTINUE)
    goto out;
  code = CLI_EXIT_USAGE;
  if (!find_topic_ (name, &topic) || instance->count + address->count != 1)
    {
      fprintf (stderr, "show: a known topic and one of --instance and --platform are needed\n");
      goto out;
    }
  if (instance->count > 0)
    {
      code = show_instance_ (instance->sval[0], topic, json->count > 0);
      goto out;
    }
  platform = cli_open_platform (argv[0], address->sval[0]);
  if (platform != NULL)
    code = show_platform_ (platform, topic, json->count > 0);

out:
  sr_platform_unref (platform);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}

static bool
find_topic_ (const struct arg_str *name, enum topic_ *topic)
{
  if (name->count == 0)
    return true;
  for (int i = 0; topic_names_[i] != NULL; i++)
    if (strcmp (topic_names_[i], name->sval[0]) == 0)
      {
        *topic = (enum topic_)i;
        return true;
      }
  return false;
}

static int
show_instance_ (const char *address, enum topic_ topic, bool json)
{
  char ip[16];
  unsigned port;
  json_t *status;

  if (!sr_ini_parse_address_port (address, ip, &port) || topic == TOPIC_BILLS)
    {
      fprintf (stderr, "show: --instance is not IP:PORT, or instances do not have this topic\n");
      return CLI_EXIT_USAGE;
    }
  status = read_status_ (ip, port);
  if (status == NULL)
    {
      fprintf (stderr, "show: no valid status received from %s\n", address);
      return CLI_EXIT_REFUSED;
    }
  print_status_ (status, topic, json);
  json_decref (status);
  return CLI_EXIT_OK;
}

static void
print_status_ (const json_t *status, enum topic_ topic, bool json)
{
  const json_t *member
      = status_members_[topic] != NULL ? json_object_get (status, status_members_[topic]) : NULL;
  json_t *rows;

  switch (topic)
    {
    case TOPIC_BUDGETS:
      rows = rows_by_name_ (member, "budget");
      cli_print_rows (rows, held_columns_, json, stdout);
      break;
    case TOPIC_BACKENDS:
      rows = rows_by_service_ (member);
      cli_print_rows (rows, backend_columns_, json, stdout);
      break;
    case TOPIC_INSTANCES:
      rows = json_incref ((json_t *)member);
      cli_print_rows (rows, instance_columns_, json, stdout);
      break;
    default:
      rows = json_pack ("[O]", status);
      cli_print_rows (rows, revision_columns_, json, stdout);
      break;
    }
  json_decref (rows);
}

/* Returns a row for each member of MEMBERS, an object of objects: its name as COLUMN, then its own
 * members. The caller owns the array. */
static json_t *
rows_by_name_ (const json_t *members, const char *column)
{
  json_t *rows = json_array ();
  const char *name;
  json_t *value;

  json_object_foreach ((json_t *)members, name, value)
  {
    json_t *row = json_object ();

    json_object_set_new (row, column, json_string (name));
    json_object_update_missing (row, value);
    json_array_append_new (rows, row);
  }
  return rows;
}

/* Returns a row for each backend server in BACKENDS, an object with an array per service. The
 * caller owns the array. */
static json_t *
rows_by_service_ (const json_t *backends)
{
  json_t *rows = json_array ();
  const char *service;
  json_t *list;
  json_t *backend;
  size_t i;

  json_object_foreach ((json_t *)backends, service, list)
  {
    json_array_foreach (list, i, backend)
    {
      json_t *row = json_object ();

      json_object_set_new (row, "service", json_string (service));
      json_object_update_missing (row, backend);
      json_array_append_new (rows, row);
    }
  }
  return rows;
}

/* Fetches the status of the instance whose entry listens on IP and PORT. Returns it, owned by the
 * caller, or NULL on any failure. */
static json_t *
read_status_ (const char *ip, unsigned port)
{
  struct sr_exchange_options options = { .address = ip,
                                         .port = port,
                                         .connect_timeout_s = TIMEOUT_S,
                                         .idle_timeout_s = TIMEOUT_S,
                                         .method = "GET",
                                         .path = "/status" };
  struct sr_exchange *exchange = sr_exchange_new (&options);
  g_autoptr (GString) body = g_string_new (NULL);
  json_t *json = NULL;

  if (exchange != NULL && sr_exchange_begin (exchange) == SR_EXCHANGE_OK
      && sr_exchange_http_status (exchange) == HTTP_OK
      && sr_exchange_read_all (exchange, body, STATUS_MAX_BYTES) == SR_EXCHANGE_OK)
    json = json_loadb (body->str, body->len, 0, NULL);
  sr_exchange_delete (exchange);
  return json;
}

static int
show_platform_ (struct sr_platform *platform, enum topic_ topic, bool json)
{
  if (topic == TOPIC_CONFIG)
    return show_config_ (platform, json);
  if (topic == TOPIC_INSTANCES)
    return show_instances_ (platform, json);
  if (topic == TOPIC_BUDGETS)
    return show_budgets_ (platform, json);
  if (topic == TOPIC_BILLS)
    return show_bills_ (platform, json);
  fprintf (stderr, "show: the platform does not have this topic\n");
  return CLI_EXIT_USAGE;
}

/* Prints the configuration in force as a file that can be submitted, with its revision in a
 * comment.
 */
static int
show_config_ (struct sr_platform *platform, bool json)
{
  g_autoptr (GString) text = g_string_new (NULL);
  int64_t revision = 0;
  enum sr_platform_status status = sr_config_fetch (platform, text, &revision, cli_deadline_us ());

  if (status != SR_PLATFORM_OK)
    return report_ (status);
  if (json)
    {
      json_t *object
          = json_pack ("{s:I, s:s}", "revision", (json_int_t)revision, "configuration", text->str);

      json_dumpf (object, stdout, JSON_COMPACT);
      putchar ('\n');
      json_decref (object);
    }
  else
    printf ("; revision %" G_GINT64_FORMAT "\n%s", revision, text->str);
  return CLI_EXIT_OK;
}

static int
show_instances_ (struct sr_platform *platform, bool json)
{
  g_autoptr (GString) body = g_string_new (NULL);
  enum sr_platform_status status = sr_platform_instances (platform, body);
  json_t *object = json_loadb (body->str, body->len, 0, NULL);
  const json_t *instances = json_object_get (object, "instances");

  if (status == SR_PLATFORM_OK && instances != NULL)
    cli_print_rows (instances, instance_columns_, json, stdout);
  json_decref (object);
  return report_ (status);
}

static int
show_budgets_ (struct sr_platform *platform, bool json)
{
  g_autofree char *after = NULL;
  enum sr_platform_status status = SR_PLATFORM_OK;
  json_t *rows = json_array ();
  bool more = true;

  while (more && status == SR_PLATFORM_OK)
    {
      g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);

      status = sr_platform_list (platform, SR_BUDGET_KIND, "", after, PAGE_NAMES, names, &more);
      for (size_t i = 0; i < names->len && status == SR_PLATFORM_OK; i++)
        status = add_budget_ (platform, g_ptr_array_index (names, i), rows);
      if (names->len == 0)
        break;
      g_free (after);
      after = g_strdup (g_ptr_array_index (names, names->len - 1));
    }
  cli_print_rows (rows, prepaid_columns_, json, stdout);
  json_decref (rows);
  return report_ (status);
}

/* Adds a row for budget NAME to ROWS: its record, the tokens that holders have ("held") and those
 * that can still be granted ("left"). A budget that is absent or has an invalid record is skipped.
 */
static enum sr_platform_status
add_budget_ (struct sr_platform *platform, const char *name, json_t *rows)
{
  g_autoptr (GString) body = g_string_new (NULL);
  struct sr_record *record = NULL;
  enum sr_platform_status status;
  int64_t version;
  json_t *row;

  status = sr_platform_get_with_retry (platform, SR_BUDGET_KIND, name, body, &version,
                                       cli_deadline_us ());
  if (status == SR_PLATFORM_ABSENT)
    return SR_PLATFORM_OK;
  if (status == SR_PLATFORM_OK)
    record = sr_record_parse (body->str, body->len);
  if (record == NULL)
    return status;
  row = json_loadb (body->str, body->len, 0, NULL);
  json_object_set_new (row, "budget", json_string (name));
  json_object_set_new (row, "held", json_integer (sr_record_outstanding (record)));
  json_object_set_new (row, "left", json_integer (sr_record_remaining (record)));
  json_array_append_new (rows, row);
  sr_record_delete (record);
  return SR_PLATFORM_OK;
}

/* Prints each bill once, even if copies of it were stored more than once. */
static int
show_bills_ (struct sr_platform *platform, bool json)
{
  json_t *rows = json_array ();
  enum sr_platform_status status = sr_bills_read (platform, NULL, add_bill_, rows);

  if (status == SR_PLATFORM_OK)
    cli_print_rows (rows, bill_columns_, json, stdout);
  json_decref (rows);
  return report_ (status);
}

static bool
add_bill_ (const struct sr_bill *bill, void *rows)
{
  json_t *row = json_pack ("{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I}", "team", bill->team, "request",
                           bill->request, "budget", bill->budget, "service", bill->service,
                           "prompt_tokens", (json_int_t)bill->prompt_tokens, "output_tokens",
                           (json_int_t)bill->output_tokens, "billed_tokens",
                           (json_int_t)bill->billed_tokens, "time_ms", (json_int_t)bill->time_ms);

  json_array_append_new (rows, row);
  return true;
}

static int
report_ (enum sr_platform_status status)
{
  if (status == SR_PLATFORM_OK)
    return CLI_EXIT_OK;
  fprintf (stderr, "show: platform status: %s\n", sr_platform_status_to_string (status));
  return CLI_EXIT_REFUSED;
}
