#include "net/memory-account.h"

#include <malloc.h>
#include <sys/resource.h>

enum
{
  /* Of this process and of the kernel, for a connection that carries nothing: about 2 KiB of
   * structures here, and the kernel's socket, its entry in epoll and its first buffer. */
  CONNECTION_BYTES = 8192,
  /* A caller who takes no byte of a response for this long is not reading it. The same time as a
   * finished connection waits for its caller (SEND_STALLED_CHECKS of http-conn.c). */
  STALLED_MS = 5000,
  /* The same for a complete response that the kernel has taken. Shorter, because a client that
   * reads nothing fills the kernel's buffers meanwhile, at the speed of its link. */
  KERNEL_STALLED_MS = 1000,
  /* Callers that hold many bytes are closed first, and the one without progress for longer among
   * equals: the time counts from WAIT_MIN_MS, a usual pause between two segments, to WAIT_MAX_MS,
   * so that idle connections, which hold little, aren't closed by the hundred for one large body.
   */
  WAIT_MIN_MS = 10,
  WAIT_MAX_MS = 1000,
  /* Closing goes on until a part of the limit is free again, so that not every read closes one. */
  FREE_SHARE = 8,
  PIPELINED_MAX_BYTES = 65536, /* behind a served request: many small ones, or one large head */
  /* Requests that are served can't be closed, so they get only a part of the limit, and ones with
   * large bodies less, so that a few of these don't keep all others out. */
  SERVED_FREE_SHARE = 8,
  SERVED_LARGE_FREE_SHARE = 4,
  SERVED_LARGE_BYTES = 65536,
  /* Of the machine's memory, three eighths are for callers. The rest is for the process itself with
   * its configuration, for the kernel's buffers and for the connections to servers and the store.
   */
  MEMORY_SHARE_NUMERATOR = 3,
  MEMORY_SHARE_DENOMINATOR = 8,
  MEMORY_DEFAULT_MB = 512,
  MEMORY_MIN_BYTES = 8 * 1024 * 1024, /* a few of the largest bodies */
  MIB_BYTES = 1024 * 1024,
  DESCRIPTORS_DEFAULT = 4096,
  DESCRIPTORS_MAX = 1048576, /* of the settings */
  /* Descriptors: for files and for the loop, the store, the mesh and the listeners; on small
   * machines a share. */
  FILES_MAX = 200,
  FILES_SHARE = 8,
  OWN_DESCRIPTORS = 24,
  STATUS_MAX = 64, /* several times what balancers and monitoring keep open */
  STATUS_SHARE = 16,
  STATUS_LISTENERS = 2,
  /* Of what is left, callers get three quarters; the rest is always free for servers, which need
   * fewer connections, as idle callers need none. */
  CALLERS_NUMERATOR = 3,
  CALLERS_DENOMINATOR = 4,
  CALLERS_MIN = 4
};

enum
{
  /* Larger blocks, as of bodies, are mapped each on its own, grow without being copied and go back
   * to the system at once. With the default, which adapts, the first body that is freed moves all
   * later ones to the heap, where the gaps between them took as much memory as the bodies. */
  HEAP_BLOCK_MAX_BYTES = 131072
};

static const char *const kind_names_[NET_MEMORY_KINDS] = {
  [NET_MEMORY_CONNECTION] = "connection",
  [NET_MEMORY_INPUT] = "input",
  [NET_MEMORY_BODY] = "body",
  [NET_MEMORY_RESPONSE] = "response",
  [NET_MEMORY_UNSENT] = "unsent",
  [NET_MEMORY_KERNEL] = "kernel",
};

static bool may_be_closed_ (const struct net_memory_holder *holder, int64_t now_ms);

/* Makes the memory that this process has from the system follow what it holds. Call it at the
 * start, before other threads run. */
void
net_memory_configure_heap (void)
{
  if (mallopt (M_MMAP_THRESHOLD, HEAP_BLOCK_MAX_BYTES) == 0)
    g_debug ("the heap can't be configured");
}

/* Returns how many file descriptors this process may open: the process's own limit, or TOLD (0: not
 * told) if that is lower. */
unsigned
net_memory_descriptors (unsigned told)
{
  struct rlimit limit;
  unsigned own = DESCRIPTORS_DEFAULT;

  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    own = (unsigned)MIN (limit.rlim_cur, (rlim_t)DESCRIPTORS_MAX);
  return told > 0 ? MIN (told, own) : own;
}

/* Returns the limits for a machine with MEMORY_MB MiB of memory and DESCRIPTORS file descriptors.
 * 0: not known, a default is assumed. */
struct net_memory_limits
net_memory_limits (double memory_mb, unsigned descriptors)
{
  double mb = memory_mb > 0 ? memory_mb : MEMORY_DEFAULT_MB;
  unsigned all = descriptors > 0 ? descriptors : DESCRIPTORS_DEFAULT;
  struct net_memory_limits limits = {
    .bytes = MAX ((size_t)(mb * MIB_BYTES * MEMORY_SHARE_NUMERATOR / MEMORY_SHARE_DENOMINATOR),
                  (size_t)MEMORY_MIN_BYTES),
    .status_max = CLAMP (all / STATUS_SHARE, 1, (unsigned)STATUS_MAX),
  };
  unsigned reserved = MIN (all / FILES_SHARE, (unsigned)FILES_MAX) + OWN_DESCRIPTORS
                      + STATUS_LISTENERS * limits.status_max;
  unsigned left = all > reserved ? all - reserved : 0;

  limits.callers_max = MAX (left / CALLERS_DENOMINATOR * CALLERS_NUMERATOR, (unsigned)CALLERS_MIN);
  return limits;
}

void
net_memory_account_init (struct net_memory_account *account, const struct net_memory_limits *limits)
{
  *account = (struct net_memory_account){ .holders = G_QUEUE_INIT,
                                          .limit = limits->bytes,
                                          .connections_max = limits->callers_max };
}

/* Changes the limits; what is held beyond them is closed by and by. */
void
net_memory_account_set_limits (struct net_memory_account *account,
                               const struct net_memory_limits *limits)
{
  account->limit = limits->bytes;
  account->connections_max = limits->callers_max;
}

/* Returns whether more is held than the limit. */
bool
net_memory_account_is_short (const struct net_memory_account *account)
{
  return account->total > account->limit;
}

/* Returns whether no further connection may be opened. */
bool
net_memory_account_is_full (const struct net_memory_account *account)
{
  return account->holders.length >= account->connections_max;
}

/* Returns how many bytes have to be freed once the account has run short; 0: none. */
size_t
net_memory_account_excess (const struct net_memory_account *account)
{
  size_t wanted = account->limit - account->limit / FREE_SHARE;

  return account->total > wanted ? account->total - wanted : 0;
}

/* Returns the holder to close when memory is short: the one that holds the most for the longest
 * time without progress. Returns NULL if none may be closed. */
struct net_memory_holder *
net_memory_account_pick_largest (const struct net_memory_account *account, int64_t now_ms)
{
  struct net_memory_holder *picked = NULL;
  double highest = 0;

  for (const GList *link = account->holders.head; link != NULL; link = link->next)
    {
      struct net_memory_holder *holder = link->data;
      int64_t waited_ms = CLAMP (now_ms - holder->progress_ms, WAIT_MIN_MS, WAIT_MAX_MS);
      double weight = (double)holder->total * (double)waited_ms;

      if (weight <= highest || !may_be_closed_ (holder, now_ms))
        continue;
      highest = weight;
      picked = holder;
    }
  return picked;
}

/* Returns the holder to close for a new connection: the one without progress for the longest time.
 * Returns NULL if none may be closed. */
struct net_memory_holder *
net_memory_account_pick_oldest (const struct net_memory_account *account, int64_t now_ms)
{
  struct net_memory_holder *picked = NULL;

  for (const GList *link = account->holders.head; link != NULL; link = link->next)
    {
      struct net_memory_holder *holder = link->data;

      if ((picked == NULL || holder->progress_ms < picked->progress_ms)
          && may_be_closed_ (holder, now_ms))
        picked = holder;
    }
  return picked;
}

/* Returns the holder without progress for the longest time, whatever it is doing; NULL: there is
 * none. */
struct net_memory_holder *
net_memory_account_pick_any (const struct net_memory_account *account)
{
  struct net_memory_holder *picked = NULL;

  for (const GList *link = account->holders.head; link != NULL; link = link->next)
    {
      struct net_memory_holder *holder = link->data;

      if (picked == NULL || holder->progress_ms < picked->progress_ms)
        picked = holder;
    }
  return picked;
}

/* Returns whether there is memory to serve the request of HOLDER, which has been received
 * completely. */
bool
net_memory_account_admits (const struct net_memory_account *account,
                           const struct net_memory_holder *holder)
{
  size_t share = holder->total > SERVED_LARGE_BYTES ? SERVED_LARGE_FREE_SHARE : SERVED_FREE_SHARE;

  return account->served_total + holder->total <= account->limit - account->limit / share;
}

/* Returns the log name of KIND. */
const char *
net_memory_kind_to_string (enum net_memory_kind kind)
{
  g_assert ((size_t)kind < G_N_ELEMENTS (kind_names_));
  return kind_names_[kind];
}

/* Adds HOLDER, a new connection, to ACCOUNT, which must outlive it. */
void
net_memory_holder_open (struct net_memory_holder *holder,
                        struct net_memory_account *account,
                        int64_t now_ms)
{
  *holder = (struct net_memory_holder){ .account = account, .progress_ms = now_ms };
  holder->link.data = holder;
  g_queue_push_tail_link (&account->holders, &holder->link);
  net_memory_holder_set (holder, NET_MEMORY_CONNECTION, CONNECTION_BYTES);
}

/* Takes HOLDER with all that it holds from its account. Does nothing if it is in none. */
void
net_memory_holder_close (struct net_memory_holder *holder)
{
  if (holder->account == NULL)
    return;
  net_memory_holder_set_served (holder, false);
  for (unsigned kind = 0; kind < NET_MEMORY_KINDS; kind++)
    net_memory_holder_set (holder, kind, 0);
  g_queue_unlink (&holder->account->holders, &holder->link);
  holder->account = NULL;
}

/* Sets how many BYTES of KIND the holder has. Does nothing if it is in no account. */
void
net_memory_holder_set (struct net_memory_holder *holder, enum net_memory_kind kind, size_t bytes)
{
  struct net_memory_account *account = holder->account;

  if (account == NULL)
    return;
  account->bytes[kind] += bytes - holder->bytes[kind];
  account->total += bytes - holder->bytes[kind];
  if (holder->is_served)
    account->served_total += bytes - holder->bytes[kind];
  holder->total += bytes - holder->bytes[kind];
  holder->bytes[kind] = bytes;
}

/* Sets whether a complete request of the holder is being served. Does nothing if it is in no
 * account. */
void
net_memory_holder_set_served (struct net_memory_holder *holder, bool is_served)
{
  if (holder->account == NULL || holder->is_served == is_served)
    return;
  holder->is_served = is_served;
  if (is_served)
    holder->account->served_total += holder->total;
  else
    holder->account->served_total -= holder->total;
}

/* Sets what the kernel holds of a connection: bytes that are not read, and bytes that the caller
 * has not acknowledged. Fewer of the latter than before are progress of the caller. */
void
net_memory_holder_note_kernel (struct net_memory_holder *holder,
                               size_t unread,
                               size_t unacknowledged,
                               int64_t now_ms)
{
  if (unacknowledged < holder->unacknowledged)
    holder->progress_ms = now_ms;
  holder->unacknowledged = unacknowledged;
  net_memory_holder_set (holder, NET_MEMORY_KERNEL, unread + unacknowledged);
}

/* Sets the unsent bytes of a response to the current number; a lower one than before is progress of
 * the caller. */
void
net_memory_holder_note_unsent (struct net_memory_holder *holder, size_t bytes, int64_t now_ms)
{
  if (bytes < holder->bytes[NET_MEMORY_UNSENT])
    holder->progress_ms = now_ms;
  net_memory_holder_set (holder, NET_MEMORY_UNSENT, bytes);
}

/* Returns false for a caller who reads a response, or whose request is being served: such a request
 * may have run already. */
static bool
may_be_closed_ (const struct net_memory_holder *holder, int64_t now_ms)
{
  if (holder->bytes[NET_MEMORY_UNSENT] > 0)
    return now_ms - holder->progress_ms >= STALLED_MS;
  /* A served request is kept, but not what its caller sends far ahead behind it. */
  if (holder->is_served)
    return holder->bytes[NET_MEMORY_INPUT] + holder->bytes[NET_MEMORY_KERNEL]
           > PIPELINED_MAX_BYTES + holder->unacknowledged;
  return holder->unacknowledged == 0 || now_ms - holder->progress_ms >= KERNEL_STALLED_MS;
}
