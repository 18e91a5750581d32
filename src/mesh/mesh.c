#include "mesh/mesh.h"

#include "base/counters.h"
#include "base/event-log.h"
#include "budget/budget_xdr.h"
#include "mesh/part-reports.h"
#include "mesh/rate-limit.h"

#include <string.h>

enum
{
  US_PER_MS = 1000,
  TIME_FANOUT = 8,           /* more than a quorum needs, as some peers do not respond */
  UPDATE_REQUEST_FANOUT = 8, /* most of them have applied a configuration long ago */
  ANNOUNCE_FANOUT = 6,       /* misses one instance in 400; reaches a thousand in four rounds */
  REPEAT_FANOUT = 2, /* reaches missed instances in a few repetitions, also after a partition */
  MESSAGE_MAX_BYTES = 1400, /* far above the largest message; below the packet size of every link */
  LIMIT_OPENS_MAX_MS = 3600000,     /* loan replies with a later limit_opens_ms are malformed */
  FORMAT = 3,                       /* version of the message format */
  REPORTS_SENT_BYTES_PER_S = 65536, /* a twentieth of a link of 10 Mbit/s */
  REPORTS_RECEIVED_BYTES_PER_S
  = 131072, /* at most 2,500 reports: a few milliseconds of processor time */
  DROPS_LOG_INTERVAL_US = 1000000
};

enum kind_
{
  KIND_MALFORMED = 0,
  KIND_LOAN_REQUEST = 1,
  KIND_LOAN_REPLY = 2,
  KIND_UPDATE = 3,
  /* 4 was used by earlier releases. */
  KIND_REPLACED = 5,
  KIND_LEAVING = 6,
  KIND_TIME_REQUEST = 7,
  KIND_TIME = 8,
  KIND_UPDATE_REQUEST = 9,
  KIND_PART_REPORTS = 10,
  KINDS = 11
};

struct mesh
{
  struct mesh_options options;
  uv_udp_t socket;
  GHashTable *peers;   /* name: struct sockaddr_in */
  int64_t received_us; /* when the last datagram of a known peer came; 0: none yet */
  /* Reports give way to loans and updates, which callers wait for. */
  struct mesh_rate_limit reports_sent;
  struct mesh_rate_limit reports_received;
  unsigned drops; /* datagrams of reports over these limits, since the last log line */
  int64_t drops_logged_us;
  char buffer[MESSAGE_MAX_BYTES];
};

/* Begins every message. */
struct head_
{
  u_int format;
  u_int kind;   /* enum kind_ */
  u_int number; /* of a loan request and its reply; else 0 */
  char sender[SR_BUDGET_NAME_BYTES];
  bool_t is_leaving; /* of a loan reply */
  bool_t is_pending; /* of a loan reply */
};

static struct sr_counter sent_counter_ = { .name = "sapphirerun_mesh_datagrams_sent_total",
                                           .help = "Datagrams sent to other instances." };
static struct sr_counter unsent_counter_
    = { .name = "sapphirerun_mesh_datagrams_unsent_total",
        .help = "Datagrams to other instances that the system did not take." };
static struct sr_counter received_counter_ = { .name = "sapphirerun_mesh_datagrams_received_total",
                                               .help = "Datagrams of other instances." };
static struct sr_counter malformed_counter_
    = { .name = "sapphirerun_mesh_datagrams_malformed_total",
        .help = "Datagrams that could not be read." };

static struct sr_counter dropped_counter_
    = { .name = "sapphirerun_mesh_reports_dropped_total",
        .help = "Datagrams of reports on prompt parts, sent or received, over the limit." };
static struct sr_counter sent_by_kind_[KINDS] = {
  [KIND_LOAN_REQUEST] = { .name = "sapphirerun_mesh_sent_loan_requests_total",
                          .help = "Datagrams sent: loan requests." },
  [KIND_LOAN_REPLY]
  = { .name = "sapphirerun_mesh_sent_loan_replies_total", .help = "Datagrams sent: loan replies." },
  [KIND_UPDATE]
  = { .name = "sapphirerun_mesh_sent_updates_total", .help = "Datagrams sent: updates." },
  [KIND_REPLACED] = { .name = "sapphirerun_mesh_sent_replaced_total",
                      .help = "Datagrams sent: backend servers that were replaced." },
  [KIND_LEAVING] = { .name = "sapphirerun_mesh_sent_leaving_total",
                     .help = "Datagrams sent: backend servers that are leaving." },
  [KIND_TIME_REQUEST] = { .name = "sapphirerun_mesh_sent_time_requests_total",
                          .help = "Datagrams sent: requests for the time of day." },
  [KIND_TIME]
  = { .name = "sapphirerun_mesh_sent_times_total", .help = "Datagrams sent: the time of day." },
  [KIND_UPDATE_REQUEST] = { .name = "sapphirerun_mesh_sent_update_requests_total",
                            .help = "Datagrams sent: requests for updates." },
  [KIND_PART_REPORTS] = { .name = "sapphirerun_mesh_sent_part_reports_total",
                          .help = "Datagrams sent: reports on prompt parts." },
};

static void on_closed_ (uv_handle_t *handle);
static void on_alloc_ (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer);
static void on_receive_ (uv_udp_t *socket,
                         ssize_t length,
                         const uv_buf_t *buffer,
                         const struct sockaddr *from,
                         unsigned flags);
static bool begin_ (const struct mesh *mesh, XDR *xdr, char *bytes, struct head_ *head);
static bool xdr_head_ (XDR *xdr, struct head_ *head);
static bool xdr_update_ (XDR *xdr, struct mesh_update *update);
static uint64_t handle_of_ (const struct sockaddr_in *address);
static void
send_update_ (struct mesh *mesh, const struct mesh_update *update, unsigned fanout, GRand *random);
static void send_to_some_ (
    struct mesh *mesh, enum kind_ kind, unsigned fanout, XDR *xdr, char *bytes, GRand *random);
static bool is_over_limit_ (struct mesh *mesh, struct mesh_rate_limit *limit, unsigned bytes);
static void send_part_reports_ (struct mesh *mesh,
                                const struct quarantine_report *reports,
                                unsigned n_reports,
                                unsigned fanout,
                                GRand *random);
static void receive_part_reports_ (struct mesh *mesh,
                                   XDR *xdr,
                                   unsigned bytes,
                                   const struct head_ *head,
                                   const struct sockaddr_in *from);
static void receive_time_request_ (struct mesh *mesh, XDR *xdr, const struct sockaddr_in *from);
static void receive_update_request_ (struct mesh *mesh, const struct sockaddr_in *from);
static void receive_time_ (struct mesh *mesh, XDR *xdr, const struct head_ *head);
static void
send_ (struct mesh *mesh, enum kind_ kind, const struct sockaddr_in *to, XDR *xdr, char *bytes);
static void
receive_loan_request_ (struct mesh *mesh, XDR *xdr, const struct head_ *head, uint64_t handle);
static void receive_loan_reply_ (struct mesh *mesh, XDR *xdr, const struct head_ *head);
static void encode_holder_ (const struct sr_holder_id *id, struct sr_budget_holder_msg *message);
static void decode_holder_ (const struct sr_budget_holder_msg *message, struct sr_holder_id *id);
static bool is_valid_name_ (const char *name);

/* Opens the socket. Returns NULL when that fails, which it logs. */
struct mesh *
mesh_new (const struct mesh_options *options)
{
  struct mesh *mesh = g_new0 (struct mesh, 1);
  int error;

  mesh->options = *options;
  mesh->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  mesh->reports_sent.per_s = REPORTS_SENT_BYTES_PER_S;
  mesh->reports_received.per_s = REPORTS_RECEIVED_BYTES_PER_S;
  uv_udp_init (options->loop, &mesh->socket);
  mesh->socket.data = mesh;
  error = uv_udp_bind (&mesh->socket, (const struct sockaddr *)&options->address, 0);
  if (error == 0)
    error = uv_udp_recv_start (&mesh->socket, on_alloc_, on_receive_);
  if (error != 0)
    {
      sr_event (SR_EVENT_WARNING, "mesh_not_opened", "{s:s}", "reason", uv_strerror (error));
      return NULL;
    }
  sr_counter_register (&sent_counter_);
  sr_counter_register (&unsent_counter_);
  sr_counter_register (&received_counter_);
  sr_counter_register (&malformed_counter_);
  sr_counter_register (&dropped_counter_);
  for (unsigned i = 0; i < KINDS; i++)
    if (sent_by_kind_[i].name != NULL)
      sr_counter_register (&sent_by_kind_[i]);
  return mesh;
}

/* Closes the socket; MESH is freed by the next run of the loop. */
void
mesh_delete (struct mesh *mesh)
{
  uv_close ((uv_handle_t *)&mesh->socket, on_closed_);
}

/* Returns when the last datagram of a known peer was received, on the monotonic clock; 0: none yet.
 */
int64_t
mesh_last_received_us (const struct mesh *mesh)
{
  return mesh->received_us;
}

/* Adds the peer NAME, or changes its address. */
void
mesh_set_peer (struct mesh *mesh, const char *name, const struct sockaddr_in *address)
{
  g_hash_table_replace (mesh->peers, g_strdup (name), g_memdup2 (address, sizeof *address));
}

void
mesh_remove_peer (struct mesh *mesh, const char *name)
{
  g_hash_table_remove (mesh->peers, name);
}

/* Returns the names (char *) of the peers. The caller owns the array, but not the names, which are
 * valid until a peer is set or removed. */
GPtrArray *
mesh_peer_names (const struct mesh *mesh)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  void *name;

  g_hash_table_iter_init (&iter, mesh->peers);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, name);
  return names;
}

/* Sends REQUEST, a loan request, to PEER; does nothing when PEER is not known. */
void
mesh_send_loan_request (struct mesh *mesh,
                        const char *peer,
                        const struct allotment_loan_request *request)
{
  const struct sockaddr_in *address = g_hash_table_lookup (mesh->peers, peer);
  struct head_ head = { .kind = KIND_LOAN_REQUEST, .number = request->number };
  struct sr_budget_borrow_msg message = { 0 };
  int64_t received = request->received;
  int64_t outstanding = request->outstanding;
  int64_t prepaid_tokens = request->prepaid_tokens;
  char bytes[MESSAGE_MAX_BYTES];
  XDR xdr;

  if (address == NULL)
    return;
  g_strlcpy (message.budget, request->team, sizeof message.budget);
  g_strlcpy (message.borrower, request->borrower, sizeof message.borrower);
  message.borrower_incarnation = request->borrower_incarnation;
  encode_holder_ (&request->lender, &message.lender);
  message.returned = request->returned;
  message.need = request->need;
  message.want = request->want;
  if (begin_ (mesh, &xdr, bytes, &head) && xdr_sr_budget_borrow_msg (&xdr, &message)
      && xdr_int64_t (&xdr, &received) && xdr_int64_t (&xdr, &outstanding)
      && xdr_int64_t (&xdr, &prepaid_tokens))
    send_ (mesh, KIND_LOAN_REQUEST, address, &xdr, bytes);
  xdr_destroy (&xdr);
}

/* Sends REPLY, a loan reply, to the sender of the loan request with HANDLE. */
void
mesh_send_loan_reply (struct mesh *mesh, uint64_t handle, const struct allotment_loan_reply *reply)
{
  const struct sockaddr_in address = { .sin_family = AF_INET,
                                       .sin_addr.s_addr = (in_addr_t)(handle >> 16),
                                       .sin_port = (in_port_t)(handle & 0xffff) };
  struct head_ head = { .kind = KIND_LOAN_REPLY,
                        .number = reply->number,
                        .is_leaving = reply->is_draining,
                        .is_pending = reply->is_pending };
  struct sr_budget_borrowed_msg message = { 0 };
  char team[SR_BUDGET_NAME_BYTES] = { 0 };
  int64_t left_at_most = reply->left_at_most;
  uint64_t incarnation = reply->borrower_incarnation;
  int64_t opens_ms = reply->limit_opens_ms;
  char bytes[MESSAGE_MAX_BYTES];
  XDR xdr;

  g_strlcpy (team, reply->team, sizeof team);
  message.has_record = reply->loan.has_record;
  encode_holder_ (&reply->loan.lender, &message.lender);
  message.lent = reply->loan.lent;
  message.pending = reply->is_refused && !reply->is_exhausted;
  message.exhausted = reply->is_exhausted;
  if (begin_ (mesh, &xdr, bytes, &head) && xdr_opaque (&xdr, team, sizeof team)
      && xdr_sr_budget_borrowed_msg (&xdr, &message) && xdr_int64_t (&xdr, &left_at_most)
      && xdr_uint64_t (&xdr, &incarnation) && xdr_int64_t (&xdr, &opens_ms))
    send_ (mesh, KIND_LOAN_REPLY, &address, &xdr, bytes);
  xdr_destroy (&xdr);
}

/* Announces UPDATE to a few random peers. A receiver to which it is new must announce it in turn.
 */
void
mesh_announce_update (struct mesh *mesh, const struct mesh_update *update, GRand *random)
{
  send_update_ (mesh, update, ANNOUNCE_FANOUT, random);
}

/* Repeats the last update, for peers that the announcements have missed; to be called regularly. */
void
mesh_repeat_update (struct mesh *mesh, const struct mesh_update *update, GRand *random)
{
  send_update_ (mesh, update, REPEAT_FANOUT, random);
}

/* Announces to a few random peers that another server responds at the address of BACKEND. A
 * receiver to which it is new must announce it in turn. */
void
mesh_announce_replaced (struct mesh *mesh, uint64_t backend, GRand *random)
{
  struct head_ head = { .kind = KIND_REPLACED };
  char bytes[MESSAGE_MAX_BYTES];
  XDR xdr;

  if (begin_ (mesh, &xdr, bytes, &head) && xdr_uint64_t (&xdr, &backend))
    send_to_some_ (mesh, KIND_REPLACED, ANNOUNCE_FANOUT, &xdr, bytes, random);
  xdr_destroy (&xdr);
}

/* Announces to a few random peers that the process of BACKEND that started at STARTED_MS is
 * leaving. A receiver to which it is new must announce it in turn. */
void
mesh_announce_leaving (struct mesh *mesh, uint64_t backend, int64_t started_ms, GRand *random)
{
  struct head_ head = { .kind = KIND_LEAVING };
  char bytes[MESSAGE_MAX_BYTES];
  XDR xdr;

  if (begin_ (mesh, &xdr, bytes, &head) && xdr_uint64_t (&xdr, &backend)
      && xdr_int64_t (&xdr, &started_ms))
    send_to_some_ (mesh, KIND_LEAVING, ANNOUNCE_FANOUT, &xdr, bytes, random);
  xdr_destroy (&xdr);
}

/* Announces REPORTS to a few random peers. A receiver to which they are new must announce them in
 * turn. */
void
mesh_announce_part_reports (struct mesh *mesh,
                            const struct quarantine_report *reports,
                            unsigned n_reports,
                            GRand *random)
{
  for (unsigned i = 0; i < n_reports; i += MESH_PART_REPORTS_MAX)
    send_part_reports_ (mesh, reports + i, MIN (n_reports - i, (unsigned)MESH_PART_REPORTS_MAX),
                        ANNOUNCE_FANOUT, random);
}

/* Repeats REPORTS, for peers that the announcements have missed; to be called regularly. */
void
mesh_repeat_part_reports (struct mesh *mesh,
                          const struct quarantine_report *reports,
                          unsigned n_reports,
                          GRand *random)
{
  send_part_reports_ (mesh, reports, n_reports, REPEAT_FANOUT, random);
}

/* Requests an update from some random peers. */
void
mesh_request_updates (struct mesh *mesh, GRand *random)
{
  struct head_ head = { .kind = KIND_UPDATE_REQUEST };
  char bytes[MESSAGE_MAX_BYTES];
  XDR xdr;

  if (begin_ (mesh, &xdr, bytes, &head))
    send_to_some_ (mesh, KIND_UPDATE_REQUEST, UPDATE_REQUEST_FANOUT, &xdr, bytes, random);
  xdr_destroy (&xdr);
}

/* Requests the time of day from some random peers. NOW_US, of any clock of the caller, is handed
 * back with each response. */
void
mesh_request_time (struct mesh *mesh, int64_t now_us, GRand *random)
{
  struct head_ head = { .kind = KIND_TIME_REQUEST };
  char bytes[MESSAGE_MAX_BYTES];
  XDR xdr;

  if (begin_ (mesh, &xdr, bytes, &head) && xdr_int64_t (&xdr, &now_us))
    send_to_some_ (mesh, KIND_TIME_REQUEST, TIME_FANOUT, &xdr, bytes, random);
  xdr_destroy (&xdr);
}

static void
on_closed_ (uv_handle_t *handle)
{
  struct mesh *mesh = handle->data;

  g_hash_table_unref (mesh->peers);
  g_free (mesh);
}

static void
on_alloc_ (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct mesh *mesh = handle->data;

  *buffer = uv_buf_init (mesh->buffer, sizeof mesh->buffer);
}

static void
on_receive_ (uv_udp_t *socket,
             ssize_t length,
             const uv_buf_t *buffer,
             const struct sockaddr *from,
             unsigned flags)
{
  struct mesh *mesh = socket->data;
  const struct sockaddr_in *address = (const struct sockaddr_in *)from;
  struct head_ head = { 0 };
  struct mesh_update update;
  uint64_t backend;
  int64_t started_ms;
  XDR xdr;

  if (length <= 0 || from == NULL)
    return;
  sr_counter_add (&received_counter_, 1);
  xdrmem_create (&xdr, buffer->base, (u_int)length, XDR_DECODE);
  if (!xdr_head_ (&xdr, &head) || head.format != FORMAT || !is_valid_name_ (head.sender))
    head.kind = KIND_MALFORMED;
  else if (g_hash_table_contains (mesh->peers, head.sender))
    mesh->received_us = g_get_monotonic_time ();
  if (head.kind == KIND_LOAN_REQUEST)
    receive_loan_request_ (mesh, &xdr, &head, handle_of_ (address));
  else if (head.kind == KIND_LOAN_REPLY)
    receive_loan_reply_ (mesh, &xdr, &head);
  else if (head.kind == KIND_TIME_REQUEST)
    receive_time_request_ (mesh, &xdr, address);
  else if (head.kind == KIND_TIME)
    receive_time_ (mesh, &xdr, &head);
  else if (head.kind == KIND_UPDATE_REQUEST)
    receive_update_request_ (mesh, address);
  else if (head.kind == KIND_PART_REPORTS)
    receive_part_reports_ (mesh, &xdr, (unsigned)length, &head, address);
  else if (head.kind == KIND_UPDATE && xdr_update_ (&xdr, &update))
    mesh->options.on_update (&update, mesh->options.data);
  else if (head.kind == KIND_REPLACED && xdr_uint64_t (&xdr, &backend))
    mesh->options.on_replaced (backend, mesh->options.data);
  else if (head.kind == KIND_LEAVING && xdr_uint64_t (&xdr, &backend)
           && xdr_int64_t (&xdr, &started_ms))
    mesh->options.on_leaving (backend, started_ms, mesh->options.data);
  else
    sr_counter_add (&malformed_counter_, 1);
  xdr_destroy (&xdr);
}

static bool
xdr_head_ (XDR *xdr, struct head_ *head)
{
  return xdr_u_int (xdr, &head->format) && xdr_u_int (xdr, &head->kind)
         && xdr_u_int (xdr, &head->number) && xdr_opaque (xdr, head->sender, sizeof head->sender)
         && xdr_bool (xdr, &head->is_leaving) && xdr_bool (xdr, &head->is_pending);
}

static void
send_update_ (struct mesh *mesh, const struct mesh_update *update, unsigned fanout, GRand *random)
{
  struct head_ head = { .kind = KIND_UPDATE };
  struct mesh_update copy = *update;
  char bytes[MESSAGE_MAX_BYTES];
  XDR xdr;

  if (begin_ (mesh, &xdr, bytes, &head) && xdr_update_ (&xdr, &copy))
    send_to_some_ (mesh, KIND_UPDATE, fanout, &xdr, bytes, random);
  xdr_destroy (&xdr);
}

/* Begins to encode a message into BYTES, of MESSAGE_MAX_BYTES, with HEAD. The caller destroys XDR,
 * also after a failure. */
static bool
begin_ (const struct mesh *mesh, XDR *xdr, char *bytes, struct head_ *head)
{
  head->format = FORMAT;
  g_strlcpy (head->sender, mesh->options.instance, sizeof head->sender);
  xdrmem_create (xdr, bytes, MESSAGE_MAX_BYTES, XDR_ENCODE);
  return xdr_head_ (xdr, head);
}

/* Sends the message of KIND that XDR has encoded to FANOUT random peers, or to all when they are
 * fewer. */
static void
send_to_some_ (
    struct mesh *mesh, enum kind_ kind, unsigned fanout, XDR *xdr, char *bytes, GRand *random)
{
  g_autoptr (GPtrArray) names = mesh_peer_names (mesh);

  for (unsigned i = 0; i < fanout && names->len > 0; i++)
    {
      unsigned pick = (unsigned)g_rand_int_range (random, 0, (gint32)names->len);

      send_ (mesh, kind, g_hash_table_lookup (mesh->peers, names->pdata[pick]), xdr, bytes);
      g_ptr_array_remove_index_fast (names, pick);
    }
}

static void
receive_time_request_ (struct mesh *mesh, XDR *xdr, const struct sockaddr_in *from)
{
  struct head_ head = { .kind = KIND_TIME };
  int64_t real_ms = g_get_real_time () / US_PER_MS;
  int64_t requested_us;
  char bytes[MESSAGE_MAX_BYTES];
  XDR response;

  if (!xdr_int64_t (xdr, &requested_us))
    {
      sr_counter_add (&malformed_counter_, 1);
      return;
    }
  if (begin_ (mesh, &response, bytes, &head) && xdr_int64_t (&response, &requested_us)
      && xdr_int64_t (&response, &real_ms))
    send_ (mesh, KIND_TIME, from, &response, bytes);
  xdr_destroy (&response);
}

static void
receive_time_ (struct mesh *mesh, XDR *xdr, const struct head_ *head)
{
  int64_t requested_us;
  int64_t real_ms;

  if (!xdr_int64_t (xdr, &requested_us) || !xdr_int64_t (xdr, &real_ms) || real_ms <= 0)
    {
      sr_counter_add (&malformed_counter_, 1);
      return;
    }
  if (g_hash_table_contains (mesh->peers, head->sender))
    mesh->options.on_time (head->sender, real_ms, requested_us, mesh->options.data);
}

static void
receive_update_request_ (struct mesh *mesh, const struct sockaddr_in *from)
{
  struct head_ head = { .kind = KIND_UPDATE };
  struct mesh_update update = { 0 };
  struct quarantine_report reports[MESH_PART_REPORTS_MAX];
  unsigned n_reports;
  char bytes[MESSAGE_MAX_BYTES];
  XDR xdr;

  mesh->options.on_update_request (&update, mesh->options.data);
  if (begin_ (mesh, &xdr, bytes, &head) && xdr_update_ (&xdr, &update))
    send_ (mesh, KIND_UPDATE, from, &xdr, bytes);
  xdr_destroy (&xdr);
  n_reports
      = mesh->options.on_part_reports_request (reports, MESH_PART_REPORTS_MAX, mesh->options.data);
  head.kind = KIND_PART_REPORTS;
  if (n_reports > 0 && begin_ (mesh, &xdr, bytes, &head)
      && part_reports_xdr (&xdr, reports, &n_reports, g_get_monotonic_time ()))
    send_ (mesh, KIND_PART_REPORTS, from, &xdr, bytes);
  if (n_reports > 0)
    xdr_destroy (&xdr);
}

static void
send_part_reports_ (struct mesh *mesh,
                    const struct quarantine_report *reports,
                    unsigned n_reports,
                    unsigned fanout,
                    GRand *random)
{
  struct head_ head = { .kind = KIND_PART_REPORTS };
  struct quarantine_report copies[MESH_PART_REPORTS_MAX];
  char bytes[MESSAGE_MAX_BYTES];
  XDR xdr;

  g_assert (n_reports <= MESH_PART_REPORTS_MAX);
  memcpy (copies, reports, n_reports * sizeof reports[0]);
  if (begin_ (mesh, &xdr, bytes, &head)
      && part_reports_xdr (&xdr, copies, &n_reports, g_get_monotonic_time ()))
    send_to_some_ (mesh, KIND_PART_REPORTS, fanout, &xdr, bytes, random);
  xdr_destroy (&xdr);
}

/* Takes a datagram of reports of BYTES from LIMIT. Returns whether it has to be dropped, which is
 * logged once a second. What is dropped is repeated for as long as it matters. */
static bool
is_over_limit_ (struct mesh *mesh, struct mesh_rate_limit *limit, unsigned bytes)
{
  int64_t now_us = g_get_monotonic_time ();

  if (mesh_rate_limit_take (limit, bytes, now_us))
    return false;
  sr_counter_add (&dropped_counter_, 1);
  mesh->drops++;
  if (now_us - mesh->drops_logged_us >= DROPS_LOG_INTERVAL_US)
    {
      sr_event (SR_EVENT_WARNING, "mesh_reports_dropped", "{s:i,s:i,s:i}", "datagrams",
                (int)mesh->drops, "sent_bytes_per_s", REPORTS_SENT_BYTES_PER_S,
                "received_bytes_per_s", REPORTS_RECEIVED_BYTES_PER_S);
      mesh->drops = 0;
      mesh->drops_logged_us = now_us;
    }
  return true;
}

/* Only reports that a known peer sends from its address count. */
static void
receive_part_reports_ (struct mesh *mesh,
                       XDR *xdr,
                       unsigned bytes,
                       const struct head_ *head,
                       const struct sockaddr_in *from)
{
  const struct sockaddr_in *peer = g_hash_table_lookup (mesh->peers, head->sender);
  struct quarantine_report reports[MESH_PART_REPORTS_MAX] = { 0 };
  unsigned n_reports;

  if (peer != NULL && handle_of_ (peer) == handle_of_ (from)
      && is_over_limit_ (mesh, &mesh->reports_received, bytes))
    return;
  if (peer == NULL || handle_of_ (peer) != handle_of_ (from)
      || !part_reports_xdr (xdr, reports, &n_reports, g_get_monotonic_time ()))
    {
      sr_counter_add (&malformed_counter_, 1);
      return;
    }
  mesh->options.on_part_reports (reports, n_reports, mesh->options.data);
}

/* Returns the handle of a loan request from ADDRESS: the address itself. */
static uint64_t
handle_of_ (const struct sockaddr_in *address)
{
  return (uint64_t)address->sin_addr.s_addr << 16 | (uint64_t)address->sin_port;
}

static bool
xdr_update_ (XDR *xdr, struct mesh_update *update)
{
  if (!xdr_int64_t (xdr, &update->era) || !xdr_int64_t (xdr, &update->configuration_revision)
      || !xdr_int64_t (xdr, &update->backends_revision))
    return false;
  /* Instances of an earlier release send no version. */
  if (!xdr_int64_t (xdr, &update->configuration_version))
    update->configuration_version = 0;
  /* Sent only where there is one, so that a fleet without evacuations sends what it always did. */
  if (xdr->x_op == XDR_ENCODE && update->evacuations_revision == 0)
    return true;
  if (!xdr_int64_t (xdr, &update->evacuations_revision))
    update->evacuations_revision = 0;
  return true;
}

/* A datagram that the kernel does not accept is lost, as any datagram may be. */
static void
send_ (struct mesh *mesh, enum kind_ kind, const struct sockaddr_in *to, XDR *xdr, char *bytes)
{
  uv_buf_t buffer = uv_buf_init (bytes, xdr_getpos (xdr));

  if (kind == KIND_PART_REPORTS && is_over_limit_ (mesh, &mesh->reports_sent, xdr_getpos (xdr)))
    return;
  sr_counter_add (&sent_by_kind_[kind], 1);
  if (uv_udp_try_send (&mesh->socket, &buffer, 1, (const struct sockaddr *)to) >= 0)
    sr_counter_add (&sent_counter_, 1);
  else
    sr_counter_add (&unsent_counter_, 1);
}

static void
receive_loan_request_ (struct mesh *mesh, XDR *xdr, const struct head_ *head, uint64_t handle)
{
  struct sr_budget_borrow_msg message = { 0 };
  struct allotment_loan_request request = { .number = head->number };

  if (!xdr_sr_budget_borrow_msg (xdr, &message) || !is_valid_name_ (message.budget)
      || !xdr_int64_t (xdr, &request.received) || !xdr_int64_t (xdr, &request.outstanding)
      || !xdr_int64_t (xdr, &request.prepaid_tokens) || request.received < 0
      || request.outstanding < 0 || !is_valid_name_ (message.borrower)
      || message.lender.instance[SR_BUDGET_NAME_BYTES - 1] != '\0' || message.returned < 0
      || message.need < 0 || message.want < 0)
    {
      sr_counter_add (&malformed_counter_, 1);
      return;
    }
  request.team = message.budget;
  request.borrower = message.borrower;
  request.borrower_incarnation = message.borrower_incarnation;
  decode_holder_ (&message.lender, &request.lender);
  request.returned = message.returned;
  request.need = message.need;
  request.want = message.want;
  mesh->options.on_loan_request (handle, &request, mesh->options.data);
}

static void
receive_loan_reply_ (struct mesh *mesh, XDR *xdr, const struct head_ *head)
{
  struct sr_budget_borrowed_msg message = { 0 };
  struct allotment_loan_reply reply
      = { .number = head->number, .is_draining = head->is_leaving, .is_pending = head->is_pending };
  char team[SR_BUDGET_NAME_BYTES];

  if (!xdr_opaque (xdr, team, sizeof team) || !is_valid_name_ (team)
      || !xdr_sr_budget_borrowed_msg (xdr, &message) || !xdr_int64_t (xdr, &reply.left_at_most)
      || !xdr_uint64_t (xdr, &reply.borrower_incarnation)
      || !xdr_int64_t (xdr, &reply.limit_opens_ms) || reply.limit_opens_ms < 0
      || reply.limit_opens_ms > LIMIT_OPENS_MAX_MS
      || message.lender.instance[SR_BUDGET_NAME_BYTES - 1] != '\0' || message.lent < 0)
    {
      sr_counter_add (&malformed_counter_, 1);
      return;
    }
  reply.team = team;
  reply.loan.has_record = message.has_record;
  decode_holder_ (&message.lender, &reply.loan.lender);
  reply.loan.lent = message.lent;
  reply.is_refused = message.pending || message.exhausted;
  reply.is_exhausted = message.exhausted;
  mesh->options.on_loan_reply (head->sender, &reply, mesh->options.data);
}

static void
encode_holder_ (const struct sr_holder_id *id, struct sr_budget_holder_msg *message)
{
  g_strlcpy (message->instance, id->instance, sizeof message->instance);
  message->incarnation = id->incarnation;
  message->generation = id->generation;
}

static void
decode_holder_ (const struct sr_budget_holder_msg *message, struct sr_holder_id *id)
{
  *id = (struct sr_holder_id){ .incarnation = message->incarnation,
                               .generation = message->generation };
  g_strlcpy (id->instance, message->instance, sizeof id->instance);
}

/* Returns whether NAME, a field of SR_BUDGET_NAME_BYTES, is not empty and terminated by NUL. */
static bool
is_valid_name_ (const char *name)
{
  return name[0] != '\0' && memchr (name, '\0', SR_BUDGET_NAME_BYTES) != NULL;
}
