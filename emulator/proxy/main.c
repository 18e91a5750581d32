/* Fault proxy: forwards TCP and UDP between the processes of a test, and cuts, stalls or delays
 * them as the test sets by control calls. */
#include "emulator/common/forward.h"
#include "emulator/common/server.h"
#include "emulator/proxy/datagrams.h"
#include "emulator/proxy/rules.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

enum
{
  LINKS_MAX = 2048
};

static const char udp_suffix_[] = ",udp";

struct proxy_
{
  struct forwarder *forwarder;
  struct datagrams *datagrams;
  struct rules *rules;
};

static bool open_link_ (struct proxy_ *proxy, const char *text);
static bool
target_ (void *data, const struct forward_link *link, unsigned attempt, struct sockaddr_in *target);
static struct forward_policy policy_ (void *data, const char *from, const char *to);
static bool tick_ (void *data, int64_t now_us);
static enum MHD_Result handle_ (struct standin_request *request, void *data);
static enum MHD_Result add_rule_ (struct proxy_ *proxy, struct standin_request *request);
static enum MHD_Result clear_ (struct proxy_ *proxy, struct standin_request *request);
static enum MHD_Result counts_ (struct proxy_ *proxy, struct standin_request *request);

int
main (int argc, char **argv)
{
  struct arg_str *address = arg_str1 (NULL, "control-address", "IP", "address for control");
  struct arg_int *port = arg_int1 (NULL, "control-port", "PORT", "port for control");
  struct arg_str *links
      = arg_strn (NULL, "link", "IP:PORT=IP:PORT[,udp]", 1, LINKS_MAX, "what to forward");
  struct arg_end *end = arg_end (8);
  void *table[] = { address, port, links, end };
  struct proxy_ proxy = { .rules = rules_new () };
  struct forward_hooks hooks = {
    .target = target_, .policy = policy_, .tick = tick_, .bind_source = true, .data = &proxy
  };
  struct standin_server_options options;

  if (!standin_arguments_parse (argc, argv, table))
    return 2;
  standin_block_signals ();
  proxy.forwarder = forwarder_new (&hooks);
  proxy.datagrams = datagrams_new (proxy.forwarder, proxy.rules);
  for (int i = 0; i < links->count; i++)
    if (!open_link_ (&proxy, links->sval[i]))
      {
        fprintf (stderr, "cannot listen for %s\n", links->sval[i]);
        return 1;
      }
  if (!forwarder_start (proxy.forwarder))
    return 1;
  options = (struct standin_server_options){
    .address = address->sval[0], .port = (unsigned)port->ival[0], .handle = handle_, .data = &proxy
  };
  return standin_server_run (&options);
}

/* Opens a link "IP:PORT=IP:PORT"; with the suffix ",udp" datagrams are forwarded as well as TCP.
 * Returns false when TEXT is invalid or the address can't be bound. */
static bool
open_link_ (struct proxy_ *proxy, const char *text)
{
  bool datagrams = g_str_has_suffix (text, udp_suffix_);
  g_autofree char *addresses
      = g_strndup (text, strlen (text) - (datagrams ? strlen (udp_suffix_) : 0));
  char *target = strchr (addresses, '=');
  struct forward_link link = { 0 };

  if (target == NULL)
    return false;
  *target++ = '\0';
  return address_parse (addresses, &link.listen) && address_parse (target, &link.target)
         && forwarder_listen (proxy->forwarder, &link)
         && (!datagrams || datagrams_listen (proxy->datagrams, &link));
}

static bool
target_ (void *data, const struct forward_link *link, unsigned attempt, struct sockaddr_in *target)
{
  *target = link->target;
  return attempt == 0;
}

static struct forward_policy
policy_ (void *data, const char *from, const char *to)
{
  struct proxy_ *proxy = data;

  return rules_find (proxy->rules, from, to);
}

static bool
tick_ (void *data, int64_t now_us)
{
  struct proxy_ *proxy = data;

  return datagrams_tick (proxy->datagrams, now_us);
}

static enum MHD_Result
handle_ (struct standin_request *request, void *data)
{
  struct proxy_ *proxy = data;

  if (standin_request_is (request, "POST", "/control/rule"))
    return add_rule_ (proxy, request);
  if (standin_request_is (request, "POST", "/control/clear"))
    return clear_ (proxy, request);
  if (standin_request_is (request, "GET", "/control/counts"))
    return counts_ (proxy, request);
  return standin_reply_error (request, MHD_HTTP_NOT_FOUND, "path");
}

static enum MHD_Result
add_rule_ (struct proxy_ *proxy, struct standin_request *request)
{
  const char *from = standin_query (request, "from");
  const char *to = standin_query (request, "to");
  const char *mode = standin_query (request, "mode");
  int delay_ms = (int)standin_query_number (request, "delay_ms", 0);
  bool valid = from != NULL && to != NULL && mode != NULL;

  if (!valid)
    return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "rule");
  forwarder_lock (proxy->forwarder);
  if (strcmp (mode, "silence_open") == 0)
    forwarder_stall_connections (proxy->forwarder, from, to);
  else
    valid = rules_add (proxy->rules, from, to, mode, delay_ms);
  forwarder_apply_policies (proxy->forwarder);
  forwarder_unlock (proxy->forwarder);
  return valid ? standin_reply_ok (request)
               : standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "mode");
}

static enum MHD_Result
clear_ (struct proxy_ *proxy, struct standin_request *request)
{
  forwarder_lock (proxy->forwarder);
  rules_clear (proxy->rules);
  forwarder_apply_policies (proxy->forwarder);
  forwarder_unlock (proxy->forwarder);
  return standin_reply_ok (request);
}

static enum MHD_Result
counts_ (struct proxy_ *proxy, struct standin_request *request)
{
  struct forward_counts counts;
  struct datagram_counts datagrams;

  forwarder_lock (proxy->forwarder);
  counts = forwarder_counts (proxy->forwarder);
  datagrams = datagrams_counts (proxy->datagrams);
  forwarder_unlock (proxy->forwarder);
  return standin_reply_json (
      request, MHD_HTTP_OK,
      json_pack ("{s:I,s:I,s:I,s:I}", "connections", (json_int_t)counts.connections, "bytes",
                 (json_int_t)counts.bytes, "datagrams", (json_int_t)datagrams.passed, "dropped",
                 (json_int_t)datagrams.dropped));
}
