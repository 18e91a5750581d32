#include "entry/status.h"

#include "entry/instance.h"

static void print_members_ (struct sr_instance *instance, GString *out);

/* Appends the JSON of GET /status to OUT. DATA is the struct sr_instance. */
void
sr_status_print (GString *out, void *data)
{
  struct sr_instance *instance = data;
  struct sr_config *config = sr_config_current_get (instance->current);

  g_string_append_printf (
      out, "{\"instance\":\"%s\",\"data_centre\":\"%s\",\"incarnation\":%" G_GUINT64_FORMAT,
      instance->settings->name->str, instance->settings->data_centre->str, instance->incarnation);
  g_string_append_printf (out, ",\"revision\":%" G_GINT64_FORMAT ",\"in_progress\":%u,\"members\":",
                          config != NULL ? sr_config_revision (config) : 0,
                          sr_run_table_in_progress (instance->table));
  print_members_ (instance, out);
  g_string_append (out, ",\"budgets\":");
  sr_budgets_print_status (instance->budgets, out);
  g_string_append (out, ",\"backends\":");
  sr_router_print_status (instance->router, out, g_get_monotonic_time ());
  g_string_append (out, "}\n");
  sr_config_unref (config);
}

static void
print_members_ (struct sr_instance *instance, GString *out)
{
  struct sr_member_view *view = sr_members_view (instance->members);

  g_string_append_c (out, '[');
  for (size_t i = 0; i < view->length; i++)
    {
      const struct sr_member *member = &view->members[i];

      g_string_append_printf (
          out,
          "%s{\"name\":\"%s\",\"data_centre\":\"%s\",\"address\":\"%s\",\"entry_port\":%u,"
          "\"peer_port\":%u,\"incarnation\":%" G_GUINT64_FORMAT
          ",\"state\":\"%s\",\"revision\":%" G_GINT64_FORMAT "}",
          i > 0 ? "," : "", member->name, member->data_centre, member->peer.ip, member->entry_port,
          member->peer.port, member->incarnation, sr_member_state_to_string (member->state),
          member->revision);
    }
  g_string_append_c (out, ']');
  sr_member_view_unref (view);
}
