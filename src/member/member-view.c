#include "member/member.h"

#include "base/rendezvous.h"

#include <string.h>

static const char *const state_names[] = {
  "alive",
  "suspect",
  "leaving",
  "dead",
};

static int compare_names_ (const void *left, const void *right);

/* Returns the name of STATE, as shown in /status. */
const char *
sr_member_state_to_string (enum sr_member_state state)
{
  g_assert ((size_t)state < G_N_ELEMENTS (state_names));
  return state_names[state];
}

/* Copies the LENGTH members, in any order, into a new view; the caller owns one reference. */
struct sr_member_view *
sr_member_view_new (const struct sr_member *members, size_t length)
{
  size_t bytes = sizeof (struct sr_member_view) + length * sizeof *members;
  struct sr_member_view *view = g_malloc0 (bytes);

  view->reference_count = 1;
  view->length = length;
  if (length > 0)
    {
      memcpy (view->members, members, length * sizeof *members);
      qsort (view->members, length, sizeof *members, compare_names_);
    }
  return view;
}

struct sr_member_view *
sr_member_view_ref (struct sr_member_view *view)
{
  g_atomic_int_inc (&view->reference_count);
  return view;
}

/* NULL is allowed. */
void
sr_member_view_unref (struct sr_member_view *view)
{
  if (view != NULL && g_atomic_int_dec_and_test (&view->reference_count))
    g_free (view);
}

/* Returns the member called NAME, valid as long as VIEW, or NULL. */
const struct sr_member *
sr_member_view_find (const struct sr_member_view *view, const char *name)
{
  size_t low = 0;
  size_t high = view->length;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      int comparison = strcmp (name, view->members[middle].name);

      if (comparison == 0)
        return &view->members[middle];
      if (comparison < 0)
        high = middle;
      else
        low = middle + 1;
    }
  return NULL;
}

/* Returns the entry of this instance, or NULL if the view has none. */
const struct sr_member *
sr_member_view_self (const struct sr_member_view *view)
{
  for (size_t i = 0; i < view->length; i++)
    if (view->members[i].is_self)
      return &view->members[i];
  return NULL;
}

/* Returns the names of the members of DATA_CENTRE (NULL for all data centres) that are alive, this
 * instance included, ordered by rendezvous hashing of KEY, the most preferred one first. The names
 * are valid as long as VIEW; the caller frees the array with g_ptr_array_unref. */
GPtrArray *
sr_member_view_order (const struct sr_member_view *view, const char *key, const char *data_centre)
{
  GPtrArray *candidates = g_ptr_array_new ();
  GPtrArray *order;

  for (size_t i = 0; i < view->length; i++)
    {
      const struct sr_member *member = &view->members[i];

      if (member->state != SR_MEMBER_ALIVE)
        continue;
      if (data_centre == NULL || strcmp (member->data_centre, data_centre) == 0)
        g_ptr_array_add (candidates, (void *)member->name);
    }
  order = sr_rendezvous_order (key, strlen (key), candidates);
  g_ptr_array_unref (candidates);
  return order;
}

static int
compare_names_ (const void *left, const void *right)
{
  const struct sr_member *a = left;
  const struct sr_member *b = right;

  return strcmp (a->name, b->name);
}
