#include "member/member.h"

#include "base/thread.h"

#include <string.h>

struct sr_members
{
  pthread_mutex_t mutex;
  struct sr_member self;
};

/* Creates the membership of one instance. The caller owns it and frees it with sr_members_delete.
 */
struct sr_members *
sr_members_new (const struct sr_members_options *options)
{
  struct sr_members *members = g_new0 (struct sr_members, 1);
  struct sr_member *self = &members->self;

  pthread_mutex_init (&members->mutex, NULL);
  g_strlcpy (self->name, options->name, sizeof self->name);
  g_strlcpy (self->data_centre, options->data_centre, sizeof self->data_centre);
  g_strlcpy (self->peer.ip, options->advertise_address, sizeof self->peer.ip);
  self->peer.port = options->peer_port;
  self->entry_port = options->entry_port;
  self->incarnation = options->incarnation;
  self->is_self = true;
  return members;
}

/* Starts the gossip. Returns false when the system gives no thread. */
bool
sr_members_start (struct sr_members *members)
{
  return true;
}

/* Ends the gossip; the view stays as it is. */
void
sr_members_stop (struct sr_members *members)
{
}

/* Frees MEMBERS, stopped before. Views handed out stay valid. NULL is allowed. */
void
sr_members_delete (struct sr_members *members)
{
  if (members == NULL)
    return;
  pthread_mutex_destroy (&members->mutex);
  g_free (members);
}

/* Adds the procedures of gossip to SERVER, before it is started. */
void
sr_members_add_to_server (struct sr_members *members, struct sr_peer_server *server)
{
}

/* Tells the others that the configuration REVISION is in force here. */
void
sr_members_set_revision (struct sr_members *members, int64_t revision)
{
  pthread_mutex_lock (&members->mutex);
  members->self.revision = revision;
  pthread_mutex_unlock (&members->mutex);
}

/* Tells the others that this instance takes no new work. There is no way back but a new start. */
void
sr_members_set_leaving (struct sr_members *members)
{
  pthread_mutex_lock (&members->mutex);
  members->self.state = SR_MEMBER_LEAVING;
  pthread_mutex_unlock (&members->mutex);
}

/* Returns the present view; the caller owns one reference. */
struct sr_member_view *
sr_members_view (struct sr_members *members)
{
  struct sr_member_view *view;

  pthread_mutex_lock (&members->mutex);
  members->self.last_heard_us = g_get_monotonic_time ();
  view = sr_member_view_new (&members->self, 1);
  pthread_mutex_unlock (&members->mutex);
  return view;
}
