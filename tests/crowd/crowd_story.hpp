#pragma once

#include "crowd_callers.hpp"
#include "crowd_process.hpp"
#include "faulty_upstream.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include <standins/edge_standins.hpp>

namespace geraniumdoor::test
{

/// What a host is told of its machine and of what callers may send. The crowds exceed the
/// machine on a host that keeps what each caller may send.
struct crowd_limits
{
    std::size_t m_memory_mb = 32;
    std::size_t m_open_files = 300;
    std::size_t m_header_bytes = 16384;
    std::size_t m_body_bytes = std::size_t{1024} * 1024;
};

/// The listeners of a host, as offsets from the first port of the test.
enum class edge_port : std::uint16_t
{
    callers = 1,
    readiness = 2,
    metrics = 3,
    directory = 4,
    peers = 5,
};

/// A host process that is told that its machine is small, with a store, two workers and a
/// faulty upstream in this process, and a crowd of callers.
class crowd_story
{
public:
    /// @param first_port first of the 10 ports of the test
    explicit crowd_story(std::uint16_t first_port, const crowd_limits& limits = {});
    ~crowd_story();

    /// Sends what each caller of the plan sends, and stays connected.
    void begin(const crowd_plan& plan, edge_port port = edge_port::callers,
               const std::string& path = "/read/");

    /// Sends these bytes on connections of their own, and stays connected.
    void send_bytes(const std::vector<std::string>& texts, edge_port port);

    /// Upstreams, whose modes may be set before a crowd begins.
    worker_standin& plain_worker()
    {
        return m_worker;
    }
    worker_standin& engine()
    {
        return m_engine;
    }

    /// The upstream of /odd/, to which each request is sent once.
    faulty_upstream& faulty()
    {
        return m_faulty;
    }

    crowd_process& host()
    {
        return m_host;
    }

    const crowd_limits& limits() const
    {
        return m_limits;
    }

    /// Status of one ordinary request; zero without an answer.
    unsigned send_ordinary();

    /// The same with a large body inside the limits.
    unsigned send_large();

    /// Status of a request for an address, and of a readiness check.
    unsigned ask_directory() const;
    unsigned ask_readiness() const;

private:
    boost::asio::ip::tcp::endpoint place_of(edge_port port) const;
    void start_worker(worker_standin& worker, const std::string& service,
                      std::uint16_t port);
    void register_faulty();

    std::uint16_t m_first_port;
    crowd_limits m_limits;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{
        m_io.get_executor()};
    store_standin m_store;
    worker_standin m_worker;
    worker_standin m_engine;
    faulty_upstream m_faulty;
    std::unique_ptr<http_server> m_store_server;
    std::thread m_thread;
    crowd_process m_host;
    crowd_callers m_callers;
    int m_requests = 0;
};

} // namespace geraniumdoor::test
