#include "config/bundle.h"

#include "config/parts.h"
#include "config/snapshot.h"
#include "platform/platform-retry.h"

static const char *const status_strings_[]
    = { "ok", "no configuration accepted yet", "no response", "superseded", "corrupt" };

static enum sr_platform_status platform_get_head_ (struct config_source *source, GString *body);
static enum sr_platform_status
platform_get_part_ (struct config_source *source, const char *name, GString *body);
static enum config_bundle_status
fetch_part_ (struct config_source *source, const char *name, GBytes **text);
static enum config_bundle_status add_part_ (struct config_source *source,
                                            struct config_bundle *bundle,
                                            size_t index,
                                            const struct config_bundle *former,
                                            GHashTable *known);
static struct config_sections *
parse_part_ (struct config_bundle *bundle, size_t index, struct sr_findings *findings);
static GHashTable *index_parts_ (const struct config_bundle *bundle);
static void bytes_free_ (void *data);
static void sections_free_ (void *data);

/* Initialises SOURCE to read from PLATFORM, which it does not own. Reads are retried until
 * DEADLINE_US (monotonic). */
void
config_source_platform_init (struct config_source_platform *source,
                             struct sr_platform *platform,
                             int64_t deadline_us)
{
  source->base.get_head = platform_get_head_;
  source->base.get_part = platform_get_part_;
  source->platform = platform;
  source->deadline_us = deadline_us;
}

/* Reads the head and all parts from SOURCE. Parts that FORMER (NULL for none) has already are
 * shared with it and not read. On OK the caller owns *BUNDLE; otherwise it is not set. */
enum config_bundle_status
config_bundle_read (struct config_source *source,
                    const struct config_bundle *former,
                    struct config_bundle **bundle)
{
  g_autoptr (GString) body = g_string_new (NULL);
  enum sr_platform_status status = source->get_head (source, body);

  if (status == SR_PLATFORM_ABSENT)
    return CONFIG_BUNDLE_NONE;
  if (status != SR_PLATFORM_OK)
    return CONFIG_BUNDLE_UNREACHABLE;
  return config_bundle_read_parts (source, body, former, bundle);
}

/* Like config_bundle_read, for a head that was read before: HEAD_BODY is its encoded text. */
enum config_bundle_status
config_bundle_read_parts (struct config_source *source,
                          const GString *head_body,
                          const struct config_bundle *former,
                          struct config_bundle **bundle)
{
  struct config_head *head = config_head_decode (head_body->str, head_body->len);
  enum config_bundle_status status = CONFIG_BUNDLE_OK;
  g_autoptr (GHashTable) known = NULL;
  struct config_bundle *new_bundle;

  if (head == NULL)
    return CONFIG_BUNDLE_CORRUPT;
  known = index_parts_ (former);
  new_bundle = config_bundle_new_empty ();
  config_head_delete (new_bundle->head);
  new_bundle->head = head;
  g_string_append_len (new_bundle->head_body, head_body->str, (gssize)head_body->len);
  for (size_t i = 0; i < head->parts->len && status == CONFIG_BUNDLE_OK; i++)
    status = add_part_ (source, new_bundle, i, former, known);
  if (status == CONFIG_BUNDLE_OK)
    *bundle = new_bundle;
  else
    config_bundle_delete (new_bundle);
  return status;
}

/* Creates a bundle without parts, of revision 0: the state before the first revision. The caller
 * owns it. */
struct config_bundle *
config_bundle_new_empty (void)
{
  struct config_bundle *bundle = g_new0 (struct config_bundle, 1);

  bundle->head = config_head_new ();
  bundle->head_body = g_string_new (NULL);
  bundle->texts = g_ptr_array_new_with_free_func (bytes_free_);
  bundle->sections = g_ptr_array_new_with_free_func (sections_free_);
  return bundle;
}

/* NULL is allowed. */
void
config_bundle_delete (struct config_bundle *bundle)
{
  if (bundle == NULL)
    return;
  config_head_delete (bundle->head);
  g_string_free (bundle->head_body, TRUE);
  g_ptr_array_unref (bundle->texts);
  g_ptr_array_unref (bundle->sections);
  g_free (bundle);
}

/* Parses and checks the configuration in BUNDLE. Parts that were parsed already, for this bundle or
 * for the former one that shares them, are not parsed again. Returns a snapshot with one reference,
 * which the caller owns, or NULL after adding the faults to FINDINGS. */
struct sr_config *
config_bundle_parse (struct config_bundle *bundle, struct sr_findings *findings)
{
  struct sr_config *config = config_new (bundle->head->revision);
  size_t before = sr_findings_count (findings);

  for (size_t i = 0; i < bundle->texts->len; i++)
    config_add_sections (config, parse_part_ (bundle, i, findings), findings);
  if (config_finish (config, findings) && sr_findings_count (findings) == before)
    return config;
  sr_config_unref (config);
  return NULL;
}

const char *
config_bundle_status_to_string (enum config_bundle_status status)
{
  g_assert ((size_t)status < G_N_ELEMENTS (status_strings_));
  return status_strings_[status];
}

static enum sr_platform_status
platform_get_head_ (struct config_source *source, GString *body)
{
  struct config_source_platform *self = (struct config_source_platform *)source;
  int64_t version;

  return sr_platform_get_with_retry (self->platform, "config", "head", body, &version,
                                     self->deadline_us);
}

static enum sr_platform_status
platform_get_part_ (struct config_source *source, const char *name, GString *body)
{
  struct config_source_platform *self = (struct config_source_platform *)source;
  int64_t version;

  return sr_platform_get_with_retry (self->platform, "config-part", name, body, &version,
                                     self->deadline_us);
}

static enum config_bundle_status
fetch_part_ (struct config_source *source, const char *name, GBytes **text)
{
  GString *body = g_string_new (NULL);
  enum sr_platform_status status = source->get_part (source, name, body);
  enum config_bundle_status result = CONFIG_BUNDLE_OK;

  if (status == SR_PLATFORM_ABSENT)
    result = CONFIG_BUNDLE_SUPERSEDED;
  else if (status != SR_PLATFORM_OK)
    result = CONFIG_BUNDLE_UNREACHABLE;
  else if (!config_part_matches_name (name, body->str, body->len))
    result = CONFIG_BUNDLE_CORRUPT;
  if (result == CONFIG_BUNDLE_OK)
    *text = g_string_free_to_bytes (body);
  else
    g_string_free (body, TRUE);
  return result;
}

/* Adds part INDEX to BUNDLE: shared with FORMER when KNOWN (see index_parts_) has its name, else
 * read from SOURCE. */
static enum config_bundle_status
add_part_ (struct config_source *source,
           struct config_bundle *bundle,
           size_t index,
           const struct config_bundle *former,
           GHashTable *known)
{
  const GString *name = g_ptr_array_index (bundle->head->parts, index);
  size_t index_plus_1 = GPOINTER_TO_SIZE (g_hash_table_lookup (known, name->str));
  struct config_sections *sections = NULL;
  GBytes *text = NULL;

  if (index_plus_1 > 0)
    {
      text = g_bytes_ref (g_ptr_array_index (former->texts, index_plus_1 - 1));
      sections = g_ptr_array_index (former->sections, index_plus_1 - 1);
      if (sections != NULL)
        config_sections_ref (sections);
    }
  else
    {
      enum config_bundle_status status = fetch_part_ (source, name->str, &text);

      if (status != CONFIG_BUNDLE_OK)
        return status;
    }
  g_ptr_array_add (bundle->texts, text);
  g_ptr_array_add (bundle->sections, sections);
  return CONFIG_BUNDLE_OK;
}

/* Returns the sections of part INDEX, owned by BUNDLE; parses the part unless that was done. */
static struct config_sections *
parse_part_ (struct config_bundle *bundle, size_t index, struct sr_findings *findings)
{
  struct config_sections *sections = g_ptr_array_index (bundle->sections, index);
  const GString *name = g_ptr_array_index (bundle->head->parts, index);
  gsize length;
  const char *text;

  if (sections != NULL)
    return sections;
  text = g_bytes_get_data (g_ptr_array_index (bundle->texts, index), &length);
  sections = config_sections_parse (name->str, text, length, findings);
  g_ptr_array_index (bundle->sections, index) = sections;
  return sections;
}

/* Returns a table from the names of BUNDLE's parts, still owned by it, to their indices plus 1, so
 * that a look-up that finds nothing gives 0. BUNDLE may be NULL. */
static GHashTable *
index_parts_ (const struct config_bundle *bundle)
{
  GHashTable *table = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; bundle != NULL && i < bundle->texts->len; i++)
    {
      GString *name = g_ptr_array_index (bundle->head->parts, i);

      g_hash_table_insert (table, name->str, GSIZE_TO_POINTER (i + 1));
    }
  return table;
}

static void
bytes_free_ (void *data)
{
  g_bytes_unref (data);
}

static void
sections_free_ (void *data)
{
  config_sections_unref (data);
}
