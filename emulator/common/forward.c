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
  BACKLOG = 1024,
  US_PER_MS = 1000
};

/* Bytes on their way; LENGTH 0 stands for the end of the stream. */
struct chunk
{
  int64_t due_us;
  size_t length;
  size_t sent;
  char bytes[];
};

/* One side of a connection and the bytes that are to be sent to it. */
struct half
{
  struct forward_watch watch;
  struct connection *connection;
  struct half *other;
  GQueue queue;
  size_t queued_bytes;
  bool read_closed;
  bool write_closed;
  bool blocked;
};

enum phase
{
  PHASE_NEW, /* not yet connected, because nothing passes */
  PHASE_CONNECTING,
  PHASE_OPEN,
  PHASE_CLOSED
};

struct connection
{
  struct half client;
  struct half target;
  struct listener *listener;
  enum phase phase;
  unsigned attempt;
  char from[ADDRESS_IP_BYTES];
  bool frozen;
  struct forward_policy policy;
};

struct listener
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
  GHashTable *connections; /* a set of struct connection */
  GHashTable *delayed;     /* those that may hold bytes not yet due */
  GPtrArray *closed;       /* to be freed at the end of a turn */
  struct forward_counts counts;
};

static void *run_ (void *data);
static GPtrArray *keys_ (GHashTable *set);
static bool turn_ (struct forwarder *forwarder);
static bool
flush_connection_ (struct forwarder *forwarder, struct connection *connection, int64_t now_us);
static void
accept_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events);
static void add_connection_ (struct forwarder *forwarder,
                             struct listener *listener,
                             int fd,
                             const struct sockaddr_in *peer);
static void apply_policy_ (struct forwarder *forwarder, struct connection *connection);
static void connect_next_ (struct forwarder *forwarder, struct connection *connection);
static int begin_connect_ (struct forwarder *forwarder,
                           const struct listener *listener,
                           const struct sockaddr_in *target);
static void half_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events);
static void connect_done_ (struct forwarder *forwarder, struct connection *connection);
static void read_half_ (struct forwarder *forwarder, struct half *half);
static void flush_half_ (struct forwarder *forwarder, struct half *half, int64_t now_us);
static bool is_silent_ (const struct connection *connection);
static void update_interest_ (struct forwarder *forwarder, struct connection *connection);
static void
close_connection_ (struct forwarder *forwarder, struct connection *connection, bool reset);
static void free_connection_ (gpointer data);

/* A forwarder that lives as long as the process. */
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

/* Listens on the link's address; false when that fails. */
bool
forwarder_listen (struct forwarder *forwarder, const struct forward_link *link)
{
  struct listener *listener = g_new0 (struct listener, 1);
  int one = 1;

  listener->link = *link;
  address_print_ip (&link->listen, listener->ip);
  listener->watch.ready = accept_ready_;
  listener->watch.fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (listener->watch.fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (listener->watch.fd, (struct sockaddr *)&link->listen, sizeof link->listen) != 0
      || listen (listener->watch.fd, BACKLOG) != 0)
    {
      close (listener->watch.fd);
      g_free (listener);
      return false;
    }
  forwarder_watch (forwarder, &listener->watch, EPOLLIN);
  return true;
}

/* Starts the loop on a thread of its own. */
bool
forwarder_start (struct forwarder *forwarder)
{
  pthread_t thread;

  return sr_thread_start (&thread, 0, run_, forwarder);
}

/* Takes the lock under which the hooks are called. */
void
forwarder_lock (struct forwarder *forwarder)
{
  pthread_mutex_lock (&forwarder->mutex);
}

/* Lets the lock go. */
void
forwarder_unlock (struct forwarder *forwarder)
{
  pthread_mutex_unlock (&forwarder->mutex);
}

/* Asks the policy again for every open connection. The caller holds the lock. */
void
forwarder_apply (struct forwarder *forwarder)
{
  g_autoptr (GPtrArray) all = keys_ (forwarder->connections);

  for (guint i = 0; i < all->len; i++)
    apply_policy_ (forwarder, g_ptr_array_index (all, i));
}

/* Silences for good the connections that are open between two addresses ("*" for any). The caller
 * holds the lock. */
void
forwarder_freeze (struct forwarder *forwarder, const char *from, const char *to)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, forwarder->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct connection *connection = key;

      if ((strcmp (from, "*") == 0 || strcmp (from, connection->from) == 0)
          && (strcmp (to, "*") == 0 || strcmp (to, connection->listener->ip) == 0))
        {
          connection->frozen = true;
          update_interest_ (forwarder, connection);
        }
    }
}

/* What was forwarded so far. The caller holds the lock. */
struct forward_counts
forwarder_counts (struct forwarder *forwarder)
{
  return forwarder->counts;
}

/* Waits on WATCH for INTEREST (EPOLLIN and so on); 0 to stop. */
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
      pending = turn_ (forwarder);
      pthread_mutex_unlock (&forwarder->mutex);
    }
  return NULL;
}

/* What is in SET now; the caller frees the array. */
static GPtrArray *
keys_ (GHashTable *set)
{
  GPtrArray *keys = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, set);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (keys, key);
  return keys;
}

/* Sends what has become due and frees what was closed; returns whether more becomes due. */
static bool
turn_ (struct forwarder *forwarder)
{
  int64_t now_us = g_get_monotonic_time ();
  g_autoptr (GPtrArray) delayed = keys_ (forwarder->delayed);
  bool pending = false;

  for (guint i = 0; i < delayed->len; i++)
    pending = flush_connection_ (forwarder, g_ptr_array_index (delayed, i), now_us) || pending;
  g_ptr_array_set_size (forwarder->closed, 0);
  if (forwarder->hooks.tick != NULL && forwarder->hooks.tick (forwarder->hooks.data, now_us))
    pending = true;
  return pending;
}

/* Sends what is due both ways; returns whether bytes are left. */
static bool
flush_connection_ (struct forwarder *forwarder, struct connection *connection, int64_t now_us)
{
  bool left;

  flush_half_ (forwarder, &connection->client, now_us);
  flush_half_ (forwarder, &connection->target, now_us);
  update_interest_ (forwarder, connection);
  left = !g_queue_is_empty (&connection->client.queue)
         || !g_queue_is_empty (&connection->target.queue);
  if (!left)
    g_hash_table_remove (forwarder->delayed, connection);
  return left && connection->phase == PHASE_OPEN && !is_silent_ (connection);
}

static void
accept_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events)
{
  struct listener *listener = (struct listener *)watch;
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
                 struct listener *listener,
                 int fd,
                 const struct sockaddr_in *peer)
{
  struct connection *connection = g_new0 (struct connection, 1);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  connection->listener = listener;
  address_print_ip (peer, connection->from);
  connection->client
      = (struct half){ .watch = { half_ready_, fd, 0 }, .other = &connection->target };
  connection->target
      = (struct half){ .watch = { half_ready_, -1, 0 }, .other = &connection->client };
  connection->client.connection = connection->target.connection = connection;
  g_hash_table_add (forwarder->connections, connection);
  forwarder->counts.connections++;
  apply_policy_ (forwarder, connection);
}

static void
apply_policy_ (struct forwarder *forwarder, struct connection *connection)
{
  if (forwarder->hooks.policy != NULL)
    connection->policy = forwarder->hooks.policy (forwarder->hooks.data, connection->from,
                                                  connection->listener->ip);
  if (connection->policy.mode == FORWARD_CUT)
    close_connection_ (forwarder, connection, true);
  else if (connection->phase == PHASE_NEW && !is_silent_ (connection))
    connect_next_ (forwarder, connection);
  else
    flush_connection_ (forwarder, connection, g_get_monotonic_time ());
}

/* Begins to connect to the next target; resets the client's connection when there is none. */
static void
connect_next_ (struct forwarder *forwarder, struct connection *connection)
{
  struct half *half = &connection->target;
  struct sockaddr_in target;

  do
    {
      if (half->watch.fd >= 0)
        {
          forwarder_watch (forwarder, &half->watch, 0);
          close (half->watch.fd);
          half->watch.fd = -1;
        }
      if (!forwarder->hooks.target (forwarder->hooks.data, &connection->listener->link,
                                    connection->attempt++, &target))
        {
          close_connection_ (forwarder, connection, true);
          return;
        }
      half->watch.fd = begin_connect_ (forwarder, connection->listener, &target);
    }
  while (half->watch.fd < 0);
  connection->phase = PHASE_CONNECTING;
  update_interest_ (forwarder, connection);
}

/* A socket that is being connected to TARGET, or -1. */
static int
begin_connect_ (struct forwarder *forwarder,
                const struct listener *listener,
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
half_ready_ (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events)
{
  struct half *half = (struct half *)watch;
  struct connection *connection = half->connection;

  if (connection->phase == PHASE_CONNECTING)
    {
      if (half == &connection->target)
        connect_done_ (forwarder, connection);
      return;
    }
  if (!half->read_closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
    read_half_ (forwarder, half);
  if (connection->phase == PHASE_OPEN && (events & EPOLLOUT))
    {
      half->blocked = false;
      flush_half_ (forwarder, half, g_get_monotonic_time ());
    }
  update_interest_ (forwarder, connection);
}

static void
connect_done_ (struct forwarder *forwarder, struct connection *connection)
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

/* Reads once and queues the bytes for the other side. */
static void
read_half_ (struct forwarder *forwarder, struct half *half)
{
  struct connection *connection = half->connection;
  struct chunk *chunk = g_malloc (sizeof *chunk + CHUNK_BYTES);
  int64_t now_us = g_get_monotonic_time ();
  ssize_t got = read (half->watch.fd, chunk->bytes, CHUNK_BYTES);

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
  half->read_closed = got == 0;
  forwarder->counts.bytes += got;
  half->other->queued_bytes += chunk->length;
  g_queue_push_tail (&half->other->queue, chunk);
  flush_half_ (forwarder, half->other, now_us);
}

/* Sends what is due to this side. */
static void
flush_half_ (struct forwarder *forwarder, struct half *half, int64_t now_us)
{
  struct connection *connection = half->connection;
  struct chunk *chunk;

  while (connection->phase == PHASE_OPEN && !half->blocked && !is_silent_ (connection)
         && (chunk = g_queue_peek_head (&half->queue)) != NULL && chunk->due_us <= now_us)
    {
      ssize_t sent;

      if (chunk->length == 0)
        {
          shutdown (half->watch.fd, SHUT_WR);
          half->write_closed = true;
          if (half->other->write_closed)
            close_connection_ (forwarder, connection, false);
          else
            g_free (g_queue_pop_head (&half->queue));
          return;
        }
      sent = send (half->watch.fd, chunk->bytes + chunk->sent, chunk->length - chunk->sent,
                   MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        half->blocked = true;
      else if (sent < 0)
        close_connection_ (forwarder, connection, true);
      else
        {
          chunk->sent += (size_t)sent;
          half->queued_bytes -= (size_t)sent;
          if (chunk->sent == chunk->length)
            g_free (g_queue_pop_head (&half->queue));
        }
    }
}

static bool
is_silent_ (const struct connection *connection)
{
  return connection->frozen || connection->policy.mode == FORWARD_SILENCE;
}

/* Registers what each side of a connection is to be woken for. */
static void
update_interest_ (struct forwarder *forwarder, struct connection *connection)
{
  struct half *halves[] = { &connection->client, &connection->target };

  if (connection->phase == PHASE_CLOSED)
    return;
  for (unsigned i = 0; i < G_N_ELEMENTS (halves); i++)
    {
      struct half *half = halves[i];
      uint32_t interest = 0;

      if (connection->phase == PHASE_CONNECTING && half == &connection->target)
        interest = EPOLLOUT;
      if (connection->phase == PHASE_OPEN && !is_silent_ (connection))
        {
          if (!half->read_closed && half->other->queued_bytes < QUEUE_MAX_BYTES)
            interest |= EPOLLIN;
          if (half->blocked)
            interest |= EPOLLOUT;
        }
      if (half->watch.fd >= 0)
        forwarder_watch (forwarder, &half->watch, interest);
    }
}

/* Closes both sides, with a reset when RESET is set; the memory goes at the end of the turn. */
static void
close_connection_ (struct forwarder *forwarder, struct connection *connection, bool reset)
{
  struct half *halves[] = { &connection->client, &connection->target };
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  if (connection->phase == PHASE_CLOSED)
    return;
  connection->phase = PHASE_CLOSED;
  for (unsigned i = 0; i < G_N_ELEMENTS (halves); i++)
    {
      int fd = halves[i]->watch.fd;

      if (fd < 0)
        continue;
      forwarder_watch (forwarder, &halves[i]->watch, 0);
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
  struct connection *connection = data;

  g_queue_clear_full (&connection->client.queue, g_free);
  g_queue_clear_full (&connection->target.queue, g_free);
  g_free (connection);
}
