#include "crowd_story.hpp"

#include <geraniumdoor/net/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace geraniumdoor::test
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace
{

constexpr const char* address = "127.21.0.1";

/// Time in which a crowd has sent what the host takes. Only bounds the test's length.
constexpr milliseconds crowd_time{20000};

/// Time without a byte that any caller could send after which all stand still.
constexpr milliseconds still_time{1000};

std::string settings_for(int first_port)
{
    const auto endpoint = [first_port](int offset)
    {
        return '"' + std::string{address} + ':' + std::to_string(first_port + offset) +
               '"';
    };
    return R"({"host": "host-1", "data_centre": "z1", "region": "r1", "seeds": [],
  "callers": )" +
           endpoint(1) + R"(, "readiness": )" + endpoint(2) + R"(, "metrics": )" +
           endpoint(3) + R"(, "directory": )" + endpoint(4) + R"(, "peers": )" +
           endpoint(5) + R"(, "store": )" + endpoint(0) + R"(,
  "processor_share": 1, "open_files": )" +
           std::to_string(crowd_story::open_files) + R"(, "memory_mb": )" +
           std::to_string(crowd_story::memory_mb) + R"(,
  "retry_ratio": 0.2, "retry_slack": 50, "retry_window_s": 10, "cold_factor": 1.5,
  "cold_extra": 5, "stop_time_s": 8, "address_life_s": 5})";
}

std::string with_limits(std::string configuration)
{
    const std::string limits = R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":)" +
                               std::to_string(crowd_story::body_limit) +
                               R"(,"headerTimeoutMs":3000,"idleTimeoutMs":60000},)";
    return configuration.insert(1, limits);
}

/// All bytes that a caller of the crowd sends.
std::string bytes_of(const crowd_plan& plan, std::size_t caller)
{
    const std::string id = "c" + std::to_string(caller);
    const http_request request = sample_post("/read/" + id, id, 60000);
    std::string bytes = request.m_method + ' ' + request.m_target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.m_fields)
    {
        bytes += name + ": " + value + "\r\n";
    }
    if (plan.m_manner == body_manner::with_length)
    {
        constexpr std::size_t missing = 10;
        bytes += "Content-Length: " + std::to_string(plan.m_body_bytes) + "\r\n\r\n";
        bytes += std::string(plan.m_body_bytes - missing, 'a');
        return bytes;
    }
    bytes += "Transfer-Encoding: chunked\r\n\r\n";
    std::ostringstream size;
    size << std::hex << plan.m_chunk_bytes;
    const std::string chunk =
        size.str() + "\r\n" + std::string(plan.m_chunk_bytes, 'a') + "\r\n";
    for (std::size_t sent = 0; sent < plan.m_body_bytes; sent += plan.m_chunk_bytes)
    {
        bytes += chunk;
    }
    return bytes;
}

} // namespace

crowd_story::crowd_story(std::uint16_t first_port) : m_first_port{first_port}
{
    m_worker.m_id = "w0";
    m_worker.m_service = "plain";
    m_worker.m_address = address;
    m_worker.m_port = static_cast<std::uint16_t>(first_port + 6);
    m_worker.start(m_io.get_executor());
    m_store.put("servers", m_worker.m_id, registry_entry(m_worker, m_worker.m_port));
    m_store.put("op", "config", with_limits(sample_configuration(sample_routes(), 1)));
    m_store_server = std::make_unique<http_server>(
        m_io.get_executor(), tcp::endpoint{asio::ip::make_address(address), first_port},
        http_limits{},
        [this](http_exchange& exchange)
        {
            return m_store.serve(exchange);
        });
    m_store_server->start();
    m_thread = std::thread{[this]
                           {
                               m_io.run();
                           }};
    m_settings = std::make_unique<scratch_file>("crowd.json", settings_for(first_port));
    m_log = std::make_unique<scratch_file>("crowd.log", "");
    const char* directory = std::getenv("GD_PROGRAMS");
    const std::string programs = directory != nullptr ? directory : "build/check";
    // The sanitizer would keep freed memory, which counts as held.
    ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1:thread_local_quarantine_size_kb=64",
             1);
    m_host.start({programs + "/geraniumdoor_edge", "--settings", m_settings->path()},
                 m_log->path());
    constexpr int attempts = 200;
    for (int attempt = 0; attempt < attempts && send_ordinary() != 200; ++attempt)
    {
        std::this_thread::sleep_for(100ms);
    }
    m_rest_bytes = std::stoul(process_line("VmRSS:")) * 1024;
}

crowd_story::~crowd_story()
{
    m_callers.clear();
    m_work.reset();
    m_io.stop();
    m_thread.join();
}

void crowd_story::begin(const crowd_plan& plan)
{
    const tcp::endpoint host{asio::ip::make_address(address),
                             static_cast<std::uint16_t>(m_first_port + 1)};
    std::vector<std::string> bytes;
    std::vector<std::size_t> sent(plan.m_callers, 0);
    std::vector<bool> is_open(plan.m_callers, true);
    for (std::size_t caller = 0; caller < plan.m_callers; ++caller)
    {
        tcp::socket socket{m_caller_io};
        boost::system::error_code error;
        socket.connect(host, error);
        is_open[caller] = !error;
        socket.non_blocking(true, error);
        m_callers.push_back(std::move(socket));
        bytes.push_back(bytes_of(plan, caller));
    }
    const auto end = std::chrono::steady_clock::now() + crowd_time;
    auto progress = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < end &&
           std::chrono::steady_clock::now() - progress < still_time)
    {
        bool has_moved = false;
        for (std::size_t caller = 0; caller < plan.m_callers; ++caller)
        {
            const std::size_t left = bytes[caller].size() - sent[caller];
            if (!is_open[caller] || left == 0)
            {
                continue;
            }
            boost::system::error_code error;
            const std::size_t moved = m_callers[caller].write_some(
                asio::buffer(bytes[caller].data() + sent[caller],
                             std::min(left, plan.m_turn_bytes)),
                error);
            sent[caller] += moved;
            has_moved = has_moved || moved > 0;
            is_open[caller] = !error || error == asio::error::would_block;
        }
        progress = has_moved ? std::chrono::steady_clock::now() : progress;
        std::this_thread::sleep_for(has_moved ? 0ms : 10ms);
    }
}

std::string crowd_story::process_line(const std::string& name) const
{
    std::ifstream file{"/proc/" + std::to_string(m_host.id()) + "/status"};
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with(name))
        {
            return line.substr(name.size());
        }
    }
    return "0";
}

bool crowd_story::is_alive()
{
    return m_host.running() && !m_host.take_end();
}

std::size_t crowd_story::grown_bytes() const
{
    const std::size_t peak = std::stoul(process_line("VmHWM:")) * 1024;
    return peak - std::min(peak, m_rest_bytes);
}

std::size_t crowd_story::open_descriptors() const
{
    const std::filesystem::path place = "/proc/" + std::to_string(m_host.id()) + "/fd";
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator at{place, error}, last; at != last;
         at.increment(error))
    {
        ++count;
    }
    return count;
}

unsigned crowd_story::send_request(http_request request)
{
    asio::io_context io{1};
    http_limits limits;
    limits.m_body_bytes = 2 * body_limit;
    http_client client{io.get_executor(), limits};
    unsigned status = 0;
    const auto send = [](http_client& by, tcp::endpoint to, http_request message,
                         unsigned& result) -> asio::awaitable<void>
    {
        http_call_options options;
        options.m_timeout = milliseconds{20000};
        options.m_fresh_connection = true;
        const auto answer = co_await by.send(to, std::move(message), options);
        result = is_ok(answer) ? value_of(answer).m_status : 0;
    };
    const tcp::endpoint host{asio::ip::make_address(address),
                             static_cast<std::uint16_t>(m_first_port + 1)};
    asio::co_spawn(io, send(client, host, std::move(request), status), asio::detached);
    io.run_for(milliseconds{21000});
    return status;
}

unsigned crowd_story::send_ordinary()
{
    const std::string id = "o" + std::to_string(++m_requests);
    return send_request(sample_get("/read/" + id, id, 15000));
}

unsigned crowd_story::send_large()
{
    const std::string id = "l" + std::to_string(++m_requests);
    http_request request = sample_post("/read/" + id, id, 15000);
    request.m_body.assign(body_limit, 'a');
    return send_request(std::move(request));
}

} // namespace geraniumdoor::test
