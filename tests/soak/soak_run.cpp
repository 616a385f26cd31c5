#include "soak_run.hpp"

#include "fault_proxy.hpp"
#include "programs/child_process.hpp"

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <array>
#include <deque>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <standins/edge_standins.hpp>

namespace geraniumdoor::soak
{

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace
{

constexpr std::uint16_t caller_port = 27510;
constexpr std::uint16_t readiness_port = 27511;
constexpr std::uint16_t directory_port = 27512;
constexpr std::uint16_t peer_port = 27513;
constexpr std::uint16_t metrics_port = 27514;
constexpr std::uint16_t store_port = 27500;
constexpr std::uint16_t control_port = 27501;
constexpr std::uint16_t store_proxy_port = 27502;
constexpr std::uint16_t first_worker_port = 27520;
constexpr std::uint16_t first_proxy_port = 27540;

constexpr milliseconds poll_period{50};
constexpr milliseconds version_poll_period{250};

/// Time of one poll from which on the machine counts as stalled.
constexpr milliseconds longest_poll{1000};
constexpr milliseconds start_limit{15000};

/// Time for which the store gives out an earlier configuration, so that hosts read it.
constexpr milliseconds lost_write_time{800};

/// Time in which a process cannot have its signal handlers: it is still being loaded.
constexpr milliseconds handlers_time{300};

/// Time that the platform gives hosts to apply a configuration.
constexpr milliseconds config_apply_time{2000};

/// Tries of one second each; the stand-in runs on the same machine.
constexpr int standin_tries = 20;

/// Longest time for which a fault lasts. The registry drops a silent worker after 4 s.
constexpr int longest_fault_ms = 3000;

/// Faults of a run in which workers say something of themselves, a worker starts again
/// with another version, or the store comes back from an older copy.
constexpr int notice_faults = 3;

/// Memory that each host is told, which the callers that do not finish their bodies fill.
constexpr int host_memory_mb = 16;
constexpr std::size_t most_unfinished = 180;
constexpr std::size_t unfinished_bytes = 65526;
constexpr std::string_view unfinished_prefix = "unfinished-";

/// Time for which a limit is named in addition, so that hosts have to keep to it.
constexpr milliseconds limit_time{2000};

struct worker_form
{
    const char* m_id;
    const char* m_service;
};

constexpr std::array<worker_form, 6> worker_forms{{{"plain-1", "plain"},
                                                   {"plain-2", "plain"},
                                                   {"engine-1", "engine"},
                                                   {"engine-2", "engine"},
                                                   {"stage-1", "stage"},
                                                   {"stage-2", "stage"}}};

/// Engines of another software version, on which no faults are drawn.
constexpr std::array<const char*, 2> next_version_engines{"engine-3", "engine-4"};

constexpr std::array<const char*, 6> worker_faults{"lose_answer", "decline", "fail",
                                                   "tear",        "foreign", "hang"};

/// A change of one field at the stand-in. GCC 12 cannot build it inside a coroutine.
json::object change_of(std::string_view field, const json::value& value)
{
    json::object change;
    change[field] = value;
    return change;
}

json::object worker_change(const std::string& worker, std::string_view field,
                           const char* value)
{
    json::object change = change_of(field, value);
    change["worker"] = worker;
    return change;
}

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

bool is_stream(request_kind kind)
{
    return kind != request_kind::read && kind != request_kind::pay;
}

/// The request with which a caller takes up a stream after its first event.
http_request take_up_of(const std::string& stream, const std::string& id, int deadline_ms)
{
    http_request request = sample_stream("/resume/" + id, id, deadline_ms);
    request.m_fields.emplace_back("Resumes", stream);
    request.m_fields.emplace_back("Last-Event-Id", "1");
    return request;
}

http_request request_of(request_kind kind, const std::string& id, milliseconds deadline)
{
    const int deadline_ms = static_cast<int>(deadline.count());
    switch (kind)
    {
    case request_kind::read:
        return sample_get("/read/" + id, id, deadline_ms);
    case request_kind::pay:
        return sample_post("/pay/" + id, id, deadline_ms);
    case request_kind::stream:
        return sample_stream("/stream/" + id, id, deadline_ms);
    case request_kind::resume:
        return sample_stream("/resume/" + id, id, deadline_ms);
    case request_kind::take_up:
        return take_up_of(id.substr(0, id.find('-')), id, deadline_ms);
    }
    throw std::invalid_argument{"unknown kind of request"};
}

struct host_process
{
    test::child_process m_child;
    /// Process whose end is expected, and how it was ended.
    exit_record m_end;
    time_point m_told{};
    bool m_paused = false;
    time_point m_started{};
    /// Position of the open absence in the record, if there is one.
    std::optional<std::size_t> m_absence;
};

class soak_driver
{
public:
    explicit soak_driver(const soak_options& options)
        : m_options{options}
        , m_random{options.m_seed}
        , m_notice_random{options.m_seed + 1}
        , m_crowd_random{options.m_seed + 2}
        , m_client{m_io.get_executor(), {}}
        , m_hosts(static_cast<std::size_t>(options.m_hosts))
        , m_store_proxy{m_io.get_executor(), place(0, store_proxy_port),
                        place(0, store_port)}
    {
        for (std::size_t at = 0; at < worker_forms.size(); ++at)
        {
            const auto port = static_cast<std::uint16_t>(at);
            m_worker_proxies.push_back(std::make_unique<fault_proxy>(
                m_io.get_executor(),
                place(0, static_cast<std::uint16_t>(first_proxy_port + port)),
                place(0, static_cast<std::uint16_t>(first_worker_port + port))));
        }
    }

    soak_result run();

private:
    /// Loopback address of a host from 1, or of the platform, which is 0. Each seed has
    /// addresses of its own, so that several can run at the same time.
    tcp::endpoint place(std::size_t number, std::uint16_t port) const
    {
        const std::uint64_t net = m_options.m_seed % 60000;
        return {asio::ip::address_v4{
                    static_cast<std::uint32_t>((127U << 24U) | ((10 + net / 250) << 16U) |
                                               ((1 + net % 250) << 8U) | (10 + number))},
                port};
    }

    std::string text_of(std::size_t number, std::uint16_t port) const
    {
        return place(number, port).address().to_string() + ':' + std::to_string(port);
    }

    std::string file(const std::string& name) const
    {
        return m_options.m_scratch + '/' + name;
    }

    void write_settings() const;
    void start_host(std::size_t host);
    void note_ends();
    /// The driver itself did not run, as in a stall of the whole machine of 28 s that hit
    /// all processes of three seeds at the same moment.
    void note_stall(time_point began, duration took);
    void open_absence(std::size_t host);
    void close_absence(std::size_t host);

    /// Runs a part of the soak; an exception in it ends the run.
    void spawn(asio::awaitable<void> part)
    {
        asio::co_spawn(m_io, std::move(part),
                       [this](std::exception_ptr error)
                       {
                           if (error)
                           {
                               m_failure = error;
                               m_io.stop();
                           }
                       });
    }

    asio::awaitable<void> drive();
    asio::awaitable<void> send_requests();
    /// Callers that send payments without an end, and stay connected.
    asio::awaitable<void> send_unfinished_bodies();
    void check_unfinished_bodies();
    asio::awaitable<void> call(request_kind kind, std::size_t host, std::string id,
                               bool record);
    asio::awaitable<void> watch_processes();
    asio::awaitable<void> watch_versions();
    asio::awaitable<bool> is_ready(std::size_t host);
    asio::awaitable<bool> wait_until_ready(std::size_t host);
    asio::awaitable<http_response> ask(tcp::endpoint endpoint, std::string method,
                                       std::string target, std::string body);
    /// Asks the stand-in's control address. Throws if it does not answer.
    asio::awaitable<http_response> ask_standin(std::string method, std::string target,
                                               std::string body);
    asio::awaitable<void> control(json::object change);

    asio::awaitable<void> begin_fault(int number);
    asio::awaitable<void> begin_notice_fault();
    asio::awaitable<void> notice_of(const std::string& worker, std::uint32_t kind,
                                    milliseconds length);
    asio::awaitable<void> restart_worker(const std::string& worker, const char* version,
                                         milliseconds length);
    asio::awaitable<void> return_store_from_copy(milliseconds length);
    asio::awaitable<void> read_ledger();
    asio::awaitable<void> disturb_host(std::size_t host, std::uint32_t kind,
                                       milliseconds length);
    asio::awaitable<void> disturb_link(fault_proxy& proxy, std::uint32_t kind,
                                       milliseconds length);
    asio::awaitable<void> disturb_worker(std::size_t worker, std::uint32_t kind,
                                         milliseconds length);
    asio::awaitable<void> disturb_store(std::uint32_t kind, milliseconds length);
    asio::awaitable<void> recover();

    void say(const std::string& what)
    {
        m_result.m_faults.push_back(std::to_string(to_ms(clock_now() - m_began)) +
                                    " ms " + what);
    }

    soak_options m_options;
    random_source m_random;
    /// Source of its own, so that seeds give the same series of the other faults.
    random_source m_notice_random;
    random_source m_crowd_random;
    asio::io_context m_io{1};
    http_client m_client;
    test::child_process m_standin;
    std::vector<host_process> m_hosts;
    fault_proxy m_store_proxy;
    std::vector<std::unique_ptr<fault_proxy>> m_worker_proxies;
    soak_result m_result;
    time_point m_began{};
    std::uint64_t m_version = 1;
    int m_active_faults = 0;
    int m_active_calls = 0;
    std::uint64_t m_next_id = 0;
    bool m_sending = false;
    bool m_ending = false;
    std::exception_ptr m_failure;
};

void soak_driver::write_settings() const
{
    json::array workers;
    for (std::size_t at = 0; at < worker_forms.size(); ++at)
    {
        workers.push_back(json::object{{"id", worker_forms[at].m_id},
                                       {"service", worker_forms[at].m_service},
                                       {"port", first_worker_port + at},
                                       {"listed_port", first_proxy_port + at}});
    }
    for (std::size_t at = 0; at < next_version_engines.size(); ++at)
    {
        workers.push_back(
            json::object{{"id", next_version_engines[at]},
                         {"service", "engine"},
                         {"version", "v2"},
                         {"port", first_worker_port + worker_forms.size() + at}});
    }
    const json::object standin{{"address", place(0, 0).address().to_string()},
                               {"store_port", store_port},
                               {"control_port", control_port},
                               {"workers", std::move(workers)}};
    std::ofstream{file("standin.json")} << json::serialize(standin);
    for (std::size_t host = 1; host <= m_hosts.size(); ++host)
    {
        const json::object settings{
            {"host", "host-" + std::to_string(host)},
            {"data_centre", "z1"},
            {"region", "r1"},
            {"callers", text_of(host, caller_port)},
            {"readiness", text_of(host, readiness_port)},
            {"metrics", text_of(host, metrics_port)},
            {"directory", text_of(host, directory_port)},
            {"peers", text_of(host, peer_port)},
            {"store", text_of(0, store_proxy_port)},
            {"seeds", json::array{text_of(1, peer_port), text_of(2, peer_port)}},
            {"processor_share", 1.0},
            {"open_files", 600},
            {"memory_mb", host_memory_mb},
            {"retry_ratio", 0.2},
            {"retry_slack", 50},
            {"retry_window_s", 10},
            {"cold_factor", 1.5},
            {"cold_extra", 5},
            {"stop_time_s", 8},
            {"address_life_s", 5}};
        std::ofstream{file("host-" + std::to_string(host) + ".json")}
            << json::serialize(settings);
    }
}

void soak_driver::start_host(std::size_t host)
{
    host_process& process = m_hosts[host];
    process.m_end = exit_record{};
    process.m_end.m_host = host;
    process.m_paused = false;
    process.m_started = clock_now();
    const std::string name = "host-" + std::to_string(host + 1);
    if (!process.m_child.start({m_options.m_programs + "/geraniumdoor_edge", "--settings",
                                file(name + ".json")},
                               file(name + ".log")))
    {
        throw std::runtime_error{"geraniumdoor_edge cannot be started from " +
                                 m_options.m_programs};
    }
}

void soak_driver::open_absence(std::size_t host)
{
    host_process& process = m_hosts[host];
    if (!process.m_absence)
    {
        process.m_absence = m_result.m_run.m_absences.size();
        m_result.m_run.m_absences.push_back({host, clock_now(), time_point::max()});
    }
}

void soak_driver::close_absence(std::size_t host)
{
    host_process& process = m_hosts[host];
    if (process.m_absence)
    {
        m_result.m_run.m_absences[*process.m_absence].m_to = clock_now();
        process.m_absence.reset();
    }
}

void soak_driver::note_ends()
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
    {
        host_process& process = m_hosts[host];
        if (const auto code = process.m_child.take_end())
        {
            process.m_end.m_code = *code;
            process.m_end.m_stop_took =
                std::chrono::duration_cast<milliseconds>(clock_now() - process.m_told);
            m_result.m_run.m_exits.push_back(process.m_end);
            open_absence(host);
        }
    }
}

asio::awaitable<void> soak_driver::watch_processes()
{
    while (!m_ending)
    {
        note_ends();
        const time_point began = clock_now();
        co_await pause_for(poll_period);
        const duration took = clock_now() - began;
        if (took > longest_poll)
        {
            note_stall(began, took);
        }
    }
}

void soak_driver::note_stall(time_point began, duration took)
{
    say("the machine stalled for " + std::to_string(to_ms(took)) + " ms");
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
    {
        m_result.m_run.m_absences.push_back({host, began, began + took});
        m_hosts[host].m_end.m_paused_meanwhile = true;
    }
}

asio::awaitable<http_response> soak_driver::ask(tcp::endpoint endpoint,
                                                std::string method, std::string target,
                                                std::string body)
{
    http_request request{std::move(method), std::move(target), {}, std::move(body)};
    http_call_options options;
    options.m_timeout = milliseconds{1000};
    options.m_fresh_connection = true;
    options.m_may_reuse = [](const http_response&)
    {
        return false;
    };
    const auto answer =
        co_await m_client.send(std::move(endpoint), std::move(request), options);
    co_return is_ok(answer) ? value_of(answer) : http_response{0, {}, {}};
}

asio::awaitable<http_response>
soak_driver::ask_standin(std::string method, std::string target, std::string body)
{
    for (int turn = 0; turn < standin_tries; ++turn)
    {
        http_response answer = co_await ask(place(0, control_port), method, target, body);
        if (answer.m_status == 200)
        {
            co_return answer;
        }
        co_await pause_for(poll_period);
    }
    throw std::runtime_error{"the stand-in does not answer " + target + ' ' + body};
}

asio::awaitable<void> soak_driver::control(json::object change)
{
    co_await ask_standin("POST", "/control", json::serialize(change));
}

asio::awaitable<void> soak_driver::watch_versions()
{
    while (!m_ending)
    {
        for (std::size_t host = 0; host < m_hosts.size(); ++host)
        {
            const auto answer =
                co_await ask(place(host + 1, readiness_port), "GET", "/admin/status", "");
            if (answer.m_status == 200)
            {
                const auto body = json::parse(answer.m_body);
                m_result.m_run.m_versions.push_back(
                    {host, body.at("incarnation").to_number<std::uint64_t>(),
                     body.at("configuration_version").to_number<std::uint64_t>()});
            }
        }
        co_await pause_for(version_poll_period);
    }
}

asio::awaitable<bool> soak_driver::is_ready(std::size_t host)
{
    const auto answer =
        co_await ask(place(host + 1, readiness_port), "GET", "/readyz", "");
    co_return answer.m_status == 200;
}

asio::awaitable<bool> soak_driver::wait_until_ready(std::size_t host)
{
    const time_point last = clock_now() + start_limit;
    while (clock_now() < last && !m_ending)
    {
        const bool ready = co_await is_ready(host);
        if (ready)
        {
            co_return true;
        }
        co_await pause_for(poll_period);
    }
    co_return false;
}

asio::awaitable<void> soak_driver::call(request_kind kind, std::size_t host,
                                        std::string id, bool record)
{
    ++m_active_calls;
    call_record seen;
    seen.m_id = id;
    seen.m_kind = kind;
    seen.m_host = host;
    seen.m_deadline = milliseconds{is_stream(kind) ? 3000 : 1500};
    http_request request = request_of(kind, id, seen.m_deadline);
    http_call_options options;
    options.m_timeout = seen.m_deadline + 2 * deadline_slack;
    // Half of the callers keep using connections that are open.
    options.m_fresh_connection = uniform_below(m_random, 2) == 0;
    seen.m_sent = clock_now();
    const auto answer =
        co_await m_client.send(place(host + 1, caller_port), std::move(request), options);
    seen.m_ended = clock_now();
    if (is_ok(answer))
    {
        seen.m_status = value_of(answer).m_status;
        seen.m_body = value_of(answer).m_body;
        seen.m_says_not_run =
            seen.m_status == 503 &&
            !find_field(value_of(answer).m_fields, "Retry-After").empty();
    }
    else
    {
        const http_error& error = error_of(answer);
        seen.m_timed_out = error.m_kind == http_error_kind::timeout;
        seen.m_cut = error.m_sent && !seen.m_timed_out;
    }
    if (kind == request_kind::resume && seen.m_cut && record && m_sending)
    {
        // The caller returns at any host.
        const std::size_t other =
            uniform_below(m_notice_random, static_cast<std::uint32_t>(m_hosts.size()));
        spawn(call(request_kind::take_up, other, id + "-again", true));
    }
    if (record || seen.m_status == 200)
    {
        m_result.m_run.m_calls.push_back(std::move(seen));
    }
    --m_active_calls;
}

asio::awaitable<void> soak_driver::send_requests()
{
    while (m_sending)
    {
        const auto kind =
            static_cast<request_kind>(uniform_below(m_random, request_kinds));
        const std::size_t host =
            uniform_below(m_random, static_cast<std::uint32_t>(m_hosts.size()));
        spawn(call(kind, host, "r" + std::to_string(++m_next_id), true));
        co_await pause_for(m_options.m_request_pause);
    }
}

asio::awaitable<void> soak_driver::send_unfinished_bodies()
{
    std::deque<tcp::socket> callers;
    int sent = 0;
    while (m_sending)
    {
        const std::size_t host =
            uniform_below(m_crowd_random, static_cast<std::uint32_t>(m_hosts.size()));
        const auto bytes = std::make_shared<std::string>(
            "POST /pay/x HTTP/1.1\r\nHost: a.example\r\nCredential: key\r\nAttempt-Id: " +
            std::string{unfinished_prefix} + std::to_string(++sent) +
            "\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" +
            std::string(unfinished_bytes, 'a'));
        callers.emplace_back(m_io);
        tcp::socket& caller = callers.back();
        const auto [error] = co_await caller.async_connect(
            place(host + 1, caller_port), asio::as_tuple(asio::use_awaitable));
        if (!error)
        {
            // A host that stands still takes nothing; the caller does not wait for it.
            asio::async_write(caller, asio::buffer(*bytes),
                              [bytes](boost::system::error_code, std::size_t) {});
        }
        if (callers.size() > most_unfinished)
        {
            callers.pop_front();
        }
        co_await pause_for(m_options.m_request_pause);
    }
}

void soak_driver::check_unfinished_bodies()
{
    for (const auto& [id, runs] : m_result.m_run.m_runs)
    {
        if (id.starts_with(unfinished_prefix))
        {
            m_result.m_not_recovered.push_back("a body that was cut off ran: " + id);
        }
    }
}

asio::awaitable<void> soak_driver::disturb_host(std::size_t host, std::uint32_t kind,
                                                milliseconds length)
{
    host_process& process = m_hosts[host];
    const std::string name = "host " + std::to_string(host);
    if (!process.m_child.running())
    {
        say(name + " is down already");
        co_return;
    }
    if (clock_now() - process.m_started < handlers_time)
    {
        co_await pause_for(handlers_time);
    }
    if (kind == 0)
    {
        say(name + " settings read again");
        process.m_child.send(SIGHUP);
        co_return;
    }
    if (kind == 1)
    {
        say(name + " paused for " + std::to_string(length.count()) + " ms");
        open_absence(host);
        process.m_paused = true;
        process.m_end.m_paused_meanwhile = true;
        process.m_child.send(SIGSTOP);
        co_await pause_for(length);
        process.m_child.send(SIGCONT);
        process.m_paused = false;
        // Requests that waited meanwhile are answered when it has caught up.
        co_await wait_until_ready(host);
        if (process.m_child.running() && !process.m_paused)
        {
            close_absence(host);
        }
        co_return;
    }
    if (kind == 2)
    {
        say(name + " killed, down for " + std::to_string(length.count()) + " ms");
        open_absence(host);
        process.m_end.m_killed = true;
        process.m_child.send(SIGKILL);
    }
    else
    {
        say(name + " told to stop");
        process.m_end.m_told_to_stop = true;
        process.m_told = clock_now();
        process.m_child.send(SIGTERM);
    }
    while (process.m_child.running() && !m_ending)
    {
        co_await pause_for(poll_period);
    }
    co_await pause_for(length);
    if (!process.m_child.running() && !m_ending)
    {
        start_host(host);
        co_await wait_until_ready(host);
        close_absence(host);
    }
}

asio::awaitable<void> soak_driver::disturb_link(fault_proxy& proxy, std::uint32_t kind,
                                                milliseconds length)
{
    static constexpr std::array<const char*, 5> names{
        "reset", "delayed", "silent", "one way: no requests", "one way: no answers"};
    say(std::string{"link "} + names[kind] + " for " + std::to_string(length.count()) +
        " ms");
    if (kind == 0)
    {
        proxy.reset();
        co_return;
    }
    proxy.m_link.m_delay = milliseconds{kind == 1 ? 150 : 0};
    proxy.m_link.m_no_requests = kind == 2 || kind == 3;
    proxy.m_link.m_no_answers = kind == 2 || kind == 4;
    co_await pause_for(length);
    proxy.m_link = link_state{};
}

asio::awaitable<void> soak_driver::disturb_worker(std::size_t worker, std::uint32_t kind,
                                                  milliseconds length)
{
    const std::string id = worker_forms[worker].m_id;
    if (kind < worker_faults.size())
    {
        say(id + ' ' + worker_faults[kind] + " for " + std::to_string(length.count()) +
            " ms");
        co_await control(worker_change(id, "mode", worker_faults[kind]));
        co_await pause_for(length);
        co_await control(worker_change(id, "mode", "normal"));
        co_return;
    }
    say(id + " drains and leaves for " + std::to_string(length.count()) + " ms");
    co_await control(worker_change(id, "state", "draining"));
    co_await pause_for(length);
    co_await control(worker_change(id, "state", "gone"));
    co_await pause_for(length);
    co_await control(worker_change(id, "state", "ready"));
}

asio::awaitable<void> soak_driver::disturb_store(std::uint32_t kind, milliseconds length)
{
    if (kind == 0)
    {
        say("store away for " + std::to_string(length.count()) + " ms");
        co_await control(change_of("store_down", true));
        co_await pause_for(length);
        co_await control(change_of("store_down", false));
    }
    else if (kind == 1)
    {
        // A store that has lost a write gives the one before out again.
        say("configuration " + std::to_string(m_version - 1) + ", then " +
            std::to_string(m_version + 1));
        co_await control(
            change_of("config_version", std::max<std::uint64_t>(1, m_version - 1)));
        co_await pause_for(lost_write_time);
        co_await control(change_of("config_version", ++m_version));
    }
    else
    {
        co_await disturb_link(m_store_proxy, kind - 2, length);
    }
}

asio::awaitable<void> soak_driver::begin_fault(int number)
{
    // Drawn at once, so that a seed gives the same series whatever happens meanwhile.
    const milliseconds begin{
        uniform_below(m_random, static_cast<std::uint32_t>(m_options.m_length.count()))};
    const milliseconds length{200 + uniform_below(m_random, longest_fault_ms - 200)};
    const auto host = uniform_below(m_random, static_cast<std::uint32_t>(m_hosts.size()));
    const auto worker = uniform_below(m_random, worker_forms.size());
    const std::uint32_t kind = uniform_below(m_random, 840);
    ++m_active_faults;
    co_await pause_for(begin);
    switch (number % 4)
    {
    case 0:
        co_await disturb_host(host, kind % 4, length);
        break;
    case 1:
        co_await disturb_link(*m_worker_proxies[worker], kind % 5, length);
        break;
    case 2:
        co_await disturb_worker(worker, kind % 7, length);
        break;
    default:
        co_await disturb_store(kind % 7, length);
        break;
    }
    --m_active_faults;
}

asio::awaitable<void> soak_driver::begin_notice_fault()
{
    const milliseconds begin{uniform_below(
        m_notice_random, static_cast<std::uint32_t>(m_options.m_length.count()))};
    const milliseconds length{200 +
                              uniform_below(m_notice_random, longest_fault_ms - 200)};
    const std::string id =
        worker_forms[uniform_below(m_notice_random, worker_forms.size())].m_id;
    const std::uint32_t kind = uniform_below(m_notice_random, 5);
    ++m_active_faults;
    co_await pause_for(begin);
    if (kind < 4)
    {
        co_await notice_of(id, kind, length);
    }
    else
    {
        co_await return_store_from_copy(length);
    }
    --m_active_faults;
}

/// A worker says that it takes few requests, declines them for a time, or leaves.
asio::awaitable<void> soak_driver::notice_of(const std::string& worker,
                                             std::uint32_t kind, milliseconds length)
{
    static constexpr std::array<const char*, 4> names{
        "names a limit", "declines requests", "says that it leaves",
        "starts with the next version"};
    say(worker + ' ' + names[kind] + " for " + std::to_string(length.count()) + " ms");
    if (kind == 0)
    {
        co_await control(worker_change(worker, "limit", "2"));
        co_await pause_for(length + limit_time);
        co_await control(worker_change(worker, "limit", ""));
    }
    else if (kind == 1)
    {
        co_await control(worker_change(worker, "retry_after", "0.7"));
        co_await control(worker_change(worker, "mode", "decline"));
        co_await pause_for(length);
        co_await control(worker_change(worker, "mode", "normal"));
        co_await control(worker_change(worker, "retry_after", ""));
    }
    else
    {
        co_await restart_worker(worker, kind == 2 ? "v1" : "v2", length);
    }
}

asio::awaitable<void> soak_driver::restart_worker(const std::string& worker,
                                                  const char* version,
                                                  milliseconds length)
{
    co_await control(worker_change(worker, "process", "leaves"));
    co_await pause_for(length);
    co_await control(worker_change(worker, "state", "gone"));
    co_await control(worker_change(worker, "process", "new"));
    co_await control(worker_change(worker, "version", version));
    co_await pause_for(length);
    co_await control(worker_change(worker, "state", "ready"));
}

/// The store loses a change that it has confirmed, and what workers have written.
asio::awaitable<void> soak_driver::return_store_from_copy(milliseconds length)
{
    say("store returns from a copy after " + std::to_string(length.count()) + " ms");
    co_await control(change_of("store_copy", true));
    co_await pause_for(length);
    co_await control(change_of("config_version", ++m_version));
    co_await pause_for(lost_write_time);
    co_await control(change_of("store_down", true));
    co_await pause_for(lost_write_time);
    co_await control(change_of("store_back", true));
    co_await control(change_of("store_down", false));
    // Hosts are checked for the configuration once the last fault has ended.
    co_await pause_for(config_apply_time);
}

asio::awaitable<void> soak_driver::read_ledger()
{
    const auto answer = co_await ask_standin("GET", "/ledger", "");
    const auto body = json::parse(answer.m_body);
    for (const auto& stream : body.at("joined").as_array())
    {
        m_result.m_run.m_joined_streams.emplace_back(stream.as_string());
    }
    for (const auto& entry : body.at("limited").as_array())
    {
        m_result.m_run.m_limits.push_back(
            {std::string{entry.at("worker").as_string()},
             entry.at("per_s").to_number<double>(),
             milliseconds{entry.at("ms").to_number<std::int64_t>()},
             entry.at("arrivals").to_number<std::size_t>()});
    }
}

/// Asks each host for each kind of request until all are served.
asio::awaitable<void> soak_driver::recover()
{
    const time_point last = clock_now() + longest_recovery;
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
    {
        for (int kind = 0; kind < request_kinds; ++kind)
        {
            bool served = false;
            while (!served && clock_now() < last)
            {
                const std::string id = "recovery" + std::to_string(++m_next_id);
                const std::size_t before = m_result.m_run.m_calls.size();
                co_await call(static_cast<request_kind>(kind), host, id, false);
                served = m_result.m_run.m_calls.size() > before;
                co_await pause_for(poll_period);
            }
            if (!served)
            {
                m_result.m_not_recovered.push_back("host " + std::to_string(host) +
                                                   " does not serve kind " +
                                                   std::to_string(kind));
            }
        }
        const auto status =
            co_await ask(place(host + 1, readiness_port), "GET", "/admin/status", "");
        const std::uint64_t version = status.m_status == 200
                                          ? json::parse(status.m_body)
                                                .at("configuration_version")
                                                .to_number<std::uint64_t>()
                                          : 0;
        if (version != m_version)
        {
            m_result.m_not_recovered.push_back(
                "host " + std::to_string(host) + " has configuration " +
                std::to_string(version) + " instead of " + std::to_string(m_version));
        }
    }
}

asio::awaitable<void> soak_driver::drive()
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
    {
        const bool ready = co_await wait_until_ready(host);
        if (!ready)
        {
            throw std::runtime_error{"host " + std::to_string(host) +
                                     " is not ready after its start"};
        }
        close_absence(host);
    }
    // So that there is an earlier configuration to go back to.
    co_await control(change_of("config_version", ++m_version));
    m_began = clock_now();
    m_sending = true;
    spawn(send_requests());
    spawn(send_unfinished_bodies());
    for (int number = 0; number < m_options.m_faults; ++number)
    {
        spawn(begin_fault(number));
    }
    for (int number = 0; number < notice_faults; ++number)
    {
        spawn(begin_notice_fault());
    }
    co_await pause_for(m_options.m_length);
    while (m_active_faults > 0)
    {
        co_await pause_for(poll_period);
    }
    m_sending = false;
    co_await recover();
    while (m_active_calls > 0)
    {
        co_await pause_for(poll_period);
    }
    const auto runs = co_await ask_standin("GET", "/runs", "");
    const auto body = json::parse(runs.m_body);
    for (const auto& member : body.as_object())
    {
        m_result.m_run.m_runs[member.key()] = json::value_to<int>(member.value());
    }
    check_unfinished_bodies();
    co_await read_ledger();
    note_ends();
    m_ending = true;
    m_result.m_run.m_last_version = m_version;
}

soak_result soak_driver::run()
{
    std::filesystem::create_directories(m_options.m_scratch);
    write_settings();
    if (!m_standin.start({m_options.m_programs + "/gd_standin_edge", "--settings",
                          file("standin.json")},
                         file("standin.log")))
    {
        throw std::runtime_error{"gd_standin_edge cannot be started from " +
                                 m_options.m_programs};
    }
    m_store_proxy.start();
    for (const auto& proxy : m_worker_proxies)
    {
        proxy->start();
    }
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
    {
        open_absence(host);
        start_host(host);
    }
    spawn(watch_processes());
    spawn(watch_versions());
    asio::co_spawn(m_io, drive(),
                   [this](std::exception_ptr error)
                   {
                       m_failure = m_failure ? m_failure : error;
                       m_io.stop();
                   });
    m_io.run();
    if (m_failure)
    {
        std::rethrow_exception(m_failure);
    }
    return std::move(m_result);
}

} // namespace

soak_result run_soak(const soak_options& options)
{
    soak_driver driver{options};
    return driver.run();
}

} // namespace geraniumdoor::soak
