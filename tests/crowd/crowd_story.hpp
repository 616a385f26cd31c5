#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <programs/child_process.hpp>
#include <programs/run_program.hpp>
#include <standins/edge_standins.hpp>

namespace geraniumdoor::test
{

/// How a caller of the crowd sends its body.
enum class body_manner : std::uint8_t
{
    /// With its length, and stops just short of the end.
    with_length,
    /// In chunks, and stops before the last one.
    in_chunks,
};

/// What each caller of a crowd does. All stay connected.
struct crowd_plan
{
    std::size_t m_callers = 60;
    body_manner m_manner = body_manner::with_length;
    std::size_t m_body_bytes = 0;
    std::size_t m_chunk_bytes = 0;
    /// Bytes that a caller sends before the others have their turn.
    std::size_t m_turn_bytes = 0;
};

/// A host process that is told that its machine is small, with a store and a worker in
/// this process, and a crowd of callers.
class crowd_story
{
public:
    /// Limits that the host is given. The crowds exceed them on a host that keeps what
    /// each caller may send.
    static constexpr std::size_t memory_mb = 32;
    static constexpr std::size_t open_files = 300;
    static constexpr std::size_t body_limit = std::size_t{1024} * 1024;

    /// @param first_port first of the 10 ports of the test
    explicit crowd_story(std::uint16_t first_port);
    ~crowd_story();

    /// Sends what each caller sends, as far as the host takes it, and stays connected.
    void begin(const crowd_plan& plan);

    /// Whether the host has kept its process, the memory of its machine and its
    /// descriptors.
    bool is_alive();
    std::size_t grown_bytes() const;
    std::size_t open_descriptors() const;

    /// Status of one ordinary request; zero without an answer.
    unsigned send_ordinary();

    /// The same with a large body inside the limits.
    unsigned send_large();

private:
    unsigned send_request(http_request request);
    std::string process_line(const std::string& name) const;

    std::uint16_t m_first_port;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{
        m_io.get_executor()};
    store_standin m_store;
    worker_standin m_worker;
    std::unique_ptr<http_server> m_store_server;
    std::thread m_thread;
    std::unique_ptr<scratch_file> m_settings;
    std::unique_ptr<scratch_file> m_log;
    child_process m_host;
    std::size_t m_rest_bytes = 0;
    boost::asio::io_context m_caller_io{1};
    std::vector<boost::asio::ip::tcp::socket> m_callers;
    int m_requests = 0;
};

} // namespace geraniumdoor::test
