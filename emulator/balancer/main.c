/* Stand-in of the platform's load balancer: forwards TCP connections round robin to the targets
 * that accept them. */
#include "emulator/common/forward.h"
#include "emulator/common/server.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

enum
{
  TARGETS_MAX = 64
};

struct balancer_
{
  struct forwarder *forwarder;
  GArray *targets; /* struct sockaddr_in */
  guint next;
};

static bool pick_target_ (void *data,
                          const struct forward_link *link,
                          unsigned attempt,
                          struct sockaddr_in *target);
static enum MHD_Result handle_ (struct standin_request *request, void *data);
static bool add_targets_ (GArray *targets, const char *list);

int
main (int argc, char **argv)
{
  struct arg_str *address = arg_str1 (NULL, "address", "IP", "address to listen on");
  struct arg_int *port = arg_int1 (NULL, "port", "PORT", "port to listen on");
  struct arg_int *control = arg_int1 (NULL, "control-port", "PORT", "port for control");
  struct arg_str *target = arg_strn (NULL, "target", "IP:PORT", 1, TARGETS_MAX, "a target");
  struct arg_end *end = arg_end (8);
  void *table[] = { address, port, control, target, end };
  struct balancer_ balancer
      = { .targets = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in)) };
  struct forward_hooks hooks = { .target = pick_target_, .data = &balancer };
  struct standin_server_options options;
  struct forward_link link = { 0 };
  g_autofree char *listen = NULL;

  if (!standin_arguments_parse (argc, argv, table))
    return 2;
  for (int i = 0; i < target->count; i++)
    if (!add_targets_ (balancer.targets, target->sval[i]))
      return 2;
  standin_block_signals ();
  balancer.forwarder = forwarder_new (&hooks);
  listen = g_strdup_printf ("%s:%d", address->sval[0], port->ival[0]);
  if (!address_parse (listen, &link.listen) || !forwarder_listen (balancer.forwarder, &link)
      || !forwarder_start (balancer.forwarder))
    {
      fprintf (stderr, "cannot listen on %s\n", listen);
      return 1;
    }
  options = (struct standin_server_options){ .address = address->sval[0],
                                             .port = (unsigned)control->ival[0],
                                             .handle = handle_,
                                             .data = &balancer };
  return standin_server_run (&options);
}

/* Returns the next target, round robin; false after as many attempts as there are targets. */
static bool
pick_target_ (void *data,
              const struct forward_link *link,
              unsigned attempt,
              struct sockaddr_in *target)
{
  struct balancer_ *balancer = data;

  if (attempt >= balancer->targets->len)
    return false;
  *target = g_array_index (balancer->targets, struct sockaddr_in,
                           balancer->next++ % balancer->targets->len);
  return true;
}

static enum MHD_Result
handle_ (struct standin_request *request, void *data)
{
  struct balancer_ *balancer = data;
  GArray *targets;

  if (!standin_request_is (request, "POST", "/control/targets"))
    return standin_reply_error (request, MHD_HTTP_NOT_FOUND, "path");
  targets = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in));
  if (!add_targets_ (targets, standin_query (request, "list")))
    {
      g_array_free (targets, TRUE);
      return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "list");
    }
  forwarder_lock (balancer->forwarder);
  g_array_free (balancer->targets, TRUE);
  balancer->targets = targets;
  forwarder_unlock (balancer->forwarder);
  return standin_reply_ok (request);
}

/* Adds the addresses of a comma-separated list; returns false when one is invalid. */
static bool
add_targets_ (GArray *targets, const char *list)
{
  char **items;
  bool valid = true;

  if (list == NULL)
    return false;
  items = g_strsplit (list, ",", -1);
  for (unsigned i = 0; valid && items[i] != NULL; i++)
    {
      struct sockaddr_in address;

      valid = address_parse (items[i], &address);
      g_array_append_val (targets, address);
    }
  g_strfreev (items);
  return valid;
}
