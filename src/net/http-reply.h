/* HTTP responses: status phrases, chunked encoding and error responses of servers. */
#pragma once

#include "net/http-conn.h"

enum
{
  NET_CHUNK_PARTS_MAX = 2 /* texts in one chunk */
};

const char *net_http_reason (unsigned status);
void net_http_write_continue (struct net_http_conn *conn);
void net_http_write_request_timeout (struct net_http_conn *conn);
void net_http_write_bad_request (struct net_http_conn *conn, enum net_end_reason end);
void net_http_write_chunk (struct net_http_conn *conn,
                           const struct net_string_view *parts,
                           size_t n_parts);
void net_http_write_last_chunk (struct net_http_conn *conn);
