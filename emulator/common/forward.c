#include "emulator/common/forward.h"

#include "base/thread.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  EVENTS_MAX = 256,
  CHUNK_BYTES = 16 * 1024,
  QUEUE_MAX_BYTES = 256 * 1024,
  BACKLOG_CONNECTIONS = 1024,
  US_PER_MS = 1000
};

/* Bytes read and not yet sent completely; LENGTH 0 marks the end of the stream. */
struct chunk_
{
  int64_t due_us;
  size_t length;
  size_t sent;
  char bytes[];
};

/* One side of a connection and the queue of bytes to be sent to it. */
struct side_
{
  struct forward_watch watch;
  struct connection_ *connection;
  struct side_ *other;
  GQueue queue;
  size_t queued_bytes;
  bool read_closed;
  bool write_closed;
  bool blocked;
};

enum phase_
{
  PHASE_NEW, /* not yet connected to the target, because the policy is FORWARD_SILENCE */
  PHASE_CONNECTING,
  PHASE_OPEN,
  PHASE_CLOSED
};

struct connection_
{
  struct side_ client;
  struct side_ target;
  struct listener_ *listener;
  enum phase_ phase;
  unsigned attempt;
  char from[ADDRESS_IP_BYTES];
  bool stalled; /* until it is closed, whatever the policy */
  struct forward_policy policy;
};

struct listener_
{
  struct forward_watch watch;
  struct forward_link link;
  char ip[ADDRESS_IP_BYTES];
};

struct forwarder
{
  struct forward_hooks hooks;
  pthread_mutex_t mutex;
  int epoll_fd;
  GHashTable *connections; /* a set of struct connection_ */
  GHashTable *delayed;     /* set of connections that may have queued bytes not yet due */
  GPtrArray *closed; /* freed at the end of a loop iteration, as events may still refer to them */
  struct forward_counts counts;
};

static void *run_ (void *data);
static GPtrArray *copy_members_ (GHashTable *set);
static bool flush_delayed_ (struct forwarder *forwarder);
static bool
flush_connection_ (struct forwarder *forwarder, struct connection_ *connection, int64_t now_us);
static void
accept_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events);
static void add_connection_ (struct forwarder *forwarder,
                             struct listener_ *listener,
                             int fd,
                             const struct sockaddr_in *peer);
static void apply_policy_ (struct forwarder *forwarder, struct connection_ *connection);
static void connect_next_ (struct forwarder *forwarder, struct connection_ *connection);
static int begin_connect_ (struct forwarder *forwarder,
                           const struct listener_ *listener,
                           const struct sockaddr_in *target);
static void side_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events);
static void connect_done_ (struct forwarder *forwarder, struct connection_ *connection);
static void read_side_ (struct forwarder *forwarder, struct side_ *side);
static void flush_side_ (struct forwarder *forwarder, struct side_ *side, int64_t now_us);
static bool is_stalled_ (const struct connection_ *connection);
static void update_interest_ (struct forwarder *forwarder, struct connection_ *connection);
static void
close_connection_ (struct forwarder *forwarder, struct connection_ *connection, bool reset);
static void free_connection_ (gpointer data);

/* Creates a forwarder. It is never freed. */
struct forwarder *
forwarder_new (const struct forward_hooks *hooks)
{
  struct forwarder *forwarder = g_new0 (struct forwarder, 1);

  forwarder->hooks = *hooks;
  pthread_mutex_init (&forwarder->mutex, NULL);
  forwarder->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  forwarder->connections = g_hash_table_new (NULL, NULL);
  forwarder->delayed = g_hash_table_new (NULL, NULL);
  forwarder->closed = g_ptr_array_new_with_free_func (free_connection_);
  return forwarder;
}

/* Listens on the link's address; returns false on failure. */
bool
forwarder_listen (struct forwarder *forwarder, const struct forward_link *link)
{
  struct listener_ *listener = g_new0 (struct listener_, 1);
  int one = 1;

  listener->link = *link;
  address_print_ip (&link->listen, listener->ip);
  listener->watch.ready = accept_ready_;
  listener->watch.fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (listener->watch.fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (listener->watch.fd, (struct sockaddr *)&link->listen, sizeof link->listen) != 0
      || listen (listener->watch.fd, BACKLOG_CONNECTIONS) != 0)
    {
      close (listener->watch.fd);
      g_free (listener);
      return false;
    }
  forwarder_watch (forwarder, &listener->watch, EPOLLIN);
  return true;
}

/* Runs the event loop on a new thread. Listen before. */
bool
forwarder_start (struct forwarder *forwarder)
{
  pthread_t thread;

  return sr_thread_start (&thread, 0, run_, forwarder);
}

/* Locks the mutex under which the hooks are called. */
void
forwarder_lock (struct forwarder *forwarder)
{
  pthread_mutex_lock (&forwarder->mutex);
}

void
forwarder_unlock (struct forwarder *forwarder)
{
  pthread_mutex_unlock (&forwarder->mutex);
}

/* Calls the policy hook again for every open connection, after its decisions have changed. The
 * caller holds the lock. */
void
forwarder_apply_policies (struct forwarder *forwarder)
{
  g_autoptr (GPtrArray) all = copy_members_ (forwarder->connections);

  for (guint i = 0; i < all->len; i++)
    apply_policy_ (forwarder, g_ptr_array_index (all, i));
}

/* Stalls the connections that are open between two IPs ("*" for any) until they are closed,
 * whatever the policy. New connections are not affected. The caller holds the lock. */
void
forwarder_stall_connections (struct forwarder *forwarder, const char *from, const char *to)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, forwarder->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct connection_ *connection = key;

      if ((strcmp (from, "*") == 0 || strcmp (from, connection->from) == 0)
          && (strcmp (to, "*") == 0 || strcmp (to, connection->listener->ip) == 0))
        {
          connection->stalled = true;
          update_interest_ (forwarder, connection);
        }
    }
}

/* Returns the totals since the start. The caller holds the lock. */
struct forward_counts
forwarder_counts (struct forwarder *forwarder)
{
  return forwarder->counts;
}

/* Registers WATCH with the event loop for INTEREST (EPOLLIN and so on); 0 unregisters it. */
void
forwarder_watch (struct forwarder *forwarder, struct forward_watch *watch, uint32_t interest)
{
  struct epoll_event event = { .events = interest, .data.ptr = watch };

  if (interest == watch->interest)
    return;
  if (interest == 0)
    epoll_ctl (forwarder->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
  else
    epoll_ctl (forwarder->epoll_fd, watch->interest == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, watch->fd,
               &event);
  watch->interest = interest;
}

static void *
run_ (void *data)
{
  struct forwarder *forwarder = data;
  struct epoll_event events[EVENTS_MAX];
  bool pending = false;

  for (;;)
    {
      int count = epoll_wait (forwarder->epoll_fd, events, EVENTS_MAX, pending ? 1 : -1);

      pthread_mutex_lock (&forwarder->mutex);
      for (int i = 0; i < count; i++)
        {
          struct forward_watch *watch = events[i].data.ptr;

          if (watch->interest != 0)
            watch->ready (forwarder, watch, events[i].events);
        }
      pending = flush_delayed_ (forwarder);
      pthread_mutex_unlock (&forwarder->mutex);
    }
  return NULL;
}

/* Returns a copy of the members of SET; the caller frees the array. */
static GPtrArray *
copy_members_ (GHashTable *set)
{
  GPtrArray *keys = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, set);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (keys, key);
  return keys;
}

/* Sends the delayed bytes that are due and frees closed connections. Returns whether more bytes are
 * delayed, so that the loop must wake up again. */
static bool
flush_delayed_ (struct forwarder *forwarder)
{
  int64_t now_us = g_get_monotonic_time ();
  g_autoptr (GPtrArray) delayed = copy_members_ (forwarder->delayed);
  bool pending = false;

  for (guint i = 0; i < delayed->len; i++)
    pending = flush_connection_ (forwarder, g_ptr_array_index (delayed, i), now_us) || pending;
  g_ptr_array_set_size (forwarder->closed, 0);
  if (forwarder->hooks.tick != NULL && forwarder->hooks.tick (forwarder->hooks.data, now_us))
    pending = true;
  return pending;
}

/* Sends the bytes that are due in both directions; returns whether others can be sent later. */
static bool
flush_connection_ (struct forwarder *forwarder, struct connection_ *connection, int64_t now_us)
{
  bool has_queued;

  flush_side_ (forwarder, &connection->client, now_us);
  flush_side_ (forwarder, &connection->target, now_us);
  update_interest_ (forwarder, connection);
  has_queued = !g_queue_is_empty (&connection->client.queue)
               || !g_queue_is_empty (&connection->target.queue);
  if (!has_queued)
    g_hash_table_remove (forwarder->delayed, connection);
  return has_queued && connection->phase == PHASE_OPEN && !is_stalled_ (connection);
}

static void
accept_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events)
{
  struct listener_ *listener = (struct listener_ *)watch;
  struct sockaddr_in peer;
  socklen_t length = sizeof peer;
  int fd;

  while ((fd = accept4 (watch->fd, (struct sockaddr *)&peer, &length, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      add_connection_ (forwarder, listener, fd, &peer);
      length = sizeof peer;
    }
}

static void
add_connection_ (struct forwarder *forwarder,
                 struct listener_ *listener,
                 int fd,
                 const struct sockaddr_in *peer)
{
  struct connection_ *connection = g_new0 (struct connection_, 1);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  connection->listener = listener;
  address_print_ip (peer, connection->from);
  connection->client
      = (struct side_){ .watch = { side_ready_, fd, 0 }, .other = &connection->target };
  connection->target
      = (struct side_){ .watch = { side_ready_, -1, 0 }, .other = &connection->client };
  connection->client.connection = connection->target.connection = connection;
  g_hash_table_add (forwarder->connections, connection);
  forwarder->counts.connections++;
  apply_policy_ (forwarder, connection);
}

static void
apply_policy_ (struct forwarder *forwarder, struct connection_ *connection)
{
  if (forwarder->hooks.policy != NULL)
    connection->policy = forwarder->hooks.policy (forwarder->hooks.data, connection->from,
                                                  connection->listener->ip);
  if (connection->policy.mode == FORWARD_CUT)
    close_connection_ (forwarder, connection, true);
  else if (connection->phase == PHASE_NEW && !is_stalled_ (connection))
    connect_next_ (forwarder, connection);
  else
    flush_connection_ (forwarder, connection, g_get_monotonic_time ());
}

/* Starts to connect to the next target; resets the client's connection when there is none. */
static void
connect_next_ (struct forwarder *forwarder, struct connection_ *connection)
{
  struct side_ *side = &connection->target;
  struct sockaddr_in target;

  do
    {
      if (side->watch.fd >= 0)
        {
          forwarder_watch (forwarder, &side->watch, 0);
          close (side->watch.fd);
          side->watch.fd = -1;
        }
      if (!forwarder->hooks.target (forwarder->hooks.data, &connection->listener->link,
                                    connection->attempt++, &target))
        {
          close_connection_ (forwarder, connection, true);
          return;
        }
      side->watch.fd = begin_connect_ (forwarder, connection->listener, &target);
    }
  while (side->watch.fd < 0);
  connection->phase = PHASE_CONNECTING;
  update_interest_ (forwarder, connection);
}

/* Returns a non-blocking socket that is connecting to TARGET, or -1. */
static int
begin_connect_ (struct forwarder *forwarder,
                const struct listener_ *listener,
                const struct sockaddr_in *target)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct sockaddr_in source = listener->link.listen;
  int one = 1;

  source.sin_port = 0;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof one);
  if (forwarder->hooks.bind_source && bind (fd, (struct sockaddr *)&source, sizeof source) != 0)
    goto failed;
  if (connect (fd, (struct sockaddr *)target, sizeof *target) == 0 || errno == EINPROGRESS)
    return fd;
failed:
  close (fd);
  return -1;
}

static void
side_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events)
{
  struct side_ *side = (struct side_ *)watch;
  struct connection_ *connection = side->connection;

  if (connection->phase == PHASE_CONNECTING)
    {
      if (side == &connection->target)
        connect_done_ (forwarder, connection);
      return;
    }
  if (!side->read_closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
    read_side_ (forwarder, side);
  if (connection->phase == PHASE_OPEN && (events & EPOLLOUT))
    {
      side->blocked = false;
      flush_side_ (forwarder, side, g_get_monotonic_time ());
    }
  update_interest_ (forwarder, connection);
}

static void
connect_done_ (struct forwarder *forwarder, struct connection_ *connection)
{
  int error = 0;
  socklen_t length = sizeof error;

  getsockopt (connection->target.watch.fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0)
    {
      connect_next_ (forwarder, connection);
      return;
    }
  connection->phase = PHASE_OPEN;
  update_interest_ (forwarder, connection);
}

/* Reads one chunk and queues it for the other side. */
static void
read_side_ (struct forwarder *forwarder, struct side_ *side)
{
  struct connection_ *connection = side->connection;
  struct chunk_ *chunk = g_malloc (sizeof *chunk + CHUNK_BYTES);
  int64_t now_us = g_get_monotonic_time ();
  ssize_t got = read (side->watch.fd, chunk->bytes, CHUNK_BYTES);

  if (got < 0)
    {
      g_free (chunk);
      if (errno != EAGAIN && errno != EINTR)
        close_connection_ (forwarder, connection, true);
      return;
    }
  chunk->length = (size_t)got;
  chunk->sent = 0;
  chunk->due_us = now_us;
  if (connection->policy.mode == FORWARD_DELAY)
    {
      chunk->due_us += (int64_t)connection->policy.delay_ms * US_PER_MS;
      g_hash_table_add (forwarder->delayed, connection);
    }
  side->read_closed = got == 0;
  forwarder->counts.bytes += got;
  side->other->queued_bytes += chunk->length;
  g_queue_push_tail (&side->other->queue, chunk);
  flush_side_ (forwarder, side->other, now_us);
}

/* Sends the queued bytes that are due to this side. */
static void
flush_side_ (struct forwarder *forwarder, struct side_ *side, int64_t now_us)
{
  struct connection_ *connection = side->connection;
  struct chunk_ *chunk;

  while (connection->phase == PHASE_OPEN && !side->blocked && !is_stalled_ (connection)
         && (chunk = g_queue_peek_head (&side->queue)) != NULL && chunk->due_us <= now_us)
    {
      ssize_t sent;

      if (chunk->length == 0)
        {
          shutdown (side->watch.fd, SHUT_WR);
          side->write_closed = true;
          if (side->other->write_closed)
            close_connection_ (forwarder, connection, false);
          else
            g_free (g_queue_pop_head (&side->queue));
          return;
        }
      sent = send (side->watch.fd, chunk->bytes + chunk->sent, chunk->length - chunk->sent,
                   MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        side->blocked = true;
      else if (sent < 0)
        close_connection_ (forwarder, connection, true);
      else
        {
          chunk->sent += (size_t)sent;
          side->queued_bytes -= (size_t)sent;
          if (chunk->sent == chunk->length)
            g_free (g_queue_pop_head (&side->queue));
        }
    }
}

static bool
is_stalled_ (const struct connection_ *connection)
{
  return connection->stalled || connection->policy.mode == FORWARD_SILENCE;
}

/* Registers both sides of a connection for the events they need. */
static void
update_interest_ (struct forwarder *forwarder, struct connection_ *connection)
{
  struct side_ *sides[] = { &connection->client, &connection->target };

  if (connection->phase == PHASE_CLOSED)
    return;
  for (unsigned i = 0; i < G_N_ELEMENTS (sides); i++)
    {
      struct side_ *side = sides[i];
      uint32_t interest = 0;

      if (connection->phase == PHASE_CONNECTING && side == &connection->target)
        interest = EPOLLOUT;
      if (connection->phase == PHASE_OPEN && !is_stalled_ (connection))
        {
          if (!side->read_closed && side->other->queued_bytes < QUEUE_MAX_BYTES)
            interest |= EPOLLIN;
          if (side->blocked)
            interest |= EPOLLOUT;
        }
      if (side->watch.fd >= 0)
        forwarder_watch (forwarder, &side->watch, interest);
    }
}

/* Closes both sides, with a TCP reset when RESET is set. The memory is freed at the end of the loop
 * iteration. */
static void
close_connection_ (struct forwarder *forwarder, struct connection_ *connection, bool reset)
{
  struct side_ *sides[] = { &connection->client, &connection->target };
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (connection->phase == PHASE_CLOSED)
    return;
  connection->phase = PHASE_CLOSED;
  for (unsigned i = 0; i < G_N_ELEMENTS (sides); i++)
    {
      int fd = sides[i]->watch.fd;

      if (fd < 0)
        continue;
      forwarder_watch (forwarder, &sides[i]->watch, 0);
      if (reset)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      close (fd);
    }
  g_hash_table_remove (forwarder->connections, connection);
  g_hash_table_remove (forwarder->delayed, connection);
  g_ptr_array_add (forwarder->closed, connection);
}

static void
free_connection_ (gpointer data)
{
  struct connection_ *connection = data;

  g_queue_clear_full (&connection->client.queue, g_free);
  g_queue_clear_full (&connection->target.queue, g_free);
  g_free (connection);
}
