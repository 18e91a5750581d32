/* Forwards TCP connections between addresses, and lets its user silence, delay or reset them. */
#pragma once

#include "emulator/common/address.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

enum forward_mode
{
  FORWARD_PASS,
  FORWARD_CUT,
  FORWARD_SILENCE,
  FORWARD_DELAY
};

struct forward_policy
{
  enum forward_mode mode;
  int delay_ms; /* each way, for FORWARD_DELAY */
};

struct forwarder;

/* A listening address. */
struct forward_link
{
  struct sockaddr_in listen;
  struct sockaddr_in target;
};

/* A file descriptor the loop waits on; begins every object that the loop knows. */
struct forward_watch
{
  void (*ready) (struct forwarder *forwarder, struct forward_watch *watch, uint32_t events);
  int fd;
  uint32_t interest; /* 0: not registered */
};

/* What its user decides. All are called with the forwarder's lock held. */
struct forward_hooks
{
  /* Address for connection attempt ATTEMPT, from 0; false when there is none left. */
  bool (*target) (void *data,
                  const struct forward_link *link,
                  unsigned attempt,
                  struct sockaddr_in *target);
  /* What happens between two addresses; may be NULL. */
  struct forward_policy (*policy) (void *data, const char *from, const char *to);
  /* Called in each turn of the loop; returns whether it wants to be called again within a
   * millisecond. May be NULL. */
  bool (*tick) (void *data, int64_t now_us);
  bool bind_source; /* outgoing connections come from the address listened on */
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
void forwarder_apply (struct forwarder *forwarder);
void forwarder_freeze (struct forwarder *forwarder, const char *from, const char *to);
struct forward_counts forwarder_counts (struct forwarder *forwarder);
void forwarder_watch (struct forwarder *forwarder, struct forward_watch *watch, uint32_t interest);
