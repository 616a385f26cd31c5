#include <geraniumdoor/base/hash.hpp>
#include <geraniumdoor/base/log.hpp>
#include <geraniumdoor/request/claim_sweep.hpp>

#include <algorithm>
#include <utility>

namespace geraniumdoor
{

namespace
{

bool is_live(const std::vector<live_process>& live, const node_id& node,
             incarnation started)
{
    return std::any_of(live.begin(), live.end(),
                       [&](const live_process& process)
                       {
                           return process.m_node == node &&
                                  process.m_incarnation == started;
                       });
}

void log_unreadable(const table_row& row, const row_format_error& error)
{
    log_event{"row_unreadable"}.add("key", row.m_key).add("reason", error.m_message);
}

bool is_in_progress(const request_id& id, const follow_up_context& context)
{
    const auto& ids = context.m_in_progress;
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool is_responsible_for(const std::string& key, const follow_up_row& row,
                        const follow_up_context& context)
{
    if (!is_live(context.m_live, row.m_holder, row.m_incarnation))
    {
        return is_first_for(key, context.m_self, context.m_live);
    }
    return row.m_holder == context.m_self && !is_in_progress(row.m_request, context);
}

/// Whether every stage after the one that ran, up to the required one, is idempotent.
bool can_run(const follow_up_row& row, const configuration& config)
{
    const auto* pipeline = find_pipeline(config, row.m_pipeline);
    if (pipeline == nullptr || row.m_stage.m_value >= pipeline->m_stages.size() ||
        row.m_after >= row.m_stage)
    {
        return false;
    }
    const auto first = pipeline->m_stages.begin() + row.m_after.m_value + 1;
    const auto end = pipeline->m_stages.begin() + row.m_stage.m_value + 1;
    return std::all_of(first, end,
                       [](const stage_config& stage)
                       {
                           return stage.m_idempotent;
                       });
}

follow_up_decision decide(const std::string& key, const follow_up_row& row,
                          const follow_up_context& context)
{
    if (!is_responsible_for(key, row, context))
    {
        return follow_up_decision::leave;
    }
    return can_run(row, context.m_config) ? follow_up_decision::run
                                          : follow_up_decision::report;
}

} // namespace

bool is_first_for(std::string_view key, const node_id& self,
                  const std::vector<live_process>& live)
{
    const auto own = rendezvous_weight(key, self.m_value);
    return std::none_of(live.begin(), live.end(),
                        [&](const live_process& process)
                        {
                            return rendezvous_weight(key, process.m_node.m_value) > own;
                        });
}

std::vector<in_doubt_claim> list_in_doubt(const std::vector<table_row>& rows,
                                          const std::vector<live_process>& live)
{
    std::vector<in_doubt_claim> listed;
    for (const auto& row : rows)
    {
        const auto parsed = parse_claim_row(row.m_value);
        if (!is_ok(parsed))
        {
            log_unreadable(row, error_of(parsed));
            continue;
        }
        const auto& claim = value_of(parsed);
        const bool orphaned = claim.m_state == claim_state::running &&
                              !is_live(live, claim.m_holder, claim.m_incarnation);
        if (orphaned || claim.m_state == claim_state::in_doubt)
        {
            listed.push_back({row.m_key, claim, orphaned});
        }
    }
    return listed;
}

std::vector<table_row> list_expired(const std::vector<table_row>& rows,
                                    const std::vector<live_process>& live,
                                    std::int64_t now_unix_s)
{
    std::vector<table_row> expired;
    for (const auto& row : rows)
    {
        const auto parsed = parse_claim_row(row.m_value);
        if (!is_ok(parsed))
        {
            log_unreadable(row, error_of(parsed));
            continue;
        }
        const auto& claim = value_of(parsed);
        const bool running = claim.m_state == claim_state::running &&
                             is_live(live, claim.m_holder, claim.m_incarnation);
        if (!running && claim.m_created_unix_s + claim.m_retention_s <= now_unix_s)
        {
            expired.push_back(row);
        }
    }
    return expired;
}

std::vector<follow_up_choice> decide_follow_ups(const std::vector<table_row>& rows,
                                                const follow_up_context& context)
{
    std::vector<follow_up_choice> choices;
    for (const auto& row : rows)
    {
        auto parsed = parse_follow_up_row(row.m_value);
        if (!is_ok(parsed))
        {
            log_unreadable(row, error_of(parsed));
            continue;
        }
        const auto decision = decide(row.m_key, value_of(parsed), context);
        choices.push_back({row.m_key, value_of(std::move(parsed)), decision});
    }
    return choices;
}

} // namespace geraniumdoor
