/* Load tool: many callers with a seeded mix of requests, against a running fleet or one of its own.
 */
#include "testing/harness/traffic.h"

#include <argtable2.h>
#include <stdlib.h>

enum
{
  TARGETS_MAX = 64,
  PORT_BASE = 31000
};

/* The command line. */
struct arguments
{
  struct arg_str *targets;
  struct arg_int *instances, *engines, *slots, *pace_ms, *prefill_us;
  struct arg_int *callers, *requests, *seconds, *seed, *teams, *large, *stream, *interactive;
  struct arg_int *prefixes, *prefix_bytes, *tokens_min, *tokens_max, *deadline_ms;
  struct arg_dbl *rate;
  struct arg_str *service;
  struct arg_lit *json;
  struct arg_end *end;
};

static struct arg_int *number_ (const char *name, int fallback, const char *text);
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
  bool wrong;

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
    .limit_s = arguments.seconds->ival[0],
    .seed = (uint32_t)arguments.seed->ival[0],
    .service = arguments.service->count > 0 ? arguments.service->sval[0] : "diary",
    .teams = (unsigned)arguments.teams->ival[0],
    .large_team_percent = (unsigned)arguments.large->ival[0],
    .stream_percent = (unsigned)arguments.stream->ival[0],
    .interactive_percent = (unsigned)arguments.interactive->ival[0],
    .prefixes = (unsigned)arguments.prefixes->ival[0],
    .prefix_bytes = (unsigned)arguments.prefix_bytes->ival[0],
    .tokens_min = (unsigned)arguments.tokens_min->ival[0],
    .tokens_max = (unsigned)arguments.tokens_max->ival[0],
    .deadline_ms = arguments.deadline_ms->ival[0],
  };
  result = traffic_run (&options);
  report_ (&arguments, result);
  wrong = result->verdicts[HARNESS_WRONG] > 0;
  traffic_result_delete (result);
  harness_stop (harness);
  return wrong ? 1 : 0;
}

static struct arg_int *
number_ (const char *name, int fallback, const char *text)
{
  struct arg_int *argument = arg_int0 (NULL, name, "N", text);

  argument->ival[0] = fallback;
  return argument;
}

static bool
parse_ (int argc, char **argv, struct arguments *a)
{
  void *table[] = {
    a->targets = arg_strn (NULL, "target", "IP:PORT", 0, TARGETS_MAX, "entry of a running fleet"),
    a->instances = number_ ("instances", 3, "instances of an own fleet"),
    a->engines = number_ ("engines", 4, "engines of an own fleet"),
    a->slots = number_ ("slots", 8, "slots of each engine"),
    a->pace_ms = number_ ("pace-ms", 5, "time between tokens"),
    a->prefill_us = number_ ("prefill-us-per-token", 0, "time per prompt token"),
    a->callers = number_ ("callers", 16, "callers at once"),
    a->rate = arg_dbl0 (NULL, "rate", "R", "requests a second (open loop)"),
    a->requests = number_ ("requests", 1000, "requests in all"),
    a->seconds = number_ ("seconds", 0, "no request begins after this time"),
    a->seed = number_ ("seed", 1, "seed of the mix"),
    a->teams = number_ ("teams", 3, "teams"),
    a->large = number_ ("large-team-percent", 50, "share of team 1"),
    a->stream = number_ ("stream-percent", 50, "share of streamed answers"),
    a->interactive = number_ ("interactive-percent", 30, "share of interactive requests"),
    a->prefixes = number_ ("prefixes", 20, "distinct prompt beginnings"),
    a->prefix_bytes = number_ ("prefix-bytes", 512, "length of a prompt beginning"),
    a->tokens_min = number_ ("tokens-min", 4, "shortest answer"),
    a->tokens_max = number_ ("tokens-max", 64, "longest answer"),
    a->deadline_ms = number_ ("deadline-ms", 0, "deadline that is sent"),
    a->service = arg_str0 (NULL, "service", "NAME", "model service (diary)"),
    a->json = arg_lit0 (NULL, "json", "print the figures as JSON"),
    a->end = arg_end (8),
  };

  if (arg_nullcheck (table) != 0)
    return false;
  if (arg_parse (argc, argv, table) == 0)
    return true;
  arg_print_errors (stderr, a->end, argv[0]);
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
    .pace_ms = (unsigned)arguments->pace_ms->ival[0],
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
