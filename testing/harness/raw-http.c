#include "testing/harness/raw-http.h"

#include <arpa/inet.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

struct parse_state_
{
  struct raw_http_response *reply;
  bool in_retry_after;
  bool in_seal;
};

static int
on_field_ (http_parser *parser, const char *at, size_t length)
{
  struct parse_state_ *state = parser->data;

  state->in_retry_after = length == 11 && g_ascii_strncasecmp (at, "Retry-After", 11) == 0;
  state->in_seal = length == 15 && g_ascii_strncasecmp (at, "X-Response-Seal", 15) == 0;
  return 0;
}

static int
on_value_ (http_parser *parser, const char *at, size_t length)
{
  struct parse_state_ *state = parser->data;
  g_autofree char *value = g_strndup (at, length);

  if (state->in_retry_after)
    state->reply->retry_after_s = g_ascii_strtod (value, NULL);
  if (state->in_seal)
    g_string_append (state->reply->seal, value);
  return 0;
}

static int
on_headers_ (http_parser *parser)
{
  ((struct parse_state_ *)parser->data)->reply->status = (int)parser->status_code;
  return 0;
}

static int
on_body_ (http_parser *parser, const char *at, size_t length)
{
  g_string_append_len (((struct parse_state_ *)parser->data)->reply->body, at, (gssize)length);
  return 0;
}

static int
on_end_ (http_parser *parser)
{
  ((struct parse_state_ *)parser->data)->reply->complete = true;
  return 0;
}

/* Sends LENGTH BYTES on a new connection and reads one response, with an idle time-out of LIMIT_S.
 * The caller owns the reply. */
struct raw_http_response *
raw_http_call (const char *address, unsigned port, const char *bytes, size_t length, int limit_s)
{
  static const http_parser_settings settings = { .on_header_field = on_field_,
                                                 .on_header_value = on_value_,
                                                 .on_headers_complete = on_headers_,
                                                 .on_body = on_body_,
                                                 .on_message_complete = on_end_ };
  struct sockaddr_in target = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  const struct timeval limit = { .tv_sec = limit_s };
  struct raw_http_response *reply = g_new0 (struct raw_http_response, 1);
  struct parse_state_ state = { .reply = reply };
  char buffer[16384];
  http_parser parser;
  ssize_t got;
  int peer = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  reply->body = g_string_new (NULL);
  reply->seal = g_string_new (NULL);
  http_parser_init (&parser, HTTP_RESPONSE);
  parser.data = &state;
  inet_pton (AF_INET, address, &target.sin_addr);
  setsockopt (peer, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (peer, (struct sockaddr *)&target, sizeof target) == 0
      && send (peer, bytes, length, MSG_NOSIGNAL) >= 0)
    while (!reply->complete && (got = recv (peer, buffer, sizeof buffer, 0)) >= 0)
      {
        size_t used = http_parser_execute (&parser, &settings, buffer, (size_t)got);

        /* A response delimited only by connection close cannot be known to be complete. */
        if (got == 0)
          {
            reply->complete = false;
            reply->closed = true;
          }
        if (got == 0 || used != (size_t)got)
          break;
      }
  close (peer);
  return reply;
}

void
raw_reply_free (struct raw_http_response *reply)
{
  g_string_free (reply->body, TRUE);
  g_string_free (reply->seal, TRUE);
  g_free (reply);
}
