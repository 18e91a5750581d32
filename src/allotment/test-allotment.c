/* Books of several instances on a simulated store and simulated datagrams: time, losses and crashes
 * are the test's. What requests consume is counted here, whatever the books believe. */
#include "allotment/allotment.h"
#include "store/era-object.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  BOOKS = 7,
  MS = 1000,
  SECOND = 1000 * MS,
  CALL_TIMEOUT_US = 600 * MS,
  WATCH_TELLS_MAX_US = 1500 * MS,
  ANNOUNCED_MAX_US = 1000 * MS, /* until another instance knows what one has announced */
  OTHER_CHANGES_MAX = 100       /* of other objects, between two of the record */
};

enum event_kind_
{
  EVENT_WRITE_ARRIVES,
  EVENT_CALL_DONE, /* of the store */
  EVENT_ASK,
  EVENT_ANSWER,
  EVENT_END_OF_REQUEST,
  EVENT_WATCH_TELLS, /* that the store has come back from a copy */
  EVENT_MERGED       /* an instance has put what it holds into the store's records */
};

struct world_;

struct node_
{
  const struct allotment_link_vtable *vtable;
  struct world_ *world;
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

struct request_
{
  struct node_ *node;
  uint64_t incarnation;
  int64_t tokens;
  int64_t used;
  GArray *parts;
  bool waiting;
  int64_t asked_us;
};

struct event_
{
  int64_t at_us;
  uint64_t order;
  enum event_kind_ kind;
  struct node_ *node;
  uint64_t incarnation;
  char object_kind[64]; /* at the store */
  store_callback done;
  void *data;
  json_t *content;
  int64_t revision;
  enum store_status status;
  struct allotment_ask ask;
  char text[3][64];
  struct allotment_answer answer;
  struct node_ *from;
  struct request_ *request;
};

/* A call of a book for a record. */
struct record_call_
{
  struct node_ *node;
  uint64_t incarnation;
  uint64_t number;
};

/* What the store held from a time on. */
struct state_
{
  int64_t since_us;
  json_t *objects;
  int64_t revision;
};

struct world_
{
  int64_t now_us;
  GPtrArray *states; /* struct state_, the latest at the end */
  int64_t era;       /* of the store */
  uint64_t order;
  GPtrArray *events;
  struct node_ nodes[BOOKS];
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

static void read_ (void *link, const char *team, uint64_t call);
static void
write_ (void *link, const char *team, uint64_t call, json_t *content, int64_t expected_revision);
static void ask_ (void *link, const char *peer, const struct allotment_ask *ask);
static void answer_ (void *link, uint64_t handle, const struct allotment_answer *answer);
static bool real_time_ (void *link, int64_t *earliest_ms, int64_t *latest_ms);
static void store_read_ (struct store *, const char *, const char *, store_callback, void *);
static void store_write_ (
    struct store *, const char *, const char *, json_t *, int64_t, store_callback, void *);

static const struct allotment_link_vtable vtable_
    = { .read = read_, .write = write_, .ask = ask_, .answer = answer_, .real_time = real_time_ };

static const struct store_vtable store_vtable_ = { .read = store_read_, .write = store_write_ };

static struct event_ *
event_new_ (struct world_ *world, enum event_kind_ kind, struct node_ *node, int64_t delay_us)
{
  struct event_ *event = g_new0 (struct event_, 1);

  event->at_us = world->now_us + delay_us;
  event->order = world->order++;
  event->kind = kind;
  event->node = node;
  event->incarnation = node->incarnation;
  g_ptr_array_add (world->events, event);
  return event;
}

static struct record_call_ *
record_call_new_ (struct node_ *node, uint64_t number)
{
  struct record_call_ *call = g_new0 (struct record_call_, 1);

  *call = (struct record_call_){ node, node->incarnation, number };
  return call;
}

/* Tells the end of CALL to who made it, unless that one has ended, or all is over. */
static void
record_call_end_ (struct record_call_ *call,
                  const struct store_result *result,
                  void (*tell) (struct allotment_book *,
                                const char *,
                                uint64_t,
                                enum store_status,
                                json_t *,
                                int64_t,
                                int64_t))
{
  const struct node_ *node = call->node;
  bool has_object = result->n_objects > 0;

  if (node->book != NULL && node->incarnation == call->incarnation)
    tell (node->book, "team", call->number, result->status,
          has_object ? result->objects[0].content : NULL,
          has_object ? result->objects[0].revision : 0, node->world->now_us);
  g_free (call);
}

static void
on_record_read_ (const struct store_result *result, void *data)
{
  record_call_end_ (data, result, allotment_book_read_done);
}

static void
on_record_written_ (const struct store_result *result, void *data)
{
  record_call_end_ (data, result, allotment_book_write_done);
}

static void
read_ (void *link, const char *team, uint64_t call)
{
  struct node_ *node = link;

  era_object_read (&node->store, "budgets", team, on_record_read_, record_call_new_ (node, call));
}

static void
write_ (void *link, const char *team, uint64_t call, json_t *content, int64_t expected_revision)
{
  struct node_ *node = link;

  era_object_write (&node->store, "budgets", team, content, expected_revision, on_record_written_,
                    record_call_new_ (node, call));
  json_decref (content);
}

static struct node_ *
node_of_store_ (struct store *store)
{
  return (struct node_ *)((char *)store - offsetof (struct node_, store));
}

/* Sets what EVENT tells to the object of its kind as it is in the store. */
static void
show_object_ (const struct world_ *world, struct event_ *event)
{
  json_t *object = json_object_get (world->objects, event->object_kind);

  json_decref (event->content);
  event->content = json_deep_copy (json_object_get (object, "content"));
  event->revision = json_integer_value (json_object_get (object, "revision"));
}

static struct event_ *
call_event_new_ (struct node_ *node,
                 enum event_kind_ event_kind,
                 const char *kind,
                 int64_t delay_us,
                 store_callback done,
                 void *data)
{
  struct event_ *event = event_new_ (node->world, event_kind, node, delay_us);

  g_strlcpy (event->object_kind, kind, sizeof event->object_kind);
  event->done = done;
  event->data = data;
  return event;
}

static void
store_read_ (
    struct store *store, const char *kind, const char *name, store_callback done, void *data)
{
  struct node_ *node = node_of_store_ (store);
  struct world_ *world = node->world;
  struct event_ *event;

  node->reads++;
  if (node->cut_from_store)
    {
      event = call_event_new_ (node, EVENT_CALL_DONE, kind, CALL_TIMEOUT_US, done, data);
      event->status = STORE_UNREACHABLE;
      return;
    }
  event = call_event_new_ (node, EVENT_CALL_DONE, kind, world->call_us, done, data);
  show_object_ (world, event);
  event->status = event->content == NULL ? STORE_ABSENT : STORE_OK;
}

static void
store_write_ (struct store *store,
              const char *kind,
              const char *name,
              json_t *content,
              int64_t expected_revision,
              store_callback done,
              void *data)
{
  struct node_ *node = node_of_store_ (store);
  struct world_ *world = node->world;
  struct event_ *event;

  node->writes++;
  if (node->cut_from_store)
    {
      event = call_event_new_ (node, EVENT_CALL_DONE, kind, CALL_TIMEOUT_US, done, data);
      event->status = STORE_UNREACHABLE;
      return;
    }
  event = call_event_new_ (node, EVENT_WRITE_ARRIVES, kind, world->call_us / 2, done, data);
  event->content = json_incref (content);
  event->revision = expected_revision;
  if (g_rand_double (world->random) < world->lost_writes)
    {
      struct event_ *late;

      event->done = NULL; /* its answer is lost */
      if (!world->lands_at_once && g_rand_boolean (world->random))
        event->at_us += g_rand_int_range (world->random, 1, 6) * SECOND;
      late = call_event_new_ (node, EVENT_CALL_DONE, kind, CALL_TIMEOUT_US, done, data);
      late->status = STORE_UNKNOWN;
    }
}

static struct node_ *
node_find_ (struct world_ *world, const char *name)
{
  for (unsigned i = 0; i < BOOKS; i++)
    if (strcmp (world->nodes[i].name, name) == 0)
      return &world->nodes[i];
  return NULL;
}

static bool
datagram_passes_ (struct node_ *from, struct node_ *to)
{
  return to != NULL && !from->cut_from_peers && !to->cut_from_peers
         && g_rand_double (from->world->random) >= from->world->loss;
}

static int64_t
datagram_delay_ (struct world_ *world)
{
  return world->late > 0 && g_rand_double (world->random) < world->late
             ? g_rand_int_range (world->random, 100, 3000) * MS
             : 1 * MS;
}

static void
ask_ (void *link, const char *peer, const struct allotment_ask *ask)
{
  struct node_ *node = link;
  struct node_ *to = node_find_ (node->world, peer);
  struct event_ *event;

  if (!datagram_passes_ (node, to))
    return;
  event = event_new_ (node->world, EVENT_ASK, to, datagram_delay_ (node->world));
  event->ask = *ask;
  event->ask.team = "team"; /* the book may be gone when it arrives */
  event->from = node;
}

static void
answer_ (void *link, uint64_t handle, const struct allotment_answer *answer)
{
  struct node_ *node = link;
  struct node_ *to = &node->world->nodes[handle];
  struct event_ *event;

  if (!datagram_passes_ (node, to))
    return;
  event = event_new_ (node->world, EVENT_ANSWER, to, datagram_delay_ (node->world));
  event->answer = *answer;
  event->answer.team = "team";
  event->from = node;
}

static bool
real_time_ (void *link, int64_t *earliest_ms, int64_t *latest_ms)
{
  const struct node_ *node = link;

  *earliest_ms = *latest_ms = node->world->now_us / MS;
  return true;
}

/* Returns the names of all instances but NODE. */
static GPtrArray *
others_ (const struct node_ *node)
{
  GPtrArray *names = g_ptr_array_new ();

  for (unsigned i = 0; i < BOOKS; i++)
    if (&node->world->nodes[i] != node)
      g_ptr_array_add (names, node->world->nodes[i].name);
  return names;
}

static void
start_ (struct node_ *node)
{
  struct world_ *world = node->world;
  const struct allotment_book_options options
      = { .link = node,
          .instance = node->name,
          .data_centre = "dc",
          .incarnation = ++node->incarnation,
          .started_us = world->now_us,
          .restored_us = world->era > STORE_ERA_FIRST ? world->now_us : 0 };
  g_autoptr (GPtrArray) names = others_ (node);

  node->store.era = world->era;
  node->merged_era = 0;
  node->book = allotment_book_new (&options);
  allotment_book_set_team (node->book, "team", world->prepaid, world->now_us);
  allotment_book_set_peers (node->book, names, world->now_us);
  for (unsigned i = 0; i < BOOKS; i++)
    if (&world->nodes[i] != node && world->nodes[i].book != NULL)
      {
        allotment_book_peer_started (world->nodes[i].book, node->name, node->incarnation,
                                     world->now_us);
        allotment_book_peer_started (node->book, world->nodes[i].name, world->nodes[i].incarnation,
                                     world->now_us);
        if (world->nodes[i].merged_era == world->era)
          allotment_book_peer_merged (node->book, world->nodes[i].name, world->now_us);
      }
  node->next_tick_us = world->now_us;
}

/* Kills NODE: whatever its requests had reserved may have been consumed. */
static void
kill_ (struct node_ *node)
{
  for (unsigned i = 0; i < node->running->len; i++)
    {
      struct request_ *request = node->running->pdata[i];

      if (!request->waiting)
        node->world->consumed += request->tokens;
      if (request->parts != NULL)
        g_array_unref (request->parts);
      g_free (request);
    }
  g_ptr_array_set_size (node->running, 0);
  for (unsigned i = 0; i < node->world->events->len; i++)
    {
      struct event_ *event = node->world->events->pdata[i];

      if (event->node == node && event->kind == EVENT_END_OF_REQUEST)
        event->request = NULL;
    }
  allotment_book_delete (node->book);
  node->book = NULL;
}

static void
state_free_ (void *data)
{
  struct state_ *state = data;

  json_decref (state->objects);
  g_free (state);
}

static void
note_state_ (struct world_ *world)
{
  struct state_ *state = g_new0 (struct state_, 1);

  *state = (struct state_){ world->now_us, json_deep_copy (world->objects), world->revision };
  g_ptr_array_add (world->states, state);
}

static void
on_restored_ (int64_t era, void *data)
{
  struct node_ *node = data;
  g_autoptr (GPtrArray) names = others_ (node);

  allotment_book_store_restored (node->book, names, node->world->now_us);
}

/* The store comes back from a copy that is AGE_US old. Calls of before end without an answer; who
 * is in touch learns of it by the next answer or by a watch. */
static void
restore_ (struct world_ *world, int64_t age_us)
{
  json_decref (world->objects);
  world->objects = json_object ();
  world->revision = 0;
  for (unsigned i = 0; i < world->states->len; i++)
    {
      const struct state_ *state = world->states->pdata[i];

      if (state->since_us > world->now_us - age_us)
        break;
      json_decref (world->objects);
      world->objects = json_deep_copy (state->objects);
      world->revision = state->revision;
    }
  for (unsigned i = 0; i < world->events->len; i++)
    {
      struct event_ *event = world->events->pdata[i];

      if (event->kind == EVENT_CALL_DONE)
        event->status = STORE_UNKNOWN;
    }
  note_state_ (world);
  world->era++;
  for (unsigned i = 0; i < BOOKS; i++)
    event_new_ (world, EVENT_WATCH_TELLS, &world->nodes[i],
                g_rand_int_range (world->random, 0, WATCH_TELLS_MAX_US));
}

static void
set_up_ (struct world_ *world, int64_t prepaid, uint32_t seed)
{
  memset (world, 0, sizeof *world);
  world->events = g_ptr_array_new ();
  world->states = g_ptr_array_new_with_free_func (state_free_);
  world->objects = json_object ();
  world->era = STORE_ERA_FIRST;
  world->random = g_rand_new_with_seed (seed);
  world->prepaid = world->known_prepaid = prepaid;
  world->now_us = 100 * SECOND;
  world->call_us = 4 * MS;
  world->used_mean_percent = 100;
  for (unsigned i = 0; i < BOOKS; i++)
    {
      struct node_ *node = &world->nodes[i];

      node->vtable = &vtable_;
      node->world = world;
      node->store.vtable = &store_vtable_;
      store_on_restored (&node->store, on_restored_, node);
      node->running = g_ptr_array_new ();
      g_snprintf (node->name, sizeof node->name, "front-%u", i);
    }
  for (unsigned i = 0; i < BOOKS; i++)
    start_ (&world->nodes[i]);
}

static void
event_free_ (struct event_ *event)
{
  json_decref (event->content);
  g_free (event);
}

/* Tells the end of a call of the store. */
static void
end_call_ (const struct event_ *event)
{
  const struct store_object object
      = { .name = "team", .revision = event->revision, .content = event->content };
  const struct store_result result = { .status = event->status,
                                       .objects = &object,
                                       .n_objects = event->content == NULL ? 0 : 1 };

  event->done (&result, event->data);
}

static void
tear_down_ (struct world_ *world)
{
  for (unsigned i = 0; i < BOOKS; i++)
    {
      if (world->nodes[i].book != NULL)
        kill_ (&world->nodes[i]);
      g_ptr_array_unref (world->nodes[i].running);
    }
  while (world->events->len > 0)
    {
      struct event_ *event = g_ptr_array_steal_index (world->events, 0);

      if (event->done != NULL)
        end_call_ (event);
      event_free_ (event);
    }
  g_ptr_array_unref (world->events);
  g_ptr_array_unref (world->states);
  json_decref (world->objects);
  g_rand_free (world->random);
}

static void
on_reserved_ (enum allotment_verdict verdict, GArray *parts, void *data)
{
  struct request_ *request = data;
  struct world_ *world = request->node->world;
  int64_t waited = world->now_us - request->asked_us;

  world->longest_wait_us = MAX (world->longest_wait_us, waited);
  request->waiting = false;
  if (verdict == ALLOTMENT_GRANTED)
    {
      struct event_ *event = event_new_ (world, EVENT_END_OF_REQUEST, request->node, 800 * MS);

      request->parts = parts;
      event->request = request;
      world->granted++;
      return;
    }
  world->refused++;
  if (verdict == ALLOTMENT_EXHAUSTED)
    {
      world->exhausted++;
      if (world->checks_exhausted)
        assert_true (request->tokens > world->known_prepaid - world->consumed);
    }
  g_ptr_array_remove (request->node->running, request);
  g_free (request);
}

static void
ask_for_ (struct node_ *node, int64_t tokens)
{
  struct request_ *request = g_new0 (struct request_, 1);

  request->node = node;
  request->tokens = tokens;
  request->used = tokens * node->world->used_mean_percent / 100;
  request->waiting = true;
  request->asked_us = node->world->now_us;
  g_ptr_array_add (node->running, request);
  allotment_reserve (node->book, "team", tokens, on_reserved_, request, node->world->now_us);
}

static void
write_arrives_ (struct world_ *world, struct event_ *event)
{
  json_t *object = json_object_get (world->objects, event->object_kind);
  struct event_ *done;
  enum store_status status = STORE_CONFLICT;

  if (object == NULL && event->revision != 0)
    status = STORE_ABSENT;
  else if (json_integer_value (json_object_get (object, "revision")) == event->revision)
    {
      world->revision += 1 + g_rand_int_range (world->random, 0, OTHER_CHANGES_MAX);
      json_object_set_new (world->objects, event->object_kind,
                           json_pack ("{s:O,s:I}", "content", event->content, "revision",
                                      (json_int_t)world->revision));
      note_state_ (world);
      status = STORE_OK;
    }
  if (event->done == NULL)
    return;
  done = call_event_new_ (event->node, EVENT_CALL_DONE, event->object_kind, world->call_us / 2,
                          event->done, event->data);
  event->done = NULL;
  done->incarnation = event->incarnation;
  done->status = status;
  show_object_ (world, done);
}

/* TO will see on the list of instances that NODE has merged. */
static void
tell_merged_ (struct node_ *node, struct node_ *to)
{
  struct event_ *event = event_new_ (node->world, EVENT_MERGED, to,
                                     g_rand_int_range (node->world->random, 0, ANNOUNCED_MAX_US));

  event->from = node;
  event->revision = node->merged_era;
}

static void
look_for_merged_ (struct world_ *world)
{
  for (unsigned i = 0; i < BOOKS; i++)
    {
      struct node_ *node = &world->nodes[i];

      if (node->book == NULL || node->cut_from_store || node->store.era == STORE_ERA_FIRST
          || node->store.era != world->era || node->merged_era == world->era
          || !allotment_book_is_merged (node->book))
        continue;
      node->merged_era = world->era;
      for (unsigned k = 0; k < BOOKS; k++)
        if (k != i)
          tell_merged_ (node, &world->nodes[k]);
    }
}

static void
carry_out_ (struct world_ *world, struct event_ *event)
{
  struct node_ *node = event->node;
  bool alive = node->book != NULL && node->incarnation == event->incarnation;

  switch (event->kind)
    {
    case EVENT_WRITE_ARRIVES:
      write_arrives_ (world, event);
      break;
    case EVENT_CALL_DONE:
      /* Each answer of the store names its era. */
      if (alive && event->status != STORE_UNREACHABLE && event->status != STORE_UNKNOWN)
        store_take_era (&node->store, world->era);
      end_call_ (event);
      event->done = NULL;
      break;
    case EVENT_ASK:
      if (node->book != NULL)
        allotment_book_asked (node->book, (uint64_t)(event->from - world->nodes), &event->ask,
                              world->now_us);
      break;
    case EVENT_ANSWER:
      if (node->book != NULL)
        allotment_book_answered (node->book, event->from->name, &event->answer, world->now_us);
      break;
    case EVENT_END_OF_REQUEST:
      if (event->request == NULL)
        break;
      world->consumed += event->request->used;
      g_ptr_array_remove (node->running, event->request);
      allotment_settle (node->book, "team", event->request->parts, event->request->used,
                        world->now_us);
      g_free (event->request);
      break;
    case EVENT_MERGED:
      if (node->book == NULL || event->from->merged_era != event->revision)
        break;
      if (node->cut_from_store)
        tell_merged_ (event->from, node);
      else
        {
          store_take_era (&node->store, world->era);
          if (event->revision == world->era)
            allotment_book_peer_merged (node->book, event->from->name, world->now_us);
        }
      break;
    case EVENT_WATCH_TELLS:
      if (alive && !node->cut_from_store)
        store_take_era (&node->store, world->era);
      break;
    }
}

/* Lets SPAN_US pass. */
static void
run_ (struct world_ *world, int64_t span_us)
{
  int64_t end_us = world->now_us + span_us;

  while (true)
    {
      struct event_ *next = NULL;
      struct node_ *due = NULL;

      for (unsigned i = 0; i < world->events->len; i++)
        {
          struct event_ *event = world->events->pdata[i];

          if (next == NULL || event->at_us < next->at_us
              || (event->at_us == next->at_us && event->order < next->order))
            next = event;
        }
      for (unsigned i = 0; i < BOOKS; i++)
        if (world->nodes[i].book != NULL
            && (due == NULL || world->nodes[i].next_tick_us < due->next_tick_us))
          due = &world->nodes[i];
      if (due != NULL && (next == NULL || due->next_tick_us < next->at_us))
        {
          if (due->next_tick_us > end_us)
            break;
          world->now_us = MAX (world->now_us, due->next_tick_us);
          due->next_tick_us = allotment_book_tick (due->book, world->now_us);
          assert_true (due->next_tick_us > world->now_us);
        }
      else
        {
          if (next == NULL || next->at_us > end_us)
            break;
          world->now_us = MAX (world->now_us, next->at_us);
          g_ptr_array_remove (world->events, next);
          carry_out_ (world, next);
          event_free_ (next);
        }
      look_for_merged_ (world);
      assert_true (world->consumed <= world->prepaid);
    }
  world->now_us = end_us;
}

/* Requests of TOKENS each at PER_S, spread over the instances that are up, for SPAN_US. */
static void
load_ (struct world_ *world, int64_t tokens, unsigned per_s, int64_t span_us)
{
  int64_t end_us = world->now_us + span_us;
  unsigned at = 0;

  while (world->now_us < end_us)
    {
      struct node_ *node = &world->nodes[at++ % BOOKS];

      if (node->book != NULL)
        ask_for_ (node, tokens);
      run_ (world, SECOND / per_s);
    }
}

static struct node_ *
home_ (struct world_ *world)
{
  struct node_ *home = NULL;

  for (unsigned i = 0; i < BOOKS; i++)
    if (world->nodes[i].book != NULL
        && (home == NULL
            || allotment_book_available (world->nodes[i].book, "team")
                   > allotment_book_available (home->book, "team")))
      home = &world->nodes[i];
  return home;
}

/* Kills all instances; they are back after a second. */
static void
crash_all_ (struct world_ *world)
{
  for (unsigned i = 0; i < BOOKS; i++)
    kill_ (&world->nodes[i]);
  run_ (world, SECOND);
  for (unsigned i = 0; i < BOOKS; i++)
    start_ (&world->nodes[i]);
  run_ (world, 2 * SECOND);
}

static void
a_calm_day_refuses_nobody (void **state)
{
  struct world_ world;

  set_up_ (&world, 2000000, 1);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 10, 20 * SECOND);
  assert_int_equal (world.refused, 0);
  assert_true (world.longest_wait_us < 100 * MS);
  tear_down_ (&world);
}

static void
a_cut_of_all_instances_from_the_store_refuses_nobody (void **state)
{
  struct world_ world;

  set_up_ (&world, 2000000, 2);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 10, 6 * SECOND);
  for (unsigned i = 0; i < BOOKS; i++)
    world.nodes[i].cut_from_store = true;
  load_ (&world, 5000, 10, 9 * SECOND);
  assert_int_equal (world.refused, 0);
  for (unsigned i = 0; i < BOOKS; i++)
    world.nodes[i].cut_from_store = false;
  load_ (&world, 5000, 10, 5 * SECOND);
  assert_int_equal (world.refused, 0);
  tear_down_ (&world);
}

/* Half of the budget is spent when all are cut off for the time that an eighth of it lasts. */
static void
a_cut_at_half_of_a_budget_refuses_nobody (void **state)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct world_ world;

      set_up_ (&world, 2000000, seed);
      run_ (&world, 3 * SECOND);
      load_ (&world, 5000, 10, 20 * SECOND);
      for (unsigned i = 0; i < BOOKS; i++)
        world.nodes[i].cut_from_store = true;
      world.refused = 0;
      load_ (&world, 5000, 10, 5 * SECOND);
      assert_int_equal (world.refused, 0);
      tear_down_ (&world);
    }
}

/* Everybody knows that the store is away, and the home has lent all it had: nobody asks the store,
 * and what can't be served is refused before a call to the store would have ended. */
static void
a_store_known_to_be_away_is_not_asked (void **state)
{
  struct world_ world;
  unsigned reads = 0;

  set_up_ (&world, 2000000, 15);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 20, 6 * SECOND);
  for (unsigned i = 0; i < BOOKS; i++)
    {
      world.nodes[i].cut_from_store = true;
      allotment_book_store_lost (world.nodes[i].book);
    }
  run_ (&world, SECOND);
  for (unsigned i = 0; i < BOOKS; i++)
    world.nodes[i].reads = world.nodes[i].writes = 0;
  world.longest_wait_us = 0;
  load_ (&world, 5000, 40, 20 * SECOND);
  for (unsigned i = 0; i < BOOKS; i++)
    reads += world.nodes[i].reads + world.nodes[i].writes;
  assert_true (world.refused > 0);
  assert_int_equal (reads, 0);
  assert_true (world.longest_wait_us < CALL_TIMEOUT_US / 4);
  for (unsigned i = 0; i < BOOKS; i++)
    {
      world.nodes[i].cut_from_store = false;
      allotment_book_store_returned (world.nodes[i].book, world.now_us);
    }
  run_ (&world, SECOND);
  world.refused = 0;
  load_ (&world, 5000, 10, 3 * SECOND);
  assert_int_equal (world.refused, 0);
  tear_down_ (&world);
}

static void
a_large_request_of_a_small_budget_is_served_anywhere (void **state)
{
  struct world_ world;

  set_up_ (&world, 250000, 3);
  run_ (&world, 3 * SECOND);
  load_ (&world, 1500, 10, 5 * SECOND);
  for (unsigned i = 0; i < BOOKS; i++)
    {
      if (i < 2)
        ask_for_ (&world.nodes[i], 50000);
      run_ (&world, SECOND);
    }
  assert_int_equal (world.refused, 0);
  tear_down_ (&world);
}

static void
a_home_that_is_cut_off_stops_nobody_else (void **state)
{
  struct world_ world;
  struct node_ *home;
  unsigned before;

  set_up_ (&world, 4000000, 4);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 10, 4 * SECOND);
  home = home_ (&world);
  home->cut_from_store = true;
  load_ (&world, 5000, 10, 25 * SECOND);
  assert_int_equal (world.refused, 0);
  before = world.refused;
  home->cut_from_peers = true;
  load_ (&world, 5000, 10, 10 * SECOND);
  /* Only the instance that nobody can reach runs out: one request in seven. */
  assert_true (world.refused - before <= 100 / BOOKS + 1);
  tear_down_ (&world);
}

/* The home is cut off from the store and has nothing left. Who draws in its place does so ahead of
 * demand: a write a second, not one for each request. */
static void
a_stand_in_does_not_write_for_each_request (void **state)
{
  enum
  {
    SPAN_S = 20
  };
  struct world_ world;
  unsigned writes = 0;
  unsigned refused;

  set_up_ (&world, 8000000, 13);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 20, 4 * SECOND);
  home_ (&world)->cut_from_store = true;
  load_ (&world, 5000, 20, 20 * SECOND);
  refused = world.refused;
  for (unsigned i = 0; i < BOOKS; i++)
    world.nodes[i].writes = 0;
  load_ (&world, 5000, 20, SPAN_S * SECOND);
  for (unsigned i = 0; i < BOOKS; i++)
    writes += world.nodes[i].writes;
  assert_int_equal (world.refused, refused);
  assert_true (writes <= SPAN_S + BOOKS);
  tear_down_ (&world);
}

static void
a_crash_of_all_keeps_half_of_what_is_left (void **state)
{
  struct world_ world;
  int64_t left;
  unsigned before;

  set_up_ (&world, 2000000, 5);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 10, 25 * SECOND);
  left = world.prepaid - world.consumed;
  crash_all_ (&world);
  before = world.granted;
  load_ (&world, 5000, 10, 30 * SECOND);
  assert_true ((world.granted - before) * 5000 >= left / 2 - 100000);
  tear_down_ (&world);
}

/* Two thirds are spent when all instances crash: a fifth of the rest may be lost, and no more than
 * the 3 in 100 of the whole that lie about in the end. */
static void
a_crash_of_all_loses_a_fifth_of_a_scarce_budget (void **state)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct world_ world;
      int64_t left;

      set_up_ (&world, 2000000, seed);
      run_ (&world, 3 * SECOND);
      load_ (&world, 5000, 20, 14 * SECOND);
      for (unsigned i = 0; i < BOOKS; i++)
        kill_ (&world.nodes[i]);
      left = world.prepaid - world.consumed;
      run_ (&world, SECOND);
      for (unsigned i = 0; i < BOOKS; i++)
        start_ (&world.nodes[i]);
      run_ (&world, 2 * SECOND);
      load_ (&world, 5000, 20, 20 * SECOND);
      load_ (&world, 1000, 50, 5 * SECOND);
      assert_true (world.prepaid - world.consumed <= left / 5 + world.prepaid * 3 / 100);
      tear_down_ (&world);
    }
}

/* Stops HOME, which leaves already, and lets the others use up the budget: all but the 3 in 100
 * that lie about in the end. */
static void
assert_stop_gives_all_back_ (struct world_ *world, struct node_ *home)
{
  allotment_book_stop (home->book, world->now_us);
  run_ (world, SECOND);
  assert_true (allotment_book_is_empty (home->book));
  kill_ (home);
  load_ (world, 5000, 10, 30 * SECOND);
  load_ (world, 1000, 100, 10 * SECOND);
  assert_true (world->consumed >= world->prepaid * 97 / 100);
}

static void
an_instance_that_leaves_gives_its_tokens_back (void **state)
{
  struct world_ world;
  struct node_ *home;

  set_up_ (&world, 2000000, 6);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 10, 4 * SECOND);
  home = home_ (&world);
  allotment_book_leave (home->book, world.now_us);
  run_ (&world, 2 * SECOND);
  assert_stop_gives_all_back_ (&world, home);
  tear_down_ (&world);
}

/* The home was cut off while it drew, so that it does not know its record, and leaves soon after.
 */
static void
an_instance_that_lost_sight_of_its_record_gives_its_tokens_back (void **state)
{
  struct world_ world;
  struct node_ *home;

  set_up_ (&world, 2000000, 12);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 10, 4 * SECOND);
  home = home_ (&world);
  home->cut_from_store = true;
  load_ (&world, 5000, 10, 8 * SECOND);
  home->cut_from_store = false;
  allotment_book_leave (home->book, world.now_us);
  run_ (&world, 5 * SECOND);
  assert_stop_gives_all_back_ (&world, home);
  tear_down_ (&world);
}

static void
an_exhausted_budget_is_told_so (void **state)
{
  struct world_ world;

  set_up_ (&world, 300000, 7);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 20, 10 * SECOND);
  assert_true (world.consumed >= world.prepaid * 97 / 100 - 5000);
  assert_true (world.refused > 0);
  ask_for_ (&world.nodes[0], 400000);
  run_ (&world, SECOND);
  assert_true (world.exhausted > 0);
  tear_down_ (&world);
}

/* Who returns to a budget that is used up does so in vain: all are told, not only those who ask for
 * more than was ever paid. */
static void
a_budget_that_is_used_up_is_told_to_everybody (void **state)
{
  struct world_ world;
  unsigned refused;
  unsigned exhausted;

  set_up_ (&world, 300000, 14);
  world.used_mean_percent = 70;
  world.checks_exhausted = true;
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 20, 12 * SECOND);
  refused = world.refused;
  exhausted = world.exhausted;
  load_ (&world, 5000, 20, 5 * SECOND);
  assert_true (world.refused - refused >= 95);
  assert_int_equal (world.exhausted - exhausted, world.refused - refused);
  tear_down_ (&world);
}

/* What those that crashed held is lost, whichever instance is the home afterwards: when the rest is
 * used up, callers hear the truth. */
static void
a_budget_used_up_after_a_crash_is_told_to_everybody (void **state)
{
  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      struct world_ world;
      unsigned refused;
      unsigned exhausted;

      set_up_ (&world, 600000, seed);
      run_ (&world, 3 * SECOND);
      load_ (&world, 5000, 20, 3 * SECOND);
      home_ (&world)->cut_from_store = true; /* so that there are several holders */
      load_ (&world, 5000, 20, 2 * SECOND);
      for (unsigned i = 0; i < BOOKS; i++)
        kill_ (&world.nodes[i]);
      run_ (&world, SECOND);
      for (unsigned i = 0; i < BOOKS; i++)
        {
          world.nodes[i].cut_from_store = false;
          if (i != seed % BOOKS) /* one stays away for now */
            start_ (&world.nodes[i]);
        }
      load_ (&world, 5000, 20, 8 * SECOND);
      start_ (&world.nodes[seed % BOOKS]);
      load_ (&world, 5000, 20, 5 * SECOND);
      refused = world.refused;
      exhausted = world.exhausted;
      load_ (&world, 5000, 20, 5 * SECOND);
      assert_true (world.refused > refused);
      assert_int_equal (world.exhausted - exhausted, world.refused - refused);
      tear_down_ (&world);
    }
}

/* All instances know the newest total from now on. */
static void
tell_total_ (struct world_ *world)
{
  world->known_prepaid = world->prepaid;
  for (unsigned i = 0; i < BOOKS; i++)
    allotment_book_set_team (world->nodes[i].book, "team", world->prepaid, world->now_us);
}

/* As long as tokens are merely out of reach, in use or with others, nobody is told otherwise. */
static void
exhausted_is_told_only_when_it_is_true (void **state)
{
  unsigned told = 0;

  for (uint32_t seed = 1; seed <= 60; seed++)
    {
      struct world_ world;

      set_up_ (&world, 600000, seed);
      world.loss = 0.1;
      world.late = seed % 2 == 0 ? 0.1 : 0;
      world.lost_writes = 0.2;
      world.used_mean_percent = 60;
      world.checks_exhausted = true;
      run_ (&world, 2 * SECOND);
      for (unsigned step = 0; step < 40; step++)
        {
          struct node_ *node = &world.nodes[g_rand_int_range (world.random, 0, BOOKS)];

          switch (g_rand_int_range (world.random, 0, 6))
            {
            case 0:
              node->cut_from_store = !node->cut_from_store;
              break;
            case 1:
              node->cut_from_peers = !node->cut_from_peers;
              break;
            case 2:
              world.call_us = g_rand_boolean (world.random) ? 4 * MS : 240 * MS;
              break;
            case 3:
              /* The newest total reaches one instance, and all of them by the next step. */
              tell_total_ (&world);
              world.prepaid += 5000;
              allotment_book_set_team (node->book, "team", world.prepaid, world.now_us);
              break;
            default:
              tell_total_ (&world);
              break;
            }
          load_ (&world, g_rand_int_range (world.random, 100, 9000), 20, 400 * MS);
        }
      world.call_us = 4 * MS;
      tell_total_ (&world);
      for (unsigned i = 0; i < BOOKS; i++)
        world.nodes[i].cut_from_store = world.nodes[i].cut_from_peers = false;
      load_ (&world, 9000, 20, 20 * SECOND);
      told += world.exhausted > 0;
      tear_down_ (&world);
    }
  assert_true (told > 0); /* the check has seen something */
}

/* Nothing is left, and all have started anew: the home finds out and tells; the others do not ask
 * the store each for itself, with every request. */
static void
an_empty_record_is_read_by_its_home (void **state)
{
  struct world_ world;
  unsigned most = 0;
  unsigned sum = 0;

  set_up_ (&world, 100000, 11);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 20, 3 * SECOND);
  for (unsigned i = 0; i < BOOKS; i++)
    kill_ (&world.nodes[i]);
  for (unsigned i = 0; i < BOOKS; i++)
    start_ (&world.nodes[i]);
  run_ (&world, 3 * SECOND);
  for (unsigned i = 0; i < BOOKS; i++)
    world.nodes[i].reads = 0;
  load_ (&world, 5000, 20, 10 * SECOND);
  for (unsigned i = 0; i < BOOKS; i++)
    {
      most = MAX (most, world.nodes[i].reads);
      sum += world.nodes[i].reads;
    }
  assert_true (sum - most <= BOOKS);
  tear_down_ (&world);
}

static void
a_raised_total_is_available_at_once (void **state)
{
  struct world_ world;
  unsigned before;

  set_up_ (&world, 200000, 8);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 20, 5 * SECOND);
  world.prepaid = 600000;
  for (unsigned i = 0; i < BOOKS; i++)
    allotment_book_set_team (world.nodes[i].book, "team", world.prepaid, world.now_us);
  before = world.refused;
  load_ (&world, 5000, 10, 3 * SECOND);
  assert_int_equal (world.refused, before);
  tear_down_ (&world);
}

static void
a_slow_store_delays_but_does_not_refuse (void **state)
{
  struct world_ world;

  set_up_ (&world, 2000000, 9);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 10, 5 * SECOND);
  world.call_us = 240 * MS;
  load_ (&world, 5000, 10, 8 * SECOND);
  assert_int_equal (world.refused, 0);
  tear_down_ (&world);
}

/* A lender is paused with an ask in its queue; the borrower is killed and starts anew; then the
 * lender wakes and answers. What was lent to the one that died is not lent to its successor. */
/* Of a scarce budget a home holds little and draws often. Writes take effect and their answers are
 * lost, one and all: a read beside tells so long before the call's time is over. */
static void
a_lost_answer_holds_nobody_up (void **state)
{
  struct world_ world;

  set_up_ (&world, 3000000, 21);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 40, 8 * SECOND);
  world.lost_writes = 1;
  world.lands_at_once = true;
  load_ (&world, 5000, 40, 3 * SECOND);
  assert_int_equal (world.refused, 0);
  assert_true (world.longest_wait_us < 400 * MS);
  tear_down_ (&world);
}

/* Half of the writes are not answered, and half of those happen seconds later, while the store
 * answers all other calls: it does not count as out, nor are all who wait refused at once. */
static void
a_store_that_loses_answers_is_not_out (void **state)
{
  unsigned granted = 0;
  unsigned refused = 0;

  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      struct world_ world;

      set_up_ (&world, 3000000, seed);
      run_ (&world, 3 * SECOND);
      load_ (&world, 5000, 40, 8 * SECOND);
      world.lost_writes = 0.5;
      load_ (&world, 5000, 40, 3 * SECOND);
      granted += world.granted;
      refused += world.refused;
      tear_down_ (&world);
    }
  assert_true (granted > 0);
  assert_int_equal (refused, 0);
}

static void
a_loan_to_an_earlier_start_is_not_taken (void **state)
{
  struct world_ world;
  struct node_ *home;
  struct node_ *borrower;
  struct event_ *ask = NULL;
  int64_t lent = 0;

  set_up_ (&world, 2000000, 10);
  run_ (&world, 3 * SECOND);
  load_ (&world, 5000, 20, 5 * SECOND);
  home = home_ (&world);
  borrower = home == &world.nodes[0] ? &world.nodes[1] : &world.nodes[0];
  run_ (&world, SECOND);
  ask_for_ (borrower, 5000);
  for (unsigned i = 0; i < world.events->len; i++)
    {
      struct event_ *event = world.events->pdata[i];

      if (event->kind == EVENT_ASK && event->from == borrower && event->ask.need > 0)
        ask = event;
    }
  assert_non_null (ask);
  if (ask == NULL)
    return; /* not reached: for the analyzer */
  ask->at_us += 2 * SECOND;
  kill_ (borrower);
  start_ (borrower);
  for (unsigned ms = 0; ms < 2500; ms++)
    {
      run_ (&world, MS);
      lent = MAX (lent, allotment_book_available (borrower->book, "team"));
    }
  assert_true (lent <= 5000);
  tear_down_ (&world);
}

/* Whatever happens, in any order: nothing beyond the total is ever consumed (checked in run_). */
static void
no_schedule_overspends (void **state)
{
  for (uint32_t seed = 1; seed <= 150; seed++)
    {
      struct world_ world;

      set_up_ (&world, 800000, seed);
      world.loss = 0.1;
      world.late = seed % 2 == 0 ? 0.1 : 0;
      world.lost_writes = 0.3;
      world.used_mean_percent = 70;
      run_ (&world, 2 * SECOND);
      for (unsigned step = 0; step < 60; step++)
        {
          struct node_ *node = &world.nodes[g_rand_int_range (world.random, 0, BOOKS)];

          switch (g_rand_int_range (world.random, 0, 8))
            {
            case 0:
              if (node->book != NULL)
                kill_ (node);
              break;
            case 1:
              node->cut_from_store = !node->cut_from_store;
              break;
            case 2:
              node->cut_from_peers = !node->cut_from_peers;
              break;
            case 3:
              if (node->book != NULL)
                allotment_book_leave (node->book, world.now_us);
              break;
            case 4:
              world.call_us = g_rand_boolean (world.random) ? 4 * MS : 240 * MS;
              break;
            default:
              break;
            }
          for (unsigned i = 0; i < BOOKS; i++)
            if (world.nodes[i].book == NULL && g_rand_int_range (world.random, 0, 3) == 0)
              start_ (&world.nodes[i]);
          load_ (&world, g_rand_int_range (world.random, 100, 9000), 20, 400 * MS);
        }
      assert_true (world.granted > 0);
      tear_down_ (&world);
    }
}

/* A scarce budget when all instances are cut off from the store: what is kept back for that is
 * spent once the store has not been reached for 2.5 s, and nobody is refused after that. */
static void
a_cut_of_a_scarce_budget_is_bridged (void **state)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct world_ world;
      unsigned granted;

      set_up_ (&world, 2000000, seed);
      run_ (&world, 3 * SECOND);
      load_ (&world, 5000, 10, 28 * SECOND);
      for (unsigned i = 0; i < BOOKS; i++)
        world.nodes[i].cut_from_store = true;
      load_ (&world, 5000, 10, 3 * SECOND);
      world.refused = 0;
      granted = world.granted;
      load_ (&world, 5000, 10, 5 * SECOND);
      assert_int_equal (world.refused, 0);
      assert_true (world.granted - granted >= 49);
      tear_down_ (&world);
    }
}

/* Three fifths are spent when all instances crash and are back after a second: what they held was
 * not spent, as the record says, and at most 3 in 100 of the total are lost to callers. */
static void
a_crash_of_all_loses_little_of_a_scarce_budget (void **state)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct world_ world;

      set_up_ (&world, 4000000, seed);
      run_ (&world, 3 * SECOND);
      load_ (&world, 5000, 20, 28 * SECOND);
      crash_all_ (&world);
      load_ (&world, 5000, 20, 20 * SECOND);
      load_ (&world, 500, 100, 5 * SECOND);
      assert_true (world.prepaid - world.consumed <= world.prepaid * 3 / 100);
      tear_down_ (&world);
    }
}

/* All are cut off from the store while their writes are under way, and 0.2 s after the cut all
 * crash: the limits of before the cut are renewed by then, and little is lost. */
static void
a_crash_soon_after_a_cut_loses_little (void **state)
{
  for (uint32_t seed = 1; seed <= 5; seed++)
    {
      struct world_ world;

      set_up_ (&world, 4000000, seed);
      run_ (&world, 3 * SECOND);
      load_ (&world, 5000, 20, 27 * SECOND);
      world.lost_writes = 1;
      load_ (&world, 5000, 20, 200 * MS);
      world.lost_writes = 0;
      for (unsigned i = 0; i < BOOKS; i++)
        world.nodes[i].cut_from_store = true;
      load_ (&world, 5000, 20, 5 * SECOND);
      for (unsigned i = 0; i < BOOKS; i++)
        {
          world.nodes[i].cut_from_store = false;
          allotment_book_store_returned (world.nodes[i].book, world.now_us);
        }
      load_ (&world, 5000, 20, 200 * MS);
      crash_all_ (&world);
      load_ (&world, 5000, 20, 20 * SECOND);
      load_ (&world, 500, 100, 5 * SECOND);
      assert_true (world.prepaid - world.consumed <= world.prepaid * 3 / 100);
      tear_down_ (&world);
    }
}

/* The store comes back from copies of any age, also twice in a row, while all holders live: nothing
 * is overspent (checked in run_), callers are served from what is held, and draws go on. */
static void
a_store_that_comes_back_from_a_copy_forgets_no_grant (void **state)
{
  static const int64_t ages_us[] = { 200 * MS, 2 * SECOND, 5 * SECOND, 10 * SECOND };

  for (uint32_t seed = 1; seed <= 40; seed++)
    {
      struct world_ world;

      set_up_ (&world, 2000000, seed);
      run_ (&world, 3 * SECOND);
      load_ (&world, 5000, 10, (int64_t)(seed % 20) * SECOND);
      restore_ (&world, ages_us[seed % G_N_ELEMENTS (ages_us)]);
      load_ (&world, 5000, 10, (int64_t)(seed % 3) * SECOND);
      if (seed % 2 == 0)
        restore_ (&world, ages_us[seed % 3]);
      load_ (&world, 5000, 10, WATCH_TELLS_MAX_US + 2500 * MS); /* until all have merged */
      world.refused = world.exhausted = 0;
      load_ (&world, 5000, 10, 3 * SECOND);
      assert_int_equal (world.refused - world.exhausted, 0);
      load_ (&world, 5000, 20, 20 * SECOND);
      load_ (&world, 500, 100, 5 * SECOND);
      assert_true (world.consumed >= world.prepaid * 90 / 100);
      tear_down_ (&world);
    }
}

static void
play_returns_ (uint32_t first, uint32_t last, bool lands_at_once)
{
  for (uint32_t seed = first; seed <= last; seed++)
    {
      struct world_ world;

      set_up_ (&world, 800000, seed);
      world.loss = 0.1;
      world.lost_writes = 0.3;
      world.lands_at_once = lands_at_once;
      world.used_mean_percent = 70;
      run_ (&world, 2 * SECOND);
      for (unsigned step = 0; step < 60; step++)
        {
          if (g_rand_int_range (world.random, 0, 10) == 0)
            restore_ (&world, g_rand_int_range (world.random, 200, 10000) * MS);
          if (g_rand_int_range (world.random, 0, 8) == 0)
            world.call_us = g_rand_boolean (world.random) ? 4 * MS : 240 * MS;
          load_ (&world, g_rand_int_range (world.random, 100, 9000), 20, 400 * MS);
        }
      assert_true (world.granted > 0);
      tear_down_ (&world);
    }
}

/* The store comes back from copies again and again, while answers of writes and datagrams are lost,
 * and all instances live and reach it: nothing beyond the total is ever consumed. One that has not
 * heard of the return may draw on a version that the copy has too (seed 266); holders merge slowly,
 * each behind the writes of the others (seed 300). */
static void
no_schedule_with_returns_and_lost_answers_overspends (void **state)
{
  play_returns_ (251, 350, true);
}

/* The same where half of the writes whose answers are lost take effect seconds later. */
static void
no_schedule_with_returns_overspends (void **state)
{
  play_returns_ (1, 100, false);
}

/* The same: a write of before the return met the number that it expected (seed 162). */
static void
no_schedule_with_returns_and_late_writes_overspends (void **state)
{
  play_returns_ (101, 200, false);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_calm_day_refuses_nobody),
    cmocka_unit_test (a_cut_of_all_instances_from_the_store_refuses_nobody),
    cmocka_unit_test (a_cut_at_half_of_a_budget_refuses_nobody),
    cmocka_unit_test (a_store_known_to_be_away_is_not_asked),
    cmocka_unit_test (a_large_request_of_a_small_budget_is_served_anywhere),
    cmocka_unit_test (a_home_that_is_cut_off_stops_nobody_else),
    cmocka_unit_test (a_stand_in_does_not_write_for_each_request),
    cmocka_unit_test (a_crash_of_all_keeps_half_of_what_is_left),
    cmocka_unit_test (a_crash_of_all_loses_a_fifth_of_a_scarce_budget),
    cmocka_unit_test (a_cut_of_a_scarce_budget_is_bridged),
    cmocka_unit_test (a_crash_of_all_loses_little_of_a_scarce_budget),
    cmocka_unit_test (a_crash_soon_after_a_cut_loses_little),
    cmocka_unit_test (a_store_that_comes_back_from_a_copy_forgets_no_grant),
    cmocka_unit_test (an_instance_that_leaves_gives_its_tokens_back),
    cmocka_unit_test (an_instance_that_lost_sight_of_its_record_gives_its_tokens_back),
    cmocka_unit_test (an_exhausted_budget_is_told_so),
    cmocka_unit_test (a_budget_that_is_used_up_is_told_to_everybody),
    cmocka_unit_test (a_budget_used_up_after_a_crash_is_told_to_everybody),
    cmocka_unit_test (exhausted_is_told_only_when_it_is_true),
    cmocka_unit_test (an_empty_record_is_read_by_its_home),
    cmocka_unit_test (a_raised_total_is_available_at_once),
    cmocka_unit_test (a_slow_store_delays_but_does_not_refuse),
    cmocka_unit_test (a_lost_answer_holds_nobody_up),
    cmocka_unit_test (a_store_that_loses_answers_is_not_out),
    cmocka_unit_test (a_loan_to_an_earlier_start_is_not_taken),
    cmocka_unit_test (no_schedule_overspends),
    cmocka_unit_test (no_schedule_with_returns_and_lost_answers_overspends),
    cmocka_unit_test (no_schedule_with_returns_overspends),
    cmocka_unit_test (no_schedule_with_returns_and_late_writes_overspends),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
