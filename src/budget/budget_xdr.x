/* Messages between instances about budgets. Every message may be lost, repeated or reordered. All
 * amounts are in tokens. Names are padded with NULs to a fixed length, so that XDR adds no padding
 * of its own: libtirpc decodes that into a buffer shared by all threads. */
const SR_BUDGET_NAME_BYTES = 64;
const SR_BUDGET_RAISES_MAX = 64;

/* Identifies one holder's record of a budget. */
struct sr_budget_holder_msg {
  opaque instance[SR_BUDGET_NAME_BYTES];
  unsigned hyper incarnation;
  unsigned hyper generation; /* number of the record among those that this incarnation opened */
};

/* Loan request. returned, need and want are totals over the life of the lender's record, not
 * increments: a repeated message neither returns tokens twice nor borrows more than want. */
struct sr_budget_borrow_msg {
  opaque budget[SR_BUDGET_NAME_BYTES];
  opaque borrower[SR_BUDGET_NAME_BYTES];
  unsigned hyper borrower_incarnation;
  sr_budget_holder_msg lender; /* empty instance: the lender's record is not known yet */
  hyper returned; /* by the borrower */
  hyper need; /* least total of the loan that the borrower's reservations require */
  hyper want; /* total that the borrower would like, to borrow less often */
  bool last_resort; /* the platform has no tokens left: lend available ones, do not draw */
};

/* Loan reply. */
struct sr_budget_borrowed_msg {
  bool has_record; /* false: the peer holds no record of the budget; lender and lent are empty */
  sr_budget_holder_msg lender; /* the record that the tokens are lent from */
  hyper lent; /* total lent to the borrower from this record */
  bool pending;   /* the lender is fetching tokens: repeat the request soon */
  bool exhausted; /* the lender has too few tokens and cannot get more now */
};

/* Asks a borrower to return the available tokens of its loan from a record, except those that its
 * reservations wait for. */
struct sr_budget_recall_msg {
  opaque budget[SR_BUDGET_NAME_BYTES];
  sr_budget_holder_msg lender;
};

struct sr_budget_recalled_msg {
  hyper returned; /* total that the borrower has returned; 0 once the lender acknowledged it */
  hyper lent; /* total of the loan that the borrower has received */
  hyper open; /* part of lent that is neither used nor returned, and may still be returned */
  unsigned hyper incarnation; /* of the borrower */
};

/* One record of the sender. At most one of closed and final is set. */
struct sr_budget_raise_item {
  opaque budget[SR_BUDGET_NAME_BYTES];
  unsigned hyper generation;
  hyper ceiling; /* requested ceiling; with final, the most that the holder will use */
  bool closed; /* the holder has closed the record: the witness forgets it, unless it is sealed */
  bool final;  /* the witness seals the record and lowers its ceiling to at most this one */
};

/* Sent by a holder to its witness to raise the ceilings of its records. */
struct sr_budget_raise_msg {
  opaque instance[SR_BUDGET_NAME_BYTES];
  unsigned hyper incarnation; /* of the holder */
  unsigned hyper witness_incarnation; /* incarnation of the witness that this message is for */
  sr_budget_raise_item items<SR_BUDGET_RAISES_MAX>;
};

struct sr_budget_raised_item {
  hyper ceiling; /* acknowledged ceiling; 0 if the item was closed or final */
  bool sealed; /* no raise is acknowledged any more; also true if the item was closed or final */
};

/* The items are in the order of the request. No items: the peer is another incarnation of the
 * witness and has no data of the earlier one. */
struct sr_budget_raised_msg {
  sr_budget_raised_item items<SR_BUDGET_RAISES_MAX>;
};

/* Asks the witness of a holder's record to acknowledge no further raise of it. */
struct sr_budget_seal_msg {
  opaque budget[SR_BUDGET_NAME_BYTES];
  sr_budget_holder_msg holder;
  unsigned hyper witness_incarnation;
};

struct sr_budget_sealed_msg {
  bool known; /* false: the peer is another incarnation of the witness */
  hyper ceiling; /* final acknowledged ceiling; 0 if no raise was ever acknowledged */
};
