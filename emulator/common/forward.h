/* Forwards TCP connections between addresses and can stall, delay or reset them. */
#pragma once

#include "emulator/common/address.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

enum forward_mode
{
  FORWARD_PASS,
  FORWARD_CUT,     /* reset connections */
  FORWARD_SILENCE, /* keep connections open and forward nothing */
  FORWARD_DELAY
};

struct forward_policy
{
  enum forward_mode mode;
  int delay_ms; /* in each direction, for FORWARD_DELAY */
};

struct forwarder;

/* A listening address and the address it forwards to. */
struct forward_link
{
  struct sockaddr_in listen;
  struct sockaddr_in target;
};

/* A file descriptor registered with the event loop; first member of every object that is
 * registered.
 */
struct forward_watch
{
  void (*ready) (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events);
  int fd;
  uint32_t interest; /* EPOLLIN and so on; 0: not registered */
};

/* Callbacks of the forwarder's user. All are called with the forwarder's lock held. */
struct forward_hooks
{
  /* Sets TARGET to the address for connection attempt ATTEMPT (from 0); false: no more attempts. */
  bool (*target) (void *data,
                  const struct forward_link *link,
                  unsigned attempt,
                  struct sockaddr_in *target);
  /* Returns how to forward between the client's IP FROM and the listening IP TO; may be NULL. */
  struct forward_policy (*policy) (void *data, const char *from, const char *to);
  /* Called in each iteration of the loop; returns whether it must be called again within a
   * millisecond. May be NULL. */
  bool (*tick) (void *data, int64_t now_us);
  bool bind_source; /* outgoing connections use the listening IP as source */
  void *data;
};

struct forward_counts
{
  int64_t connections;
  int64_t bytes;
};

struct forwarder *forwarder_new (const struct forward_hooks *hooks);
bool forwarder_listen (struct forwarder *forwarder, const struct forward_link *link);
bool forwarder_start (struct forwarder *forwarder);
void forwarder_lock (struct forwarder *forwarder);
void forwarder_unlock (struct forwarder *forwarder);
void forwarder_apply_policies (struct forwarder *forwarder);
void forwarder_stall_connections (struct forwarder *forwarder, const char *from, const char *to);
struct forward_counts forwarder_counts (struct forwarder *forwarder);
void forwarder_watch (struct forwarder *forwarder, struct forward_watch *watch, uint32_t interest);
