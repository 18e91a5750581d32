/* Books of several instances on a simulated store and simulated datagrams: time, losses and crashes
 * are the test's. What requests consume is counted here, whatever the books believe: a test fails
 * as soon as that is more than the total. */
#pragma once

#include "allotment/allotment.h"
#include "store/era-object.h"

enum
{
  SIMULATED_INSTANCES = 7,
  MS = 1000,
  SECOND = 1000 * MS,
  CALL_TIMEOUT_US = 600 * MS,       /* of a call of the store */
  WATCH_NOTIFIES_MAX_US = 1500 * MS /* until an instance knows that the store has come back */
};

struct allotment_simulation;

struct simulated_instance
{
  const struct allotment_link_vtable *vtable;
  struct allotment_simulation *simulation;
  char name[32];
  struct allotment_book *manager; /* NULL while down */
  uint64_t incarnation;
  bool cut_from_store;
  bool cut_from_peers;
  int64_t next_tick_us;
  struct store store;
  int64_t merged_era; /* in which it said that it has merged */
  unsigned reads;     /* of the store */
  unsigned writes;
  GPtrArray *running; /* struct request_ */
};

struct allotment_simulation
{
  int64_t now_us;
  GPtrArray *store_history; /* struct state_, the latest at the end */
  int64_t era;              /* of the store */
  uint64_t order;
  GPtrArray *events;
  struct simulated_instance instances[SIMULATED_INSTANCES];
  json_t *objects;  /* of the store, by their kinds: content and revision */
  int64_t revision; /* of the store */
  int64_t prepaid;
  int64_t consumed; /* by requests that ended, and by all of those that crashed */
  int64_t used_percent;
  unsigned granted;
  unsigned refused;
  unsigned exhausted;
  int64_t longest_wait_us;
  bool
      checks_exhausted_verdicts; /* whether nothing is left that a request told so could have had */
  int64_t known_prepaid;         /* the total that all instances know by now */
  GRand *random;
  double datagram_loss;  /* of datagrams */
  double late_datagrams; /* of datagrams that wait for seconds, as at an instance that is paused */
  double lost_write_replies; /* answers lost; half of those writes happen late */
  bool no_late_writes;       /* none of them does */
  int64_t store_call_us;     /* what the store takes */
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
struct simulated_instance *allotment_simulation_primary (struct allotment_simulation *simulation);
bool allotment_simulation_delay_loan_request (struct allotment_simulation *simulation,
                                              const struct simulated_instance *from,
                                              int64_t by_us);
void simulated_instance_start (struct simulated_instance *instance);
void simulated_instance_kill (struct simulated_instance *instance);
void simulated_instance_reserve (struct simulated_instance *instance, int64_t tokens);
