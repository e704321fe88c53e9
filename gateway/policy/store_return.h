/*
 * Store return: what is believed after the store has come back from an older copy.
 *
 * What was written in the lost span is written again by those who wrote it: backend servers with
 * their next heartbeats, operators soon after. Until then, and for STORE_RETURN_HOLD_MS at most:
 *
 *  - A backend server that left or went in the lost span gets no requests, though the copy lists it
 *    as ready; one that said that it leaves stays left. An entry that is still there afterwards is
 *    that of a backend server that lives, since others lapse after three heartbeats of silence.
 *  - A data hall that was closed in the lost span stays closed.
 *  - A backend server that is missing is used for the time of removal.h.
 *  - A configuration that is older than the one in force is not taken over, at any time.
 *
 * Requests that go where they may not can't be taken back; a backend server or data hall that is
 * left out for a moment costs little.
 */
#pragma once

/* Three heartbeats of a backend server, and the way of a change. */
enum { STORE_RETURN_HOLD_MS = 4000 };
