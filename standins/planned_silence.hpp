#pragma once

#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace geraniumdoor
{

/// Where an upstream falls silent in its work on a request.
enum class silence_phase : std::uint8_t
{
    /// After the request has begun to run.
    before_head,
    /// After the head of a stream.
    before_first_event,
    /// Between the second and the third event.
    between_events,
    /// In the middle of the third event.
    inside_event,
    /// In the middle of a JSON document of 300 KB, with which the request is answered on
    /// all routes.
    inside_body,
    /// In a call that makes pieces of the request.
    in_stage,
    /// In a call that releases results of the request.
    in_release,
};

struct planned_silence
{
    silence_phase m_phase = silence_phase::before_head;
    milliseconds m_length{0};
    /// Number of runs or calls that meet it, from the first on.
    int m_times = 1;
};

/// One run of a request at an upstream.
struct observed_run
{
    std::string m_upstream;
    time_point m_began;
    /// When the answer ended, or the host closed the connection.
    std::optional<time_point> m_ended;
    bool m_met_silence = false;
    bool m_closed_by_host = false;
};

/// Silences planned for requests by their id, and the runs of these requests at all
/// upstreams that share the ledger.
struct silence_ledger
{
    std::map<std::string, planned_silence> m_planned;
    std::map<std::string, std::vector<std::shared_ptr<observed_run>>> m_runs;
    /// Silences that calls of stages have met.
    std::map<std::string, int> m_silent_calls;
};

/// The run of one request, from its start to the destructor. Requests without a planned
/// silence leave no trace.
class silent_run
{
public:
    silent_run(const boost::asio::any_io_executor& executor, http_exchange& exchange,
               silence_ledger& ledger, const std::string& upstream);
    ~silent_run();
    silent_run(const silent_run&) = delete;
    silent_run& operator=(const silent_run&) = delete;

    bool is_planned(silence_phase phase) const;

    /// Waits if the run falls silent in this phase, until the host closes the connection
    /// at the latest.
    boost::asio::awaitable<void> pass(silence_phase phase);

    /// Writes one event, with a silence inside it if one is planned.
    boost::asio::awaitable<void> write_event(http_exchange& exchange, std::string event,
                                             int number);

    /// Writes an answer with a length in two parts and is silent between them.
    boost::asio::awaitable<void> write_document(http_exchange& exchange,
                                                http_fields fields);

private:
    std::optional<planned_silence> m_plan;
    std::shared_ptr<observed_run> m_run;
    /// Shared with the callback of the connection.
    std::shared_ptr<boost::asio::steady_timer> m_timer;
    int m_runs_before = 0;
};

/// JSON document of 300 KB.
std::string large_document();

/// Waits if a silence is planned for a request of this call of a stage.
/// @param phase in_stage or in_release
boost::asio::awaitable<void>
pass_call_silence(silence_ledger& ledger, silence_phase phase, const std::string& body);

} // namespace geraniumdoor
