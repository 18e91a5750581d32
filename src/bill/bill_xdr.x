/* Copies of bills between instances. Every message may be lost, repeated and reordered. The name is
 * filled up with NULs and the line with blanks to a multiple of four bytes: libtirpc decodes padding
 * into a buffer that all threads share. */
const SR_BILL_NAME_BYTES = 64;
const SR_BILL_LINE_BYTES = 2048;

/* An empty line only says what has been written. The origin is whose request the line bills: the
 * owner, or the instance whose bills the owner has taken over. The line is in no batch of the origin
 * before FIRST_BATCH. */
struct sr_bill_keep_msg {
  opaque owner[SR_BILL_NAME_BYTES];
  unsigned hyper incarnation;
  opaque origin[SR_BILL_NAME_BYTES];
  unsigned hyper origin_incarnation;
  unsigned hyper first_batch;
  unsigned hyper number;
  unsigned hyper written_up_to;
  opaque line<SR_BILL_LINE_BYTES>;
};

struct sr_bill_kept_msg {
  bool kept;
  unsigned hyper incarnation; /* of the keeper */
};
