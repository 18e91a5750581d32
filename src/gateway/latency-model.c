#include "gateway/latency-model.h"

#include <glib.h>
#include <math.h>

/* Prompt tokens prefilled per millisecond, assumed at first: an average accelerator. */
static const double TOKENS_PER_MS_INITIAL = 80;
/* No accelerator is outside these bounds; samples beyond them are errors or false responses. */
static const double TOKENS_PER_MS_MIN = 1;
static const double TOKENS_PER_MS_MAX = 2000;
/* The estimate tracks this quantile of the time per token, below the median: prompts that peers
 * send to the same server are not known here and make samples look slower than the server is. */
static const double PREFILL_QUANTILE = 0.3;
/* Step of the quantile estimate, in its natural logarithm: for the first sample, and the lower
 * bound to which it decreases. */
static const double STEP_INITIAL = 0.4;
static const double STEP_MIN = 0.03;
/* Time of a whole response, assumed until the first one is received. */
static const double RESPONSE_MS_INITIAL = 40;
/* Weight of one response in the mean, which covers about the last fifty. */
static const double RESPONSE_WEIGHT_MIN = 0.02;

enum
{
  US_PER_MS = 1000,
  MEMORY_INITIAL_SAMPLES = 20, /* the memory that requests need differs a hundredfold */
  MEMORY_SAMPLES_MAX = 400,    /* the mean covers about the last ones of this number */
  SAMPLE_MIN_TOKENS = 2000,    /* shorter prompts take one or two decoding steps, so that the sample
                                  would measure the step time */
  STEP_HALVING_SAMPLES = 8     /* after this many samples the step is half the initial one */
};

struct gw_latency_model
{
  double log_ms_per_token;
  unsigned n_samples; /* of the prefill speed */
  double response_ms;
  unsigned n_responses;
  double memory_tokens; /* mean, without the initial assumption */
  unsigned n_memory;
};

/* Creates a model with initial assumptions. The caller owns a reference. */
struct gw_latency_model *
gw_latency_model_new (void)
{
  struct gw_latency_model *model = g_rc_box_new0 (struct gw_latency_model);

  model->log_ms_per_token = -log (TOKENS_PER_MS_INITIAL);
  model->response_ms = RESPONSE_MS_INITIAL;
  return model;
}

struct gw_latency_model *
gw_latency_model_ref (struct gw_latency_model *model)
{
  return g_rc_box_acquire (model);
}

void
gw_latency_model_unref (struct gw_latency_model *model)
{
  g_rc_box_release (model);
}

/* Returns how long one backend server takes to prefill UNCACHED_TOKENS. */
double
gw_latency_model_prefill_ms (const struct gw_latency_model *model, double uncached_tokens)
{
  return uncached_tokens * exp (model->log_ms_per_token);
}

/* Returns the mean time of a whole response. */
double
gw_latency_model_response_ms (const struct gw_latency_model *model)
{
  return model->response_ms;
}

/* Adds a sample: the first event was received TOOK_US after the request was sent to a backend
 * server that then had UNCACHED_TOKENS to prefill, those of the request included. Small samples are
 * ignored. */
void
gw_latency_model_note_prefill (struct gw_latency_model *model,
                               int64_t uncached_tokens,
                               int64_t took_us)
{
  double step
      = MAX (STEP_INITIAL / (1 + (double)model->n_samples / STEP_HALVING_SAMPLES), STEP_MIN);
  double log_took;

  if (uncached_tokens < SAMPLE_MIN_TOKENS || took_us <= 0)
    return;
  log_took = log ((double)took_us / US_PER_MS / (double)uncached_tokens);
  model->log_ms_per_token
      += step * (log_took < model->log_ms_per_token ? PREFILL_QUANTILE - 1 : PREFILL_QUANTILE);
  model->log_ms_per_token
      = CLAMP (model->log_ms_per_token, -log (TOKENS_PER_MS_MAX), -log (TOKENS_PER_MS_MIN));
  model->n_samples++;
}

/* Returns the mean cache memory of a request. INITIAL_TOKENS is assumed at first, and counts as
 * MEMORY_INITIAL_SAMPLES. */
double
gw_latency_model_memory_tokens (const struct gw_latency_model *model, double initial_tokens)
{
  return (initial_tokens * MEMORY_INITIAL_SAMPLES + model->memory_tokens * model->n_memory)
         / (MEMORY_INITIAL_SAMPLES + model->n_memory);
}

/* Adds a sample: a request may come to need MEMORY_TOKENS of cache memory. */
void
gw_latency_model_note_memory (struct gw_latency_model *model, int64_t memory_tokens)
{
  model->n_memory = MIN (model->n_memory + 1, (unsigned)MEMORY_SAMPLES_MAX);
  model->memory_tokens += ((double)memory_tokens - model->memory_tokens) / model->n_memory;
}

/* Adds a sample: a whole response was received TOOK_US after its request was sent. */
void
gw_latency_model_note_response (struct gw_latency_model *model, int64_t took_us)
{
  double weight;

  model->n_responses++;
  weight = MAX (1.0 / model->n_responses, RESPONSE_WEIGHT_MIN);
  model->response_ms += ((double)took_us / US_PER_MS - model->response_ms) * weight;
}
