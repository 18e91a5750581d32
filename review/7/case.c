/* Gateways are stopped in turn with SIGTERM while clients go on sending. Looks for requests that an
 * engine ran and whose connection ended without an answer. */
#include "../harness-2/harness.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  GATEWAYS = 36,
  CLIENTS = 4,          /* of each gateway */
  THINK_MAX_US = 30000, /* between two requests of a client */
  DELAY_MAX_US = 4000,  /* between a connection and its request */
  CALM_MS = 2500,       /* between two stops of a gateway */
  RESTART_MS = 300,
  RUN_MS = 85000,
  ANSWER_LIMIT_MS = 3000,
  UNANSWERED_MAX = 10000
};

static const char configuration_[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r-once\",\"host\":\"site.test\",\"pathPrefix\":\"/once/\","
      "\"kind\":\"unsafe\",\"timeoutMs\":1500,\"goalMs\":100,\"service\":\"plain\",\"maxAttempts\":1}],"
      "\"services\":[{\"name\":\"plain\",\"healthPath\":\"/health\",\"maxConns\":1000}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000},"
      "\"tenants\":[{\"name\":\"team-1\",\"apiKeys\":[\"key-1\"]}]}";

struct unanswered
{
  unsigned gateway;
  unsigned number;
  int64_t after_signal_ms; /* from the SIGTERM of its gateway to the request; -1: none yet */
  int64_t waited_ms;       /* from the request to the end of the connection */
  size_t received;         /* bytes of an answer */
  bool closed;
};

static struct deployment deployment_;
static atomic_bool clients_are_over_;
static atomic_bool over_;
static atomic_uint sent_;
static atomic_uint answered_;
static atomic_uint refused_;
static atomic_llong signalled_ms_[GATEWAYS + 1]; /* 0: not stopping */
static struct unanswered unanswered_[UNANSWERED_MAX];
static atomic_uint n_unanswered_;
static atomic_uint stops_;
static atomic_uint finished_; /* operators that stop and start no gateway any more */

static void *
run_client_ (void *data)
{
  unsigned gateway = (unsigned)(uintptr_t)data / CLIENTS + 1;
  unsigned seed = (unsigned)(uintptr_t)data + 1;

  while (!clients_are_over_)
    {
      int peer = deployment_connect (&deployment_, gateway);
      unsigned number;
      int64_t signalled_ms;
      int64_t sent_ms;
      struct response response;
      char request[400];

      if (peer < 0)
        {
          usleep (20000);
          continue;
        }
      usleep ((unsigned)rand_r (&seed) % DELAY_MAX_US);
      number = ++sent_;
      snprintf (request, sizeof request,
                "POST /once/grant HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: q%u.\r\n"
                "X-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\nContent-Length: 4\r\n\r\nbody",
                number);
      signalled_ms = signalled_ms_[gateway];
      sent_ms = now_ms ();
      if (!send_all (peer, request, strlen (request)))
        response = (struct response){ .closed = true };
      else
        response = read_response (peer, ANSWER_LIMIT_MS);
      close (peer);
      if (response.status == 200)
        answered_++;
      else if (response.status != 0)
        refused_++;
      else
        {
          unsigned at = n_unanswered_++;

          if (at < UNANSWERED_MAX)
            unanswered_[at] = (struct unanswered){ gateway,
                                                   number,
                                                   signalled_ms == 0 ? -1 : sent_ms - signalled_ms,
                                                   now_ms () - sent_ms,
                                                   response.received,
                                                   response.closed };
        }
      usleep ((unsigned)rand_r (&seed) % THINK_MAX_US);
    }
  return NULL;
}

/* Stops and starts one gateway, again and again. */
static void *
run_operator_ (void *data)
{
  unsigned gateway = (unsigned)(uintptr_t)data;
  int64_t end_ms = now_ms () + RUN_MS;

  usleep (gateway * 1000 * CALM_MS / GATEWAYS);
  while (trouble_is_wanted () && now_ms () + 12000 < end_ms)
    {
      usleep (CALM_MS * 1000);
      signalled_ms_[gateway] = now_ms ();
      kill (deployment_.gateway_pids[gateway], SIGTERM);
      waitpid (deployment_.gateway_pids[gateway], NULL, 0);
      stops_++;
      usleep (RESTART_MS * 1000);
      signalled_ms_[gateway] = 0;
      deployment_start_gateway (&deployment_, gateway);
      if (!deployment_wait_ready (&deployment_, gateway, 10000))
        note ("gateway %u is not ready after its restart", gateway);
    }
  finished_++;
  /* The gateways that this thread has started end with it. */
  while (!over_)
    usleep (10000);
  return NULL;
}

int
main (void)
{
  pthread_t clients[GATEWAYS * CLIENTS];
  pthread_t operators[GATEWAYS];
  unsigned lost = 0;
  char *counts;

  record = fopen (getenv ("RECORD"), "w");
  if (record == NULL)
    return EXIT_NOT_RUN;
  deployment_start (&deployment_, GATEWAYS, 0, 3, 2);
  deployment_configure (&deployment_, configuration_);
  for (unsigned gateway = 1; gateway <= GATEWAYS; gateway++)
    deployment_start_gateway (&deployment_, gateway);
  for (unsigned gateway = 1; gateway <= GATEWAYS; gateway++)
    if (!deployment_wait_ready (&deployment_, gateway, 15000))
      fail_to_run ("a gateway is not ready");
  note ("%u gateways, %u clients each, one unsafe request a connection", (unsigned)GATEWAYS,
        (unsigned)CLIENTS);
  for (unsigned i = 0; i < GATEWAYS * CLIENTS; i++)
    pthread_create (&clients[i], NULL, run_client_, (void *)(uintptr_t)i);
  for (unsigned i = 0; i < GATEWAYS; i++)
    pthread_create (&operators[i], NULL, run_operator_, (void *)(uintptr_t)(i + 1));
  while (finished_ < GATEWAYS)
    usleep (10000);
  if (!trouble_is_wanted ())
    sleep (20);
  clients_are_over_ = true;
  for (unsigned i = 0; i < GATEWAYS * CLIENTS; i++)
    pthread_join (clients[i], NULL);
  for (unsigned gateway = 1; gateway <= GATEWAYS; gateway++)
    if (waitpid (deployment_.gateway_pids[gateway], NULL, WNOHANG) != 0)
      fail_to_run ("a gateway is not running at the end");
  over_ = true;
  for (unsigned i = 0; i < GATEWAYS; i++)
    pthread_join (operators[i], NULL);
  counts = deployment_counts (&deployment_);
  note ("%u planned stops; %u requests sent, %u answered, %u refused or failed with an answer, %u "
        "without any answer",
        (unsigned)stops_, (unsigned)sent_, (unsigned)answered_, (unsigned)refused_,
        (unsigned)n_unanswered_);
  for (unsigned i = 0; i < n_unanswered_ && i < UNANSWERED_MAX; i++)
    {
      char id[32];

      snprintf (id, sizeof id, "\"q%u.\":[", unanswered_[i].number);
      /* Only what follows a SIGTERM is judged; there should be nothing else. */
      if (unanswered_[i].after_signal_ms < 0)
        {
          note ("request q%u. to gateway %u got no answer without a SIGTERM: not judged",
                unanswered_[i].number, unanswered_[i].gateway);
          continue;
        }
      if (strstr (counts, id) == NULL)
        continue;
      lost++;
      note ("request q%u. to gateway %u, sent %lld ms after its SIGTERM: an engine ran it, and the "
            "connection %s after %lld ms with %zu bytes of an answer",
            unanswered_[i].number, unanswered_[i].gateway,
            (long long)unanswered_[i].after_signal_ms,
            unanswered_[i].closed ? "ended" : "was still silent",
            (long long)unanswered_[i].waited_ms, unanswered_[i].received);
    }
  free (counts);
  note ("LOST: %u requests that an engine ran got no answer", lost);
  deployment_end (&deployment_);
  return lost > 0 ? EXIT_BROKEN : EXIT_HELD;
}
