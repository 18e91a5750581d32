#include "budget/top-up.h"

#include <string.h>

enum
{
  TRIES_MAX = 50,     /* conditional writes of one top-up */
  BACKOFF_US = 20000, /* between tries */
  LIST_LIMIT = 500    /* names per page of a listing */
};

static enum sr_platform_status apply_once_ (struct sr_platform *platform,
                                            const struct sr_top_up_request *request,
                                            struct sr_top_up_result *result);
static struct sr_record *read_ (struct sr_platform *platform,
                                const char *budget,
                                int64_t *version,
                                enum sr_platform_status *status);

/* Applies REQUEST exactly once, also with concurrent writers. A lost response is resolved by
 * reading the record again: it lists the ids of the applied top-ups. Fills RESULT; after a status
 * other than SR_PLATFORM_OK the request may be repeated with the same id. Blocks for calls to the
 * platform. */
void
sr_top_up_apply (struct sr_platform *platform,
                 const struct sr_top_up_request *request,
                 struct sr_top_up_result *result)
{
  for (unsigned try = 0; try < TRIES_MAX; try++)
    {
      *result = (struct sr_top_up_result){ 0 };
      result->status = apply_once_ (platform, request, result);
      if (result->status != SR_PLATFORM_CONFLICT && result->status != SR_PLATFORM_UNKNOWN
          && result->status != SR_PLATFORM_RATE_LIMITED)
        return;
      g_usleep (BACKOFF_US);
    }
}

/* Calls CALLBACK for every budget whose name begins with PREFIX, in the order of names, until it
 * returns false. Stops at the first error of the platform and returns it. */
enum sr_platform_status
sr_budget_read_all (struct sr_platform *platform,
                    const char *prefix,
                    sr_budget_callback callback,
                    void *data)
{
  enum sr_platform_status status = SR_PLATFORM_OK;
  GString *after = g_string_new ("");
  bool more = true;

  while (more && status == SR_PLATFORM_OK)
    {
      GPtrArray *names = g_ptr_array_new_with_free_func (g_free);

      status = sr_platform_list (platform, SR_BUDGET_KIND, prefix, after->str, LIST_LIMIT, names,
                                 &more);
      for (unsigned i = 0; i < names->len && status == SR_PLATFORM_OK; i++)
        {
          int64_t version;
          struct sr_record *record = read_ (platform, names->pdata[i], &version, &status);

          if (record != NULL && !callback (names->pdata[i], record, data))
            more = false;
          sr_record_delete (record);
        }
      if (names->len > 0)
        g_string_assign (after, names->pdata[names->len - 1]);
      else
        more = false;
      g_ptr_array_unref (names);
    }
  g_string_free (after, TRUE);
  return status;
}

static enum sr_platform_status
apply_once_ (struct sr_platform *platform,
             const struct sr_top_up_request *request,
             struct sr_top_up_result *result)
{
  enum sr_platform_status status;
  int64_t version;
  struct sr_record *record = read_ (platform, request->budget, &version, &status);
  GString *body;

  if (record == NULL)
    return status;
  result->version = version;
  result->verdict
      = sr_record_top_up (record, request->id, request->tokens, request->who, request->time_ms);
  if (result->verdict == SR_TOP_UP_APPLIED)
    {
      body = g_string_new (NULL);
      sr_record_print (record, body);
      status = sr_platform_put (platform, SR_BUDGET_KIND, request->budget, body->str, body->len,
                                version, &result->version);
      g_string_free (body, TRUE);
    }
  for (unsigned i = 0; i < record->top_ups->len; i++)
    {
      const struct sr_record_top_up *top_up = record->top_ups->pdata[i];

      if (strcmp (top_up->id->str, request->id) == 0)
        result->time_ms = top_up->time_ms;
    }
  result->prepaid = record->prepaid;
  result->excess = MAX (-sr_record_remaining (record), 0);
  sr_record_delete (record);
  return status;
}

/* Returns NULL with STATUS set when the object could not be read or is malformed. An absent one
 * reads as an empty record of version 0. */
static struct sr_record *
read_ (struct sr_platform *platform,
       const char *budget,
       int64_t *version,
       enum sr_platform_status *status)
{
  GString *body = g_string_new (NULL);
  struct sr_record *record = NULL;

  *version = 0;
  *status = sr_platform_get (platform, SR_BUDGET_KIND, budget, body, version);
  if (*status == SR_PLATFORM_ABSENT)
    {
      record = sr_record_new ();
      *status = SR_PLATFORM_OK;
    }
  else if (*status == SR_PLATFORM_OK)
    {
      record = sr_record_parse (body->str, body->len);
      if (record == NULL)
        *status = SR_PLATFORM_UNREACHABLE;
    }
  g_string_free (body, TRUE);
  return record;
}
