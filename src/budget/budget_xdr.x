/* Messages of the budgets between instances. Every one may be lost, repeated and reordered. Names
 * are of fixed length, filled up with NULs: libtirpc decodes padding into a buffer that all threads
 * share. */
const SR_BUDGET_NAME_BYTES = 64;
const SR_BUDGET_RAISES_MAX = 64;

struct sr_budget_holder_msg {
  opaque instance[SR_BUDGET_NAME_BYTES];
  unsigned hyper incarnation;
  unsigned hyper generation;
};

/* need and want count from the beginning of the lender's record, as returned does. */
struct sr_budget_borrow_msg {
  opaque budget[SR_BUDGET_NAME_BYTES];
  opaque borrower[SR_BUDGET_NAME_BYTES];
  unsigned hyper borrower_incarnation;
  sr_budget_holder_msg lender;
  hyper returned;
  hyper need;
  hyper want;
  bool last_resort; /* the platform has none left: lend what is there, do not draw */
};

struct sr_budget_borrowed_msg {
  bool has_record;
  sr_budget_holder_msg lender;
  hyper lent;
  bool pending;   /* tokens are being fetched: ask again soon */
  bool exhausted; /* the lender has none left and cannot get any */
};

struct sr_budget_recall_msg {
  opaque budget[SR_BUDGET_NAME_BYTES];
  sr_budget_holder_msg lender;
};

struct sr_budget_recalled_msg {
  hyper returned;
  hyper lent; /* of the loan, as far as it has arrived */
  hyper open; /* of that, neither used nor returned: it may still come back */
  unsigned hyper incarnation;
};

struct sr_budget_raise_item {
  opaque budget[SR_BUDGET_NAME_BYTES];
  unsigned hyper generation;
  hyper ceiling;
  bool closed; /* the record was closed by its holder: forget it */
  bool final;  /* the holder will use no more than this: seal it */
};

struct sr_budget_raise_msg {
  opaque instance[SR_BUDGET_NAME_BYTES];
  unsigned hyper incarnation;
  unsigned hyper witness_incarnation;
  sr_budget_raise_item items<SR_BUDGET_RAISES_MAX>;
};

struct sr_budget_raised_item {
  hyper ceiling;
  bool sealed;
};

/* No items: the witness is another incarnation and remembers nothing. */
struct sr_budget_raised_msg {
  sr_budget_raised_item items<SR_BUDGET_RAISES_MAX>;
};

struct sr_budget_seal_msg {
  opaque budget[SR_BUDGET_NAME_BYTES];
  sr_budget_holder_msg holder;
  unsigned hyper witness_incarnation;
};

struct sr_budget_sealed_msg {
  bool known; /* false: the witness is another incarnation */
  hyper ceiling;
};
