#include "emulator/common/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Parses "IP:PORT". Returns false when IP is invalid or there is no colon; PORT is not checked. */
bool
address_parse (const char *text, struct sockaddr_in *address)
{
  char **parts = g_strsplit (text, ":", 2);
  bool valid = g_strv_length (parts) == 2;

  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  if (valid)
    {
      valid = inet_pton (AF_INET, parts[0], &address->sin_addr) == 1;
      address->sin_port = htons ((uint16_t)strtoul (parts[1], NULL, 10));
    }
  g_strfreev (parts);
  return valid;
}

/* Writes the IP of ADDRESS in dotted decimal into IP. */
void
address_print_ip (const struct sockaddr_in *address, char ip[ADDRESS_IP_BYTES])
{
  inet_ntop (AF_INET, &address->sin_addr, ip, ADDRESS_IP_BYTES);
}
