/* One of two backend servers is faulty: behind one in fifty of its answers it sends two empty
 * lines. The heads of all answers come in two segments. */
#include "../standin/standin.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  REQUESTS = 600,
  PAUSE_MS = 40,
  SEGMENT_MS = 5,     /* between the two segments of an answer's head */
  GARBLED_ONE_IN = 50 /* answers of the faulty server */
};

static const char configuration[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r-check\",\"host\":\"desk.example\",\"pathPrefix\":"
      "\"/check/\",\"kind\":\"safe\",\"timeoutMs\":800,\"goalMs\":100,\"priority\":2,\"service\":"
      "\"relief-desk\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}],"
      "\"services\":[{\"name\":\"relief-desk\",\"healthPath\":\"/health\",\"maxConns\":100,"
      "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
      "4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"office\","
      "\"apiKeys\":[\"key-1\"],\"priority\":1}]}";

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static unsigned n_faulty; /* answers of the faulty server */
static unsigned n_garbled;

static bool
answer_request (int fd, const struct server_request *request, const char *appended)
{
  record ("server runs %s, request %u of its connection", request->id, request->number);
  server_write (fd,
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Response-Seal: seal-%s\r\n"
                "X-Engine-Load: 1,0,6\r\n",
                request->id);
  sleep_ms (SEGMENT_MS);
  server_write (fd,
                "X-Request-Id: %s\r\nDate: Sat, 05 Dec 2026 12:00:00 GMT\r\nContent-Length: 4\r\n"
                "\r\ndone%s",
                request->id, appended);
  return true;
}

static bool
serve (int fd, const struct server_request *request)
{
  return answer_request (fd, request, "");
}

static bool
serve_faulty (int fd, const struct server_request *request)
{
  bool is_garbled;

  pthread_mutex_lock (&mutex);
  is_garbled = ++n_faulty % GARBLED_ONE_IN == 0 && case_has_trouble ();
  n_garbled += is_garbled;
  pthread_mutex_unlock (&mutex);
  if (is_garbled)
    record ("faulty server sends two empty lines behind its answer to %s", request->id);
  return answer_request (fd, request, is_garbled ? "\r\n\r\n" : "");
}

/* Adds the head to the record, a line each, with what can't be printed as a dot. */
static void
record_head (const char *head)
{
  char line[160];
  size_t n = 0;

  for (const char *at = head; at != NULL && *at != '\0'; at++)
    {
      if (*at == '\r' && at[1] == '\n')
        {
          line[n] = '\0';
          record ("    %s", line);
          n = 0;
          at++;
        }
      else if (n < sizeof line - 1)
        line[n++] = *at >= ' ' && *at <= '~' ? *at : '.';
    }
}

int
main (int argc, char **argv)
{
  unsigned n_whole = 0;
  unsigned n_broken = 0;
  unsigned n_other = 0;

  case_begin (argv[1], 110);
  deployment_start (1, configuration);
  server_start ("i-desk-1", "relief-desk", 6, serve);
  server_start ("i-desk-2", "relief-desk", 6, serve_faulty);
  if (!gateway_wait_ready (1, 20000))
    case_end (CASE_NOT_RUN);
  sleep_ms (1500);
  for (unsigned i = 1; i <= REQUESTS; i++)
    {
      char bytes[512];
      char expected[TEXT_BYTES];
      char seal[TEXT_BYTES];
      const struct call request = {
        .ip = gateway_ip (1), .port = deployment.entry_port, .bytes = bytes, .limit_ms = 3000
      };
      struct answer answer;
      bool is_sealed;

      snprintf (expected, sizeof expected, "seal-a%04u", i);
      snprintf (bytes, sizeof bytes,
                "GET /check/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: a%04u\r\n"
                "X-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\n\r\n",
                i);
      record ("client sends a%04u", i);
      call (&request, &answer);
      is_sealed = answer_header (&answer, "X-Response-Seal", seal) != NULL
                  && strcmp (seal, expected) == 0;
      if (answer.status == 200 && is_sealed && answer.is_complete && answer.body_length == 4)
        {
          n_whole++;
          record ("client gets 200 to a%04u, whole, with its seal", i);
        }
      else if (answer.status / 100 == 2)
        {
          n_broken++;
          record ("BROKEN: client gets %d to a%04u, seal %s, with this head:", answer.status, i,
                  seal[0] == '\0' ? "none" : seal);
          record_head (answer.head);
        }
      else
        {
          n_other++;
          record ("client gets %d to a%04u", answer.status, i);
        }
      answer_free (&answer);
      sleep_ms (PAUSE_MS);
    }
  record (
      "%u of %u requests answered in full, %u successes without the server's seal, %u others; %u "
      "of %u answers of the faulty server garbled",
      n_whole, REQUESTS, n_broken, n_other, n_garbled, n_faulty);
  if (n_broken > 0)
    case_end (CASE_BROKEN);
  case_end (n_whole > REQUESTS / 2 ? CASE_HELD : CASE_NOT_RUN);
}
