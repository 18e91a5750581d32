/* Account of the memory and connections that one event loop holds for its callers: connections,
 * received bytes, bodies, and responses that are not sent yet. It says when that is too much and
 * which caller to close first; its user closes it. No network and no clock: time is a parameter. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum net_memory_kind
{
  NET_MEMORY_CONNECTION, /* the connection itself, in this process and in the kernel */
  NET_MEMORY_INPUT,      /* received and not parsed yet */
  NET_MEMORY_BODY,       /* of a request that is read or served, with its head */
  NET_MEMORY_RESPONSE,   /* of a server, not passed on yet */
  NET_MEMORY_UNSENT,     /* of a response, not taken by the kernel yet */
  NET_MEMORY_KERNEL,     /* in the kernel: not read yet, or not acknowledged by the caller yet */
  NET_MEMORY_KINDS
};

/* A connection's part of the account; its user embeds it. */
struct net_memory_holder
{
  GList link; /* in the account's holders; its data points to the holder */
  struct net_memory_account *account;
  size_t bytes[NET_MEMORY_KINDS];
  size_t total;
  size_t unacknowledged; /* the part of NET_MEMORY_KERNEL that the caller has not taken */
  int64_t progress_ms;   /* when the caller last sent a byte, or took one if responses are unsent */
  bool is_served;        /* a complete request is being served; see net_memory_holder_set_served */
};

struct net_memory_account
{
  GQueue holders; /* struct net_memory_holder */
  size_t bytes[NET_MEMORY_KINDS];
  size_t total;
  size_t served_total; /* of holders whose request is being served */
  size_t limit;
  unsigned connections_max;
  int64_t refreshed_ms; /* when its user last set what the kernel holds and has not taken */
};

struct net_memory_limits
{
  size_t bytes;         /* of the account */
  unsigned callers_max; /* connections of callers */
  unsigned status_max;  /* connections of one listener for readiness or metrics */
};

void net_memory_configure_heap (void);
unsigned net_memory_descriptors (unsigned told);
struct net_memory_limits net_memory_limits (double memory_mb, unsigned descriptors);
void net_memory_account_init (struct net_memory_account *account,
                              const struct net_memory_limits *limits);
void net_memory_account_set_limits (struct net_memory_account *account,
                                    const struct net_memory_limits *limits);
bool net_memory_account_is_short (const struct net_memory_account *account);
bool net_memory_account_is_full (const struct net_memory_account *account);
size_t net_memory_account_excess (const struct net_memory_account *account);
struct net_memory_holder *net_memory_account_pick_largest (const struct net_memory_account *account,
                                                           int64_t now_ms);
struct net_memory_holder *net_memory_account_pick_oldest (const struct net_memory_account *account,
                                                          int64_t now_ms);
struct net_memory_holder *net_memory_account_pick_any (const struct net_memory_account *account);
bool net_memory_account_admits (const struct net_memory_account *account,
                                const struct net_memory_holder *holder);
const char *net_memory_kind_to_string (enum net_memory_kind kind);

void net_memory_holder_open (struct net_memory_holder *holder,
                             struct net_memory_account *account,
                             int64_t now_ms);
void net_memory_holder_close (struct net_memory_holder *holder);
void
net_memory_holder_set (struct net_memory_holder *holder, enum net_memory_kind kind, size_t bytes);
void net_memory_holder_set_served (struct net_memory_holder *holder, bool is_served);
void net_memory_holder_note_kernel (struct net_memory_holder *holder,
                                    size_t unread,
                                    size_t unacknowledged,
                                    int64_t now_ms);
void net_memory_holder_note_unsent (struct net_memory_holder *holder, size_t bytes, int64_t now_ms);
