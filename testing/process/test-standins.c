/* The stand-ins and the fault proxy on their own, without an instance: the other process tests rely
 * on them. */
#include "emulator/common/text.h"
#include "testing/harness/harness.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cmocka.h>

enum
{
  PORT_BASE = 30000,
  ENGINE = 1,
  SERVICE = 2,
  DATAGRAM_WAIT_MS = 300
};

static const char prompt[] = "Two drums of caustic for the dairy [n=20]";
static const char engine_ip[] = "127.0.2.101";
static const char platform_ip[] = "127.0.2.200";
static const char caller_ip[] = "127.0.1.1";

static struct harness *harness;

static int
start_standins (void **state)
{
  static const struct harness_options options = { .name = "standins",
                                                  .port_base = PORT_BASE,
                                                  .instances = 2,
                                                  .engines = 1,
                                                  .services = 1,
                                                  .token_interval_ms = 10,
                                                  .checks_fence = true };

  harness = harness_start_standins (&options);
  return harness != NULL ? 0 : -1;
}

static int
stop_standins (void **state)
{
  harness_stop (harness);
  return 0;
}

static int
clear_faults (void **state)
{
  harness_clear_rules (harness);
  harness_control_backend (harness, ENGINE, "/control/fault?mode=none");
  harness_control_backend (harness, SERVICE, "/control/fault?mode=none");
  harness_control_platform (harness, "/control/fault?mode=none");
  return 0;
}

static struct harness_http_response *
send_generate (const char *source, const char *id, int64_t offset)
{
  g_autofree char *body
      = g_strdup_printf ("{\"request\":\"t/%s/1\",\"budget\":\"b\",\"model\":\"coder\","
                         "\"prompt\":\"%s\",\"max_tokens\":50,\"offset\":%d}",
                         id, prompt, (int)offset);
  struct harness_call call = { .address = engine_ip,
                               .port = PORT_BASE + HARNESS_PORT_BACKEND,
                               .source = source,
                               .path = "/v1/generate",
                               .body = body,
                               .idle_timeout_s = 1 };

  return harness_call (&call);
}

static int64_t
tokens_in_ledger (const char *id)
{
  g_autofree char *path = g_strdup_printf ("requests.t/%s.tokens", id);
  json_t *ledger = harness_ledger (harness, ENGINE);
  int64_t tokens = harness_json_number (ledger, path);

  json_decref (ledger);
  return tokens;
}

static void
backend_server_answers_and_counts_tokens (void **state)
{
  struct harness_http_response *whole = send_generate (NULL, "whole", 0);
  struct harness_http_response *rest = send_generate (NULL, "rest", 15);
  int64_t prompt_tokens = standin_prompt_tokens (strlen (prompt));

  assert_true (whole->complete && rest->complete);
  assert_non_null (strstr (whole->body->str, "{\"i\":0,"));
  assert_null (strstr (rest->body->str, "{\"i\":14,"));
  assert_non_null (strstr (rest->body->str, "{\"i\":15,"));
  assert_int_equal (tokens_in_ledger ("whole"), prompt_tokens + 20);
  assert_int_equal (tokens_in_ledger ("rest"), prompt_tokens + 5);
  harness_reply_free (whole);
  harness_reply_free (rest);
}

static void
cut_and_hung_streams_are_incomplete (void **state)
{
  struct harness_http_response *cut, *hung;

  harness_control_backend (harness, ENGINE, "/control/fault?mode=cut&after_tokens=3&count=1");
  cut = send_generate (NULL, "cut", 0);
  harness_control_backend (harness, ENGINE, "/control/fault?mode=hang&after_tokens=3&count=1");
  hung = send_generate (NULL, "hung", 0);
  assert_int_equal (cut->status, 200);
  assert_false (cut->complete);
  assert_false (hung->complete);
  assert_null (strstr (cut->body->str, "\"end\""));
  assert_int_equal (tokens_in_ledger ("cut"), standin_prompt_tokens (strlen (prompt)) + 3);
  harness_reply_free (cut);
  harness_reply_free (hung);
}

static void
fault_rules_apply_to_one_pair_of_addresses_only (void **state)
{
  struct harness_http_response *cut, *silent, *other;

  harness_add_rule (harness, caller_ip, engine_ip, "cut", 0);
  cut = send_generate (caller_ip, "cut-pair", 0);
  harness_add_rule (harness, caller_ip, engine_ip, "silence", 0);
  silent = send_generate (caller_ip, "silent-pair", 0);
  other = send_generate ("127.0.1.2", "other-pair", 0);
  assert_int_equal (cut->status, 0);
  assert_int_equal (silent->status, 0);
  assert_true (other->complete);
  assert_int_equal (tokens_in_ledger ("cut-pair") + tokens_in_ledger ("silent-pair"), 0);
  harness_reply_free (cut);
  harness_reply_free (silent);
  harness_reply_free (other);
}

static struct harness_http_response *
put_object (const char *kind, const char *name, const char *version)
{
  g_autofree char *path = g_strdup_printf ("/v1/objects/%s/%s", kind, name);
  const char *headers[] = { "If-Match", version, NULL };
  struct harness_call call = { .address = platform_ip,
                               .port = PORT_BASE + HARNESS_PORT_PLATFORM,
                               .method = "PUT",
                               .path = path,
                               .headers = headers,
                               .body = "{}",
                               .idle_timeout_s = 1 };

  return harness_call (&call);
}

static int
put_status (const char *kind, const char *name, const char *version)
{
  struct harness_http_response *reply = put_object (kind, name, version);
  int status = reply->status;

  harness_reply_free (reply);
  return status;
}

static void
platform_writes_conditionally_and_fails_on_command (void **state)
{
  assert_int_equal (put_status ("k", "a", "0"), 200);
  assert_int_equal (put_status ("k", "a", "0"), 412);
  harness_control_platform (harness, "/control/lose?kind=k&count=1");
  assert_int_equal (put_status ("k", "b", "0"), 0);
  assert_int_equal (put_status ("k", "b", "0"), 412);
  harness_control_platform (harness, "/control/fault?mode=outage");
  assert_int_equal (put_status ("k", "c", "0"), 503);
  harness_control_platform (harness, "/control/fault?mode=silent");
  assert_int_equal (put_status ("k", "c", "0"), 0);
  harness_control_platform (harness, "/control/fault?mode=none");
  assert_int_equal (put_status ("k", "c", "0"), 200);
}

static int
open_socket_at (const char *ip)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (PORT_BASE + HARNESS_PORT_PEER) };
  struct timeval wait = { .tv_usec = DATAGRAM_WAIT_MS * 1000 };
  int fd = socket (AF_INET, SOCK_DGRAM, 0);

  inet_pton (AF_INET, ip, &address.sin_addr);
  assert_int_equal (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  return fd;
}

/* Sends a datagram from LEFT to RIGHT and one back. Returns how many of the two arrived. */
static int
exchange_datagrams (int left, int right)
{
  struct sockaddr_in to
      = { .sin_family = AF_INET, .sin_port = htons (PORT_BASE + HARNESS_PORT_PEER) };
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  char byte = 'q';

  inet_pton (AF_INET, "127.0.2.2", &to.sin_addr);
  sendto (left, &byte, 1, 0, (struct sockaddr *)&to, sizeof to);
  if (recvfrom (right, &byte, 1, 0, (struct sockaddr *)&from, &size) != 1)
    return 0;
  sendto (right, &byte, 1, 0, (struct sockaddr *)&from, size);
  return recv (left, &byte, 1, 0) == 1 ? 2 : 1;
}

static void
datagrams_are_dropped_in_one_direction_only (void **state)
{
  int left = open_socket_at (caller_ip);
  int right = open_socket_at ("127.0.1.2");

  assert_int_equal (exchange_datagrams (left, right), 2);
  harness_add_rule (harness, caller_ip, "127.0.2.2", "cut", 0);
  assert_int_equal (exchange_datagrams (left, right), 0);
  harness_clear_rules (harness);
  harness_add_rule (harness, "127.0.2.2", caller_ip, "cut", 0);
  assert_int_equal (exchange_datagrams (left, right), 1);
  close (left);
  close (right);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_teardown (backend_server_answers_and_counts_tokens, clear_faults),
    cmocka_unit_test_teardown (cut_and_hung_streams_are_incomplete, clear_faults),
    cmocka_unit_test_teardown (fault_rules_apply_to_one_pair_of_addresses_only, clear_faults),
    cmocka_unit_test_teardown (platform_writes_conditionally_and_fails_on_command, clear_faults),
    cmocka_unit_test_teardown (datagrams_are_dropped_in_one_direction_only, clear_faults),
  };

  return cmocka_run_group_tests (tests, start_standins, stop_standins);
}
