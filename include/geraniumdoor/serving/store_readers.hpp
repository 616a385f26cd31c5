#pragma once

#include <geraniumdoor/serving/host_table.hpp>
#include <geraniumdoor/serving/row_pulls.hpp>

#include <cstddef>
#include <span>

namespace geraniumdoor::serving
{

/// Number of hosts that read the store for all. Two hosts fail at the same time more
/// often than three.
inline constexpr std::size_t store_reader_count = 3;

/// A host counts as failing after at least this many failed reads in a row that took this
/// long together. A single lost response does not make it fail.
inline constexpr int min_failed_reads = 2;
inline constexpr milliseconds store_failure_time{1000};

/// Time after its last failed read for which a host counts as failing. It is then a
/// candidate again.
inline constexpr milliseconds store_failure_hold{10000};

/// Timeout of a call, in addition to the time that a long poll waits at the store. Above
/// the 500 ms within which a slow store responds.
inline constexpr milliseconds store_call_timeout{900};

/// Time in which the store responds to a call, also when it is slow, in addition to the
/// time that a long poll waits there.
inline constexpr milliseconds usual_store_response{500};

/// Time after its start in which a host is expected to have the configuration; the
/// platform's contactMs.
inline constexpr milliseconds follow_time{3000};

/// Time after its start at which a host that has received no data from the readers reads
/// the store itself, early enough for a read that takes the usual time. Above the 1.4 s
/// after which 65 hosts that start together have all data.
inline constexpr milliseconds startup_peer_timeout = follow_time - usual_store_response;

/// Most hosts that wait for the store's response and are replaced at once: the readers,
/// and the hosts that have replaced them.
inline constexpr std::ptrdiff_t max_replaced = 2 * store_reader_count;

/// Most hosts that read the store while the reads of all hosts fail or wait.
inline constexpr std::size_t max_failing_readers = store_reader_count + 2;

/// Age of its view of a table from which a host reads the table itself, whoever else
/// reads it. The view of a host that hears a reader is younger, and a read that begins
/// then ends within the two seconds in which the platform wants a change in force.
inline constexpr milliseconds max_followed_age{1350};

/// Hosts reach that age one after the other within this time. The first ones that read
/// with success tell the others.
inline constexpr milliseconds followed_age_spread{250};

/// Time between two reads of a host for itself. Bounds what an outage costs; shorter than
/// the time that a host has after the store is back.
inline constexpr milliseconds own_read_interval{2000};

/// A host as a candidate for reading the store.
struct reader_candidate
{
    double m_weight = 0;
    store_access m_access = store_access::unused;
};

/// Reads of one table by this host.
struct store_read_history
{
    int m_consecutive_failures = 0;
    /// When the first of these failed reads began, and when the last one ended.
    time_point m_first_failure_began{};
    time_point m_last_failure{};
    time_point m_last_failure_began{};
    /// The last read ended without a response in the usual time.
    bool m_is_unanswered = false;
};

void record_store_read(store_read_history& history, bool succeeded, time_point began,
                       time_point ended);

/// Forgets failures of reads that began before another host recovered from its own: the
/// store was away, and is back. A host that the store turned away alone stays out of the
/// way for longer.
void end_outage(store_read_history& history, const host_table& table);

/// Whether the reads of a table fail, or failed within the hold time.
bool is_failing(const store_read_history& history, time_point now);

/// Returns the access that a host reports.
/// @param is_reading its last reads succeeded, and it has been a reader since
/// @param is_overdue a read has not been answered in the usual time
store_access access_to_store(const store_read_history& history, bool is_reading,
                             bool is_overdue, time_point now);

/// Returns the access of a host to two tables, of which it reads both or neither.
store_access access_to_both(store_access left, store_access right);

/// Returns the pause before a read is repeated after failures. It doubles up to a limit,
/// so that a store in trouble is not asked more often than one that works.
milliseconds read_retry_delay(int consecutive_failures);

/// Whether this host reads the store for the other hosts.
///
/// Load pattern: the store is down, slow, or turns some hosts away, or all readers are
/// cut off from it at once while the operator writes. Readers whose reads fail are
/// replaced, a few hosts at a time; a host whose reads succeed keeps the role until it is
/// down or stopping, whatever the age of its last report. A host that the store does not
/// answer is joined by others at once. When the reads of all hosts fail, more of them go
/// on than usual: those with the highest weights may be cut off. A reader gives way only
/// to hosts that read already, so that a hand-over leaves no gap.
/// @param others all other hosts that are live and not stopping
bool is_store_reader(const reader_candidate& own,
                     std::span<const reader_candidate> others);

/// The same for the hosts of a table. A reader whose rows do not arrive here does not
/// count.
bool is_store_reader(const host_table& table, const host_report& own,
                     const row_pulls& pulls, time_point now);

/// Whether a host that is not a reader reads a table for itself.
///
/// Load pattern: most hosts are cut off from the store at once, the readers among them.
/// Readers are replaced a few at a time, and those that replace them may be cut off, too.
/// A host that reaches the store does not wait for its turn longer than its view lasts.
/// @param last_read when the last such read began
bool reads_for_itself(const table_view& view, const node_id& own, time_point last_read,
                      time_point now);

/// Whether another live host reads the store with success.
bool is_store_read_elsewhere(const host_table& table, time_point now);

} // namespace geraniumdoor::serving
