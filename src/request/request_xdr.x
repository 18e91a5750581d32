/* Messages between instances about requests. Every one of them is idempotent. */

const SR_REQUEST_KEY_MAX_BYTES = 256;
const SR_REQUEST_NAME_MAX_BYTES = 64;
const SR_REQUEST_CHUNK_MAX_BYTES = 6000;

struct sr_request_key
{
  string team_and_id<SR_REQUEST_KEY_MAX_BYTES>;
};

/* An instance tells a request's home that it has the request. */
struct sr_request_claim
{
  sr_request_key key;
  unsigned hyper fingerprint_high;
  unsigned hyper fingerprint_low;
  string instance<SR_REQUEST_NAME_MAX_BYTES>;
  unsigned hyper incarnation;
  unsigned hyper instead_of; /* incarnation of an owner found gone, or 0 */
};

enum sr_request_place_kind
{
  SR_REQUEST_PLACE_YOURS = 0,
  SR_REQUEST_PLACE_ELSEWHERE = 1,
  SR_REQUEST_PLACE_OTHER_BODY = 2
};

struct sr_request_place
{
  sr_request_place_kind kind;
  string instance<SR_REQUEST_NAME_MAX_BYTES>;
  unsigned hyper incarnation;
};

struct sr_request_fetch
{
  sr_request_key key;
  unsigned hyper offset; /* bytes of the answer the asker has */
};

enum sr_request_progress
{
  SR_REQUEST_PROGRESS_ABSENT = 0,
  SR_REQUEST_PROGRESS_RUNNING = 1,
  SR_REQUEST_PROGRESS_DONE = 2
};

struct sr_request_part
{
  sr_request_progress progress;
  opaque text<SR_REQUEST_CHUNK_MAX_BYTES>;
  bool reaches_end;   /* text ends where the answer so far ends */
  hyper tokens;       /* of the answer so far */
  int outcome;
  int error;
  hyper retry_after_ms;
  hyper prompt_tokens;
  hyper output_tokens;
  hyper billed_tokens;
};

program SR_REQUEST_PROGRAM
{
  version SR_REQUEST_VERSION
  {
    sr_request_place SR_REQUEST_CLAIM (sr_request_claim) = 1;
    sr_request_part SR_REQUEST_FETCH (sr_request_fetch) = 2;
  } = 1;
} = 0x20005305;
