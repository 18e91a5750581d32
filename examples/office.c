/* Prints the sample configuration of one of two offices: dodoma, the Time Use Diaries Router, or
 * izmir, the Dosing Contracts Assistant. */
#include <sapphirerun/config.h>

#include <argtable2.h>
#include <string.h>

enum
{
  BACKENDS_MAX = 64,
  TEAMS = 10,
  DATA_CENTRES = 3,
  MODEL_SERVERS = 10, /* sample backend servers of the model service */
  ORDER_SERVERS = 3,  /* sample backend servers of the order service */
  MODEL_SERVER_SLOTS = 16,
  ORDER_SERVER_SLOTS = 32,
  FIRST_PORT = 7001,
  OUTPUT_TOKENS_MAX = 1024, /* of one response of the model service */
  ORDER_TOKENS = 10,        /* charged for an order */
  LOOK_UP_TOKENS = 1,       /* charged for a look-up */
  EXIT_USAGE = 2
};

/* A team with its only budget and its relative share of queues. */
struct team
{
  const char *name;
  const char *budget;
  unsigned weight;
};

/* An office: its model service, a plain service whose calls may run only once (orders), and a
 * repeatable look-up service on the same servers as the orders. Backend servers are named
 * SERVICE-N.
 */
struct office
{
  const char *name;
  const char *data_centres[DATA_CENTRES];
  const char *model_service;
  const char *model;
  const char *order_service;
  const char *look_up_service;
  struct team teams[TEAMS];
};

static const struct office offices[] = {
  { .name = "dodoma",
    .data_centres = { "makole", "chamwino", "kikuyu" },
    .model_service = "diary",
    .model = "swahili-coder",
    .order_service = "relief",
    .look_up_service = "relief-flags",
    .teams = { { "enumerators-makole", "diaries-makole", 4 },
               { "enumerators-chamwino", "diaries-chamwino", 4 },
               { "enumerators-kikuyu", "diaries-kikuyu", 4 },
               { "ward-officers", "village-summaries", 3 },
               { "field-clerks", "coding-questions", 2 },
               { "billing-desk", "tariff-relief", 2 },
               { "quality-control", "diary-checks", 1 },
               { "training", "training-diaries", 1 },
               { "statistics", "yearly-tables", 1 },
               { "council", "council-requests", 1 } } },
  { .name = "izmir",
    .data_centres = { "izmir-a", "izmir-b", "izmir-c" },
    .model_service = "assistant",
    .model = "dosing-assistant",
    .order_service = "order",
    .look_up_service = "stock",
    .teams = { { "technicians-hotels", "hotel-laundries", 4 },
               { "technicians-dairies", "dairies", 4 },
               { "technicians-hospitals", "hospital-kitchens", 4 },
               { "customer-leads", "refill-orders", 2 },
               { "dispatch", "visit-summaries", 2 },
               { "purchasing", "purchasing", 1 },
               { "chemists", "compatibility", 1 },
               { "warehouse", "warehouse", 1 },
               { "training", "training", 1 },
               { "management", "management", 1 } } },
};

static const struct office *
find_office (const char *name)
{
  for (size_t i = 0; i < sizeof (offices) / sizeof (offices[0]); i++)
    {
      if (strcmp (offices[i].name, name) == 0)
        return &offices[i];
    }
  return NULL;
}

static void
add_teams (struct sr_builder *builder, const struct office *office)
{
  for (size_t i = 0; i < TEAMS; i++)
    {
      char key[64];
      const char *keys[] = { key, NULL };
      struct sr_builder_team team
          = { .name = office->teams[i].name, .keys = keys, .weight = office->teams[i].weight };
      struct sr_builder_budget budget
          = { .name = office->teams[i].budget, .team = office->teams[i].name };

      snprintf (key, sizeof (key), "key-of-%s", office->teams[i].name);
      sr_builder_add_team (builder, &team);
      sr_builder_add_budget (builder, &budget);
    }
}

static void
add_services (struct sr_builder *builder, const struct office *office)
{
  struct sr_builder_service model = { .name = office->model_service,
                                      .kind = SR_BUILDER_MODEL,
                                      .model = office->model,
                                      .version = "1",
                                      .max_output_tokens = OUTPUT_TOKENS_MAX };
  struct sr_builder_service order
      = { .name = office->order_service, .kind = SR_BUILDER_PLAIN, .call_tokens = ORDER_TOKENS };
  struct sr_builder_service look_up = { .name = office->look_up_service,
                                        .kind = SR_BUILDER_PLAIN,
                                        .repeatable = true,
                                        .call_tokens = LOOK_UP_TOKENS };

  sr_builder_add_service (builder, &model);
  sr_builder_add_service (builder, &order);
  sr_builder_add_service (builder, &look_up);
}

/* Adds a backend server. NAME begins with its service; INDEX selects its data centre. A server of
 * the order service is added to the look-up service as well. */
static void
add_backend (struct sr_builder *builder,
             const struct office *office,
             const char *name,
             const char *address,
             unsigned port,
             unsigned index,
             bool fence)
{
  bool is_order_server = strncmp (name, office->order_service, strlen (office->order_service)) == 0;
  char look_up_name[96];
  struct sr_builder_backend backend
      = { .name = name,
          .service = is_order_server ? office->order_service : office->model_service,
          .address = address,
          .port = port,
          .data_centre = office->data_centres[index % DATA_CENTRES],
          .slots = is_order_server ? ORDER_SERVER_SLOTS : MODEL_SERVER_SLOTS,
          .checks_fence = fence };

  sr_builder_add_backend (builder, &backend);
  if (!is_order_server)
    return;
  snprintf (look_up_name, sizeof (look_up_name), "look-up-%s", name);
  backend.name = look_up_name;
  backend.service = office->look_up_service;
  sr_builder_add_backend (builder, &backend);
}

/* Adds the backend servers of the command line, or sample ones when none are given. Returns false
 * when one is not NAME=IP:PORT. */
static bool
add_backends (struct sr_builder *builder,
              const struct office *office,
              const struct arg_str *places,
              bool fence)
{
  char name[64];
  char address[16];
  unsigned port;

  for (int i = 0; i < places->count; i++)
    {
      if (!sr_builder_parse_place (places->sval[i], name, address, &port))
        return false;
      add_backend (builder, office, name, address, port, (unsigned)i, fence);
    }
  for (unsigned i = 0; places->count == 0 && i < MODEL_SERVERS + ORDER_SERVERS; i++)
    {
      bool is_order_server = i >= MODEL_SERVERS;

      snprintf (name, sizeof (name), "%s-%u",
                is_order_server ? office->order_service : office->model_service,
                is_order_server ? i - MODEL_SERVERS + 1 : i + 1);
      add_backend (builder, office, name, "127.0.0.1", FIRST_PORT + i, i, fence);
    }
  return true;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *name = arg_str1 (NULL, NULL, "OFFICE", "dodoma or izmir");
  struct arg_str *places = arg_strn (NULL, "backend", "NAME=IP:PORT", 0, BACKENDS_MAX,
                                     "a backend server; NAME is SERVICE-N");
  struct arg_lit *fence
      = arg_lit0 (NULL, "fence", "the backend servers refuse old fencing numbers");
  struct arg_end *end = arg_end (5);
  void *table[] = { help, name, places, fence, end };
  struct sr_builder *builder = sr_builder_new ();
  const struct office *office = NULL;
  int status = EXIT_USAGE;

  if (arg_parse (argc, argv, table) > 0 || help->count > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      goto out;
    }
  office = find_office (name->sval[0]);
  if (office == NULL)
    {
      fprintf (stderr, "%s: unknown office %s\n", argv[0], name->sval[0]);
      goto out;
    }
  add_teams (builder, office);
  add_services (builder, office);
  if (!add_backends (builder, office, places, fence->count > 0))
    {
      fprintf (stderr, "%s: --backend is not NAME=IP:PORT\n", argv[0]);
      goto out;
    }
  status = sr_builder_print (builder, stdout, stderr) ? 0 : 1;

out:
  sr_builder_delete (builder);
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return status;
}
