#include "order/order-record.h"

#include <jansson.h>
#include <string.h>

static const char *const state_strings[] = { "claimed", "answered", "not run", "unknown" };

static bool state_from_string_ (const char *text, enum sr_order_state *state);
static bool hex_from_string_ (const char *text, uint64_t *value);
static void set_hex_ (json_t *head, const char *key, uint64_t value);

/* Initialises RECORD as a claim without an answer. Clear it with sr_order_record_clear. */
void
sr_order_record_init (struct sr_order_record *record)
{
  memset (record, 0, sizeof *record);
  record->answer = g_string_new (NULL);
}

void
sr_order_record_clear (struct sr_order_record *record)
{
  g_string_free (record->answer, TRUE);
  record->answer = NULL;
}

/* Replaces BODY by the encoded RECORD. */
void
sr_order_record_encode (const struct sr_order_record *record, GString *body)
{
  json_t *head = json_object ();
  char *text;

  json_object_set_new (head, "state", json_string (state_strings[record->state]));
  set_hex_ (head, "nonce", record->nonce);
  set_hex_ (head, "fingerprint_high", record->fingerprint[0]);
  set_hex_ (head, "fingerprint_low", record->fingerprint[1]);
  json_object_set_new (head, "holder", json_string (record->holder));
  json_object_set_new (head, "has_answer", json_boolean (record->has_answer));
  text = json_dumps (head, JSON_COMPACT);
  g_string_assign (body, text);
  g_string_append_c (body, '\n');
  g_string_append_len (body, record->answer->str, (gssize)record->answer->len);
  free (text);
  json_decref (head);
}

/* Decodes BODY into RECORD, which must be initialised. Returns false when BODY is not a valid claim
 * object; RECORD may then be partly overwritten. */
bool
sr_order_record_decode (const GString *body, struct sr_order_record *record)
{
  const char *line_end = memchr (body->str, '\n', body->len);
  const char *state;
  const char *nonce;
  const char *high;
  const char *low;
  const char *holder;
  int has_answer;
  json_t *head = NULL;
  bool decoded = false;

  if (line_end == NULL)
    return false;
  head = json_loadb (body->str, (size_t)(line_end - body->str), 0, NULL);
  if (json_unpack (head, "{s:s,s:s,s:s,s:s,s:s,s:b}", "state", &state, "nonce", &nonce,
                   "fingerprint_high", &high, "fingerprint_low", &low, "holder", &holder,
                   "has_answer", &has_answer)
      != 0)
    goto out;
  if (!state_from_string_ (state, &record->state) || !hex_from_string_ (nonce, &record->nonce)
      || !hex_from_string_ (high, &record->fingerprint[0])
      || !hex_from_string_ (low, &record->fingerprint[1]))
    goto out;
  g_strlcpy (record->holder, holder, sizeof record->holder);
  record->has_answer = has_answer != 0;
  g_string_truncate (record->answer, 0);
  g_string_append_len (record->answer, line_end + 1, body->str + body->len - (line_end + 1));
  decoded = true;
out:
  json_decref (head);
  return decoded;
}

static bool
state_from_string_ (const char *text, enum sr_order_state *state)
{
  for (size_t i = 0; i < G_N_ELEMENTS (state_strings); i++)
    if (strcmp (text, state_strings[i]) == 0)
      {
        *state = (enum sr_order_state)i;
        return true;
      }
  return false;
}

static bool
hex_from_string_ (const char *text, uint64_t *value)
{
  guint64 parsed;

  if (!g_ascii_string_to_unsigned (text, 16, 0, G_MAXUINT64, &parsed, NULL))
    return false;
  *value = parsed;
  return true;
}

static void
set_hex_ (json_t *head, const char *key, uint64_t value)
{
  char text[17];

  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", value);
  json_object_set_new (head, key, json_string (text));
}
