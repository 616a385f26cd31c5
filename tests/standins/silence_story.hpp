#pragma once

#include "edge_cluster.hpp"

#include <functional>

namespace geraniumdoor::test
{

enum class request_kind : std::uint8_t
{
    resumable_stream,
    /// A stream that may not be resumed.
    stream,
    read,
    payment,
};

/// A request that meets a silence in one phase.
struct silent_request
{
    request_kind m_kind = request_kind::resumable_stream;
    silence_phase m_phase = silence_phase::before_head;
    milliseconds m_silence{0};
    std::string m_id;
    std::shared_ptr<std::optional<http_response>> m_answer;
};

/// Numbers of one group of requests.
struct silence_count
{
    std::size_t m_sent = 0;
    /// Requests that met a silence.
    std::size_t m_silent = 0;
    std::size_t m_cut_off = 0;
    std::size_t m_failed = 0;
    std::size_t m_refused = 0;
    /// Answered with 200 and other bytes than those of the upstream.
    std::size_t m_wrong = 0;
    /// Runs beyond one for each request.
    std::size_t m_extra_runs = 0;
    /// Requests that two upstreams ran at the same time for over 400 ms.
    std::size_t m_side_by_side = 0;

    std::size_t lost() const
    {
        return m_cut_off + m_failed + m_refused + m_wrong;
    }
};

/// Routes of silence_story: "read" and "pay" of "plain"; "stream" and "resume" of
/// "engine", with a stage. Streams have a gap target of 300 ms, and their callers wait
/// for 4 s.
extern const char* const silence_read_route;
extern const char* const silence_pay_route;
extern const char* const silence_stream_route;
extern const char* const silence_resume_route;
std::string silence_routes();

/// Hosts whose upstreams fall silent and go on.
class silence_story
{
public:
    /// Adds an upstream "s0" of the pool "stage" and a shared ledger.
    silence_story(std::uint16_t first_port, int hosts, int engines, int plain);

    worker_standin& add_upstream(const std::string& id, const std::string& pool,
                                 const std::string& version = "v1");
    void start();

    /// Sends a request whose first run or call meets the silence.
    void send(request_kind kind, silence_phase phase, milliseconds silence,
              int times = 1);
    /// Sends one request for each phase of its kind.
    void send_each_phase(request_kind kind, milliseconds silence);
    /// Runs the event loop until each request is at an upstream.
    void run_until_running();
    void run_until_answered();

    silence_count count(const std::function<bool(const silent_request&)>& selects) const;
    /// Numbers of all requests.
    silence_count count_all() const;
    /// Numbers of the resumable streams with silences of up to 1.6 s.
    silence_count count_resumable() const;
    /// Lines with the numbers by kind, phase and silence of the requests that were lost,
    /// ran more than once, or side by side.
    std::string describe() const;

    /// Fails the test if a request was lost, or ran side by side.
    void expect_nothing_lost() const;
    /// Fails the test if more than a tenth of count_resumable() ran twice.
    void expect_few_extra_runs() const;

    edge_cluster m_cluster;
    std::vector<silent_request> m_requests;
    std::vector<worker_standin*> m_engines;

private:
    void add_to(silence_count& count, const silent_request& request) const;

    int m_hosts;
    std::shared_ptr<worker_ledger> m_ledger = std::make_shared<worker_ledger>();
};

} // namespace geraniumdoor::test
