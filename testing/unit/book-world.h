/* Books of several instances on a simulated store and simulated datagrams: time, losses and crashes
 * are the test's. What requests consume is counted here, whatever the books believe: a test fails
 * as soon as that is more than the total. */
#pragma once

#include "allotment/allotment.h"
#include "store/era-object.h"

enum
{
  BOOK_WORLD_NODES = 7,
  MS = 1000,
  SECOND = 1000 * MS,
  CALL_TIMEOUT_US = 600 * MS,    /* of a call of the store */
  WATCH_TELLS_MAX_US = 1500 * MS /* until an instance knows that the store has come back */
};

struct book_world;

struct book_node
{
  const struct allotment_link_vtable *vtable;
  struct book_world *world;
  char name[32];
  struct allotment_book *book; /* NULL while down */
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

struct book_world
{
  int64_t now_us;
  GPtrArray *states; /* struct state_, the latest at the end */
  int64_t era;       /* of the store */
  uint64_t order;
  GPtrArray *events;
  struct book_node nodes[BOOK_WORLD_NODES];
  json_t *objects;  /* of the store, by their kinds: content and revision */
  int64_t revision; /* of the store */
  int64_t prepaid;
  int64_t consumed; /* by requests that ended, and by all of those that crashed */
  int64_t used_mean_percent;
  unsigned granted;
  unsigned refused;
  unsigned exhausted;
  int64_t longest_wait_us;
  bool checks_exhausted; /* whether nothing is left that a request told so could have had */
  int64_t known_prepaid; /* the total that all instances know by now */
  GRand *random;
  double loss;        /* of datagrams */
  double late;        /* of datagrams that wait for seconds, as at an instance that is paused */
  double lost_writes; /* answers lost; half of those writes happen late */
  bool lands_at_once; /* none of them does */
  int64_t call_us;    /* what the store takes */
};

void book_world_set_up (struct book_world *world, int64_t prepaid, uint32_t seed);
void book_world_tear_down (struct book_world *world);
void book_world_run (struct book_world *world, int64_t span_us);
void book_world_load (struct book_world *world, int64_t tokens, unsigned per_s, int64_t span_us);
void book_world_crash_all (struct book_world *world);
void book_world_cut_all (struct book_world *world);
void book_world_mend_all (struct book_world *world);
void book_world_restore (struct book_world *world, int64_t age_us);
struct book_node *book_world_home (struct book_world *world);
bool book_world_delay_ask (struct book_world *world, const struct book_node *from, int64_t by_us);
void book_node_start (struct book_node *node);
void book_node_kill (struct book_node *node);
void book_node_ask_for (struct book_node *node, int64_t tokens);
