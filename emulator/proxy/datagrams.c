#include "emulator/proxy/datagrams.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  DATAGRAM_MAX_BYTES = 65536,
  FLOW_IDLE_MAX_US = 60 * 1000 * 1000,
  US_PER_MS = 1000
};

/* A listening socket and its clients. */
struct listener_
{
  struct forward_watch watch;
  struct datagrams *datagrams;
  struct forward_link link;
  char ip[ADDRESS_IP_BYTES];
  GHashTable *flows; /* client's IP and port -> struct flow_ */
};

/* A client of a listening socket, with its own socket to the target. */
struct flow_
{
  struct forward_watch watch;
  struct listener_ *listener;
  struct sockaddr_in client;
  char ip[ADDRESS_IP_BYTES];
  int64_t last_used_us;
};

/* A datagram that is held back until DUE_US (monotonic). */
struct delayed_
{
  int64_t due_us;
  int fd;
  struct sockaddr_in to;
  size_t length;
  char bytes[];
};

struct datagrams
{
  struct forwarder *forwarder;
  const struct rules *rules;
  GPtrArray *listeners;
  GQueue delayed;
  struct datagram_counts counts;
  char buffer[DATAGRAM_MAX_BYTES];
};

static void
listener_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events);
static void flow_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events);
static struct flow_ *find_flow_ (struct listener_ *listener, const struct sockaddr_in *client);
static void send_ (struct datagrams *datagrams,
                   struct forward_policy policy,
                   int fd,
                   const struct sockaddr_in *to,
                   size_t length);
static void close_idle_flows_ (struct listener_ *listener, int64_t now_us);

/* Creates a datagram forwarder on the event loop of FORWARDER. It is never freed. */
struct datagrams *
datagrams_new (struct forwarder *forwarder, const struct rules *rules)
{
  struct datagrams *datagrams = g_new0 (struct datagrams, 1);

  datagrams->forwarder = forwarder;
  datagrams->rules = rules;
  datagrams->listeners = g_ptr_array_new ();
  g_queue_init (&datagrams->delayed);
  return datagrams;
}

/* Forwards the datagrams of a link in both directions; returns false when its address can't be
 * bound.
 */
bool
datagrams_listen (struct datagrams *datagrams, const struct forward_link *link)
{
  struct listener_ *listener = g_new0 (struct listener_, 1);

  listener->datagrams = datagrams;
  listener->link = *link;
  address_print_ip (&link->listen, listener->ip);
  listener->flows = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  listener->watch.ready = listener_ready_;
  listener->watch.fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  g_ptr_array_add (datagrams->listeners, listener);
  if (bind (listener->watch.fd, (struct sockaddr *)&link->listen, sizeof link->listen) != 0)
    return false;
  forwarder_watch (datagrams->forwarder, &listener->watch, EPOLLIN);
  return true;
}

/* Sends the delayed datagrams that are due; returns whether others are waiting. */
bool
datagrams_tick (struct datagrams *datagrams, int64_t now_us)
{
  GList *link = datagrams->delayed.head;

  while (link != NULL)
    {
      GList *next = link->next;
      struct delayed_ *delayed = link->data;

      if (delayed->due_us <= now_us)
        {
          sendto (delayed->fd, delayed->bytes, delayed->length, MSG_NOSIGNAL,
                  (struct sockaddr *)&delayed->to, sizeof delayed->to);
          g_queue_delete_link (&datagrams->delayed, link);
          g_free (delayed);
        }
      link = next;
    }
  return !g_queue_is_empty (&datagrams->delayed);
}

/* Returns the totals since the start. */
struct datagram_counts
datagrams_counts (const struct datagrams *datagrams)
{
  return datagrams->counts;
}

static void
listener_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events)
{
  struct listener_ *listener = (struct listener_ *)watch;
  struct datagrams *datagrams = listener->datagrams;
  struct sockaddr_in client = { 0 };
  socklen_t size = sizeof client;
  ssize_t got;

  while ((got = recvfrom (watch->fd, datagrams->buffer, sizeof datagrams->buffer, 0,
                          (struct sockaddr *)&client, &size))
         >= 0)
    {
      struct flow_ *flow = find_flow_ (listener, &client);

      send_ (datagrams, rules_find (datagrams->rules, flow->ip, listener->ip), flow->watch.fd,
             &listener->link.target, (size_t)got);
      size = sizeof client;
    }
}

static void
flow_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events)
{
  struct flow_ *flow = (struct flow_ *)watch;
  struct listener_ *listener = flow->listener;
  struct datagrams *datagrams = listener->datagrams;
  ssize_t got;

  while ((got = recv (watch->fd, datagrams->buffer, sizeof datagrams->buffer, 0)) >= 0)
    {
      flow->last_used_us = g_get_monotonic_time ();
      send_ (datagrams, rules_find (datagrams->rules, listener->ip, flow->ip), listener->watch.fd,
             &flow->client, (size_t)got);
    }
}

static struct flow_ *
find_flow_ (struct listener_ *listener, const struct sockaddr_in *client)
{
  gint64 key = ((gint64)client->sin_addr.s_addr << 16) | client->sin_port;
  struct flow_ *flow = g_hash_table_lookup (listener->flows, &key);
  struct sockaddr_in source = listener->link.listen;

  if (flow == NULL)
    {
      close_idle_flows_ (listener, g_get_monotonic_time ());
      flow = g_new0 (struct flow_, 1);
      flow->listener = listener;
      flow->client = *client;
      address_print_ip (client, flow->ip);
      flow->watch.ready = flow_ready_;
      flow->watch.fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      source.sin_port = 0;
      if (bind (flow->watch.fd, (struct sockaddr *)&source, sizeof source) != 0)
        g_warning ("cannot send from %s", listener->ip);
      forwarder_watch (listener->datagrams->forwarder, &flow->watch, EPOLLIN);
      g_hash_table_insert (listener->flows, g_memdup2 (&key, sizeof key), flow);
    }
  flow->last_used_us = g_get_monotonic_time ();
  return flow;
}

/* Sends, delays or drops the first LENGTH bytes of the buffer, depending on the policy. */
static void
send_ (struct datagrams *datagrams,
       struct forward_policy policy,
       int fd,
       const struct sockaddr_in *to,
       size_t length)
{
  struct delayed_ *delayed;

  if (policy.mode == FORWARD_CUT || policy.mode == FORWARD_SILENCE)
    {
      datagrams->counts.dropped++;
      return;
    }
  datagrams->counts.passed++;
  if (policy.mode == FORWARD_PASS)
    {
      sendto (fd, datagrams->buffer, length, MSG_NOSIGNAL, (struct sockaddr *)to, sizeof *to);
      return;
    }
  delayed = g_malloc (sizeof *delayed + length);
  delayed->due_us = g_get_monotonic_time () + (int64_t)policy.delay_ms * US_PER_MS;
  delayed->fd = fd;
  delayed->to = *to;
  delayed->length = length;
  memcpy (delayed->bytes, datagrams->buffer, length);
  g_queue_push_tail (&datagrams->delayed, delayed);
}

/* Closes the flows without datagrams for a minute. */
static void
close_idle_flows_ (struct listener_ *listener, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, listener->flows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct flow_ *flow = value;

      if (now_us - flow->last_used_us < FLOW_IDLE_MAX_US)
        continue;
      forwarder_watch (listener->datagrams->forwarder, &flow->watch, 0);
      close (flow->watch.fd);
      g_free (flow);
      g_hash_table_iter_remove (&iter);
    }
}
