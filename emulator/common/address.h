/* IPv4 addresses as text. */
#pragma once

#include <netinet/in.h>
#include <stdbool.h>

enum
{
  ADDRESS_IP_BYTES = INET_ADDRSTRLEN
};

bool address_parse (const char *text, struct sockaddr_in *address);
void address_print_ip (const struct sockaddr_in *address, char ip[ADDRESS_IP_BYTES]);
