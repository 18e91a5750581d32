#include "gateway/exchange-private.h"

static json_t *backends_to_json_ (const struct gw_context *context,
                                  const struct quarantine_result *result);
static json_t *part_to_json_ (uint64_t part);

/* All parts of a prompt but the last one may be in other requests, too. */
void
gw_exchange_set_shared_parts_ (struct gw_exchange *exchange)
{
  const struct gw_prompt *prompt = &exchange->prompt;

  G_STATIC_ASSERT ((int)QUARANTINE_PARTS_MAX >= (int)GW_PROMPT_PARTS_MAX);
  for (unsigned i = 0; i + 1 < prompt->n_parts; i++)
    exchange->shared_parts.ids[exchange->shared_parts.n++] = prompt->parts[i].id;
}

/* Refuses the request if a part of its prompt is blocked. Returns whether it did, and the exchange
 * is freed. */
bool
gw_exchange_refuse_blocked_ (struct gw_exchange *exchange)
{
  struct quarantine_result result;

  if (exchange->is_trial)
    return false;
  switch (quarantine_check (exchange->context->quarantine, &exchange->shared_parts,
                            exchange->team_hash, g_get_monotonic_time (), &result))
    {
    case QUARANTINE_PASS:
      return false;
    case QUARANTINE_TRIAL:
      exchange->is_trial = true;
      return false;
    case QUARANTINE_BLOCKED:
      break;
    }
  exchange->place.resumes_in_ms = result.resumes_in_ms;
  gw_exchange_refuse_with_inputs_ (
      exchange, exchange->runs > 0 ? 502 : 503, GW_RETRY_AFTER_PAUSE, "prompt_part_blocked",
      json_pack ("{s:o,s:I,s:o}", "part", part_to_json_ (result.part), "trial_in_ms",
                 (json_int_t)result.resumes_in_ms, "ended",
                 backends_to_json_ (exchange->context, &result)));
  return true;
}

/* Ends the attempts whose prompts have been blocked since they were sent, and that have no byte of
 * an answer yet: most backend servers then don't begin one. */
void
gw_exchange_cancel_blocked (struct gw_context *context)
{
  g_autoptr (GPtrArray) blocked = g_ptr_array_new ();

  for (GList *link = context->unanswered.head; link != NULL; link = link->next)
    {
      struct gw_exchange *exchange = link->data;

      if (!exchange->is_trial
          && quarantine_blocks (context->quarantine, &exchange->shared_parts, exchange->team_hash))
        g_ptr_array_add (blocked, exchange);
    }
  for (unsigned i = 0; i < blocked->len; i++)
    {
      struct gw_exchange *exchange = blocked->pdata[i];

      gw_exchange_end_attempt_ (exchange, GW_ATTEMPT_ABANDONED);
      gw_exchange_refuse_ (exchange, 502, GW_RETRY_AFTER_BUSY, "prompt_part_blocked");
    }
}

/* Lists the request among those that were sent and have no byte of an answer, unless it shares no
 * part of its prompt. */
void
gw_exchange_list_unanswered_ (struct gw_exchange *exchange)
{
  if (exchange->shared_parts.n == 0)
    return;
  g_queue_push_tail_link (&exchange->context->unanswered, &exchange->unanswered_link);
  exchange->is_listed = true;
}

void
gw_exchange_unlist_unanswered_ (struct gw_exchange *exchange)
{
  if (!exchange->is_listed)
    return;
  g_queue_unlink (&exchange->context->unanswered, &exchange->unanswered_link);
  exchange->is_listed = false;
}

/* Returns whether the answer of the current attempt has not got under way. */
bool
gw_exchange_is_unanswered_ (const struct gw_exchange *exchange)
{
  return exchange->answer_began_us == 0
         || g_get_monotonic_time () - exchange->answer_began_us
                < QUARANTINE_SURVIVAL_MS * GW_US_PER_MS;
}

/* Returns how far the answer of the current attempt has got. */
enum quarantine_progress
gw_exchange_progress_ (const struct gw_exchange *exchange)
{
  if (exchange->answer_began_us != 0)
    return QUARANTINE_PARTLY;
  return exchange->head_received ? QUARANTINE_BEGUN : QUARANTINE_WAITING;
}

/* Notes, once for each attempt, that its answer has got under way. */
void
gw_exchange_note_survival_ (struct gw_exchange *exchange, int64_t now_us)
{
  if (exchange->survival_noted || exchange->shared_parts.n == 0)
    return;
  exchange->survival_noted = true;
  quarantine_note_survival (exchange->context->quarantine, &exchange->shared_parts,
                            exchange->answer_began_us == 0 ? now_us : exchange->answer_began_us,
                            now_us);
}

/* For the log: the shared parts of the prompt, as the caller writes them. */
json_t *
gw_exchange_parts_to_json_ (const struct gw_exchange *exchange)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < exchange->shared_parts.n; i++)
    json_array_append_new (list, part_to_json_ (exchange->shared_parts.ids[i]));
  return list;
}

/* For the log: the backend servers that ended under requests with the part of RESULT, by id, or by
 * key where another process has taken their place. */
static json_t *
backends_to_json_ (const struct gw_context *context, const struct quarantine_result *result)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < result->n_backends; i++)
    {
      const struct gw_backend *backend = gw_backends_find (context->backends, result->backends[i]);

      json_array_append_new (
          list, backend != NULL ? json_string (backend->facts.id)
                                : json_sprintf ("%" G_GINT64_MODIFIER "x", result->backends[i]));
    }
  return list;
}

static json_t *
part_to_json_ (uint64_t part)
{
  return json_sprintf ("%" G_GINT64_MODIFIER "x", part);
}
