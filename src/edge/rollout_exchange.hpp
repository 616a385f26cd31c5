#pragma once

#include "edge_state.hpp"

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace geraniumdoor::edge
{

/// Follows the operator's orders to move a pool to another software version: counts
/// answers, tells other hosts, and applies the phases to the upstreams.
class rollout_exchange
{
public:
    using datagram_sender = std::function<void(const node_address&, const datagram&)>;

    /// @param drain_time returns the time that requests of a pool take at most, apart
    /// from few
    rollout_exchange(edge_state& state, datagram_sender send,
                     std::function<milliseconds(const pool_id&)> drain_time);

    /// Starts the regular checks.
    void start();

    void on_report(const rollout_report& report);

    /// Whether a request of a pool goes to the version that is being tried.
    bool is_selected(const pool_id& pool, const attempt_id& request) const;

    /// Counts an answer of an upstream, and whether it took several times as long as
    /// usual.
    /// @param route name under which its times are compared
    /// @param is_late the answer did not come as long as it was waited for
    void record_answer(const serving::upstream& row, const std::string& route,
                       const serving::answer_time& taken, bool is_faulty, bool is_late);

    /// Lets a change of orders or upstreams take effect.
    void apply();

    /// Whether the order of a pool may be finished, as far as this host knows.
    bool may_finish(const serving::rollout& entry) const;

    /// Enters a phase that the store tells, or that is about to be written.
    void enter(const pool_id& pool, serving::rollout_phase phase, const char* reason);

private:
    void check();
    void send_reports();
    void report_change(const serving::rollout& entry);
    bool is_connected() const;
    serving::rollout_view view_of(const serving::rollout& entry) const;
    std::uint32_t in_progress_elsewhere(const serving::rollout& entry) const;

    edge_state& m_state;
    datagram_sender m_send;
    std::function<milliseconds(const pool_id&)> m_drain_time;
    /// Usual times of routes at the versions in force.
    std::unordered_map<std::string, serving::usual_time> m_usual_times;
    std::uint32_t m_sequence = 0;
    time_point m_last_report{};
};

} // namespace geraniumdoor::edge
