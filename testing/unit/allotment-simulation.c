#include "unit/allotment-simulation.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  ANNOUNCEMENT_MAX_US = 1000 * MS, /* until an instance's announcement reaches its peers */
  UNRELATED_WRITES_MAX = 100       /* of other objects, between two writes of the record */
};

enum event_kind_
{
  EVENT_WRITE_ARRIVES,
  EVENT_CALL_DONE, /* reply of the store */
  EVENT_LOAN_REQUEST,
  EVENT_LOAN_REPLY,
  EVENT_REQUEST_ENDS,
  EVENT_WATCH_NOTIFIES,  /* reports a restore of the store */
  EVENT_MERGED_ANNOUNCED /* of a peer: its tokens are in the restored records */
};

struct request_
{
  struct simulated_instance *instance;
  uint64_t incarnation;
  int64_t tokens;
  int64_t used;
  GArray *parts;
  bool waiting;
  int64_t since_us;
};

struct event_
{
  int64_t at_us;
  uint64_t order;
  enum event_kind_ kind;
  struct simulated_instance *instance;
  uint64_t incarnation;
  char object_kind[64]; /* of the store's object */
  store_callback done;
  void *data;
  json_t *content;
  int64_t revision;
  enum store_status status;
  struct allotment_loan_request loan_request;
  char text[3][64];
  struct allotment_loan_reply loan_reply;
  struct simulated_instance *from;
  struct request_ *request;
};

/* A manager's store call for a record. */
struct record_call_
{
  struct simulated_instance *instance;
  uint64_t incarnation;
  uint64_t number;
};

/* Contents of the store from since_us on, for a restore. */
struct store_state_
{
  int64_t since_us;
  json_t *objects;
  int64_t revision;
};

static void read_ (void *link, const char *team, uint64_t call);
static void
write_ (void *link, const char *team, uint64_t call, json_t *content, int64_t expected_revision);
static void
send_loan_request_ (void *link, const char *peer, const struct allotment_loan_request *request);
static void
send_loan_reply_ (void *link, uint64_t handle, const struct allotment_loan_reply *reply);
static bool real_time_ (void *link, int64_t *earliest_ms, int64_t *latest_ms);
static void store_read_ (struct store *, const char *, const char *, store_callback, void *);
static void store_write_ (
    struct store *, const char *, const char *, json_t *, int64_t, store_callback, void *);

static const struct allotment_link_vtable vtable_ = { .read_record = read_,
                                                      .write_record = write_,
                                                      .send_loan_request = send_loan_request_,
                                                      .send_loan_reply = send_loan_reply_,
                                                      .real_time = real_time_ };

static const struct store_vtable store_vtable_ = { .read = store_read_, .write = store_write_ };

static struct event_ *
event_new_ (struct allotment_simulation *simulation,
            enum event_kind_ kind,
            struct simulated_instance *instance,
            int64_t delay_us)
{
  struct event_ *event = g_new0 (struct event_, 1);

  event->at_us = simulation->now_us + delay_us;
  event->order = simulation->order++;
  event->kind = kind;
  event->instance = instance;
  event->incarnation = instance->incarnation;
  g_ptr_array_add (simulation->events, event);
  return event;
}

static struct record_call_ *
record_call_new_ (struct simulated_instance *instance, uint64_t number)
{
  struct record_call_ *call = g_new0 (struct record_call_, 1);

  *call = (struct record_call_){ instance, instance->incarnation, number };
  return call;
}

/* Reports the end of CALL to the manager that made it, unless its instance has been killed. */
static void
complete_record_call_ (struct record_call_ *call,
                       const struct store_result *result,
                       void (*report) (struct allotment_manager *,
                                       const char *,
                                       uint64_t,
                                       enum store_status,
                                       json_t *,
                                       int64_t,
                                       int64_t))
{
  const struct simulated_instance *instance = call->instance;
  bool has_object = result->n_objects > 0;

  if (instance->manager != NULL && instance->incarnation == call->incarnation)
    report (instance->manager, "team", call->number, result->status,
            has_object ? result->objects[0].content : NULL,
            has_object ? result->objects[0].revision : 0, instance->simulation->now_us);
  g_free (call);
}

static void
on_record_read_ (const struct store_result *result, void *data)
{
  complete_record_call_ (data, result, allotment_manager_read_done);
}

static void
on_record_written_ (const struct store_result *result, void *data)
{
  complete_record_call_ (data, result, allotment_manager_write_done);
}

static void
read_ (void *link, const char *team, uint64_t call)
{
  struct simulated_instance *instance = link;

  era_object_read (&instance->store, "budgets", team, on_record_read_,
                   record_call_new_ (instance, call));
}

static void
write_ (void *link, const char *team, uint64_t call, json_t *content, int64_t expected_revision)
{
  struct simulated_instance *instance = link;

  era_object_write (&instance->store, "budgets", team, content, expected_revision,
                    on_record_written_, record_call_new_ (instance, call));
  json_decref (content);
}

static struct simulated_instance *
instance_of_store_ (struct store *store)
{
  return (struct simulated_instance *)((char *)store - offsetof (struct simulated_instance, store));
}

/* Copies the object of EVENT's kind, as it is in the store, into EVENT. */
static void
attach_current_object_ (const struct allotment_simulation *simulation, struct event_ *event)
{
  json_t *object = json_object_get (simulation->objects, event->object_kind);

  json_decref (event->content);
  event->content = json_deep_copy (json_object_get (object, "content"));
  event->revision = json_integer_value (json_object_get (object, "revision"));
}

static struct event_ *
call_event_new_ (struct simulated_instance *instance,
                 enum event_kind_ event_kind,
                 const char *kind,
                 int64_t delay_us,
                 store_callback done,
                 void *data)
{
  struct event_ *event = event_new_ (instance->simulation, event_kind, instance, delay_us);

  g_strlcpy (event->object_kind, kind, sizeof event->object_kind);
  event->done = done;
  event->data = data;
  return event;
}

static void
store_read_ (
    struct store *store, const char *kind, const char *name, store_callback done, void *data)
{
  struct simulated_instance *instance = instance_of_store_ (store);
  struct allotment_simulation *simulation = instance->simulation;
  struct event_ *event;

  instance->reads++;
  if (instance->cut_from_store)
    {
      event = call_event_new_ (instance, EVENT_CALL_DONE, kind, CALL_TIMEOUT_US, done, data);
      event->status = STORE_UNREACHABLE;
      return;
    }
  event = call_event_new_ (instance, EVENT_CALL_DONE, kind, simulation->store_call_us, done, data);
  attach_current_object_ (simulation, event);
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
  struct simulated_instance *instance = instance_of_store_ (store);
  struct allotment_simulation *simulation = instance->simulation;
  struct event_ *event;

  instance->writes++;
  if (instance->cut_from_store)
    {
      event = call_event_new_ (instance, EVENT_CALL_DONE, kind, CALL_TIMEOUT_US, done, data);
      event->status = STORE_UNREACHABLE;
      return;
    }
  event = call_event_new_ (instance, EVENT_WRITE_ARRIVES, kind, simulation->store_call_us / 2, done,
                           data);
  event->content = json_incref (content);
  event->revision = expected_revision;
  if (g_rand_double (simulation->random) < simulation->lost_write_replies)
    {
      struct event_ *late_completion;

      event->done = NULL; /* its reply is lost */
      if (!simulation->no_late_writes && g_rand_boolean (simulation->random))
        event->at_us += g_rand_int_range (simulation->random, 1, 6) * SECOND;
      late_completion
          = call_event_new_ (instance, EVENT_CALL_DONE, kind, CALL_TIMEOUT_US, done, data);
      late_completion->status = STORE_UNKNOWN;
    }
}

static struct simulated_instance *
instance_find_ (struct allotment_simulation *simulation, const char *name)
{
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    if (strcmp (simulation->instances[i].name, name) == 0)
      return &simulation->instances[i];
  return NULL;
}

static bool
datagram_passes_ (struct simulated_instance *from, struct simulated_instance *to)
{
  return to != NULL && !from->cut_from_peers && !to->cut_from_peers
         && g_rand_double (from->simulation->random) >= from->simulation->datagram_loss;
}

static int64_t
datagram_delay_ (struct allotment_simulation *simulation)
{
  return simulation->late_datagrams > 0
                 && g_rand_double (simulation->random) < simulation->late_datagrams
             ? g_rand_int_range (simulation->random, 100, 3000) * MS
             : 1 * MS;
}

static void
send_loan_request_ (void *link, const char *peer, const struct allotment_loan_request *request)
{
  struct simulated_instance *instance = link;
  struct simulated_instance *to = instance_find_ (instance->simulation, peer);
  struct event_ *event;

  if (!datagram_passes_ (instance, to))
    return;
  event = event_new_ (instance->simulation, EVENT_LOAN_REQUEST, to,
                      datagram_delay_ (instance->simulation));
  event->loan_request = *request;
  event->loan_request.team = "team"; /* the sender may have been killed when it arrives */
  event->from = instance;
}

static void
send_loan_reply_ (void *link, uint64_t handle, const struct allotment_loan_reply *reply)
{
  struct simulated_instance *instance = link;
  struct simulated_instance *to = &instance->simulation->instances[handle];
  struct event_ *event;

  if (!datagram_passes_ (instance, to))
    return;
  event = event_new_ (instance->simulation, EVENT_LOAN_REPLY, to,
                      datagram_delay_ (instance->simulation));
  event->loan_reply = *reply;
  event->loan_reply.team = "team";
  event->from = instance;
}

static bool
real_time_ (void *link, int64_t *earliest_ms, int64_t *latest_ms)
{
  const struct simulated_instance *instance = link;

  *earliest_ms = *latest_ms = instance->simulation->now_us / MS;
  return true;
}

/* Returns the names of all peers of INSTANCE. */
static GPtrArray *
peer_names_ (const struct simulated_instance *instance)
{
  GPtrArray *names = g_ptr_array_new ();

  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    if (&instance->simulation->instances[i] != instance)
      g_ptr_array_add (names, instance->simulation->instances[i].name);
  return names;
}

void
simulated_instance_start (struct simulated_instance *instance)
{
  struct allotment_simulation *simulation = instance->simulation;
  const struct allotment_manager_options options
      = { .link = instance,
          .instance = instance->name,
          .data_centre = "dc",
          .incarnation = ++instance->incarnation,
          .started_us = simulation->now_us,
          .restored_us = simulation->era > STORE_ERA_FIRST ? simulation->now_us : 0 };
  g_autoptr (GPtrArray) names = peer_names_ (instance);

  instance->store.era = simulation->era;
  instance->merged_era = 0;
  instance->manager = allotment_manager_new (&options);
  allotment_manager_set_prepaid (instance->manager, "team", simulation->prepaid,
                                 simulation->now_us);
  allotment_manager_set_peers (instance->manager, names, simulation->now_us);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    if (&simulation->instances[i] != instance && simulation->instances[i].manager != NULL)
      {
        allotment_manager_peer_started (simulation->instances[i].manager, instance->name,
                                        instance->incarnation, simulation->now_us,
                                        simulation->now_us);
        allotment_manager_peer_started (instance->manager, simulation->instances[i].name,
                                        simulation->instances[i].incarnation, simulation->now_us,
                                        simulation->now_us);
        if (simulation->instances[i].merged_era == simulation->era)
          allotment_manager_peer_merged (instance->manager, simulation->instances[i].name,
                                         simulation->now_us);
      }
  instance->next_tick_us = simulation->now_us;
}

/* Kills INSTANCE. Everything that its requests had reserved counts as consumed. */
void
simulated_instance_kill (struct simulated_instance *instance)
{
  for (unsigned i = 0; i < instance->running->len; i++)
    {
      struct request_ *request = instance->running->pdata[i];

      if (!request->waiting)
        instance->simulation->consumed += request->tokens;
      if (request->parts != NULL)
        g_array_unref (request->parts);
      g_free (request);
    }
  g_ptr_array_set_size (instance->running, 0);
  for (unsigned i = 0; i < instance->simulation->events->len; i++)
    {
      struct event_ *event = instance->simulation->events->pdata[i];

      if (event->instance == instance && event->kind == EVENT_REQUEST_ENDS)
        event->request = NULL;
    }
  allotment_manager_delete (instance->manager);
  instance->manager = NULL;
}

static void
store_state_free_ (void *data)
{
  struct store_state_ *state = data;

  json_decref (state->objects);
  g_free (state);
}

static void
save_store_state_ (struct allotment_simulation *simulation)
{
  struct store_state_ *state = g_new0 (struct store_state_, 1);

  *state = (struct store_state_){ simulation->now_us, json_deep_copy (simulation->objects),
                                  simulation->revision };
  g_ptr_array_add (simulation->store_history, state);
}

static void
on_restored_ (int64_t era, void *data)
{
  struct simulated_instance *instance = data;
  g_autoptr (GPtrArray) names = peer_names_ (instance);

  allotment_manager_store_restored (instance->manager, names, instance->simulation->now_us);
}

/* Restores the store from a copy that is AGE_US old. Calls that are under way end with an unknown
 * result; an instance that reaches the store learns of the restore by the next reply or by a watch.
 */
void
allotment_simulation_restore_store (struct allotment_simulation *simulation, int64_t age_us)
{
  json_decref (simulation->objects);
  simulation->objects = json_object ();
  simulation->revision = 0;
  for (unsigned i = 0; i < simulation->store_history->len; i++)
    {
      const struct store_state_ *state = simulation->store_history->pdata[i];

      if (state->since_us > simulation->now_us - age_us)
        break;
      json_decref (simulation->objects);
      simulation->objects = json_deep_copy (state->objects);
      simulation->revision = state->revision;
    }
  for (unsigned i = 0; i < simulation->events->len; i++)
    {
      struct event_ *event = simulation->events->pdata[i];

      if (event->kind == EVENT_CALL_DONE)
        event->status = STORE_UNKNOWN;
    }
  save_store_state_ (simulation);
  simulation->era++;
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    event_new_ (simulation, EVENT_WATCH_NOTIFIES, &simulation->instances[i],
                g_rand_int_range (simulation->random, 0, WATCH_NOTIFIES_MAX_US));
}

void
allotment_simulation_set_up (struct allotment_simulation *simulation,
                             int64_t prepaid,
                             uint32_t seed)
{
  memset (simulation, 0, sizeof *simulation);
  simulation->events = g_ptr_array_new ();
  simulation->store_history = g_ptr_array_new_with_free_func (store_state_free_);
  simulation->objects = json_object ();
  simulation->era = STORE_ERA_FIRST;
  simulation->random = g_rand_new_with_seed (seed);
  simulation->prepaid = simulation->known_prepaid = prepaid;
  simulation->now_us = 100 * SECOND;
  simulation->store_call_us = 4 * MS;
  simulation->used_percent = 100;
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    {
      struct simulated_instance *instance = &simulation->instances[i];

      instance->vtable = &vtable_;
      instance->simulation = simulation;
      instance->store.vtable = &store_vtable_;
      store_on_restored (&instance->store, on_restored_, instance);
      instance->running = g_ptr_array_new ();
      g_snprintf (instance->name, sizeof instance->name, "front-%u", i);
    }
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    simulated_instance_start (&simulation->instances[i]);
}

static void
event_free_ (struct event_ *event)
{
  json_decref (event->content);
  g_free (event);
}

/* Calls the callback of a store call. */
static void
complete_store_call_ (const struct event_ *event)
{
  const struct store_object object
      = { .name = "team", .revision = event->revision, .content = event->content };
  const struct store_result result = { .status = event->status,
                                       .objects = &object,
                                       .n_objects = event->content == NULL ? 0 : 1 };

  event->done (&result, event->data);
}

void
allotment_simulation_tear_down (struct allotment_simulation *simulation)
{
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    {
      if (simulation->instances[i].manager != NULL)
        simulated_instance_kill (&simulation->instances[i]);
      g_ptr_array_unref (simulation->instances[i].running);
    }
  while (simulation->events->len > 0)
    {
      struct event_ *event = g_ptr_array_steal_index (simulation->events, 0);

      if (event->done != NULL)
        complete_store_call_ (event);
      event_free_ (event);
    }
  g_ptr_array_unref (simulation->events);
  g_ptr_array_unref (simulation->store_history);
  json_decref (simulation->objects);
  g_rand_free (simulation->random);
}

static void
on_reserved_ (enum allotment_verdict verdict, GArray *parts, void *data)
{
  struct request_ *request = data;
  struct allotment_simulation *simulation = request->instance->simulation;
  int64_t waited = simulation->now_us - request->since_us;

  simulation->longest_wait_us = MAX (simulation->longest_wait_us, waited);
  request->waiting = false;
  if (verdict == ALLOTMENT_GRANTED)
    {
      struct event_ *event
          = event_new_ (simulation, EVENT_REQUEST_ENDS, request->instance, 800 * MS);

      request->parts = parts;
      event->request = request;
      simulation->granted++;
      return;
    }
  simulation->refused++;
  if (verdict == ALLOTMENT_EXHAUSTED)
    {
      simulation->exhausted++;
      if (simulation->checks_exhausted_verdicts)
        assert_true (request->tokens > simulation->known_prepaid - simulation->consumed);
    }
  g_ptr_array_remove (request->instance->running, request);
  g_free (request);
}

void
simulated_instance_reserve (struct simulated_instance *instance, int64_t tokens)
{
  struct request_ *request = g_new0 (struct request_, 1);

  request->instance = instance;
  request->tokens = tokens;
  request->used = tokens * instance->simulation->used_percent / 100;
  request->waiting = true;
  request->since_us = instance->simulation->now_us;
  g_ptr_array_add (instance->running, request);
  allotment_manager_reserve (instance->manager, "team", tokens, on_reserved_, request,
                             instance->simulation->now_us);
}

static void
write_arrives_ (struct allotment_simulation *simulation, struct event_ *event)
{
  json_t *object = json_object_get (simulation->objects, event->object_kind);
  struct event_ *done;
  enum store_status status = STORE_CONFLICT;

  if (object == NULL && event->revision != 0)
    status = STORE_ABSENT;
  else if (json_integer_value (json_object_get (object, "revision")) == event->revision)
    {
      simulation->revision += 1 + g_rand_int_range (simulation->random, 0, UNRELATED_WRITES_MAX);
      json_object_set_new (simulation->objects, event->object_kind,
                           json_pack ("{s:O,s:I}", "content", event->content, "revision",
                                      (json_int_t)simulation->revision));
      save_store_state_ (simulation);
      status = STORE_OK;
    }
  if (event->done == NULL)
    return;
  done = call_event_new_ (event->instance, EVENT_CALL_DONE, event->object_kind,
                          simulation->store_call_us / 2, event->done, event->data);
  event->done = NULL;
  done->incarnation = event->incarnation;
  done->status = status;
  attach_current_object_ (simulation, done);
}

/* Announces to TO, through the list of instances, that INSTANCE has merged. */
static void
schedule_merged_notice_ (struct simulated_instance *instance, struct simulated_instance *to)
{
  struct event_ *event
      = event_new_ (instance->simulation, EVENT_MERGED_ANNOUNCED, to,
                    g_rand_int_range (instance->simulation->random, 0, ANNOUNCEMENT_MAX_US));

  event->from = instance;
  event->revision = instance->merged_era;
}

static void
announce_merged_instances_ (struct allotment_simulation *simulation)
{
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    {
      struct simulated_instance *instance = &simulation->instances[i];

      if (instance->manager == NULL || instance->cut_from_store
          || instance->store.era == STORE_ERA_FIRST || instance->store.era != simulation->era
          || instance->merged_era == simulation->era
          || !allotment_manager_is_merged (instance->manager))
        continue;
      instance->merged_era = simulation->era;
      for (unsigned k = 0; k < SIMULATED_INSTANCES; k++)
        if (k != i)
          schedule_merged_notice_ (instance, &simulation->instances[k]);
    }
}

static void
process_event_ (struct allotment_simulation *simulation, struct event_ *event)
{
  struct simulated_instance *instance = event->instance;
  bool alive = instance->manager != NULL && instance->incarnation == event->incarnation;

  switch (event->kind)
    {
    case EVENT_WRITE_ARRIVES:
      write_arrives_ (simulation, event);
      break;
    case EVENT_CALL_DONE:
      /* Each reply of the store carries its era. */
      if (alive && event->status != STORE_UNREACHABLE && event->status != STORE_UNKNOWN)
        store_observe_era (&instance->store, simulation->era);
      complete_store_call_ (event);
      event->done = NULL;
      break;
    case EVENT_LOAN_REQUEST:
      if (instance->manager != NULL)
        allotment_manager_loan_requested (instance->manager,
                                          (uint64_t)(event->from - simulation->instances),
                                          &event->loan_request, simulation->now_us);
      break;
    case EVENT_LOAN_REPLY:
      if (instance->manager != NULL)
        allotment_manager_loan_replied (instance->manager, event->from->name, &event->loan_reply,
                                        simulation->now_us);
      break;
    case EVENT_REQUEST_ENDS:
      if (event->request == NULL)
        break;
      simulation->consumed += event->request->used;
      g_ptr_array_remove (instance->running, event->request);
      allotment_manager_settle (instance->manager, "team", event->request->parts,
                                event->request->used, simulation->now_us);
      g_free (event->request);
      break;
    case EVENT_MERGED_ANNOUNCED:
      if (instance->manager == NULL || event->from->merged_era != event->revision)
        break;
      if (instance->cut_from_store)
        schedule_merged_notice_ (event->from, instance);
      else
        {
          store_observe_era (&instance->store, simulation->era);
          if (event->revision == simulation->era)
            allotment_manager_peer_merged (instance->manager, event->from->name,
                                           simulation->now_us);
        }
      break;
    case EVENT_WATCH_NOTIFIES:
      if (alive && !instance->cut_from_store)
        store_observe_era (&instance->store, simulation->era);
      break;
    }
}

/* Runs the simulation for SPAN_US. Asserts throughout that no more than the prepaid total is
 * consumed. */
void
allotment_simulation_run (struct allotment_simulation *simulation, int64_t span_us)
{
  int64_t end_us = simulation->now_us + span_us;

  while (true)
    {
      struct event_ *next = NULL;
      struct simulated_instance *due = NULL;

      for (unsigned i = 0; i < simulation->events->len; i++)
        {
          struct event_ *event = simulation->events->pdata[i];

          if (next == NULL || event->at_us < next->at_us
              || (event->at_us == next->at_us && event->order < next->order))
            next = event;
        }
      for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
        if (simulation->instances[i].manager != NULL
            && (due == NULL || simulation->instances[i].next_tick_us < due->next_tick_us))
          due = &simulation->instances[i];
      if (due != NULL && (next == NULL || due->next_tick_us < next->at_us))
        {
          if (due->next_tick_us > end_us)
            break;
          simulation->now_us = MAX (simulation->now_us, due->next_tick_us);
          due->next_tick_us = allotment_manager_tick (due->manager, simulation->now_us);
          assert_true (due->next_tick_us > simulation->now_us);
        }
      else
        {
          if (next == NULL || next->at_us > end_us)
            break;
          simulation->now_us = MAX (simulation->now_us, next->at_us);
          g_ptr_array_remove (simulation->events, next);
          process_event_ (simulation, next);
          event_free_ (next);
        }
      announce_merged_instances_ (simulation);
      assert_true (simulation->consumed <= simulation->prepaid);
    }
  simulation->now_us = end_us;
}

/* Runs the simulation for SPAN_US with PER_S requests of TOKENS each a second, which the instances
 * that are up receive in turn. */
void
allotment_simulation_load (struct allotment_simulation *simulation,
                           int64_t tokens,
                           unsigned per_s,
                           int64_t span_us)
{
  int64_t end_us = simulation->now_us + span_us;
  unsigned at = 0;

  while (simulation->now_us < end_us)
    {
      struct simulated_instance *instance = &simulation->instances[at++ % SIMULATED_INSTANCES];

      if (instance->manager != NULL)
        simulated_instance_reserve (instance, tokens);
      allotment_simulation_run (simulation, SECOND / per_s);
    }
}

/* Returns the instance with the most tokens available, which is the primary unless a substitute
 * drew. */
struct simulated_instance *
allotment_simulation_primary (struct allotment_simulation *simulation)
{
  struct simulated_instance *primary = NULL;

  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    if (simulation->instances[i].manager != NULL
        && (primary == NULL
            || allotment_manager_available (simulation->instances[i].manager, "team")
                   > allotment_manager_available (primary->manager, "team")))
      primary = &simulation->instances[i];
  return primary;
}

/* Returns whether the current era's record says that tokens are frozen, as an instance that may
 * have been granted them ended around a restore of the store. */
bool
allotment_simulation_has_frozen (const struct allotment_simulation *simulation)
{
  g_autofree char *kind = simulation->era == STORE_ERA_FIRST
                              ? g_strdup ("budgets")
                              : g_strdup_printf ("budgets-%d", (int)simulation->era);
  const json_t *content = json_object_get (json_object_get (simulation->objects, kind), "content");

  return json_integer_value (json_object_get (content, "frozen")) > 0;
}

/* Kills all instances and starts them again after a second, then runs for two more. */
void
allotment_simulation_crash_all (struct allotment_simulation *simulation)
{
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    simulated_instance_kill (&simulation->instances[i]);
  allotment_simulation_run (simulation, SECOND);
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    simulated_instance_start (&simulation->instances[i]);
  allotment_simulation_run (simulation, 2 * SECOND);
}

/* Delays the last loan request of FROM that is under way by BY_US. Returns false when there is
 * none. */
bool
allotment_simulation_delay_loan_request (struct allotment_simulation *simulation,
                                         const struct simulated_instance *from,
                                         int64_t by_us)
{
  for (unsigned i = simulation->events->len; i > 0; i--)
    {
      struct event_ *event = simulation->events->pdata[i - 1];

      if (event->kind == EVENT_LOAN_REQUEST && event->from == from && event->loan_request.need > 0)
        {
          event->at_us += by_us;
          return true;
        }
    }
  return false;
}

void
allotment_simulation_cut_all (struct allotment_simulation *simulation)
{
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    simulation->instances[i].cut_from_store = true;
}

/* Ends all cuts from the store, and reports that to the instances at once. */
void
allotment_simulation_reconnect_all (struct allotment_simulation *simulation)
{
  for (unsigned i = 0; i < SIMULATED_INSTANCES; i++)
    {
      simulation->instances[i].cut_from_store = false;
      allotment_manager_store_reachable (simulation->instances[i].manager, simulation->now_us);
    }
}
