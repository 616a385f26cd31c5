#include "entry_node.hpp"
#include "wall_clock.hpp"

#include <geraniumdoor/base/log.hpp>

#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace geraniumdoor
{

namespace asio = boost::asio;

std::vector<live_process> entry_node::live_processes() const
{
    std::vector<live_process> live;
    for (const auto& member : live_members(m_membership))
    {
        live.push_back(live_process{member.m_node, member.m_incarnation});
    }
    return live;
}

/// Runs follow-ups that processes which ended have left behind.
asio::awaitable<void> entry_node::sweep_follow_ups()
{
    std::string prefix{follow_up_prefix};
    auto rows = co_await m_table.scan(std::move(prefix));
    if (!is_ok(rows) || !is_ready())
    {
        co_return;
    }
    const auto live = live_processes();
    const auto in_progress = requests_in_progress(m_coordinator);
    const follow_up_context view{m_settings.m_node, m_coordinator.m_config, live,
                                 in_progress};
    for (const auto& choice : decide_follow_ups(value_of(rows), view))
    {
        if (choice.m_decision != follow_up_decision::run)
        {
            continue;
        }
        const request_id id{m_settings.m_node, m_incarnation, ++m_last_request};
        log_event{"follow_up"}.add("request", to_string(id)).add("key", choice.m_key);
        coordinator_actions actions;
        run_follow_up(m_coordinator, id, choice.m_row, m_timers.now(), actions);
        run(actions);
    }
}

/// Counts all claims in doubt. Every host reports the same number.
void entry_node::note_claims(const std::vector<table_row>& rows)
{
    const auto count = list_in_doubt(rows, live_processes()).size();
    m_metrics.set("gd_claims_in_doubt", {}, static_cast<double>(count));
}

/// Deletes claims whose retention has ended, unless another node comes first for them.
asio::awaitable<void> entry_node::sweep_claims()
{
    std::string prefix{claim_prefix};
    auto rows = co_await m_table.scan(std::move(prefix));
    if (!is_ok(rows))
    {
        co_return;
    }
    note_claims(value_of(rows));
    for (const auto& row : list_expired(value_of(rows), live_processes(), unix_seconds()))
    {
        if (!is_first_for(row.m_key))
        {
            continue;
        }
        table_transaction transaction;
        transaction.m_checks.push_back(row_check{row.m_key, row.m_version});
        transaction.m_writes.push_back(row_write{row.m_key, std::nullopt});
        // A conflict means that the row has changed, and a lost answer is settled by the
        // next sweep.
        auto end = co_await m_table.run(std::move(transaction));
        log_event{"claim_expired"}.add("key", row.m_key).add("deleted", is_ok(end));
    }
}

/// Whether this node is first in rendezvous order for the key among the live nodes.
bool entry_node::is_first_for(const std::string& key) const
{
    const auto own = rendezvous_weight(key, m_settings.m_node.m_value);
    for (const auto& member : live_members(m_membership))
    {
        if (rendezvous_weight(key, member.m_node.m_value) > own)
        {
            return false;
        }
    }
    return true;
}

} // namespace geraniumdoor
