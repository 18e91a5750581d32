#include "testing/harness/port-lock.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  US_PER_MS = 1000,
  POLL_US = 100000
};

/* Binds UDP PORT of the loopback address as a lock, waiting at most LIMIT_MS for another run to
 * release it. Returns a descriptor to release with harness_unlock_ports, or -1. */
int
harness_lock_ports (unsigned port, int64_t limit_ms)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int64_t end_us = g_get_monotonic_time () + limit_ms * US_PER_MS;
  int lock = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  while (lock >= 0 && bind (lock, (struct sockaddr *)&address, sizeof address) != 0)
    {
      if (g_get_monotonic_time () >= end_us)
        {
          close (lock);
          return -1;
        }
      g_usleep (POLL_US);
    }
  return lock;
}

/* Releases the lock. Accepts a negative LOCK. */
void
harness_unlock_ports (int lock)
{
  if (lock >= 0)
    close (lock);
}
