/* Simulation of several instances' allotment managers on a simulated store and simulated datagrams;
 * the test controls time, losses and crashes. The simulation counts the tokens that requests
 * consume independently of the managers and fails the test as soon as they exceed the prepaid
 * total. */
#pragma once

#include "allotment/allotment.h"
#include "store/era-object.h"

enum
{
  SIMULATED_INSTANCES = 7,
  MS = 1000,
  SECOND = 1000 * MS,
  CALL_TIMEOUT_US = 600 * MS,       /* after which a store call without a reply ends */
  WATCH_NOTIFIES_MAX_US = 1500 * MS /* until an instance's watch reports a restore of the store */
};

struct allotment_simulation;

struct simulated_instance
{
  const struct allotment_link_vtable *vtable;
  struct allotment_simulation *simulation;
  char name[32];
  struct allotment_manager *manager; /* NULL while down */
  uint64_t incarnation;
  bool cut_from_store;
  bool cut_from_peers;
  int64_t next_tick_us;
  struct store store;
  int64_t merged_era; /* era of its last announcement that it has merged; 0: none */
  unsigned reads;     /* store reads; tests reset both counters */
  unsigned writes;    /* store writes */
  GPtrArray *running; /* struct request_: waiting or granted */
};

struct allotment_simulation
{
  int64_t now_us;
  GPtrArray *store_history; /* struct store_state_, the latest at the end */
  int64_t era;              /* of the store */
  uint64_t order;           /* of the next event */
  GPtrArray *events;        /* struct event_ */
  struct simulated_instance instances[SIMULATED_INSTANCES];
  json_t *objects;      /* in the store, by kind: content and revision */
  int64_t revision;     /* of the store's last write */
  int64_t prepaid;      /* total of tokens */
  int64_t consumed;     /* by ended requests; of crashed instances, all that was reserved */
  int64_t used_percent; /* of its reservation that a request consumes */
  /* Requests. */
  unsigned granted;
  unsigned refused;        /* for any reason */
  unsigned exhausted;      /* of those, refused as exhausted */
  int64_t longest_wait_us; /* for a verdict */
  /* The test fails if a request is refused as exhausted although enough of known_prepaid is left.
   */
  bool checks_exhausted_verdicts;
  int64_t known_prepaid; /* the total that all instances know of */
  GRand *random;
  double datagram_loss;      /* fraction of datagrams that are lost */
  double late_datagrams;     /* fraction delayed by up to 3 s, as at an instance that is paused */
  double lost_write_replies; /* fraction of writes whose reply is lost; half of them take effect
                                late */
  bool no_late_writes;       /* those take effect at once */
  int64_t store_call_us;     /* duration of a store call */
};

void allotment_simulation_set_up (struct allotment_simulation *simulation,
                                  int64_t prepaid,
                                  uint32_t seed);
void allotment_simulation_tear_down (struct allotment_simulation *simulation);
void allotment_simulation_run (struct allotment_simulation *simulation, int64_t span_us);
void allotment_simulation_load (struct allotment_simulation *simulation,
                                int64_t tokens,
                                unsigned per_s,
                                int64_t span_us);
void allotment_simulation_crash_all (struct allotment_simulation *simulation);
void allotment_simulation_cut_all (struct allotment_simulation *simulation);
void allotment_simulation_reconnect_all (struct allotment_simulation *simulation);
void allotment_simulation_restore_store (struct allotment_simulation *simulation, int64_t age_us);
bool allotment_simulation_has_frozen (const struct allotment_simulation *simulation);
struct simulated_instance *allotment_simulation_primary (struct allotment_simulation *simulation);
bool allotment_simulation_delay_loan_request (struct allotment_simulation *simulation,
                                              const struct simulated_instance *from,
                                              int64_t by_us);
void simulated_instance_start (struct simulated_instance *instance);
void simulated_instance_kill (struct simulated_instance *instance);
void simulated_instance_reserve (struct simulated_instance *instance, int64_t tokens);
