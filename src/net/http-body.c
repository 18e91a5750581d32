#include "net/http-body.h"

#include "net/http-head.h"

#include <glib.h>

enum
{
  CHUNK_LINE_MAX_BYTES = 1024, /* a size and its extensions, which are ignored */
  TRAILER_MAX_BYTES = 16384    /* as many as a head may have by default */
};

/* What the next byte of the chunked framing belongs to. */
enum chunk_step_
{
  STEP_SIZE_BEGIN,
  STEP_SIZE,
  STEP_SIZE_BLANKS, /* behind the size */
  STEP_EXTENSION,
  STEP_SIZE_LF,
  STEP_DATA,
  STEP_DATA_CR,
  STEP_DATA_LF,
  STEP_TRAILER_BEGIN, /* a field's name, or the empty line that ends the message */
  STEP_TRAILER_NAME,
  STEP_TRAILER_VALUE,
  STEP_TRAILER_LF,
  STEP_END_LF
};

static size_t read_chunked_ (struct net_http_body *body,
                             struct net_string_view bytes,
                             struct net_string_view *payload);
static unsigned step_ (struct net_http_body *body, char byte);
static unsigned step_size_ (struct net_http_body *body, char byte);
static unsigned step_trailer_ (struct net_http_body *body, char byte);
static unsigned expect_ (struct net_http_body *body, char byte, char expected, unsigned next);
static unsigned reject_ (struct net_http_body *body);

/* Begins the body of a message behind its head. LENGTH counts for NET_BODY_LENGTH only. */
void
net_http_body_begin (struct net_http_body *body, enum net_body_framing framing, uint64_t length)
{
  *body = (struct net_http_body){ .framing = framing, .step = STEP_SIZE_BEGIN };
  if (framing == NET_BODY_LENGTH)
    body->left = length;
  if (framing == NET_BODY_ABSENT || (framing == NET_BODY_LENGTH && length == 0))
    body->state = NET_BODY_COMPLETE;
}

/* Reads the next of BYTES, at least one, while the state is NET_BODY_READING. Returns how many it
 * has read, and which of them are *PAYLOAD, which may be empty. */
size_t
net_http_body_read (struct net_http_body *body,
                    struct net_string_view bytes,
                    struct net_string_view *payload)
{
  g_assert (body->state == NET_BODY_READING && bytes.length > 0);
  if (body->framing == NET_BODY_CHUNKED)
    return read_chunked_ (body, bytes, payload);
  *payload = bytes;
  if (body->framing == NET_BODY_LENGTH)
    {
      payload->length = (size_t)MIN (body->left, (uint64_t)bytes.length);
      body->left -= payload->length;
      if (body->left == 0)
        body->state = NET_BODY_COMPLETE;
    }
  return payload->length;
}

/* No byte will follow, as the peer has ended the connection; IN_ORDER: without a reset or another
 * error. */
void
net_http_body_end_input (struct net_http_body *body, bool in_order)
{
  if (body->state == NET_BODY_READING && body->framing == NET_BODY_CONNECTION && in_order)
    body->state = NET_BODY_COMPLETE;
}

static size_t
read_chunked_ (struct net_http_body *body,
               struct net_string_view bytes,
               struct net_string_view *payload)
{
  size_t read = 0;

  *payload = (struct net_string_view){ "", 0 };
  while (read < bytes.length && body->state == NET_BODY_READING)
    {
      if (body->step == STEP_DATA)
        {
          payload->data = bytes.data + read;
          payload->length = (size_t)MIN (body->left, (uint64_t)(bytes.length - read));
          body->left -= payload->length;
          if (body->left == 0)
            body->step = STEP_DATA_CR;
          return read + payload->length;
        }
      body->step = step_ (body, bytes.data[read++]);
      if (++body->framing_bytes
          > (body->step < STEP_TRAILER_BEGIN ? CHUNK_LINE_MAX_BYTES : TRAILER_MAX_BYTES))
        body->state = NET_BODY_MALFORMED;
    }
  return read;
}

/* Returns the step after BYTE of the framing. */
static unsigned
step_ (struct net_http_body *body, char byte)
{
  switch ((enum chunk_step_)body->step)
    {
    case STEP_SIZE_BEGIN:
    case STEP_SIZE:
    case STEP_SIZE_BLANKS:
    case STEP_EXTENSION:
      return step_size_ (body, byte);
    case STEP_SIZE_LF:
      body->framing_bytes = 0;
      return expect_ (body, byte, '\n', body->left == 0 ? STEP_TRAILER_BEGIN : STEP_DATA);
    case STEP_DATA_CR:
      return expect_ (body, byte, '\r', STEP_DATA_LF);
    case STEP_DATA_LF:
      return expect_ (body, byte, '\n', STEP_SIZE_BEGIN);
    case STEP_TRAILER_BEGIN:
    case STEP_TRAILER_NAME:
    case STEP_TRAILER_VALUE:
      return step_trailer_ (body, byte);
    case STEP_TRAILER_LF:
      return expect_ (body, byte, '\n', STEP_TRAILER_BEGIN);
    case STEP_END_LF:
      if (byte != '\n')
        return reject_ (body);
      body->state = NET_BODY_COMPLETE;
      return STEP_END_LF;
    case STEP_DATA:
      break;
    }
  g_assert_not_reached ();
}

/* A byte of the line in front of a chunk. */
static unsigned
step_size_ (struct net_http_body *body, char byte)
{
  int digit = g_ascii_xdigit_value (byte);

  if (body->step == STEP_EXTENSION && net_http_is_text_char ((uint8_t)byte))
    return STEP_EXTENSION;
  if (body->step <= STEP_SIZE && digit >= 0)
    {
      if (body->left > UINT64_MAX >> 4)
        return reject_ (body);
      body->left = body->left << 4 | (uint64_t)digit;
      return STEP_SIZE;
    }
  if (body->step == STEP_SIZE_BEGIN)
    return reject_ (body);
  if (body->step != STEP_EXTENSION && (byte == ' ' || byte == '\t'))
    return STEP_SIZE_BLANKS;
  if (body->step != STEP_EXTENSION && byte == ';')
    return STEP_EXTENSION;
  return expect_ (body, byte, '\r', STEP_SIZE_LF);
}

/* A byte of the lines behind the last chunk. */
static unsigned
step_trailer_ (struct net_http_body *body, char byte)
{
  if (body->step == STEP_TRAILER_VALUE)
    return net_http_is_text_char ((uint8_t)byte) ? STEP_TRAILER_VALUE
                                                 : expect_ (body, byte, '\r', STEP_TRAILER_LF);
  if (net_http_is_token_char ((uint8_t)byte))
    return STEP_TRAILER_NAME;
  if (body->step == STEP_TRAILER_BEGIN)
    return expect_ (body, byte, '\r', STEP_END_LF);
  return expect_ (body, byte, ':', STEP_TRAILER_VALUE);
}

/* Returns the step NEXT if BYTE is the EXPECTED one; rejects the body otherwise. */
static unsigned
expect_ (struct net_http_body *body, char byte, char expected, unsigned next)
{
  return byte == expected ? next : reject_ (body);
}

static unsigned
reject_ (struct net_http_body *body)
{
  body->state = NET_BODY_MALFORMED;
  return body->step;
}
