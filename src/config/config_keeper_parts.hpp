#pragma once

#include <geraniumdoor/config/config_keeper.hpp>

namespace geraniumdoor
{

/// Detects a pause: after it the version counts as unchecked.
void note_time(config_keeper& keeper, time_point now);

/// Puts a configuration in force whose version is higher than the accepted one.
void put_in_force(config_keeper& keeper, configuration config, std::string_view source,
                  config_actions& actions);

/// Computes the configuration in force from the accepted one and the urgent states, and
/// drops the states that it contains or that it overrules.
void refresh_in_force(config_keeper& keeper, config_actions& actions);

/// Takes over the row of the table service if it is newer. Returns false when it cannot
/// be read.
bool adopt_row(config_keeper& keeper, const table_row& row, config_actions& actions);

/// Settles the changes whose effect the accepted configuration shows.
void settle_from_history(config_keeper& keeper, config_actions& actions);

/// Settles the given-up changes whose write can no longer take effect.
void settle_from_row(config_keeper& keeper, const table_row& row,
                     config_actions& actions);

/// Records what is known of a change and logs it.
void settle(config_keeper& keeper, change_report report, config_actions& actions);

/// Starts the next read or write of the configuration row, if one is due.
void advance_store(config_keeper& keeper, time_point now, config_actions& actions);

/// The row that the store operation asked for has arrived, or could not be read.
void on_store_row(config_keeper& keeper, const std::optional<table_row>& row,
                  time_point now, config_actions& actions);

table_call_id next_call(config_keeper& keeper);

/// Returns the length times a random factor between 0.75 and 1.25.
duration jittered(config_keeper& keeper, duration length);

} // namespace geraniumdoor
