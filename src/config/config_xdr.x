/* Messages with which an instance reads the configuration from a peer: its head and its parts, in
 * chunks. */

const CONFIG_CHUNK_NAME_MAX = 64;
const CONFIG_CHUNK_MAX_BYTES = 6144;

enum config_chunk_status
{
  CONFIG_CHUNK_OK = 0,
  CONFIG_CHUNK_ABSENT = 1
};

/* Requests one chunk of the head or of a part of the revision in force at the peer. */
struct config_chunk_query
{
  string name<CONFIG_CHUNK_NAME_MAX>; /* of a part; empty for the head */
  unsigned int offset; /* in bytes */
};

/* The receiver compares revision and total_bytes of all chunks, so that it never combines chunks of
 * different revisions. */
struct config_chunk
{
  config_chunk_status status;
  hyper revision;
  unsigned int total_bytes; /* of the whole head or part */
  opaque bytes<CONFIG_CHUNK_MAX_BYTES>;
};
