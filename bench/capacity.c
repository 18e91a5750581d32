/* Measures how the cost of gossip, routing, configuration, budgets and whole processes grows with
 * the fleet, for docs/CAPACITY.md. Prints one line per size. */
#include "budget/budget.h"
#include "config/config.h"
#include "member/gossip.h"
#include "platform/platform-memory.h"
#include "route/route.h"
#include "testing/harness/traffic.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

enum
{
  PORT_BASE = 31200,
  US_PER_S = 1000000,
  NS_PER_US = 1000,
  GOSSIP_WARM_UP_S = 90,
  GOSSIP_MEASURE_S = 20,
  GOSSIP_FANOUT = 3,              /* default of the setting gossip_fanout */
  CALL_OVERHEAD_BYTES = 40 + 28,  /* ONC RPC call header, IPv4 and UDP headers */
  REPLY_OVERHEAD_BYTES = 24 + 28, /* ONC RPC reply header, IPv4 and UDP headers */
  TEAMS = 1500,
  ROUTER_PICKS = 20000,
  IDLE_MEASURE_S = 10, /* also the wait before the measurement */
  DETECTION_MAX_S = 300,
  DATA_CENTRES = 9,
  PREPAID_TOKENS = 1000000,
  LOAD_REQUESTS_PER_S = 72, /* 18 per second for each of four instances */
  LOAD_INSTANCES = 4,
  LOAD_S = 20
};

static int64_t
cpu_us_ (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (int64_t)time.tv_sec * US_PER_S + time.tv_nsec / NS_PER_US;
}

static int64_t
heap_bytes_ (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (int64_t)(info.uordblks + info.hblkhd);
}

/* Gossip: all nodes run in this process and exchange messages without loss. */

struct gossip_fleet
{
  size_t length;
  struct sr_gossip **nodes;
  size_t dead_from; /* nodes from this index on do not run, and calls to them fail */
  int64_t now_us;
  int64_t bytes;
  int64_t messages;
};

static struct sr_gossip *
new_gossip_node_ (size_t index, int64_t now_us)
{
  struct sr_peer_address seeds[] = { { "10.0.0.0", 7000 }, { "10.0.0.1", 7000 } };
  g_autofree char *name = g_strdup_printf ("entry-%03zu", index);
  g_autofree char *data_centre = g_strdup_printf ("region-%zu-%zu", index % 4, index % 9);
  struct sr_gossip_options options = { .name = name,
                                       .data_centre = data_centre,
                                       .address.port = 7000,
                                       .entry_port = 8000,
                                       .incarnation = 1,
                                       .seeds = seeds,
                                       .n_seeds = G_N_ELEMENTS (seeds),
                                       .interval_us = US_PER_S,
                                       .fanout = GOSSIP_FANOUT,
                                       .suspect_after_us = 5 * (int64_t)US_PER_S,
                                       .dead_after_us = 15 * (int64_t)US_PER_S,
                                       .seed = (uint32_t)index };

  g_snprintf (options.address.ip, sizeof options.address.ip, "10.0.%zu.%zu", index / 256,
              index % 256);
  return sr_gossip_new (&options, now_us);
}

static void
gossip_exchange_ (struct gossip_fleet *fleet, size_t from, const struct sr_gossip_target *target)
{
  member_message request = { 0 };
  member_message response = { 0 };
  unsigned high = 0;
  unsigned low = 0;

  sscanf (target->address.ip, "10.0.%u.%u", &high, &low);
  if (high * 256 + low >= fleet->dead_from)
    {
      sr_gossip_handle_failure (fleet->nodes[from], fleet->now_us, target);
      return;
    }
  sr_gossip_fill_request (fleet->nodes[from], target, &request);
  sr_gossip_handle_request (fleet->nodes[high * 256 + low], fleet->now_us, &request, &response);
  sr_gossip_handle_reply (fleet->nodes[from], fleet->now_us, target, &response);
  fleet->bytes += CALL_OVERHEAD_BYTES + REPLY_OVERHEAD_BYTES
                  + (int64_t)xdr_sizeof ((xdrproc_t)xdr_member_message, &request)
                  + (int64_t)xdr_sizeof ((xdrproc_t)xdr_member_message, &response);
  fleet->messages += 2;
  xdr_free ((xdrproc_t)xdr_member_message, &request);
  xdr_free ((xdrproc_t)xdr_member_message, &response);
}

static void
gossip_run_ (struct gossip_fleet *fleet, unsigned seconds)
{
  for (unsigned second = 0; second < seconds; second++)
    {
      fleet->now_us += US_PER_S;
      for (size_t i = 0; i < fleet->dead_from; i++)
        {
          g_autoptr (GArray) targets = g_array_new (FALSE, TRUE, sizeof (struct sr_gossip_target));

          sr_gossip_tick (fleet->nodes[i], fleet->now_us, targets);
          for (guint j = 0; j < targets->len; j++)
            gossip_exchange_ (fleet, i, &g_array_index (targets, struct sr_gossip_target, j));
        }
    }
}

/* Counts the pairs of a running and a dead node in which the running one sees the other as dead. */
static size_t
count_detected_pairs_ (const struct gossip_fleet *fleet)
{
  size_t count = 0;

  for (size_t i = 0; i < fleet->dead_from; i++)
    {
      struct sr_member_view *view = sr_gossip_view (fleet->nodes[i], fleet->now_us);

      for (size_t j = 0; j < view->length; j++)
        count += view->members[j].state == SR_MEMBER_DEAD;
      sr_member_view_unref (view);
    }
  return count;
}

/* Stops the last COUNT nodes and prints after how many seconds the first running node sees one of
 * them as dead, and after how many seconds all running nodes see all of them as dead. */
static void
measure_failure_detection_ (struct gossip_fleet *fleet, size_t count)
{
  unsigned first_detected_s = 0;
  unsigned seconds = 0;
  size_t detected_pairs = 0;

  fleet->dead_from = fleet->length - count;
  for (; detected_pairs < fleet->dead_from * count && seconds < DETECTION_MAX_S; seconds++)
    {
      gossip_run_ (fleet, 1);
      detected_pairs = count_detected_pairs_ (fleet);
      if (detected_pairs > 0 && first_detected_s == 0)
        first_detected_s = seconds + 1;
    }
  printf ("death members=%zu dead=%zu first_s=%u all_s=%u pairs=%zu of %zu\n", fleet->length, count,
          first_detected_s, seconds, detected_pairs, fleet->dead_from * count);
}

static void
measure_gossip_ (size_t length, bool data_centre_fails)
{
  struct gossip_fleet fleet = { .length = length, .dead_from = length, .now_us = US_PER_S };
  int64_t heap = heap_bytes_ ();
  int64_t cpu;
  double node_seconds = (double)length * GOSSIP_MEASURE_S;

  fleet.nodes = g_new0 (struct sr_gossip *, length);
  for (size_t i = 0; i < length; i++)
    fleet.nodes[i] = new_gossip_node_ (i, fleet.now_us);
  gossip_run_ (&fleet, GOSSIP_WARM_UP_S);
  heap = heap_bytes_ () - heap;
  fleet.bytes = fleet.messages = 0;
  cpu = cpu_us_ ();
  gossip_run_ (&fleet, GOSSIP_MEASURE_S);
  cpu = cpu_us_ () - cpu;
  /* Each message is sent by one node and received by another. */
  printf ("gossip members=%zu messages_per_s=%.1f bytes_per_s=%.0f cpu_us_per_s=%.0f heap=%.0f\n",
          length, 2 * (double)fleet.messages / node_seconds, 2 * (double)fleet.bytes / node_seconds,
          (double)cpu / node_seconds, (double)heap / (double)length);
  measure_failure_detection_ (&fleet, data_centre_fails ? length / DATA_CENTRES : 1);
  for (size_t i = 0; i < length; i++)
    sr_gossip_delete (fleet.nodes[i]);
  g_free (fleet.nodes);
}

/* Router: the backend servers are spread over eight services, and one of these is used. */

static void
backend_free_ (void *data)
{
  struct sr_config_backend *backend = data;

  g_string_free (backend->name, TRUE);
  g_string_free (backend->service, TRUE);
  g_string_free (backend->address, TRUE);
  g_string_free (backend->data_centre, TRUE);
  g_free (backend);
}

static GPtrArray *
backends_ (size_t length)
{
  GPtrArray *backends = g_ptr_array_new_with_free_func (backend_free_);

  for (size_t i = 0; i < length; i++)
    {
      struct sr_config_backend *backend = g_new0 (struct sr_config_backend, 1);

      backend->name = g_string_new (NULL);
      g_string_printf (backend->name, "engine-%zu", i);
      backend->service = g_string_new (NULL);
      g_string_printf (backend->service, "model-%zu", i % 8);
      backend->address = g_string_new ("10.1.2.3");
      backend->port = 8000;
      backend->data_centre = g_string_new (NULL);
      g_string_printf (backend->data_centre, "dc-%zu", i % 9);
      backend->slots = 64;
      g_ptr_array_add (backends, backend);
    }
  return backends;
}

static void
measure_router_ (size_t length)
{
  struct sr_router_options options = { .data_centre = "dc-1", .instance = "entry-001", .seed = 1 };
  GPtrArray *backends = backends_ (length);
  int64_t heap = heap_bytes_ ();
  struct sr_router *router = sr_router_new (&options);
  int64_t now_us = g_get_monotonic_time ();
  int64_t cpu = cpu_us_ ();
  int64_t apply_us;

  sr_router_apply_backends (router, backends, now_us);
  apply_us = cpu_us_ () - cpu;
  heap = heap_bytes_ () - heap;
  cpu = cpu_us_ ();
  for (int i = 0; i < ROUTER_PICKS; i++)
    {
      struct sr_route_query query
          = { .service = "model-1", .affinity = (uint64_t)i * 7919 + 1, .now_us = now_us + i };
      struct sr_route_report report
          = { .first_byte_us = 1000, .running = 1, .now_us = now_us + i + 1 };
      struct sr_route route;

      if (sr_router_pick (router, &query, &route) == SR_ROUTE_PICKED)
        sr_router_release (router, &route, &report);
    }
  cpu = cpu_us_ () - cpu;
  printf ("router engines=%zu apply_us=%" G_GINT64_FORMAT
          " pick_and_done_us=%.2f heap=%" G_GINT64_FORMAT "\n",
          length, apply_us, (double)cpu / ROUTER_PICKS, heap);
  sr_router_delete (router);
  g_ptr_array_unref (backends);
}

/* Configuration: the proportions of the largest fleet (1500 teams, 140000 budgets, 2800 servers).
 */

static GString *
configuration_ (size_t budgets)
{
  GString *text = g_string_new ("[service model-1]\nkind = model\nmodel = coder\nversion = 1\n"
                                "max_output_tokens = 4096\n");

  for (unsigned team = 1; team <= TEAMS; team++)
    {
      g_autofree char *key = g_strdup_printf ("key-%u", team);
      g_autofree char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);

      g_string_append_printf (text, "[team team-%u]\nkey_digest = %s\n", team, digest);
    }
  for (size_t i = 0; i < budgets; i++)
    g_string_append_printf (text, "[budget budget-%zu]\nteam = team-%zu\n", i, i % TEAMS + 1);
  for (size_t i = 0; i < budgets / 50; i++)
    g_string_append_printf (text,
                            "[backend engine-%zu]\nservice = model-1\naddress = 10.1.%zu.%zu\n"
                            "port = 8000\ndata_centre = dc-1\nslots = 64\n",
                            i, i / 250, i % 250 + 1);
  return text;
}

static void
measure_configuration_ (size_t budgets)
{
  GString *text = configuration_ (budgets);
  struct sr_findings *findings = sr_findings_new ();
  struct sr_config_current *current = sr_config_current_new ();
  int64_t heap = heap_bytes_ ();
  int64_t cpu = cpu_us_ ();
  struct sr_config *config = sr_config_parse ("bench", text->str, text->len, 1, findings);
  int64_t parse_us = cpu_us_ () - cpu;

  heap = heap_bytes_ () - heap;
  if (config == NULL)
    {
      sr_findings_print (findings, stdout);
      exit (EXIT_FAILURE);
    }
  cpu = cpu_us_ ();
  sr_config_current_apply (current, config);
  printf ("configuration budgets=%zu text=%zu parse_us=%" G_GINT64_FORMAT
          " apply_us=%" G_GINT64_FORMAT " heap=%" G_GINT64_FORMAT "\n",
          budgets, text->len, parse_us, cpu_us_ () - cpu, heap);
  sr_config_unref (config);
  sr_config_current_delete (current);
  sr_findings_delete (findings);
  g_string_free (text, TRUE);
}

/* Budgets: one instance without peers serves many of them, with the platform in memory. */

static void
create_record_ (struct sr_platform *platform, const char *budget)
{
  g_autofree char *body = g_strdup_printf (
      "{\"prepaid\":%d,\"settled\":0,\"written_off\":0,\"top_ups\":[],\"holders\":[]}",
      PREPAID_TOKENS);
  int64_t version;

  sr_platform_put (platform, "budget", budget, body, strlen (body), 0, &version);
}

static void
measure_budgets_ (size_t length)
{
  struct sr_platform *platform = sr_platform_memory_new ();
  struct sr_budgets_options options = { .platform = platform,
                                        .instance = "entry-001",
                                        .data_centre = "dc-1",
                                        .incarnation = 1,
                                        .allotment_cover_s = 60,
                                        .idle_return_s = 120,
                                        .settle_interval_ms = 5000,
                                        .seed = 1 };
  struct sr_budgets *budgets = sr_budgets_new (&options);
  unsigned writes = 0;
  int64_t heap;
  int64_t cpu;

  for (size_t i = 0; i < length; i++)
    {
      g_autofree char *name = g_strdup_printf ("budget-%zu", i);

      create_record_ (platform, name);
    }
  sr_budgets_start (budgets);
  writes = sr_platform_memory_writes (platform);
  heap = heap_bytes_ ();
  cpu = cpu_us_ ();
  for (size_t i = 0; i < length; i++)
    {
      g_autofree char *name = g_strdup_printf ("budget-%zu", i);
      struct sr_reservation *reservation = NULL;
      int64_t retry_after_ms;

      if (sr_budgets_reserve (budgets, name, 100, g_get_monotonic_time () + 10 * US_PER_S,
                              &reservation, &retry_after_ms)
          == SR_BUDGET_RESERVED)
        sr_budgets_settle (budgets, reservation, 100);
    }
  cpu = cpu_us_ () - cpu;
  heap = heap_bytes_ () - heap;
  writes = sr_platform_memory_writes (platform) - writes;
  /* The heap includes the holder entry that the in-memory platform keeps for each budget. */
  printf ("budgets served=%zu heap_per_budget=%.0f cpu_us_first_use=%.1f writes_first_use=%.2f\n",
          length, (double)heap / (double)length, (double)cpu / (double)length,
          (double)writes / (double)length);
  sr_budgets_stop (budgets);
  sr_budgets_delete (budgets);
  sr_platform_unref (platform);
}

/* Fleets of instance processes. */

struct platform_calls
{
  double reads;
  double writes;
  double watches;
};

static struct platform_calls
platform_calls_ (struct harness *harness)
{
  json_t *counts = harness_platform_counts (harness);
  struct platform_calls calls
      = { .reads
          = (double)(harness_json_number (counts, "get") + harness_json_number (counts, "list")
                     + harness_json_number (counts, "instances")),
          .writes
          = (double)(harness_json_number (counts, "put") + harness_json_number (counts, "delete")),
          .watches = (double)harness_json_number (counts, "watch") };

  json_decref (counts);
  return calls;
}

static int64_t
instances_cpu_us_ (const struct harness *harness)
{
  int64_t sum = 0;

  for (unsigned i = 1; i <= harness->options.instances; i++)
    sum += harness_process_cpu_us (harness->instances[i]);
  return sum;
}

static int64_t
instances_rss_kib_ (const struct harness *harness)
{
  int64_t sum = 0;

  for (unsigned i = 1; i <= harness->options.instances; i++)
    sum += harness_process_rss_kib (harness->instances[i]);
  return sum;
}

/* Sums up the counter NAME of the metrics pages of all instances. */
static double
instances_counter_ (const struct harness *harness, const char *name)
{
  g_autofree char *line = g_strdup_printf ("\n%s ", name);
  double sum = 0;

  for (unsigned i = 1; i <= harness->options.instances; i++)
    {
      g_autofree char *address = harness_address (HARNESS_PORT_ENTRY, i, false);
      struct harness_call call = { .address = address,
                                   .port = harness_port (harness, HARNESS_PORT_ENTRY),
                                   .path = "/metrics" };
      struct harness_http_response *reply = harness_call (&call);
      const char *found = strstr (reply->body->str, line);

      if (found != NULL)
        sum += (double)g_ascii_strtoll (found + strlen (line), NULL, 10);
      harness_reply_free (reply);
    }
  return sum;
}

static struct harness *
start_fleet_ (unsigned instances)
{
  static const char *const settings[]
      = { "peers",  "gossip_interval_ms", "1000",  "peers",    "suspect_after_ms", "5000",
          "peers",  "dead_after_ms",      "15000", "platform", "watch_ms",         "4000",
          "budget", "settle_interval_ms", "5000",  NULL };
  struct harness_options options = { .name = "capacity",
                                     .port_base = PORT_BASE,
                                     .instances = instances,
                                     .engines = 2,
                                     .slots = 64,
                                     .token_interval_ms = 5,
                                     .prepaid_tokens = 1000000000,
                                     .settings = settings,
                                     .without_proxy = true };

  return harness_start (&options);
}

static void
print_fleet_usage_ (struct harness *harness,
                    const char *kind,
                    int64_t cpu,
                    const struct platform_calls *before,
                    double seconds)
{
  struct platform_calls after = platform_calls_ (harness);
  double instance_seconds = harness->options.instances * seconds;

  printf (
      "%s instances=%u cpu_percent=%.2f rss_kib=%" G_GINT64_FORMAT
      " platform_reads_per_s=%.2f platform_writes_per_s=%.2f platform_watches_per_s=%.2f (each)\n",
      kind, harness->options.instances, 100 * (double)cpu / instance_seconds / US_PER_S,
      instances_rss_kib_ (harness) / harness->options.instances,
      (after.reads - before->reads) / instance_seconds,
      (after.writes - before->writes) / instance_seconds,
      (after.watches - before->watches) / instance_seconds);
}

static void
measure_idle_ (unsigned instances)
{
  struct harness *harness = start_fleet_ (instances);
  struct platform_calls before;
  int64_t cpu;

  if (harness == NULL)
    exit (EXIT_FAILURE);
  g_usleep (IDLE_MEASURE_S * G_USEC_PER_SEC);
  before = platform_calls_ (harness);
  cpu = instances_cpu_us_ (harness);
  g_usleep (IDLE_MEASURE_S * G_USEC_PER_SEC);
  print_fleet_usage_ (harness, "idle", instances_cpu_us_ (harness) - cpu, &before, IDLE_MEASURE_S);
  harness_stop (harness);
}

static void
measure_load_ (void)
{
  static const char *const targets[]
      = { "127.0.1.1:31200", "127.0.1.2:31200", "127.0.1.3:31200", "127.0.1.4:31200", NULL };
  struct traffic_options options = { .targets = targets,
                                     .callers = 256,
                                     .rate_per_s = LOAD_REQUESTS_PER_S,
                                     .requests = (int64_t)LOAD_REQUESTS_PER_S * LOAD_S,
                                     .seed = 1,
                                     .service = "diary",
                                     .teams = 3,
                                     .large_team_percent = 50,
                                     .stream_percent = 100,
                                     .tokens_min = 20,
                                     .tokens_max = 60 };
  struct harness *harness = start_fleet_ (LOAD_INSTANCES);
  struct platform_calls before;
  struct traffic_result *result;
  double peer_calls;
  int64_t cpu;

  if (harness == NULL)
    exit (EXIT_FAILURE);
  before = platform_calls_ (harness);
  peer_calls = instances_counter_ (harness, "peer_calls_total");
  cpu = instances_cpu_us_ (harness);
  result = traffic_run (&options);
  cpu = instances_cpu_us_ (harness) - cpu;
  print_fleet_usage_ (harness, "load", cpu, &before, (double)result->duration_us / US_PER_S);
  peer_calls = instances_counter_ (harness, "peer_calls_total") - peer_calls;
  printf ("load peer_calls_per_s=%.1f (each, of which gossip 3 to 7)\n",
          peer_calls * US_PER_S / (double)result->duration_us / LOAD_INSTANCES);
  printf ("load answered=%" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
          " cpu_us_per_request=%.0f cpu_us_per_token=%.1f\n",
          result->outcomes[HARNESS_COMPLETED], options.requests,
          (double)cpu / (double)options.requests, (double)cpu / (double)result->output_tokens);
  traffic_result_delete (result);
  harness_stop (harness);
}

/* Arguments: the parts to measure (gossip, router, configuration, budgets, idle, load). All are
 * measured when none is given. */
int
main (int argc, char **argv)
{
  static const size_t members[] = { 2, 4, 8, 16, 32, 64, 128, 320, 620 };
  static const size_t backends[] = { 10, 100, 700, 2800 };
  static const size_t configured[] = { 1000, 10000, 50000, 140000 };
  static const size_t served[] = { 100, 1000, 5000 };
  static const unsigned instances[] = { 2, 4, 8, 16, 32 };
  const char *const *parts = (const char *const *)argv + 1;

  setvbuf (stdout, NULL, _IOLBF, 0);
  for (size_t i = 0; (argc < 2 || g_strv_contains (parts, "gossip")) && i < G_N_ELEMENTS (members);
       i++)
    measure_gossip_ (members[i], false);
  if (argc < 2 || g_strv_contains (parts, "gossip"))
    measure_gossip_ (members[G_N_ELEMENTS (members) - 1], true);
  for (size_t i = 0; (argc < 2 || g_strv_contains (parts, "router")) && i < G_N_ELEMENTS (backends);
       i++)
    measure_router_ (backends[i]);
  for (size_t i = 0;
       (argc < 2 || g_strv_contains (parts, "configuration")) && i < G_N_ELEMENTS (configured); i++)
    measure_configuration_ (configured[i]);
  for (size_t i = 0; (argc < 2 || g_strv_contains (parts, "budgets")) && i < G_N_ELEMENTS (served);
       i++)
    measure_budgets_ (served[i]);
  for (size_t i = 0; (argc < 2 || g_strv_contains (parts, "idle")) && i < G_N_ELEMENTS (instances);
       i++)
    measure_idle_ (instances[i]);
  if (argc < 2 || g_strv_contains (parts, "load"))
    measure_load_ ();
  return 0;
}
