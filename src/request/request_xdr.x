/* Messages between instances about callers' requests. All are idempotent. */

const SR_REQUEST_KEY_MAX_BYTES = 256;
const SR_REQUEST_NAME_MAX_BYTES = 64;
const SR_REQUEST_CHUNK_MAX_BYTES = 6000;

struct sr_request_key
{
  string team_and_id<SR_REQUEST_KEY_MAX_BYTES>; /* "TEAM/REQUEST" */
};

/* Sent to the directory instance of a request by an instance that received the request and would
 * run it. */
struct sr_request_claim
{
  sr_request_key key;
  unsigned hyper fingerprint_high; /* the fingerprint identifies the request body */
  unsigned hyper fingerprint_low;
  string instance<SR_REQUEST_NAME_MAX_BYTES>; /* the sender */
  unsigned hyper incarnation;
  unsigned hyper instead_of; /* incarnation of an owner found dead or without the request, or 0 */
};

enum sr_request_place_kind
{
  SR_REQUEST_PLACE_YOURS = 0, /* the sender of the claim runs the request */
  SR_REQUEST_PLACE_ELSEWHERE = 1, /* another instance runs it */
  SR_REQUEST_PLACE_OTHER_BODY = 2 /* the request id was used before with another body */
};

/* Reply to a claim: the owner, which is the instance that runs the request. */
struct sr_request_place
{
  sr_request_place_kind kind;
  string instance<SR_REQUEST_NAME_MAX_BYTES>;
  unsigned hyper incarnation;
};

/* Requests the next part of the answer from the owner of a request. */
struct sr_request_fetch
{
  sr_request_key key;
  unsigned hyper offset; /* bytes of the answer that the requester already has */
};

enum sr_request_progress
{
  SR_REQUEST_PROGRESS_ABSENT = 0, /* the receiver does not know the request */
  SR_REQUEST_PROGRESS_RUNNING = 1, /* more of the answer may follow */
  SR_REQUEST_PROGRESS_DONE = 2 /* the run has ended and text is the last part */
};

/* Reply to a fetch. The fields from outcome on are valid only when progress is DONE. */
struct sr_request_part
{
  sr_request_progress progress;
  opaque text<SR_REQUEST_CHUNK_MAX_BYTES>;
  bool reaches_end;   /* text includes the end of the answer generated so far */
  hyper tokens;       /* of the whole answer generated so far */
  int outcome; /* of struct sr_run_result, as are the fields below */
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
    /* Returns which instance runs a request, and registers the sender if it is to run it. */
    sr_request_place SR_REQUEST_CLAIM (sr_request_claim) = 1;
    /* Returns a part of the answer of a request that the receiver runs or has run. */
    sr_request_part SR_REQUEST_FETCH (sr_request_fetch) = 2;
  } = 1;
} = 0x20005305;
