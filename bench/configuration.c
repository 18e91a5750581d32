/* Measures what a configuration costs an instance, by the number of routes: decoding the first one,
 * decoding one with another limit in one route, freeing the first, and matching a request. */
#include "gateway/routes.h"
#include "platform/decode.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

enum
{
  ROUNDS = 5,
  TEAMS = 24,
  MATCHES = 1000,
  TIMEOUT_MS = 12000,
  CHANGED_TIMEOUT_MS = 9000
};

static const unsigned sizes_[] = { 100, 1500, 15000 };

static GString *document_ (unsigned n_routes, bool is_changed);
static void measure_ (unsigned n_routes);

int
main (void)
{
  printf ("%8s %10s %10s %10s %10s %10s %12s %12s\n", "routes", "bytes", "first_us", "change_us",
          "free_us", "match_us", "first_bytes", "change_bytes");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes_); i++)
    measure_ (sizes_[i]);
  return 0;
}

/* Returns a configuration; IS_CHANGED: with another limit in one of its routes. */
static GString *
document_ (unsigned n_routes, bool is_changed)
{
  GString *text = g_string_new ("{\"version\":7,\"routes\":[");

  for (unsigned i = 0; i < n_routes; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r-%07x\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/pufi%u/\",\"kind\":"
        "\"streaming\",\"timeoutMs\":%u,\"goalMs\":400,\"priority\":0,\"service\":\"huvo11a\","
        "\"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,"
        "\"gapTargetMs\":400}",
        i == 0 ? "" : ",", i, i, is_changed && i == n_routes / 2 ? CHANGED_TIMEOUT_MS : TIMEOUT_MS);
  g_string_append (text, "],\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/health\","
                         "\"maxConns\":820,\"engine\":{\"slots\":64,\"kvTokens\":463943,"
                         "\"stride\":7}}],\"tenants\":[");
  for (unsigned i = 0; i < TEAMS; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"hule%u\",\"apiKeys\":[\"yhks8nbkxxmibw6k%u\"],"
                            "\"prepaid\":14946952}",
                            i == 0 ? "" : ",", i, i);
  g_string_append (text, "]}");
  return text;
}

static void
measure_ (unsigned n_routes)
{
  g_autoptr (GString) text = document_ (n_routes, false);
  g_autoptr (GString) changed = document_ (n_routes, true);
  g_autofree char *path = g_strdup_printf ("/pufi%u/a/b", n_routes / 2);
  int64_t best_us[4] = { INT64_MAX, INT64_MAX, INT64_MAX, INT64_MAX };
  size_t first_bytes = 0;
  size_t added_bytes = 0;

  for (unsigned round = 0; round < ROUNDS; round++)
    {
      const struct store_object objects[]
          = { { .name = "main", .text = text }, { .name = "main", .text = changed } };
      size_t before = mallinfo2 ().uordblks;
      int64_t at_us[5];
      struct gw_routes *first;
      struct gw_routes *next;

      at_us[0] = g_get_monotonic_time ();
      first = platform_decode_routes (&objects[0], NULL);
      at_us[1] = g_get_monotonic_time ();
      first_bytes = mallinfo2 ().uordblks - before;
      next = platform_decode_routes (&objects[1], first);
      at_us[2] = g_get_monotonic_time ();
      added_bytes = mallinfo2 ().uordblks - before - first_bytes;
      gw_routes_unref (first);
      at_us[3] = g_get_monotonic_time ();
      for (unsigned i = 0; i < MATCHES; i++)
        g_assert (
            gw_routes_match (next, net_string_view_of ("ficu95.example"), net_string_view_of (path))
            != NULL);
      at_us[4] = g_get_monotonic_time ();
      gw_routes_unref (next);
      for (size_t i = 0; i < G_N_ELEMENTS (best_us); i++)
        best_us[i] = MIN (best_us[i], at_us[i + 1] - at_us[i]);
    }
  printf ("%8u %10zu %10" G_GINT64_FORMAT " %10" G_GINT64_FORMAT " %10" G_GINT64_FORMAT
          " %10.3f %12zu %12zu\n",
          n_routes, text->len, (gint64)best_us[0], (gint64)best_us[1], (gint64)best_us[2],
          (double)best_us[3] / MATCHES, first_bytes, added_bytes);
}
