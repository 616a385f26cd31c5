#pragma once

#include "support.hpp"

#include <geraniumdoor/dispatch/dispatcher.hpp>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace geraniumdoor::test
{

/// How an upstream ends a call.
enum class call_ending : std::uint8_t
{
    completes,
    fails,
    /// The stream breaks after its second token.
    breaks,
};

/// Runs one coordinator and one owner with two upstreams for each pool in virtual time.
/// Records each log line, and each answer as the caller receives it.
class golden_session
{
public:
    golden_session();
    ~golden_session();
    golden_session(const golden_session&) = delete;
    golden_session& operator=(const golden_session&) = delete;

    void start(const std::string& pipeline, const std::string& input, bool streamed);
    void run_for(milliseconds length);

    /// Compares the record with tests/golden/<name>.txt, or writes that file if
    /// GD_UPDATE_GOLDEN is 1.
    void expect_file(const std::string& name) const;

    /// Endings of the next calls, by operation; further calls complete.
    std::map<std::string, std::deque<call_ending>> m_call_endings;
    milliseconds m_call_duration{10};

private:
    void schedule(milliseconds delay, std::function<void()> event);
    void perform(const coordinator_actions& actions);
    void perform(const std::vector<dispatcher_action>& actions);
    void perform_one(const reply_part& part);
    void perform_one(const reply_final& reply);
    void perform_one(const send_stage_call& call);
    void perform_one(const send_stage_cancel& cancel);
    void perform_one(const send_attempt_query& query);
    void perform_one(const table_transaction& transaction);
    void perform_one(const table_read& read);
    void perform_one(const start_upstream_call& call);
    void perform_one(const abort_upstream_call& call);
    void perform_one(const send_chunk& chunk);
    void perform_one(const send_result& result);
    void end_call(upstream_call_end end);
    void tick_all();

    time_point m_now{seconds{100}};
    coordinator m_coordinator;
    dispatcher_state m_dispatcher;
    fake_table m_table;
    std::multimap<time_point, std::function<void()>> m_events;
    std::set<request_id> m_streams;
    std::set<std::uint64_t> m_running;
    std::uint64_t m_requests = 0;
    std::string m_record;
};

} // namespace geraniumdoor::test
