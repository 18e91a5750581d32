/* Latency model of one service: how fast its backend servers prefill prompts, how long a whole
 * response takes, and how much memory a request needs. It is learned from their responses, as
 * services differ many times over and no setting states their speed. Reference counted: the table
 * of backend servers and each of its servers hold one. No thread, socket or clock. */
#pragma once

#include <stdint.h>

struct gw_latency_model;

struct gw_latency_model *gw_latency_model_new (void);
struct gw_latency_model *gw_latency_model_ref (struct gw_latency_model *model);
void gw_latency_model_unref (struct gw_latency_model *model);
double gw_latency_model_prefill_ms (const struct gw_latency_model *model, double uncached_tokens);
double gw_latency_model_response_ms (const struct gw_latency_model *model);
double gw_latency_model_memory_tokens (const struct gw_latency_model *model, double initial_tokens);
void gw_latency_model_note_memory (struct gw_latency_model *model, int64_t memory_tokens);
void gw_latency_model_note_prefill (struct gw_latency_model *model,
                                    int64_t uncached_tokens,
                                    int64_t took_us);
void gw_latency_model_note_response (struct gw_latency_model *model, int64_t took_us);
