/* Bodies of messages: where they end, and who vouches for that. */
#include "net/http-body.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

enum
{
  CUTS = 50, /* drawn cuts of each text */
  CUT_MAX_BYTES = 4,
  ENDLESS_BYTES = 100000
};

/* Reads BYTES, in pieces whose sizes CUTS_RANDOM draws (NULL: in one), and appends the payload to
 * PAYLOAD. Returns how many bytes were read until the end of the body or an error. */
static size_t
read_all_ (struct net_http_body *body, const GString *bytes, GRand *cuts_random, GString *payload)
{
  size_t read = 0;

  while (read < bytes->len && body->state == NET_BODY_READING)
    {
      size_t length = cuts_random == NULL
                          ? bytes->len
                          : (size_t)g_rand_int_range (cuts_random, 1, CUT_MAX_BYTES + 1);
      const struct net_string_view piece = { bytes->str + read, MIN (length, bytes->len - read) };
      struct net_string_view part;

      read += net_http_body_read (body, piece, &part);
      g_string_append_len (payload, part.data, (gssize)part.length);
    }
  return read;
}

/* Asserts that the chunked body TEXT ends in STATE, with PAYLOAD and LEFT bytes unread, however its
 * bytes are cut. */
static void
assert_chunked_ (const char *text, enum net_body_state state, const char *payload, size_t left)
{
  GRand *random = g_rand_new_with_seed ((guint32)strlen (text));
  g_autoptr (GString) bytes = g_string_new (text);

  for (unsigned i = 0; i < CUTS; i++)
    {
      g_autoptr (GString) received = g_string_new (NULL);
      struct net_http_body body;
      size_t read;

      net_http_body_begin (&body, NET_BODY_CHUNKED, 0);
      read = read_all_ (&body, bytes, i == 0 ? NULL : random, received);
      if (body.state != state)
        print_message ("%s\n", text);
      assert_int_equal (body.state, state);
      if (state == NET_BODY_MALFORMED)
        continue;
      assert_string_equal (received->str, payload);
      assert_int_equal (bytes->len - read, left);
    }
  g_rand_free (random);
}

static void
chunks_are_joined_up_to_the_end_of_the_trailers (void **state)
{
  assert_chunked_ ("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", NET_BODY_COMPLETE, "abcde", 0);
  assert_chunked_ ("0\r\n\r\nbehind", NET_BODY_COMPLETE, "", 6);
  assert_chunked_ ("00a\r\n0123456789\r\n000\r\n\r\n\r\n", NET_BODY_COMPLETE, "0123456789", 2);
  assert_chunked_ ("A \t\r\n0123456789\r\n0\r\n\r\n", NET_BODY_COMPLETE, "0123456789", 0);
  assert_chunked_ ("1;a=b;c=\"d e\"\r\nx\r\n0 ;a\r\n\r\n", NET_BODY_COMPLETE, "x", 0);
  assert_chunked_ ("1\r\nx\r\n0\r\nX-A: b c\r\nX-B:\r\n\r\n", NET_BODY_COMPLETE, "x", 0);
  assert_chunked_ ("2\r\n\r\n\r\n0\r\n\r\n", NET_BODY_COMPLETE, "\r\n", 0);
}

/* The parser of the heads skips the two bytes behind a chunk and blanks in names whatever they are:
 * callers got bodies that were not the server's. */
static void
chunks_and_trailers_of_another_form_are_rejected (void **state)
{
  static const char *const bodies[] = {
    "\r\n",
    " 1\r\nx\r\n0\r\n\r\n",
    "g\r\n",
    "-1\r\n",
    "+1\r\nx\r\n",
    "0x1\r\nx\r\n",
    "1 1\r\nx\r\n",
    "1 x\r\nx\r\n",
    "1\nx\r\n",
    "1\rxy\r\n",
    "1;a\nb\r\nx\r\n",
    "1;\x01\r\nx\r\n",
    "1\r\nxyz0\r\n\r\n",
    "1\r\nx\n0\r\n\r\n",
    "1\r\nx\r0\r\n\r\n",
    "1\r\nx0\r\n\r\n",
    "10000000000000000\r\nx",
    "0\n\n",
    "0\r\n\n",
    "0\r\n\rx",
    "0\r\nX: a\n\r\n",
    "0\r\nX: a\rb\r\n\r\n",
    "0\r\nX: a\r\n folded\r\n\r\n",
    "0\r\n X: a\r\n\r\n",
    "0\r\nX : a\r\n\r\n",
    "0\r\nX Y: a\r\n\r\n",
    "0\r\nX\x01Y: a\r\n\r\n",
    "0\r\nX\x7f: a\r\n\r\n",
    "0\r\nX: a\x01\r\n\r\n",
    "0\r\n: a\r\n\r\n",
    "0\r\nnocolon\r\n\r\n",
    "0\r\nHTTP/1.1 200 OK\r\n\r\n",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    assert_chunked_ (bodies[i], NET_BODY_MALFORMED, NULL, 0);
}

static void
unfinished_chunked_bodies_are_not_complete (void **state)
{
  static const char text[] = "3\r\nabc\r\n0\r\nX-A: b\r\n\r\n";

  for (size_t length = 1; length < strlen (text); length++)
    {
      g_autofree char *begin = g_strndup (text, length);
      g_autofree char *payload = g_strndup ("abc", length < 4 ? 0 : MIN (length - 3, 3U));

      assert_chunked_ (begin, NET_BODY_READING, payload, 0);
    }
  assert_chunked_ (text, NET_BODY_COMPLETE, "abc", 0);
}

static void
lines_without_end_are_rejected (void **state)
{
  static const char *const begins[] = { "0", "1;", "1 ", "0\r\nX", "0\r\nX: " };

  for (size_t i = 0; i < G_N_ELEMENTS (begins); i++)
    {
      g_autofree char *filler
          = g_strnfill (ENDLESS_BYTES, begins[i][strlen (begins[i]) - 1] == '0' ? '0' : ' ');
      g_autofree char *text = g_strconcat (begins[i], i == 3 ? "X" : "", filler, NULL);

      assert_chunked_ (text, NET_BODY_MALFORMED, NULL, 0);
    }
}

/* Only a body without a length and chunks ends with its connection, and only if that ended in
 * order. */
static void
the_end_of_the_input_completes_what_nothing_else_ends (void **state)
{
  static const enum net_body_framing framings[]
      = { NET_BODY_LENGTH, NET_BODY_CHUNKED, NET_BODY_CONNECTION };
  g_autoptr (GString) bytes = g_string_new ("4\r\nab");

  for (unsigned i = 0; i < 2 * G_N_ELEMENTS (framings); i++)
    {
      bool in_order = i % 2 == 0;
      g_autoptr (GString) payload = g_string_new (NULL);
      struct net_http_body body;

      net_http_body_begin (&body, framings[i / 2], bytes->len + 1);
      assert_int_equal (read_all_ (&body, bytes, NULL, payload), bytes->len);
      assert_int_equal (body.state, NET_BODY_READING);
      net_http_body_end_input (&body, in_order);
      assert_int_equal (body.state, framings[i / 2] == NET_BODY_CONNECTION && in_order
                                        ? NET_BODY_COMPLETE
                                        : NET_BODY_READING);
    }
}

static void
a_length_ends_the_body_in_front_of_what_follows (void **state)
{
  g_autoptr (GString) bytes = g_string_new ("abcdef");
  g_autoptr (GString) payload = g_string_new (NULL);
  struct net_http_body body;

  net_http_body_begin (&body, NET_BODY_LENGTH, 4);
  assert_int_equal (read_all_ (&body, bytes, NULL, payload), 4);
  assert_int_equal (body.state, NET_BODY_COMPLETE);
  assert_string_equal (payload->str, "abcd");
  net_http_body_begin (&body, NET_BODY_LENGTH, 0);
  assert_int_equal (body.state, NET_BODY_COMPLETE);
  net_http_body_begin (&body, NET_BODY_ABSENT, 4);
  assert_int_equal (body.state, NET_BODY_COMPLETE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (chunks_are_joined_up_to_the_end_of_the_trailers),
    cmocka_unit_test (chunks_and_trailers_of_another_form_are_rejected),
    cmocka_unit_test (unfinished_chunked_bodies_are_not_complete),
    cmocka_unit_test (lines_without_end_are_rejected),
    cmocka_unit_test (the_end_of_the_input_completes_what_nothing_else_ends),
    cmocka_unit_test (a_length_ends_the_body_in_front_of_what_follows),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
