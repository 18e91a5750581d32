/* Callers for the script of case 13: N connections to IP:PORT, each with one request for a resumable
 * stream. Reads what comes for SECONDS, and prints how many got an answer with status 200, another
 * status, or none.
 *
 *   crowd-3 IP PORT N SECONDS */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

int
main (int argc, char **argv)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int n = argc > 4 ? atoi (argv[3]) : 0;
  struct pollfd *peers = calloc ((size_t)n, sizeof *peers);
  int *statuses = calloc ((size_t)n, sizeof *statuses);
  time_t end;
  int served = 0;
  int other = 0;

  if (n == 0)
    return 2;
  address.sin_port = htons ((uint16_t)atoi (argv[2]));
  inet_pton (AF_INET, argv[1], &address.sin_addr);
  for (int i = 0; i < n; i++)
    {
      char text[512];
      int length = snprintf (text, sizeof text,
                             "POST /resume/a HTTP/1.1\r\nHost: site.test\r\nX-Request-Id: c%07x\r\n"
                             "X-Deadline-Ms: 8000\r\nAuthorization: Token key-1\r\nX-Model: m\r\n"
                             "X-Token-Counts: 1000,60\r\nX-Prompt-Prefix: 5c1e:900,%x:100\r\n"
                             "Content-Length: 4\r\n\r\nbody",
                             i, 0x1000 + i);

      peers[i].fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      peers[i].events = POLLIN;
      if (connect (peers[i].fd, (struct sockaddr *)&address, sizeof address) != 0
          || send (peers[i].fd, text, (size_t)length, MSG_NOSIGNAL) != length)
        return 2;
    }
  end = time (NULL) + atoi (argv[4]);
  while (time (NULL) < end && poll (peers, (nfds_t)n, 100) >= 0)
    for (int i = 0; i < n; i++)
      if (peers[i].revents != 0)
        {
          char text[16384];
          ssize_t got = recv (peers[i].fd, text, sizeof text - 1, MSG_DONTWAIT);

          if (got <= 0)
            {
              close (peers[i].fd);
              peers[i].fd = -1;
              continue;
            }
          text[got] = '\0';
          if (statuses[i] == 0 && got > 12)
            statuses[i] = atoi (text + 9);
        }
  for (int i = 0; i < n; i++)
    {
      served += statuses[i] == 200;
      other += statuses[i] != 0 && statuses[i] != 200;
    }
  printf ("callers %d status 200: %d another status: %d none: %d\n", n, served, other,
          n - served - other);
  return 0;
}
