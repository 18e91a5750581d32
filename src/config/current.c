#include "config/config.h"

#include <pthread.h>
#include <stdatomic.h>
#include <urcu.h>

/* The pointer is a C11 atomic, because ThreadSanitizer does not understand rcu_assign_pointer and
 * rcu_dereference. The release store and the acquire load order memory as these do. */
struct sr_config_current
{
  pthread_mutex_t mutex; /* held by writers only */
  struct sr_config *_Atomic config;
};

static pthread_once_t thread_key_once_ = PTHREAD_ONCE_INIT;
static pthread_key_t thread_key_;
static __thread bool thread_is_registered_;

static void register_thread_ (void);
static void create_thread_key_ (void);
static void unregister_thread_ (void *data);

/* Creates a holder without a configuration. The caller owns it and frees it with
 * sr_config_current_delete. */
struct sr_config_current *
sr_config_current_new (void)
{
  struct sr_config_current *current = g_new0 (struct sr_config_current, 1);

  pthread_mutex_init (&current->mutex, NULL);
  return current;
}

/* Frees CURRENT and drops its reference to the configuration. No other thread may be using CURRENT.
 * NULL is allowed. */
void
sr_config_current_delete (struct sr_config_current *current)
{
  if (current == NULL)
    return;
  sr_config_unref (current->config);
  pthread_mutex_destroy (&current->mutex);
  g_free (current);
}

/* Returns the configuration in force with a reference that the caller owns, or NULL while there is
 * none. Never blocks. Registers the calling thread with RCU on its first call. */
struct sr_config *
sr_config_current_get (struct sr_config_current *current)
{
  struct sr_config *config;

  register_thread_ ();
  rcu_read_lock ();
  config = atomic_load_explicit (&current->config, memory_order_acquire);
  if (config != NULL)
    sr_config_ref (config);
  rcu_read_unlock ();
  return config;
}

/* Puts CONFIG in force if its revision is higher than that of the configuration in force, and takes
 * a reference to it; otherwise returns false and changes nothing. Blocks for an RCU grace period
 * before it drops the reference to the former configuration. May be called in any thread. */
bool
sr_config_current_apply (struct sr_config_current *current, struct sr_config *config)
{
  struct sr_config *former;
  bool higher;

  pthread_mutex_lock (&current->mutex);
  former = current->config;
  higher = former == NULL || sr_config_revision (config) > sr_config_revision (former);
  if (higher)
    atomic_store_explicit (&current->config, sr_config_ref (config), memory_order_release);
  pthread_mutex_unlock (&current->mutex);
  if (!higher)
    return false;
  synchronize_rcu ();
  sr_config_unref (former);
  return true;
}

/* Registers the calling thread with RCU once; a thread-specific key unregisters it at thread exit.
 */
static void
register_thread_ (void)
{
  if (thread_is_registered_)
    return;
  pthread_once (&thread_key_once_, create_thread_key_);
  rcu_register_thread ();
  thread_is_registered_ = true;
  pthread_setspecific (thread_key_, &thread_key_);
}

static void
create_thread_key_ (void)
{
  pthread_key_create (&thread_key_, unregister_thread_);
}

static void
unregister_thread_ (void *data)
{
  thread_is_registered_ = false;
  rcu_unregister_thread ();
}
