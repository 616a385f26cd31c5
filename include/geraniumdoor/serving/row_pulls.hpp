#pragma once

#include <geraniumdoor/serving/host_table.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace geraniumdoor::serving
{

/// Time that a pull of changes may take before another host is asked. A reader may be
/// paused, and a new configuration must not wait for it.
inline constexpr milliseconds pull_timeout{500};

/// The same for a pull of whole tables. A host that cannot be reached is noticed sooner,
/// by its connection. A second pull while the answer to the first is still underway would
/// double the load of the links, at the moment at which all hosts pull.
inline constexpr milliseconds whole_pull_timeout{3000};

/// Time after which a host that was busy is asked again.
inline constexpr milliseconds busy_delay{300};

/// Time for which a host that did not answer is neither asked again nor relied on as a
/// reader of the store.
inline constexpr milliseconds unanswered_hold{2000};

/// What this host has received from another one.
struct pull_progress
{
    incarnation m_incarnation;
    /// Changes of that host that have arrived here.
    std::uint64_t m_changes = 0;
    /// It declined a pull and is not asked before this time.
    time_point m_busy_until{};
    /// It did not answer a pull and is not relied on before this time.
    time_point m_unanswered_until{};
};

/// The pulls of this host.
struct row_pulls
{
    std::map<node_id, pull_progress> m_progress;
    /// Host that was asked last and has not answered.
    std::optional<node_id> m_asked;
    /// When it has to have answered.
    time_point m_deadline{};
};

/// Notes that the host which was asked last has not answered, if its time is over.
/// @return that host
std::optional<node_id> expire_pull(row_pulls& pulls, time_point now);

/// Begins a pull from the host that has sent this report, unless there is nothing to pull
/// or another pull is in progress.
///
/// Load pattern: reports of a reader arrive, while pulls do not reach it or its answers
/// are lost. The reports of all readers come in the same order in each interval, so that
/// a host which asks the first one would ask the same one for ever.
/// @param has_data whether this host has all tables; without, it pulls from any host
/// @param wants_hosts pull even without new changes
/// @return changes of the host that have arrived here, which the pull names; empty if
/// none begins
std::optional<std::uint64_t> begin_pull(row_pulls& pulls, const host_report& report,
                                        bool has_data, bool wants_hosts, time_point now);

/// Ends the pull from a host whose connection was lost, or that it did not reach.
void lose_pull(row_pulls& pulls, const node_id& host, time_point now);

/// Records the answer of a host that is busy.
void record_busy(row_pulls& pulls, const node_id& host, time_point now);

/// Records that all changes of a host up to a number have arrived.
void record_push(row_pulls& pulls, const node_id& host, incarnation of,
                 std::uint64_t changes);

/// Ends the pull from a host that has answered.
void end_pull(row_pulls& pulls, const node_id& host, time_point now);

/// Whether all changes that a host has applied when it sent the report have arrived here.
bool has_all_changes(const row_pulls& pulls, const host_report& report);

/// Whether the rows of a host can be relied on to arrive here.
bool answers_pulls(const row_pulls& pulls, const node_id& host, time_point now);

} // namespace geraniumdoor::serving
