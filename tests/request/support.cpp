#include "support.hpp"

#include "testing.hpp"

namespace geraniumdoor::test
{

using namespace std::chrono_literals;

table_row fake_table::read(const std::string& key) const
{
    const auto at = m_rows.find(key);
    return at == m_rows.end() ? table_row{key, 0, ""} : at->second;
}

table_transaction_end fake_table::apply(const table_transaction& transaction)
{
    table_transaction_end end{transaction.m_id, table_outcome::conflict, {}};
    for (const auto& check : transaction.m_checks)
    {
        if (read(check.m_key).m_version != check.m_version)
        {
            end.m_rows.push_back(read(check.m_key));
        }
    }
    if (!end.m_rows.empty())
    {
        return end;
    }
    end.m_outcome = table_outcome::committed;
    for (const auto& write : transaction.m_writes)
    {
        if (!write.m_value)
        {
            m_rows.erase(write.m_key);
            continue;
        }
        m_rows[write.m_key] = {write.m_key, ++m_last_version, *write.m_value};
        end.m_rows.push_back(m_rows[write.m_key]);
    }
    return end;
}

configuration example_configuration()
{
    configuration config;
    for (const auto* pool : {"encode", "generate", "pay", "ledger"})
    {
        config.m_pools.push_back({{pool}});
    }
    config.m_pipelines.push_back(
        {{"order"},
         3000ms,
         {{"retrieve", {"encode"}, "find", true, {}},
          {"pay", {"pay"}, "debit", false, {}},
          {"ledger", {"ledger"}, "note", true, stage_index{1}}}});
    config.m_pipelines.push_back({{"ask"},
                                  3000ms,
                                  {{"encode", {"encode"}, "encode", true, {}},
                                   {"generate", {"generate"}, "generate", true, {}}}});
    config.m_workspaces.push_back({{"w"}, 0, 1});
    return config;
}

ownership_announce announce(const std::string& owner, std::uint64_t started,
                            std::vector<std::string> pools)
{
    ownership_announce message{{owner}, {started}, 1, {}};
    for (const auto& pool : pools)
    {
        message.m_upstreams.push_back({{owner + "-" + pool}, {pool}, {"d1"}, {1}, 4});
    }
    return message;
}

fixture::fixture() : m_state{make_coordinator({"a"}, {1}, 7)}
{
    set_log_sink([](std::string_view) {});
    set_configuration(m_state, example_configuration(), m_now);
    for (const auto* owner : {"o1", "o2"})
    {
        const auto message = announce(owner, 1, {"encode", "generate", "pay", "ledger"});
        on_ownership_announce(m_state, message, m_now, m_actions);
    }
}

pipeline_request fixture::request(std::uint64_t counter,
                                  const std::string& pipeline) const
{
    pipeline_request made;
    made.m_id = {{"a"}, {1}, counter};
    made.m_pipeline = {pipeline};
    made.m_workspace = {"w"};
    made.m_deadline = m_now + 3s;
    made.m_idempotency_key = "k";
    made.m_input = "body";
    return made;
}

request_id fixture::start(std::uint64_t counter, const std::string& pipeline)
{
    const auto made = request(counter, pipeline);
    start_request(m_state, made, m_now, m_actions);
    return made.m_id;
}

void fixture::pass(milliseconds length)
{
    const auto end = m_now + length;
    while (m_now < end)
    {
        m_now += 50ms;
        tick(m_state, m_now, m_actions);
    }
}

void fixture::serve_table()
{
    for (bool any = true; any;)
    {
        any = false;
        for (const auto& read : take<table_read>())
        {
            any = true;
            on_table_read_end(m_state, {read.m_id, m_table.read(read.m_key)}, m_now,
                              m_actions);
        }
        for (const auto& transaction : take<table_transaction>())
        {
            any = true;
            on_table_transaction_end(m_state, m_table.apply(transaction), m_now,
                                     m_actions);
        }
    }
}

send_stage_call fixture::only_call()
{
    auto calls = take<send_stage_call>();
    cr_assert(calls.size() == 1, "%zu calls instead of one", calls.size());
    return calls.front();
}

void fixture::answer(const send_stage_call& call, const std::string& output,
                     std::uint32_t tokens)
{
    stage_result result;
    result.m_key = call.m_message.m_key;
    result.m_outcome = call_outcome::answered;
    result.m_output = output;
    result.m_tokens = tokens;
    result.m_hint = {2, 4, 0};
    on_stage_result(m_state, result, m_now, m_actions);
}

void fixture::fail(const send_stage_call& call, call_outcome outcome, call_reason reason,
                   const std::string& upstream)
{
    stage_result result;
    result.m_key = call.m_message.m_key;
    result.m_outcome = outcome;
    result.m_reason = reason;
    result.m_upstream = {upstream};
    on_stage_result(m_state, result, m_now, m_actions);
}

void fixture::chunk(const send_stage_call& call, std::uint32_t index)
{
    const auto token = "t" + std::to_string(index);
    on_stage_chunk(m_state, {call.m_message.m_key, {1}, index, token}, m_now, m_actions);
}

pipeline_answer fixture::only_answer()
{
    auto answers = take<reply_final>();
    cr_assert(answers.size() == 1, "%zu answers instead of one", answers.size());
    return answers.front().m_answer;
}

claim_row fixture::only_claim() const
{
    for (const auto& [key, row] : m_table.m_rows)
    {
        if (key.starts_with(claim_prefix))
        {
            return value_of(parse_claim_row(row.m_value));
        }
    }
    cr_assert(false, "the table contains no claim row");
    return {};
}

} // namespace geraniumdoor::test
