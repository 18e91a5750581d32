/* Blocking HTTP/1.1 client: one request and its response on a new connection. An exchange is used
 * by one thread. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

enum sr_exchange_status
{
  SR_EXCHANGE_OK,
  SR_EXCHANGE_NOT_SENT, /* could not connect: no byte reached the server */
  SR_EXCHANGE_TIMEOUT,  /* sr_exchange_begin only: the server sent nothing for idle_timeout_s */
  SR_EXCHANGE_BROKEN    /* connection lost, response incomplete or malformed, or body stalled */
};

struct sr_exchange_options
{
  const char *address; /* IPv4 address in dotted form, no host name */
  unsigned port;
  const char *source_address; /* local address to bind; NULL for any */
  int connect_timeout_s;      /* at least 1 is used */
  int idle_timeout_s;         /* longest time without a byte from the server; at least 1 is used */
  const char *method;
  const char *path;
  const char *const *headers; /* name, value, name, value, .., NULL; may be NULL */
  const char *body;           /* may be NULL */
  size_t body_length;
};

struct sr_exchange;

struct sr_exchange *sr_exchange_new (const struct sr_exchange_options *options);
void sr_exchange_delete (struct sr_exchange *exchange);
enum sr_exchange_status sr_exchange_begin (struct sr_exchange *exchange);
enum sr_exchange_status
sr_exchange_read (struct sr_exchange *exchange, char *buffer, size_t size, size_t *length);
enum sr_exchange_status sr_exchange_check_complete (struct sr_exchange *exchange);
enum sr_exchange_status
sr_exchange_read_all (struct sr_exchange *exchange, GString *body, size_t max_bytes);
int sr_exchange_http_status (const struct sr_exchange *exchange);
const char *sr_exchange_header (const struct sr_exchange *exchange, const char *name);
bool sr_exchange_was_connected (const struct sr_exchange *exchange);
const char *sr_exchange_status_to_string (enum sr_exchange_status status);
