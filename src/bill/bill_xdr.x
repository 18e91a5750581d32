/* Messages with which an instance, the owner, has a peer, the keeper, store copies of its bill
 * lines. Every message may be lost, repeated or reordered. Names are padded with NULs to a fixed
 * length, lines with spaces to a multiple of four bytes, so that XDR adds no padding of its own:
 * libtirpc decodes that into a buffer shared by all threads. */
const SR_BILL_NAME_BYTES = 64;
const SR_BILL_LINE_BYTES = 2048;

/* Asks the keeper to store a copy of a line, and reports which lines are written to the platform.
 * With an empty line it only reports. */
struct sr_bill_keep_msg {
  opaque owner[SR_BILL_NAME_BYTES];
  unsigned hyper incarnation; /* of the owner */
  opaque origin[SR_BILL_NAME_BYTES]; /* instance that ran the billed request: the owner, or a dead
                                        instance whose lines the owner has adopted */
  unsigned hyper origin_incarnation;
  unsigned hyper first_batch; /* no batch of the origin with a lower number contains the line */
  unsigned hyper number; /* sequence number among the owner's lines, from 1; 0 with an empty line */
  unsigned hyper written_up_to; /* all lines up to this number are written to the platform */
  opaque line<SR_BILL_LINE_BYTES>; /* one JSON object */
};

struct sr_bill_kept_msg {
  bool kept; /* a copy is stored, or not needed because the line is already written */
  unsigned hyper incarnation; /* of the keeper */
};
