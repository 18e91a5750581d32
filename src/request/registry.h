/* Registry of a directory instance: which instance runs a request. It is only a hint, so that
 * retries find a run in progress or a stored answer. Losing an entry costs a second run, but never
 * a second bill or a second execution of an order. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sr_registry;

struct sr_registry_options
{
  unsigned entries_max;  /* the oldest entry is dropped beyond this */
  int64_t entry_kept_us; /* time from the claim until the entry expires */
};

/* The instance that runs a request, or keeps its answer. */
struct sr_registry_owner
{
  char instance[64];
  uint64_t incarnation;
};

enum sr_registry_verdict
{
  SR_REGISTRY_YOURS,     /* the claimant owns the request now */
  SR_REGISTRY_ELSEWHERE, /* another instance owns it */
  SR_REGISTRY_OTHER_BODY /* the key was claimed before with another fingerprint */
};

struct sr_registry_claim
{
  const char *key; /* "TEAM/REQUEST" */
  uint64_t fingerprint[2];
  struct sr_registry_owner owner;
  uint64_t instead_of; /* incarnation of an owner found dead or without the request; 0 for none */
  int64_t now_us;      /* monotonic */
};

struct sr_registry *sr_registry_new (const struct sr_registry_options *options);
void sr_registry_delete (struct sr_registry *registry);
enum sr_registry_verdict sr_registry_claim (struct sr_registry *registry,
                                            const struct sr_registry_claim *claim,
                                            struct sr_registry_owner *owner);
