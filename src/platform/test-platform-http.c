/* The client of the platform against a server in the same process that answers each call with a
 * fixed response and keeps the request. */
#include "platform/platform-http.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

struct server_
{
  int listener;
  const char *body; /* of the response */
  char request[2048];
  pthread_t thread;
};

static void *
serve_one_ (void *data)
{
  struct server_ *server = data;
  int peer = accept (server->listener, NULL, NULL);
  g_autofree char *response = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Version: 3\r\n"
                                               "Content-Length: %zu\r\n\r\n%s",
                                               strlen (server->body), server->body);
  ssize_t length = recv (peer, server->request, sizeof server->request - 1, 0);

  server->request[MAX (length, 0)] = '\0';
  (void)!write (peer, response, strlen (response));
  close (peer);
  return NULL;
}

/* Starts a server for one call. Returns its client, owned by the caller. */
static struct sr_platform *
start_ (struct server_ *server, const char *body)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  struct sr_platform_http_options options = { .address = "127.0.0.1", .idle_timeout_s = 2 };

  *server = (struct server_){ .listener = socket (AF_INET, SOCK_STREAM, 0), .body = body };
  assert_int_equal (bind (server->listener, (struct sockaddr *)&address, size), 0);
  assert_int_equal (listen (server->listener, 1), 0);
  assert_int_equal (getsockname (server->listener, (struct sockaddr *)&address, &size), 0);
  options.port = ntohs (address.sin_port);
  assert_int_equal (pthread_create (&server->thread, NULL, serve_one_, server), 0);
  return sr_platform_http_new (&options);
}

static void
stop_ (struct server_ *server, struct sr_platform *platform)
{
  pthread_join (server->thread, NULL);
  close (server->listener);
  sr_platform_unref (platform);
}

/* A name was written into the request as it was, which addressed another object or made the request
 * malformed. */
static void
names_are_encoded_in_requests (void **state)
{
  static const char name[] = "a&b+c#d%e f/\r\nX:";
  static const char encoded[] = "a%26b%2Bc%23d%25e%20f%2F%0D%0AX%3A";
  static const char *const forms[]
      = { "GET /v1/objects/k/%s HTTP/1.1\r\n", "PUT /v1/objects/k/%s HTTP/1.1\r\n",
          "DELETE /v1/objects/k/%s HTTP/1.1\r\n",
          "GET /v1/watch/k/%s?after=4&wait_ms=1 HTTP/1.1\r\n",
          "GET /v1/objects/k?prefix=%26&after=%s&limit=5 HTTP/1.1\r\n" };

  for (unsigned i = 0; i < G_N_ELEMENTS (forms); i++)
    {
      g_auto (GStrv) parts = g_strsplit (forms[i], "%s", 2);
      g_autofree char *line = g_strconcat (parts[0], encoded, parts[1], NULL);
      g_autoptr (GString) body = g_string_new (NULL);
      g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
      struct server_ server;
      struct sr_platform *platform = start_ (&server, "{\"objects\":[],\"more\":false}");
      enum sr_platform_status status = SR_PLATFORM_UNKNOWN;
      int64_t version;
      bool more;

      switch (i)
        {
        case 0:
          status = sr_platform_get (platform, "k", name, body, &version);
          break;
        case 1:
          status = sr_platform_put (platform, "k", name, "", 0, 0, &version);
          break;
        case 2:
          status = sr_platform_remove (platform, "k", name, 3);
          break;
        case 3:
          status = sr_platform_watch (platform, "k", name, 4, 1, body, &version);
          break;
        default:
          status = sr_platform_list (platform, "k", "&", name, 5, names, &more);
          break;
        }
      stop_ (&server, platform);
      assert_int_equal (status, SR_PLATFORM_OK);
      assert_memory_equal (server.request, line, strlen (line));
    }
}

/* Whoever continued such a list read in front of the first name. */
static void
a_list_that_cannot_be_continued_is_not_taken (void **state)
{
  static const char *const bodies[]
      = { "{\"objects\":[],\"more\":true}", "{\"objects\":[{\"name\":7}],\"more\":true}",
          "{\"objects\":[{\"name\":\"\"}],\"more\":true}" };

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
      struct server_ server;
      struct sr_platform *platform = start_ (&server, bodies[i]);
      enum sr_platform_status status;
      bool more;

      status = sr_platform_list (platform, "k", "", NULL, 5, names, &more);
      stop_ (&server, platform);
      assert_int_equal (status, SR_PLATFORM_UNREACHABLE);
      assert_int_equal (names->len, 0);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (names_are_encoded_in_requests),
    cmocka_unit_test (a_list_that_cannot_be_continued_is_not_taken),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
