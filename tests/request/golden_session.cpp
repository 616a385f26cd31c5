#include "golden_session.hpp"

#include "../../src/daemon/answer_document.hpp"

#include <geraniumdoor/base/log.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

// clang-format off: this header stays last.
#include "testing.hpp"
// clang-format on

namespace geraniumdoor::test
{

using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t token_count = 4;
const node_id owner{"o"};
const std::vector<std::string> pool_names{"encode", "search", "rank", "llm", "payments"};

configuration make_configuration()
{
    configuration config;
    for (const auto& name : pool_names)
    {
        pool_config pool;
        pool.m_id = {name};
        pool.m_kind = name == "llm" ? stage_kind::generate : stage_kind::service;
        config.m_pools.push_back(pool);
    }
    config.m_pipelines = {{{"advice"},
                           3000ms,
                           {{"encode", {"encode"}, "encode"},
                            {"retrieve", {"search"}, "search"},
                            {"rerank", {"rank"}, "rank"},
                            {"generate", {"llm"}, "generate"}}},
                          {{"renewal"},
                           3000ms,
                           {{"debit", {"payments"}, "debit", false},
                            {"post", {"search"}, "post", true, stage_index{0}}}}};
    config.m_workspaces = {{{"riders"}, 1, 1}};
    return config;
}

std::vector<upstream_record> make_upstreams()
{
    std::vector<upstream_record> records;
    for (const auto& pool : pool_names)
    {
        for (const char* number : {"1", "2"})
        {
            records.push_back({{pool + number}, {pool}, {"dc"}, {"127.0.0.1", 1}, false});
        }
    }
    return records;
}

ownership_announce make_announcement()
{
    ownership_announce message{owner, {1}, 1, {}};
    for (const auto& record : make_upstreams())
    {
        message.m_upstreams.push_back(
            {record.m_id, record.m_pool, record.m_data_centre, {1}, 1});
    }
    return message;
}

/// Describes the first line in which the texts differ; empty if they are equal.
std::string first_difference(const std::string& found, const std::string& expected)
{
    std::istringstream left{found};
    std::istringstream right{expected};
    for (int number = 1; left or right; ++number)
    {
        std::string actual{"(end)"};
        std::string golden{"(end)"};
        std::getline(left, actual);
        std::getline(right, golden);
        if (actual != golden)
        {
            return "line " + std::to_string(number) + "\n  file:  " + golden +
                   "\n  found: " + actual;
        }
    }
    return {};
}

} // namespace

golden_session::golden_session()
    : m_coordinator{make_coordinator({"a"}, {1}, 7)}
    , m_dispatcher{make_dispatcher({1}, 8)}
{
    set_log_sink(
        [this](std::string_view line)
        {
            m_record += line;
            m_record += line.ends_with('\n') ? "" : "\n";
        });
    const auto config = make_configuration();
    std::vector<dispatcher_action> none;
    set_configuration(m_coordinator, config, m_now);
    set_pools(m_dispatcher, config.m_pools, m_now, none);
    set_upstreams(m_dispatcher, make_upstreams(), m_now);
    for (const auto& record : make_upstreams())
    {
        set_authority(m_dispatcher, record.m_id, m_now + 1h);
    }
    coordinator_actions actions;
    on_ownership_announce(m_coordinator, make_announcement(), m_now, actions);
    perform(actions);
}

golden_session::~golden_session()
{
    set_log_sink([](std::string_view) {});
}

void golden_session::start(const std::string& pipeline, const std::string& input,
                           bool streamed)
{
    pipeline_request request;
    request.m_id = {{"a"}, {1}, ++m_requests};
    request.m_pipeline = {pipeline};
    request.m_workspace = {"riders"};
    request.m_deadline = m_now + 3s;
    request.m_input = input;
    request.m_streamed = streamed;
    if (streamed)
    {
        m_streams.insert(request.m_id);
    }
    coordinator_actions actions;
    start_request(m_coordinator, request, m_now, actions);
    perform(actions);
}

void golden_session::schedule(milliseconds delay, std::function<void()> event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

void golden_session::run_for(milliseconds length)
{
    const auto end = m_now + length;
    while (m_now < end)
    {
        const auto next = m_now + 50ms;
        while (not m_events.empty() and m_events.begin()->first <= next)
        {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = next;
        tick_all();
    }
}

void golden_session::tick_all()
{
    std::vector<dispatcher_action> dispatched;
    tick(m_dispatcher, m_now, dispatched);
    perform(dispatched);
    coordinator_actions actions;
    tick(m_coordinator, m_now, actions);
    perform(actions);
}

void golden_session::perform(const coordinator_actions& actions)
{
    for (const auto& action : actions)
    {
        std::visit(
            [this](const auto& item)
            {
                perform_one(item);
            },
            action);
    }
}

void golden_session::perform(const std::vector<dispatcher_action>& actions)
{
    for (const auto& action : actions)
    {
        std::visit(
            [this](const auto& item)
            {
                perform_one(item);
            },
            action);
    }
}

void golden_session::perform_one(const reply_part& part)
{
    m_record += encode_part(part);
}

void golden_session::perform_one(const reply_final& reply)
{
    const auto& answer = reply.m_answer;
    if (m_streams.contains(answer.m_id))
    {
        m_record += encode_stream_end(answer);
        return;
    }
    const bool ok = answer.m_code == answer_code::ok;
    m_record += std::to_string(status_of(answer.m_code)) + ' ';
    m_record += ok ? encode_answer(answer) : encode_error(error_of_answer(answer));
    m_record += '\n';
}

void golden_session::perform_one(const send_stage_call& call)
{
    schedule(1ms,
             [this, call]
             {
                 std::vector<dispatcher_action> actions;
                 on_stage_call(m_dispatcher, {"a"}, call.m_message, m_now, actions);
                 perform(actions);
             });
}

void golden_session::perform_one(const send_stage_cancel& cancel)
{
    std::vector<dispatcher_action> actions;
    on_stage_cancel(m_dispatcher, cancel.m_message, m_now, actions);
    perform(actions);
}

void golden_session::perform_one(const send_attempt_query&)
{
    cr_assert(false, "no connection breaks in these sessions");
}

void golden_session::perform_one(const table_transaction& transaction)
{
    schedule(2ms,
             [this, transaction]
             {
                 coordinator_actions actions;
                 on_table_transaction_end(m_coordinator, m_table.apply(transaction),
                                          m_now, actions);
                 perform(actions);
             });
}

void golden_session::perform_one(const table_read& read)
{
    schedule(2ms,
             [this, read]
             {
                 coordinator_actions actions;
                 on_table_read_end(m_coordinator, {read.m_id, m_table.read(read.m_key)},
                                   m_now, actions);
                 perform(actions);
             });
}

void golden_session::perform_one(const start_upstream_call& call)
{
    m_running.insert(call.m_id.m_value);
    auto& endings = m_call_endings[call.m_call.m_operation];
    const auto ending = endings.empty() ? call_ending::completes : endings.front();
    if (not endings.empty())
    {
        endings.pop_front();
    }
    upstream_call_end end{
        call.m_id, ending == call_ending::completes, call_reason::none, {1}};
    if (ending != call_ending::completes)
    {
        end.m_reason = ending == call_ending::fails ? call_reason::upstream_error
                                                    : call_reason::broken_stream;
    }
    end.m_output = "{\"" + call.m_call.m_operation + "\":" + call.m_call.m_input + "}";
    const bool engine = call.m_kind == stage_kind::generate;
    const std::uint32_t last = ending == call_ending::breaks ? 2 : token_count;
    end.m_tokens = engine and ending != call_ending::fails ? last : 0;
    for (auto index = static_cast<std::uint32_t>(call.m_call.m_delivered.size());
         index < end.m_tokens; ++index)
    {
        schedule(m_call_duration,
                 [this, id = call.m_id, index]
                 {
                     std::vector<dispatcher_action> actions;
                     on_upstream_token(m_dispatcher, id, index,
                                       "t" + std::to_string(index), m_now, actions);
                     perform(actions);
                 });
    }
    schedule(m_call_duration,
             [this, end]
             {
                 end_call(end);
             });
}

void golden_session::perform_one(const abort_upstream_call& call)
{
    end_call({call.m_id, false, call_reason::cancelled});
}

void golden_session::end_call(upstream_call_end end)
{
    if (m_running.erase(end.m_id.m_value) == 1)
    {
        std::vector<dispatcher_action> actions;
        on_upstream_end(m_dispatcher, std::move(end), m_now, actions);
        perform(actions);
    }
}

void golden_session::perform_one(const send_chunk& chunk)
{
    coordinator_actions actions;
    on_stage_chunk(m_coordinator, chunk.m_message, m_now, actions);
    perform(actions);
}

void golden_session::perform_one(const send_result& result)
{
    coordinator_actions actions;
    on_stage_result(m_coordinator, result.m_message, m_now, actions);
    perform(actions);
}

void golden_session::expect_file(const std::string& name) const
{
    const auto path = "tests/golden/" + name + ".txt";
    const char* update = std::getenv("GD_UPDATE_GOLDEN");
    if (update != nullptr and std::string{update} == "1")
    {
        std::ofstream{path} << m_record;
        return;
    }
    std::ifstream file{path};
    cr_assert(file.is_open(), "%s cannot be read", path.c_str());
    std::ostringstream expected;
    expected << file.rdbuf();
    const auto difference = first_difference(m_record, expected.str());
    cr_expect(difference.empty(), "%s: %s", path.c_str(), difference.c_str());
}

} // namespace geraniumdoor::test
