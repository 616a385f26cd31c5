#pragma once

#include <geraniumdoor/request/claims.hpp>

namespace geraniumdoor
{

/// Compares a row as the table service has it with the claim and takes the next step.
/// May erase the entry.
void judge_row(claims& state, const attempt_id& claim, const table_row& row,
               time_point now, claim_effects effects);

/// Takes the next step after the table service has confirmed a state of our row.
/// May erase the entry.
void on_row_stored(claims& state, const attempt_id& claim, claim_state stored,
                   claim_effects effects);

/// Queues the next write of the claim unless one is on its way.
void queue_write(claims& state, const attempt_id& claim, claim_entry& entry);

void start_read(claims& state, const attempt_id& claim, claim_entry& entry,
                time_point now, claim_effects effects);

/// Reports the end of a claim that holds no row, and forgets it.
void end_claim(claims& state, const attempt_id& claim, claim_event_kind kind,
               claim_effects effects);

/// Refuses new claims for a while.
void note_service_down(claims& state, time_point now);

} // namespace geraniumdoor
