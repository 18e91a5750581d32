/* What the cases share: a small deployment of gateways, with the store of the project's own
 * stand-in, backend servers and callers in the process of the case. Plain sockets and threads; only
 * the C library is needed. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  CASE_HELD = 0,   /* exit status: the rule was kept */
  CASE_BROKEN = 1, /* the rule was broken */
  CASE_NOT_RUN = 2,
  GATEWAYS_MAX = 4,
  TEXT_BYTES = 128
};

/* A request as a backend server receives it. */
struct server_request
{
  char method[16];
  char target[TEXT_BYTES];
  char id[TEXT_BYTES];       /* X-Request-Id */
  char expected[TEXT_BYTES]; /* X-Expect-Instance */
  char counts[TEXT_BYTES];   /* X-Token-Counts */
  char *body;
  size_t body_length;
  unsigned number; /* of the request on its connection, from 1 */
};

/* Answers REQUEST on FD. Returns false to close the connection. */
typedef bool (*server_handler) (int fd, const struct server_request *request);

/* The answer that a caller got. */
struct answer
{
  int status; /* 0: none */
  char *head; /* with the empty line */
  char *body; /* decoded */
  size_t body_length;
  bool has_length;
  bool is_chunked;
  size_t length;    /* by Content-Length */
  bool is_complete; /* as a client judges it by HTTP/1.1 */
  bool was_reset;
  double retry_after_s;
};

struct call
{
  const char *ip;
  unsigned port;
  const char *bytes; /* the request */
  size_t length;     /* 0: of the text in bytes */
  int limit_ms;      /* gives up after this time */
  /* A caller on a slow link: reads so many bytes a second; 0: as fast as they come. */
  size_t bytes_per_s;
};

struct deployment
{
  char directory[64]; /* temporary */
  unsigned store_port;
  unsigned entry_port;
  unsigned ready_port;
  unsigned peer_port;
  unsigned n_gateways;
  pid_t store;
  pid_t gateways[GATEWAYS_MAX + 1]; /* from 1 */
};

extern struct deployment deployment;

bool case_has_trouble (void);
void case_begin (const char *record_path, unsigned limit_s);
void case_end (int status) __attribute__ ((noreturn));
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
int64_t now_ms (void);
void sleep_ms (int64_t ms);

/* The deployment. */
void deployment_start (unsigned n_gateways, const char *configuration);
void gateway_start (unsigned number);
void gateway_signal (unsigned number, int signal);
bool gateway_wait_ready (unsigned number, int64_t limit_ms);
void gateway_wait_end (unsigned number, int64_t limit_ms);
const char *gateway_ip (unsigned number);
void store_control (const char *target);
char *store_get (const char *target);

/* Backend servers. */
unsigned server_start (const char *id, const char *service, unsigned slots, server_handler handler);
void server_write (int fd, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
bool server_write_bytes (int fd, const char *bytes, size_t length);

/* Callers. */
void call (const struct call *call, struct answer *answer);
const char *answer_header (const struct answer *answer, const char *name, char *value);
void answer_free (struct answer *answer);
