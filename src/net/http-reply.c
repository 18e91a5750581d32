#include "net/http-reply.h"

#include <http_parser.h>

enum
{
  CHUNK_SIZE_LINE_BYTES = 24 /* buffer for the line with a chunk's length */
};

static void write_refusal_ (struct net_http_conn *conn, unsigned status);

/* Returns the reason phrase of STATUS, "Error" for an unknown one. */
const char *
net_http_reason (unsigned status)
{
  switch (status)
    {
#define REASON_(number, name, text)                                                                \
  case number:                                                                                     \
    return #text;
      HTTP_STATUS_MAP (REASON_)
#undef REASON_
    default:
      return "Error";
    }
}

/* Sends the interim response that a request with "Expect: 100-continue" waits for. */
void
net_http_write_continue (struct net_http_conn *conn)
{
  const struct net_string_view part = net_string_view_of ("HTTP/1.1 100 Continue\r\n\r\n");

  net_http_conn_write (conn, &part, 1);
}

/* Sends 431 for NET_END_HEAD_TOO_LARGE, else 400. The caller must finish the connection after it.
 */
void
net_http_write_bad_request (struct net_http_conn *conn, enum net_end_reason end)
{
  write_refusal_ (conn, end == NET_END_HEAD_TOO_LARGE ? 431 : 400);
}

/* Sends 408 to a peer whose request head stays incomplete. The caller must finish the connection
 * after it. */
void
net_http_write_request_timeout (struct net_http_conn *conn)
{
  write_refusal_ (conn, 408);
}

/* Sends the parts (at most NET_CHUNK_PARTS_MAX) as one chunk. Empty parts send nothing, because an
 * empty chunk ends the body. */
void
net_http_write_chunk (struct net_http_conn *conn,
                      const struct net_string_view *parts,
                      size_t n_parts)
{
  struct net_string_view framed[NET_CHUNK_PARTS_MAX + 2];
  char size[CHUNK_SIZE_LINE_BYTES];
  size_t total = 0;

  g_assert (n_parts <= NET_CHUNK_PARTS_MAX);
  for (size_t i = 0; i < n_parts; i++)
    {
      framed[i + 1] = parts[i];
      total += parts[i].length;
    }
  if (total == 0)
    return;
  g_snprintf (size, sizeof size, "%zx\r\n", total);
  framed[0] = net_string_view_of (size);
  framed[n_parts + 1] = net_string_view_of ("\r\n");
  net_http_conn_write (conn, framed, n_parts + 2);
}

/* Ends a chunked body; it has no trailers. */
void
net_http_write_last_chunk (struct net_http_conn *conn)
{
  const struct net_string_view last = net_string_view_of ("0\r\n\r\n");

  net_http_conn_write (conn, &last, 1);
}

static void
write_refusal_ (struct net_http_conn *conn, unsigned status)
{
  g_autofree char *text
      = g_strdup_printf ("HTTP/1.1 %u %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status,
                         net_http_reason (status));
  const struct net_string_view part = net_string_view_of (text);

  net_http_conn_write (conn, &part, 1);
}
