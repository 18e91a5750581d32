#include "emulator/proxy/rules.h"

#include <string.h>

struct rule_
{
  char *from;
  char *to;
  struct forward_policy policy;
};

struct rules
{
  GArray *list; /* struct rule_; the last match wins */
};

static const char *const mode_names[] = { "pass", "cut", "silence", "delay" };

static bool matches_ (const char *pattern, const char *address);

/* Creates an empty list of rules: everything is forwarded. It is not thread-safe: the caller locks
 * around every call. */
struct rules *
rules_new (void)
{
  struct rules *rules = g_new0 (struct rules, 1);

  rules->list = g_array_new (FALSE, FALSE, sizeof (struct rule_));
  return rules;
}

/* Adds a rule for traffic from FROM to TO (IPs, "*" for any); it takes precedence over earlier
 * ones. Returns false when MODE is unknown. */
bool
rules_add (struct rules *rules, const char *from, const char *to, const char *mode, int delay_ms)
{
  unsigned index = 0;
  struct rule_ rule;

  while (index < G_N_ELEMENTS (mode_names) && strcmp (mode, mode_names[index]) != 0)
    index++;
  if (index == G_N_ELEMENTS (mode_names))
    return false;
  rule = (struct rule_){ g_strdup (from), g_strdup (to), { (enum forward_mode)index, delay_ms } };
  g_array_append_val (rules->list, rule);
  return true;
}

void
rules_clear (struct rules *rules)
{
  for (guint i = 0; i < rules->list->len; i++)
    {
      struct rule_ *rule = &g_array_index (rules->list, struct rule_, i);

      g_free (rule->from);
      g_free (rule->to);
    }
  g_array_set_size (rules->list, 0);
}

/* Returns the policy of the last rule that matches, or FORWARD_PASS. */
struct forward_policy
rules_find (const struct rules *rules, const char *from, const char *to)
{
  for (guint i = rules->list->len; i > 0; i--)
    {
      const struct rule_ *rule = &g_array_index (rules->list, struct rule_, i - 1);

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
