/* Load generator: concurrent callers send a seeded mix of requests to a running fleet, or to one
 * that the program starts. Exits with 1 if any reply was wrong. */
#include "testing/harness/traffic.h"

#include <argtable2.h>
#include <stdlib.h>

enum
{
  TARGETS_MAX = 64,
  PORT_BASE = 31000
};

struct arguments
{
  struct arg_str *targets;
  struct arg_int *instances, *engines, *slots, *pace_ms, *prefill_us;
  struct arg_int *callers, *requests, *seconds, *seed, *teams, *large_team_percent, *stream_percent,
      *interactive_percent;
  struct arg_int *prefixes, *prefix_bytes, *tokens_min, *tokens_max, *deadline_ms;
  struct arg_dbl *rate;
  struct arg_str *service;
  struct arg_lit *json;
  struct arg_end *end;
};

static struct arg_int *int_option_ (const char *name, int default_value, const char *text);
static bool parse_ (int argc, char **argv, struct arguments *arguments);
static struct harness *start_fleet_ (const struct arguments *arguments, GPtrArray *targets);
static void report_ (const struct arguments *arguments, struct traffic_result *result);

int
main (int argc, char **argv)
{
  struct arguments arguments;
  g_autoptr (GPtrArray) targets = g_ptr_array_new_with_free_func (g_free);
  struct traffic_options options;
  struct traffic_result *result;
  struct harness *harness = NULL;
  bool has_wrong_reply;

  if (!parse_ (argc, argv, &arguments))
    return 2;
  for (int i = 0; i < arguments.targets->count; i++)
    g_ptr_array_add (targets, g_strdup (arguments.targets->sval[i]));
  if (targets->len == 0 && (harness = start_fleet_ (&arguments, targets)) == NULL)
    return 1;
  g_ptr_array_add (targets, NULL);
  options = (struct traffic_options){
    .targets = (const char *const *)targets->pdata,
    .callers = (unsigned)arguments.callers->ival[0],
    .rate_per_s = arguments.rate->count > 0 ? arguments.rate->dval[0] : 0,
    .requests = arguments.requests->ival[0],
    .duration_limit_s = arguments.seconds->ival[0],
    .seed = (uint32_t)arguments.seed->ival[0],
    .service = arguments.service->count > 0 ? arguments.service->sval[0] : "diary",
    .teams = (unsigned)arguments.teams->ival[0],
    .large_team_percent = (unsigned)arguments.large_team_percent->ival[0],
    .stream_percent = (unsigned)arguments.stream_percent->ival[0],
    .interactive_percent = (unsigned)arguments.interactive_percent->ival[0],
    .prefixes = (unsigned)arguments.prefixes->ival[0],
    .prefix_bytes = (unsigned)arguments.prefix_bytes->ival[0],
    .tokens_min = (unsigned)arguments.tokens_min->ival[0],
    .tokens_max = (unsigned)arguments.tokens_max->ival[0],
    .deadline_ms = arguments.deadline_ms->ival[0],
  };
  result = traffic_run (&options);
  report_ (&arguments, result);
  has_wrong_reply = result->outcomes[HARNESS_WRONG] > 0;
  traffic_result_delete (result);
  harness_stop (harness);
  return has_wrong_reply ? 1 : 0;
}

static struct arg_int *
int_option_ (const char *name, int default_value, const char *text)
{
  struct arg_int *argument = arg_int0 (NULL, name, "N", text);

  argument->ival[0] = default_value;
  return argument;
}

static bool
parse_ (int argc, char **argv, struct arguments *arguments)
{
  void *table[] = {
    arguments->targets
    = arg_strn (NULL, "target", "IP:PORT", 0, TARGETS_MAX, "entry address of a running fleet"),
    arguments->instances = int_option_ ("instances", 3, "instances to start without --target"),
    arguments->engines = int_option_ ("engines", 4, "backend servers to start without --target"),
    arguments->slots = int_option_ ("slots", 8, "slots of each backend server"),
    arguments->pace_ms = int_option_ ("pace-ms", 5, "milliseconds between tokens"),
    arguments->prefill_us
    = int_option_ ("prefill-us-per-token", 0, "microseconds of prefill per prompt token"),
    arguments->callers = int_option_ ("callers", 16, "concurrent callers"),
    arguments->rate = arg_dbl0 (NULL, "rate", "R", "requests per second (open loop)"),
    arguments->requests = int_option_ ("requests", 1000, "total number of requests"),
    arguments->seconds = int_option_ ("seconds", 0, "start no request after this many seconds"),
    arguments->seed = int_option_ ("seed", 1, "seed of the request mix"),
    arguments->teams = int_option_ ("teams", 3, "teams"),
    arguments->large_team_percent
    = int_option_ ("large-team-percent", 50, "percentage of requests sent by team 1"),
    arguments->stream_percent
    = int_option_ ("stream-percent", 50, "percentage of streamed responses"),
    arguments->interactive_percent
    = int_option_ ("interactive-percent", 30, "percentage of interactive requests"),
    arguments->prefixes = int_option_ ("prefixes", 20, "number of distinct prompt prefixes"),
    arguments->prefix_bytes = int_option_ ("prefix-bytes", 512, "length of a prompt prefix"),
    arguments->tokens_min = int_option_ ("tokens-min", 4, "tokens of the shortest response"),
    arguments->tokens_max = int_option_ ("tokens-max", 64, "tokens of the longest response"),
    arguments->deadline_ms = int_option_ ("deadline-ms", 0, "deadline sent with each request"),
    arguments->service
    = arg_str0 (NULL, "service", "NAME", "model service to call (default: diary)"),
    arguments->json = arg_lit0 (NULL, "json", "print the results as JSON"),
    arguments->end = arg_end (8),
  };

  if (arg_nullcheck (table) != 0)
    return false;
  if (arg_parse (argc, argv, table) == 0)
    return true;
  arg_print_errors (stderr, arguments->end, argv[0]);
  arg_print_glossary (stderr, table, "  %-28s %s\n");
  return false;
}

static struct harness *
start_fleet_ (const struct arguments *arguments, GPtrArray *targets)
{
  struct harness_options options = {
    .name = "load",
    .port_base = PORT_BASE,
    .instances = (unsigned)arguments->instances->ival[0],
    .engines = (unsigned)arguments->engines->ival[0],
    .slots = (unsigned)arguments->slots->ival[0],
    .token_interval_ms = (unsigned)arguments->pace_ms->ival[0],
    .prefill_us_per_token = (unsigned)arguments->prefill_us->ival[0],
    .teams = (unsigned)arguments->teams->ival[0],
    .prepaid_tokens = 1000000000,
    .without_proxy = true,
  };

  for (unsigned i = 1; i <= options.instances; i++)
    g_ptr_array_add (targets, g_strdup_printf ("127.0.1.%u:%u", i, PORT_BASE + HARNESS_PORT_ENTRY));
  return harness_start (&options);
}

static void
report_ (const struct arguments *arguments, struct traffic_result *result)
{
  json_t *json;

  if (arguments->json->count == 0)
    {
      traffic_result_print (result, stdout);
      return;
    }
  json = traffic_result_json (result);
  json_dumpf (json, stdout, JSON_COMPACT | JSON_REAL_PRECISION (6));
  printf ("\n");
  json_decref (json);
}
