#include "member/instance-list.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

enum
{
  PORT_MAX = 65535
};

static bool entry_parse_ (json_t *entry, struct sr_member *member);
static bool text_copy_ (json_t *entry, const char *key, char *text, size_t size);
static bool port_copy_ (json_t *entry, const char *key, unsigned *port);

/* Parses a list document (JSON; TEXT, LENGTH bytes) and appends its instances to MEMBERS, an array
 * of struct sr_member, in state alive or leaving. Skips incomplete and invalid entries. Returns
 * false when the document is invalid or contains no list. */
bool
sr_instance_list_parse (const char *text, size_t length, GArray *members)
{
  json_t *root = json_loadb (text, length, JSON_REJECT_DUPLICATES, NULL);
  json_t *instances = json_object_get (root, "instances");
  bool found = json_is_array (instances);
  json_t *entry;
  size_t index;

  json_array_foreach (instances, index, entry)
  {
    struct sr_member member = { 0 };

    if (entry_parse_ (entry, &member))
      g_array_append_val (members, member);
  }
  json_decref (root);
  return found;
}

static bool
entry_parse_ (json_t *entry, struct sr_member *member)
{
  const char *state = json_string_value (json_object_get (entry, "state"));
  struct in_addr ip;

  member->state
      = state != NULL && strcmp (state, "leaving") == 0 ? SR_MEMBER_LEAVING : SR_MEMBER_ALIVE;
  return text_copy_ (entry, "name", member->name, sizeof member->name)
         && text_copy_ (entry, "data_centre", member->data_centre, sizeof member->data_centre)
         && text_copy_ (entry, "address", member->peer.ip, sizeof member->peer.ip)
         && inet_pton (AF_INET, member->peer.ip, &ip) == 1
         && port_copy_ (entry, "peer_port", &member->peer.port)
         && port_copy_ (entry, "entry_port", &member->entry_port);
}

static bool
text_copy_ (json_t *entry, const char *key, char *text, size_t size)
{
  const char *value = json_string_value (json_object_get (entry, key));

  return value != NULL && value[0] != '\0' && g_strlcpy (text, value, size) < size;
}

static bool
port_copy_ (json_t *entry, const char *key, unsigned *port)
{
  json_int_t value = json_integer_value (json_object_get (entry, key));

  if (value < 1 || value > PORT_MAX)
    return false;
  *port = (unsigned)value;
  return true;
}
