#include "emulator/proxy/rules.h"

#include <string.h>

struct rule
{
  char *from;
  char *to;
  struct forward_policy policy;
};

struct rules
{
  GArray *list; /* struct rule; the last that matches holds */
};

static const char *const mode_names[] = { "pass", "cut", "silence", "delay" };

static bool matches_ (const char *pattern, const char *address);

/* No rules: everything passes. The caller holds a lock around every call. */
struct rules *
rules_new (void)
{
  struct rules *rules = g_new0 (struct rules, 1);

  rules->list = g_array_new (FALSE, FALSE, sizeof (struct rule));
  return rules;
}

/* Adds a rule; false when there is no such MODE. */
bool
rules_add (struct rules *rules, const char *from, const char *to, const char *mode, int delay_ms)
{
  unsigned index = 0;
  struct rule rule;

  while (index < G_N_ELEMENTS (mode_names) && strcmp (mode, mode_names[index]) != 0)
    index++;
  if (index == G_N_ELEMENTS (mode_names))
    return false;
  rule = (struct rule){ g_strdup (from), g_strdup (to), { (enum forward_mode)index, delay_ms } };
  g_array_append_val (rules->list, rule);
  return true;
}

/* Drops all rules. */
void
rules_clear (struct rules *rules)
{
  for (guint i = 0; i < rules->list->len; i++)
    {
      struct rule *rule = &g_array_index (rules->list, struct rule, i);

      g_free (rule->from);
      g_free (rule->to);
    }
  g_array_set_size (rules->list, 0);
}

/* What holds between two addresses. */
struct forward_policy
rules_find (const struct rules *rules, const char *from, const char *to)
{
  for (guint i = rules->list->len; i > 0; i--)
    {
      const struct rule *rule = &g_array_index (rules->list, struct rule, i - 1);

      if (matches_ (rule->from, from) && matches_ (rule->to, to))
        return rule->policy;
    }
  return (struct forward_policy){ FORWARD_PASS, 0 };
}

static bool
matches_ (const char *pattern, const char *address)
{
  return strcmp (pattern, "*") == 0 || strcmp (pattern, address) == 0;
}
