#include "emulator/site/site.h"

#include <string.h>

enum
{
  STATUS_OK = 200
};

static const char *const places_[] = {
  [SITE_STRAY_BEFORE] = "before",
  [SITE_STRAY_INSTEAD] = "instead",
  [SITE_STRAY_BEHIND] = "behind",
  [SITE_STRAY_LATE] = "late",
};

static bool is_on_ (const char *target, const char *name);

/* Sets FORM from the query of TARGET: stray (hexadecimal), place, status, chunked, unframed, early,
 * reset, pieces, filler, cut. What is not given is off. */
void
site_reply_form_set (struct site_reply_form *form, const char *target)
{
  g_autofree char *stray = site_query (target, "stray");
  g_autofree char *place = site_query (target, "place");
  g_autofree char *status = site_query (target, "status");
  g_autofree char *filler = site_query (target, "filler");
  g_autofree char *cut = site_query (target, "cut");

  if (form->stray != NULL)
    g_bytes_unref (form->stray);
  *form = (struct site_reply_form){
    .status = status == NULL ? 0 : (unsigned)g_ascii_strtoull (status, NULL, 10),
    .is_chunked = is_on_ (target, "chunked"),
    .is_unframed = is_on_ (target, "unframed"),
    .is_early = is_on_ (target, "early"),
    .resets = is_on_ (target, "reset"),
    .in_pieces = is_on_ (target, "pieces"),
    .filler_bytes = filler == NULL ? 0 : (unsigned)g_ascii_strtoull (filler, NULL, 10),
    .cut_bytes = cut == NULL ? 0 : (unsigned)g_ascii_strtoull (cut, NULL, 10),
  };
  for (size_t i = 0; i < G_N_ELEMENTS (places_); i++)
    if (g_strcmp0 (place, places_[i]) == 0)
      form->place = (enum site_stray_place)i;
  if (stray != NULL)
    {
      GByteArray *bytes = g_byte_array_new ();

      for (const char *at = stray; at[0] != '\0' && at[1] != '\0'; at += 2)
        {
          guint8 byte = (guint8)(g_ascii_xdigit_value (at[0]) << 4 | g_ascii_xdigit_value (at[1]));

          g_byte_array_append (bytes, &byte, 1);
        }
      form->stray = g_byte_array_free_to_bytes (bytes);
    }
}

/* Returns whether the query of TARGET has NAME with the value 1. */
static bool
is_on_ (const char *target, const char *name)
{
  g_autofree char *value = site_query (target, name);

  return g_strcmp0 (value, "1") == 0;
}

/* Returns the stray bytes of a response to request ID; the caller owns them. */
GString *
site_reply_form_stray (const struct site_reply_form *form, const char *id)
{
  GString *out = g_string_new (NULL);
  size_t length = 0;
  const char *bytes = form->stray == NULL ? NULL : g_bytes_get_data (form->stray, &length);

  for (size_t i = 0; i < length; i++)
    if (bytes[i] == '@')
      g_string_append (out, id);
    else
      g_string_append_c (out, bytes[i]);
  return out;
}

/* Returns the sound response to request ID with HEADERS; the caller owns it. */
GString *
site_reply_form_encode (const struct site_reply_form *form, const char *id, const char *headers)
{
  unsigned status = form->status == 0 ? STATUS_OK : form->status;
  g_autofree char *filler = g_strnfill (form->filler_bytes, '.');
  g_autofree char *body = g_strdup_printf ("answer to %s%s", id, filler);
  GString *out = g_string_new (NULL);

  g_string_printf (out, "HTTP/1.1 %u %s\r\n%s", status, status == STATUS_OK ? "OK" : "Error",
                   headers);
  if (form->is_unframed)
    g_string_append_printf (out, "\r\n%s", body);
  else if (form->is_chunked)
    g_string_append_printf (out, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
                            strlen (body), body);
  else
    g_string_append_printf (out, "Content-Length: %zu\r\n\r\n%s", strlen (body), body);
  return out;
}
