/* Messages between instances about the configuration: a head or a part is read in chunks. */

const CONFIG_CHUNK_NAME_MAX = 64;
const CONFIG_CHUNK_MAX_BYTES = 6144;

enum config_chunk_status
{
  CONFIG_CHUNK_OK = 0,
  CONFIG_CHUNK_ABSENT = 1
};

/* name is a part's, or empty for the head of the revision in force. */
struct config_chunk_query
{
  string name<CONFIG_CHUNK_NAME_MAX>;
  unsigned int offset;
};

/* revision and total_bytes are those of the whole, so that chunks of two revisions never mix. */
struct config_chunk
{
  config_chunk_status status;
  hyper revision;
  unsigned int total_bytes;
  opaque bytes<CONFIG_CHUNK_MAX_BYTES>;
};
