/* Latency model of one service: how fast its backend servers prefill prompts and how long a whole
 * response takes. It is learned from their responses, as services differ many times over and no
 * setting states their speed. Reference counted: the table of backend servers and each of its
 * servers hold one. No thread, socket or clock. */
#pragma once

#include <stdint.h>

struct gw_pace;

struct gw_pace *gw_pace_new (void);
struct gw_pace *gw_pace_ref (struct gw_pace *pace);
void gw_pace_unref (struct gw_pace *pace);
double gw_pace_reading_ms (const struct gw_pace *pace, double uncached_tokens);
double gw_pace_answer_ms (const struct gw_pace *pace);
void gw_pace_note_reading (struct gw_pace *pace, int64_t uncached_tokens, int64_t took_us);
void gw_pace_note_answer (struct gw_pace *pace, int64_t took_us);
