/* Prints a sample configuration of the Time Use Diaries Router. Backend servers are named diary-N
 * (engines) and relief-N (the relief desk). */
#include <sapphirerun/config.h>

#include <argtable2.h>
#include <string.h>

enum
{
  BACKENDS_MAX = 64,
  ENGINES = 10,
  DESKS = 3,
  ENGINE_SLOTS = 16,
  DESK_SLOTS = 32,
  FIRST_PORT = 7001,
  EXIT_USAGE = 2
};

/* A team, its one budget and its share. */
struct office
{
  const char *team;
  const char *budget;
  unsigned weight;
};

static const struct office offices[] = {
  { "enumerators-makole", "diaries-makole", 4 }, { "enumerators-chamwino", "diaries-chamwino", 4 },
  { "enumerators-kikuyu", "diaries-kikuyu", 4 }, { "ward-officers", "village-summaries", 3 },
  { "field-clerks", "coding-questions", 2 },     { "billing-desk", "tariff-relief", 2 },
  { "quality-control", "diary-checks", 1 },      { "training", "training-diaries", 1 },
  { "statistics", "yearly-tables", 1 },          { "council", "council-requests", 1 },
};

static const char *const data_centres[] = { "makole", "chamwino", "kikuyu" };

static void
add_teams (struct sr_builder *builder)
{
  for (size_t i = 0; i < sizeof (offices) / sizeof (offices[0]); i++)
    {
      char key[64];
      const char *keys[] = { key, NULL };
      struct sr_builder_team team
          = { .name = offices[i].team, .keys = keys, .weight = offices[i].weight };
      struct sr_builder_budget budget = { .name = offices[i].budget, .team = offices[i].team };

      snprintf (key, sizeof (key), "key-of-%s", offices[i].team);
      sr_builder_add_team (builder, &team);
      sr_builder_add_budget (builder, &budget);
    }
}

static void
add_services (struct sr_builder *builder)
{
  static const struct sr_builder_service diary = { .name = "diary",
                                                   .kind = SR_BUILDER_MODEL,
                                                   .model = "swahili-coder",
                                                   .version = "1",
                                                   .max_output_tokens = 1024 };
  static const struct sr_builder_service relief
      = { .name = "relief", .kind = SR_BUILDER_PLAIN, .call_tokens = 10 };
  static const struct sr_builder_service flags
      = { .name = "relief-flags", .kind = SR_BUILDER_PLAIN, .repeatable = true, .call_tokens = 1 };

  sr_builder_add_service (builder, &diary);
  sr_builder_add_service (builder, &relief);
  sr_builder_add_service (builder, &flags);
}

/* Adds backend server number INDEX; one at the relief desk serves postings and flags. */
static void
add_backend (struct sr_builder *builder,
             const char *name,
             const char *address,
             unsigned port,
             unsigned index,
             bool fence)
{
  bool is_desk = strncmp (name, "relief", strlen ("relief")) == 0;
  char flags_name[96];
  struct sr_builder_backend backend = { .name = name,
                                        .service = is_desk ? "relief" : "diary",
                                        .address = address,
                                        .port = port,
                                        .data_centre = data_centres[index % 3],
                                        .slots = is_desk ? DESK_SLOTS : ENGINE_SLOTS,
                                        .checks_fence = fence };

  sr_builder_add_backend (builder, &backend);
  if (!is_desk)
    return;
  snprintf (flags_name, sizeof (flags_name), "flags-%s", name);
  backend.name = flags_name;
  backend.service = "relief-flags";
  sr_builder_add_backend (builder, &backend);
}

/* Adds the backend servers of a command line, or sample ones when there are none. Returns false
 * when one is not NAME=IP:PORT. */
static bool
add_backends (struct sr_builder *builder, const struct arg_str *places, bool fence)
{
  char name[64];
  char address[16];
  unsigned port;

  for (int i = 0; i < places->count; i++)
    {
      if (!sr_builder_parse_place (places->sval[i], name, address, &port))
        return false;
      add_backend (builder, name, address, port, (unsigned)i, fence);
    }
  for (unsigned i = 0; places->count == 0 && i < ENGINES + DESKS; i++)
    {
      bool is_desk = i >= ENGINES;

      snprintf (name, sizeof (name), is_desk ? "relief-%u" : "diary-%u",
                is_desk ? i - ENGINES + 1 : i + 1);
      add_backend (builder, name, "127.0.0.1", FIRST_PORT + i, i, fence);
    }
  return true;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *places
      = arg_strn (NULL, "backend", "NAME=IP:PORT", 0, BACKENDS_MAX, "diary-N or relief-N");
  struct arg_lit *fence = arg_lit0 (NULL, "fence", "they refuse old fencing numbers");
  struct arg_end *end = arg_end (5);
  void *table[] = { help, places, fence, end };
  struct sr_builder *builder = sr_builder_new ();
  int status = EXIT_USAGE;

  if (arg_parse (argc, argv, table) > 0 || help->count > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      goto out;
    }
  add_teams (builder);
  add_services (builder);
  if (!add_backends (builder, places, fence->count > 0))
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
