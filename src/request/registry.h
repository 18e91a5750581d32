/* At a request's home: which instance has the request. A hint that lets retries find a run in
 * progress or a stored answer; losing it costs a second run, never a second bill or a second order.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sr_registry;

struct sr_registry_options
{
  unsigned entries_max;
  int64_t entry_kept_us;
};

/* The instance that has a request. */
struct sr_registry_owner
{
  char instance[64];
  uint64_t incarnation;
};

enum sr_registry_verdict
{
  SR_REGISTRY_YOURS,
  SR_REGISTRY_ELSEWHERE,
  SR_REGISTRY_OTHER_BODY
};

struct sr_registry_claim
{
  const char *key; /* TEAM/REQUEST */
  uint64_t fingerprint[2];
  struct sr_registry_owner owner;
  uint64_t instead_of; /* incarnation of an owner found gone; 0 for none */
  int64_t now_us;
};

struct sr_registry *sr_registry_new (const struct sr_registry_options *options);
void sr_registry_delete (struct sr_registry *registry);
enum sr_registry_verdict sr_registry_claim (struct sr_registry *registry,
                                            const struct sr_registry_claim *claim,
                                            struct sr_registry_owner *owner);
