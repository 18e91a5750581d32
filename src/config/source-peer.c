#include "config/source-peer.h"

#include <string.h>

enum
{
  CALL_TIMEOUT_MS = 500,
  OBJECT_MAX_BYTES = 1 << 20 /* a larger head or part is refused */
};

static enum sr_platform_status get_head_ (struct config_source *source, GString *body);
static enum sr_platform_status
get_part_ (struct config_source *source, const char *name, GString *body);
static enum sr_platform_status
read_object_ (struct config_source_peer *self, const char *name, GString *body);
static enum sr_platform_status
append_chunk_ (const config_chunk *chunk, const config_chunk *first, GString *body);
static const char *
find_object_ (const struct config_bundle *bundle, const char *name, size_t *length);

/* Initialises SOURCE to read from the peer at ADDRESS through CLIENT, which it does not own. No
 * call begins after DEADLINE_US (monotonic). */
void
config_source_peer_init (struct config_source_peer *source,
                         struct sr_peer_client *client,
                         const struct sr_peer_address *address,
                         int64_t deadline_us)
{
  source->base.get_head = get_head_;
  source->base.get_part = get_part_;
  source->client = client;
  source->address = *address;
  source->deadline_us = deadline_us;
}

/* Fills CHUNK, which has to be zeroed, with the bytes of the head or part of BUNDLE that QUERY
 * names (NULL while no configuration is in force). The bytes belong to CHUNK and are freed with
 * xdr_free. */
void
config_fill_chunk (const struct config_bundle *bundle,
                   const config_chunk_query *query,
                   config_chunk *chunk)
{
  size_t length = 0;
  const char *text = find_object_ (bundle, query->name, &length);
  size_t count;

  chunk->status = CONFIG_CHUNK_ABSENT;
  if (text == NULL || query->offset > length)
    return;
  count = MIN (length - query->offset, CONFIG_CHUNK_MAX_BYTES);
  chunk->status = CONFIG_CHUNK_OK;
  chunk->revision = bundle->head->revision;
  chunk->total_bytes = (u_int)length;
  chunk->bytes.bytes_len = (u_int)count;
  chunk->bytes.bytes_val = g_memdup2 (text + query->offset, count);
}

static enum sr_platform_status
get_head_ (struct config_source *source, GString *body)
{
  return read_object_ ((struct config_source_peer *)source, "", body);
}

static enum sr_platform_status
get_part_ (struct config_source *source, const char *name, GString *body)
{
  return read_object_ ((struct config_source_peer *)source, name, body);
}

/* Reads the head (empty NAME) or a part chunk by chunk into BODY. ABSENT when the peer does not
 * have it any more or its revision changed between chunks; UNREACHABLE when the peer did not
 * respond in time. */
static enum sr_platform_status
read_object_ (struct config_source_peer *self, const char *name, GString *body)
{
  enum sr_platform_status status = SR_PLATFORM_OK;
  config_chunk first = { 0 };
  bool complete = false;

  g_string_truncate (body, 0);
  while (status == SR_PLATFORM_OK && !complete)
    {
      config_chunk_query query = { .name = (char *)name, .offset = (u_int)body->len };
      config_chunk chunk = { 0 };

      if (g_get_monotonic_time () >= self->deadline_us
          || sr_peer_call (self->client, &self->address, SR_PEER_PROGRAM_CONFIG,
                           CONFIG_PROCEDURE_CHUNK, (xdrproc_t)xdr_config_chunk_query, &query,
                           (xdrproc_t)xdr_config_chunk, &chunk, CALL_TIMEOUT_MS)
                 != SR_PEER_OK)
        return SR_PLATFORM_UNREACHABLE;
      if (body->len == 0)
        first = chunk;
      status = append_chunk_ (&chunk, &first, body);
      complete = status == SR_PLATFORM_OK && body->len == chunk.total_bytes;
      xdr_free ((xdrproc_t)xdr_config_chunk, (char *)&chunk);
    }
  return status;
}

/* Appends CHUNK to BODY if it belongs to the same revision and object as FIRST and fits in. */
static enum sr_platform_status
append_chunk_ (const config_chunk *chunk, const config_chunk *first, GString *body)
{
  size_t remaining = chunk->total_bytes - body->len;

  if (chunk->status != CONFIG_CHUNK_OK || chunk->total_bytes > OBJECT_MAX_BYTES
      || chunk->revision != first->revision || chunk->total_bytes != first->total_bytes)
    return SR_PLATFORM_ABSENT;
  if (chunk->bytes.bytes_len > remaining || (chunk->bytes.bytes_len == 0 && remaining > 0))
    return SR_PLATFORM_ABSENT;
  g_string_append_len (body, chunk->bytes.bytes_val, chunk->bytes.bytes_len);
  return SR_PLATFORM_OK;
}

/* Returns the text of the head (empty NAME) or of a part, owned by BUNDLE, or NULL. */
static const char *
find_object_ (const struct config_bundle *bundle, const char *name, size_t *length)
{
  if (bundle == NULL)
    return NULL;
  if (*name == '\0')
    {
      *length = bundle->head_body->len;
      return bundle->head_body->str;
    }
  for (size_t i = 0; i < bundle->texts->len; i++)
    {
      const GString *part = g_ptr_array_index (bundle->head->parts, i);

      if (strcmp (part->str, name) == 0)
        {
          gsize size;
          const char *text = g_bytes_get_data (g_ptr_array_index (bundle->texts, i), &size);

          *length = size;
          return text != NULL ? text : "";
        }
    }
  return NULL;
}
