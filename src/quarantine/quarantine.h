/* Quarantine of prompt parts that end backend servers. Instances report to each other at which ends
 * of server processes a part was in a request whose answer had not got under way, and which parts
 * were answered since. From these reports alone, in whichever order they arrive, each instance
 * decides which parts are blocked. No thread, socket or clock. docs/design/quarantine.md has the
 * rules. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  QUARANTINE_PARTS_MAX = 16,   /* of one prompt that are looked at */
  QUARANTINE_REPORTS_MAX = 64, /* in one call */
  QUARANTINE_ENDS_MAX = 8,     /* the latest ones are kept, for each part */
  QUARANTINE_SURVIVAL_MS
  = 200 /* an answer that has gone on for this long clears the parts of its prompt */
};

/* The ids of the prompt parts that a request shares with others. */
struct quarantine_parts
{
  uint64_t ids[QUARANTINE_PARTS_MAX];
  unsigned n;
};

/* How far the answer to a request had got when its server ended, by how likely the request is the
 * cause. */
enum quarantine_progress
{
  QUARANTINE_WAITING, /* no head of an answer was received */
  QUARANTINE_PARTLY,  /* the first bytes of its body were received */
  QUARANTINE_BEGUN    /* the head was received, and nothing of the body */
};

enum quarantine_report_kind
{
  QUARANTINE_ENDED,  /* a process ended with the part in a request that was not answered yet */
  QUARANTINE_CLEARED /* this end counts no more: a request with the part was answered since */
};

/* What an instance has learned of one part at the end of one process, as it is sent to peers. The
 * part, the server and the start of its process identify it: they are the same at each instance,
 * while the time grows by the delay of each datagram that passes it on. */
struct quarantine_report
{
  enum quarantine_report_kind kind;
  uint64_t part;
  int64_t at_us;      /* of the end, on this instance's clock */
  uint64_t backend;   /* gw_backend_key of the server */
  int64_t started_ms; /* start of its process */
  uint64_t team;      /* QUARANTINE_ENDED: hash of the team whose request it was; 0: no team */
  enum quarantine_progress progress; /* QUARANTINE_ENDED */
  bool survived_before; /* QUARANTINE_ENDED: requests with the part were answered shortly before */
};

enum quarantine_verdict
{
  QUARANTINE_PASS,
  QUARANTINE_TRIAL, /* the one request by which this instance tests whether the part is sound */
  QUARANTINE_BLOCKED
};

struct quarantine_result
{
  uint64_t part;         /* QUARANTINE_BLOCKED, QUARANTINE_TRIAL: the part */
  int64_t resumes_in_ms; /* QUARANTINE_BLOCKED: until a request with it may be tried again */
  uint64_t backends[QUARANTINE_ENDS_MAX]; /* gw_backend_key of the servers that have ended */
  unsigned n_backends;
};

struct quarantine_options
{
  /* Returns the rank of this instance, from 0, among those that may test PART. */
  unsigned (*trial_rank) (uint64_t part, void *data);
  /* Spreads reports that are new to this instance. */
  void (*announce) (const struct quarantine_report *reports, unsigned n_reports, void *data);
  /* PART is blocked from now on, for the first or for further teams. */
  void (*blocked) (uint64_t part, void *data);
  void *data;
};

/* A request that was unanswered when a server process ended. */
struct quarantine_request
{
  const struct quarantine_parts *parts;
  uint64_t team;
  enum quarantine_progress progress;
};

/* The end of a server process. BACKEND is gw_backend_key of the server. */
struct quarantine_process_end
{
  uint64_t backend;
  int64_t started_ms;
  int64_t at_us;
  const struct quarantine_request *requests;
  unsigned n_requests;
};

struct quarantine;

void quarantine_register_metrics (void);
struct quarantine *quarantine_new (const struct quarantine_options *options);
void quarantine_delete (struct quarantine *quarantine);
void quarantine_set_exempt (struct quarantine *quarantine, const uint64_t *parts, size_t n_parts);
enum quarantine_verdict quarantine_check (struct quarantine *quarantine,
                                          const struct quarantine_parts *parts,
                                          uint64_t team,
                                          int64_t now_us,
                                          struct quarantine_result *result);
bool quarantine_blocks (const struct quarantine *quarantine,
                        const struct quarantine_parts *parts,
                        uint64_t team);
bool quarantine_is_suspect (const struct quarantine *quarantine,
                            const struct quarantine_parts *parts,
                            uint64_t backend,
                            int64_t started_ms);
void quarantine_note_survival (struct quarantine *quarantine,
                               const struct quarantine_parts *parts,
                               int64_t began_us,
                               int64_t now_us);
void quarantine_note_end (struct quarantine *quarantine,
                          const struct quarantine_process_end *end,
                          int64_t now_us);
void quarantine_merge (struct quarantine *quarantine,
                       const struct quarantine_report *reports,
                       unsigned n_reports,
                       int64_t now_us);
unsigned quarantine_reports (struct quarantine *quarantine,
                             bool with_suspects,
                             struct quarantine_report *reports,
                             unsigned max,
                             int64_t now_us);
unsigned quarantine_take_unsaved (struct quarantine *quarantine,
                                  struct quarantine_report *reports,
                                  int64_t now_us);
void quarantine_set_unsaved (struct quarantine *quarantine, uint64_t part);
bool quarantine_is_outdated (const struct quarantine_report *reports,
                             unsigned n_reports,
                             int64_t now_us);
unsigned quarantine_blocked_count (const struct quarantine *quarantine);
void quarantine_print (const struct quarantine *quarantine, GString *out, int64_t now_us);
