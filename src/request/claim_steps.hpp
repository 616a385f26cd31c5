#pragma once

#include <geraniumdoor/request/claims.hpp>

namespace geraniumdoor
{

/// Advances the claim according to the row read from the table service. May erase the
/// entry.
void reconcile_row(claims& state, const attempt_id& claim, const table_row& row,
                   time_point now, claim_effects effects);

/// Advances the claim after the table service has confirmed a state of its row. May erase
/// the entry.
void on_row_stored(claims& state, const attempt_id& claim, claim_state stored,
                   claim_effects effects);

/// Queues a write of the row unless one is queued, in flight or unconfirmed.
void queue_write(claims& state, const attempt_id& claim, claim_entry& entry);

void start_read(claims& state, const attempt_id& claim, claim_entry& entry,
                time_point now, claim_effects effects);

/// Reports the event unless the claim is released, and erases the entry.
void end_unheld_claim(claims& state, const attempt_id& claim, claim_event_kind kind,
                      claim_effects effects);

/// Refuses new claims until the outage backoff has passed.
void mark_service_down(claims& state, time_point now);

} // namespace geraniumdoor
