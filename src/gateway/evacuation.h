/* Which data centres are evacuated: backend servers there get no new request until the evacuation
 * ends. The set follows the store's objects, one for each evacuated data centre. As long as it is
 * not known, every data centre counts as evacuated: an instance that starts during an evacuation
 * sends nothing there. No thread, socket or clock. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct evacuation;

/* DATA_CENTRE is evacuated from now on, or no longer. */
typedef void (*evacuation_func) (const char *data_centre, bool is_evacuated, void *data);

struct evacuation_options
{
  int64_t hold_us; /* after a restore of the store: time for evacuations that it lost to be
                      requested again */
  evacuation_func changed;
  void *data;
};

struct evacuation *evacuation_new (const struct evacuation_options *options);
void evacuation_delete (struct evacuation *evacuation);
void evacuation_begin_list (struct evacuation *evacuation);
void evacuation_end_list (struct evacuation *evacuation, int64_t now_us);
void evacuation_put (struct evacuation *evacuation, const char *data_centre, int64_t now_us);
void evacuation_remove (struct evacuation *evacuation, const char *data_centre);
void evacuation_note_restore (struct evacuation *evacuation, int64_t now_us);
void evacuation_end_hold (struct evacuation *evacuation, int64_t now_us);
bool evacuation_is_known (const struct evacuation *evacuation);
bool evacuation_excludes (const struct evacuation *evacuation, const char *data_centre);
unsigned evacuation_count (const struct evacuation *evacuation);
int64_t evacuation_latest_us (const struct evacuation *evacuation);
