#include "unit/book-world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
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

struct request_
{
  struct book_node *node;
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
  struct book_node *node;
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
  struct book_node *from;
  struct request_ *request;
};

/* A call of a book for a record. */
struct record_call_
{
  struct book_node *node;
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
event_new_ (struct book_world *world,
            enum event_kind_ kind,
            struct book_node *node,
            int64_t delay_us)
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
record_call_new_ (struct book_node *node, uint64_t number)
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
  const struct book_node *node = call->node;
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
  struct book_node *node = link;

  era_object_read (&node->store, "budgets", team, on_record_read_, record_call_new_ (node, call));
}

static void
write_ (void *link, const char *team, uint64_t call, json_t *content, int64_t expected_revision)
{
  struct book_node *node = link;

  era_object_write (&node->store, "budgets", team, content, expected_revision, on_record_written_,
                    record_call_new_ (node, call));
  json_decref (content);
}

static struct book_node *
node_of_store_ (struct store *store)
{
  return (struct book_node *)((char *)store - offsetof (struct book_node, store));
}

/* Sets what EVENT tells to the object of its kind as it is in the store. */
static void
show_object_ (const struct book_world *world, struct event_ *event)
{
  json_t *object = json_object_get (world->objects, event->object_kind);

  json_decref (event->content);
  event->content = json_deep_copy (json_object_get (object, "content"));
  event->revision = json_integer_value (json_object_get (object, "revision"));
}

static struct event_ *
call_event_new_ (struct book_node *node,
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
  struct book_node *node = node_of_store_ (store);
  struct book_world *world = node->world;
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
  struct book_node *node = node_of_store_ (store);
  struct book_world *world = node->world;
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

static struct book_node *
node_find_ (struct book_world *world, const char *name)
{
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    if (strcmp (world->nodes[i].name, name) == 0)
      return &world->nodes[i];
  return NULL;
}

static bool
datagram_passes_ (struct book_node *from, struct book_node *to)
{
  return to != NULL && !from->cut_from_peers && !to->cut_from_peers
         && g_rand_double (from->world->random) >= from->world->loss;
}

static int64_t
datagram_delay_ (struct book_world *world)
{
  return world->late > 0 && g_rand_double (world->random) < world->late
             ? g_rand_int_range (world->random, 100, 3000) * MS
             : 1 * MS;
}

static void
ask_ (void *link, const char *peer, const struct allotment_ask *ask)
{
  struct book_node *node = link;
  struct book_node *to = node_find_ (node->world, peer);
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
  struct book_node *node = link;
  struct book_node *to = &node->world->nodes[handle];
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
  const struct book_node *node = link;

  *earliest_ms = *latest_ms = node->world->now_us / MS;
  return true;
}

/* Returns the names of all instances but NODE. */
static GPtrArray *
others_ (const struct book_node *node)
{
  GPtrArray *names = g_ptr_array_new ();

  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    if (&node->world->nodes[i] != node)
      g_ptr_array_add (names, node->world->nodes[i].name);
  return names;
}

void
book_node_start (struct book_node *node)
{
  struct book_world *world = node->world;
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
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
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
void
book_node_kill (struct book_node *node)
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
note_state_ (struct book_world *world)
{
  struct state_ *state = g_new0 (struct state_, 1);

  *state = (struct state_){ world->now_us, json_deep_copy (world->objects), world->revision };
  g_ptr_array_add (world->states, state);
}

static void
on_restored_ (int64_t era, void *data)
{
  struct book_node *node = data;
  g_autoptr (GPtrArray) names = others_ (node);

  allotment_book_store_restored (node->book, names, node->world->now_us);
}

/* The store comes back from a copy that is AGE_US old. Calls of before end without an answer; who
 * is in touch learns of it by the next answer or by a watch. */
void
book_world_restore (struct book_world *world, int64_t age_us)
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
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    event_new_ (world, EVENT_WATCH_TELLS, &world->nodes[i],
                g_rand_int_range (world->random, 0, WATCH_TELLS_MAX_US));
}

void
book_world_set_up (struct book_world *world, int64_t prepaid, uint32_t seed)
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
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    {
      struct book_node *node = &world->nodes[i];

      node->vtable = &vtable_;
      node->world = world;
      node->store.vtable = &store_vtable_;
      store_on_restored (&node->store, on_restored_, node);
      node->running = g_ptr_array_new ();
      g_snprintf (node->name, sizeof node->name, "front-%u", i);
    }
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    book_node_start (&world->nodes[i]);
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

void
book_world_tear_down (struct book_world *world)
{
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    {
      if (world->nodes[i].book != NULL)
        book_node_kill (&world->nodes[i]);
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
  struct book_world *world = request->node->world;
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

void
book_node_ask_for (struct book_node *node, int64_t tokens)
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
write_arrives_ (struct book_world *world, struct event_ *event)
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
tell_merged_ (struct book_node *node, struct book_node *to)
{
  struct event_ *event = event_new_ (node->world, EVENT_MERGED, to,
                                     g_rand_int_range (node->world->random, 0, ANNOUNCED_MAX_US));

  event->from = node;
  event->revision = node->merged_era;
}

static void
look_for_merged_ (struct book_world *world)
{
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    {
      struct book_node *node = &world->nodes[i];

      if (node->book == NULL || node->cut_from_store || node->store.era == STORE_ERA_FIRST
          || node->store.era != world->era || node->merged_era == world->era
          || !allotment_book_is_merged (node->book))
        continue;
      node->merged_era = world->era;
      for (unsigned k = 0; k < BOOK_WORLD_NODES; k++)
        if (k != i)
          tell_merged_ (node, &world->nodes[k]);
    }
}

static void
carry_out_ (struct book_world *world, struct event_ *event)
{
  struct book_node *node = event->node;
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
void
book_world_run (struct book_world *world, int64_t span_us)
{
  int64_t end_us = world->now_us + span_us;

  while (true)
    {
      struct event_ *next = NULL;
      struct book_node *due = NULL;

      for (unsigned i = 0; i < world->events->len; i++)
        {
          struct event_ *event = world->events->pdata[i];

          if (next == NULL || event->at_us < next->at_us
              || (event->at_us == next->at_us && event->order < next->order))
            next = event;
        }
      for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
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
void
book_world_load (struct book_world *world, int64_t tokens, unsigned per_s, int64_t span_us)
{
  int64_t end_us = world->now_us + span_us;
  unsigned at = 0;

  while (world->now_us < end_us)
    {
      struct book_node *node = &world->nodes[at++ % BOOK_WORLD_NODES];

      if (node->book != NULL)
        book_node_ask_for (node, tokens);
      book_world_run (world, SECOND / per_s);
    }
}

struct book_node *
book_world_home (struct book_world *world)
{
  struct book_node *home = NULL;

  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    if (world->nodes[i].book != NULL
        && (home == NULL
            || allotment_book_available (world->nodes[i].book, "team")
                   > allotment_book_available (home->book, "team")))
      home = &world->nodes[i];
  return home;
}

/* Kills all instances; they are back after a second. */
void
book_world_crash_all (struct book_world *world)
{
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    book_node_kill (&world->nodes[i]);
  book_world_run (world, SECOND);
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    book_node_start (&world->nodes[i]);
  book_world_run (world, 2 * SECOND);
}

/* Has the ask of FROM that is on its way, for a loan, arrive BY_US later. Returns false when there
 * is none. */
bool
book_world_delay_ask (struct book_world *world, const struct book_node *from, int64_t by_us)
{
  for (unsigned i = world->events->len; i > 0; i--)
    {
      struct event_ *event = world->events->pdata[i - 1];

      if (event->kind == EVENT_ASK && event->from == from && event->ask.need > 0)
        {
          event->at_us += by_us;
          return true;
        }
    }
  return false;
}

/* Cuts all instances off from the store. */
void
book_world_cut_all (struct book_world *world)
{
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    world->nodes[i].cut_from_store = true;
}

/* All instances reach the store again, and notice it at once. */
void
book_world_mend_all (struct book_world *world)
{
  for (unsigned i = 0; i < BOOK_WORLD_NODES; i++)
    {
      world->nodes[i].cut_from_store = false;
      allotment_book_store_returned (world->nodes[i].book, world->now_us);
    }
}
