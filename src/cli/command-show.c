#include "cli/cli.h"
#include "cli/print-json.h"
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
  PAGE = 200,
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

/* For each topic: the member of an instance's status that tells of it, and the kind of the
 * platform's objects; NULL where there is none. */
static const char *const status_members_[] = { "revision", "budgets", "members", "backends", NULL };
static const char *const object_kinds_[] = { NULL, "budget", NULL, NULL, "bills" };

static bool
find_topic_ (const struct arg_str *name, enum topic_ *topic);
static int
show_instance_ (const char *address, enum topic_ topic, bool json);
static json_t *
read_status_ (const char *ip, unsigned port);
static int
show_platform_ (struct sr_platform *platform, enum topic_ topic, bool json);
static int
show_config_ (struct sr_platform *platform, bool json);
static int
show_instances_ (struct sr_platform *platform, bool json);
static int
show_objects_ (struct sr_platform *platform, const char *kind, bool json);
static enum sr_platform_status
show_object_ (struct sr_platform *platform, const char *kind, const char *name, bool json);
static int
report_ (enum sr_platform_status status);

/* Runs "show": prints what an instance knows, or what the platform holds. */
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

  if (code != CLI_GO_ON)
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
  const json_t *member;

  if (!sr_ini_parse_address_port (address, ip, &port) || status_members_[topic] == NULL)
    {
      fprintf (stderr, "show: not IP:PORT, or an instance does not tell this\n");
      return CLI_EXIT_USAGE;
    }
  status = read_status_ (ip, port);
  member = json_object_get (status, status_members_[topic]);
  if (member == NULL)
    fprintf (stderr, "show: %s does not answer as an instance does\n", address);
  else
    cli_print_json (member, json, stdout);
  json_decref (status);
  return member != NULL ? CLI_EXIT_OK : CLI_EXIT_REFUSED;
}

/* Returns the status of the instance whose entry is at IP and PORT, owned by the caller, or NULL.
 */
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
      && sr_exchange_code (exchange) == HTTP_OK
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
  if (object_kinds_[topic] != NULL)
    return show_objects_ (platform, object_kinds_[topic], json);
  fprintf (stderr, "show: the platform does not tell this\n");
  return CLI_EXIT_USAGE;
}

/* Prints the configuration in force as a file that could be submitted, its revision in a comment.
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

      cli_print_json (object, true, stdout);
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
    cli_print_json (instances, json, stdout);
  json_decref (object);
  return report_ (status);
}

static int
show_objects_ (struct sr_platform *platform, const char *kind, bool json)
{
  g_autofree char *after = NULL;
  enum sr_platform_status status = SR_PLATFORM_OK;
  bool more = true;

  while (more && status == SR_PLATFORM_OK)
    {
      g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);

      status = sr_platform_list (platform, kind, "", after, PAGE, names, &more);
      for (size_t i = 0; i < names->len && status == SR_PLATFORM_OK; i++)
        status = show_object_ (platform, kind, g_ptr_array_index (names, i), json);
      if (names->len == 0)
        break;
      g_free (after);
      after = g_strdup (g_ptr_array_index (names, names->len - 1));
    }
  return report_ (status);
}

/* Prints one object with its name before it. */
static enum sr_platform_status
show_object_ (struct sr_platform *platform, const char *kind, const char *name, bool json)
{
  g_autoptr (GString) body = g_string_new (NULL);
  int64_t version;
  enum sr_platform_status status
      = sr_platform_get_patiently (platform, kind, name, body, &version, cli_deadline_us ());
  json_t *value;
  json_t *object;

  if (status == SR_PLATFORM_ABSENT)
    return SR_PLATFORM_OK;
  if (status != SR_PLATFORM_OK)
    return status;
  value = json_loadb (body->str, body->len, JSON_DECODE_ANY, NULL);
  if (value == NULL)
    value = json_string ("unreadable");
  object = json_object ();
  json_object_set_new (object, "name", json_string (name));
  if (json_is_object (value))
    json_object_update_missing (object, value);
  else
    json_object_set (object, "value", value);
  cli_print_json (object, json, stdout);
  json_decref (object);
  json_decref (value);
  return SR_PLATFORM_OK;
}

static int
report_ (enum sr_platform_status status)
{
  if (status == SR_PLATFORM_OK)
    return CLI_EXIT_OK;
  fprintf (stderr, "show: the platform says %s\n", sr_platform_status_to_string (status));
  return CLI_EXIT_REFUSED;
}
