#pragma once

#include <geraniumdoor/edge/edge_daemon.hpp>
#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace geraniumdoor::test
{

/// The platform's store in memory, behind HTTP.
struct fake_store
{
    struct row
    {
        std::string m_value;
        std::uint64_t m_version = 0;
        bool m_removed = false;
    };

    std::map<std::string, std::map<std::string, row>> m_tables;
    std::uint64_t m_version = 1;
    /// Answers 503 to all calls.
    bool m_down = false;
    int m_reads = 0;

    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    boost::asio::awaitable<void> serve(http_exchange& exchange);
};

enum class worker_mode : std::uint8_t
{
    normal,
    /// Runs the request and closes the connection.
    lose_answer,
    /// Declines with a statement that nothing has run.
    decline,
    /// Runs, and answers with its own failure.
    fail,
    /// Begins an answer with chunks and closes in the middle.
    tear,
    /// Answers with the id of another request.
    foreign,
    /// Runs, and never answers.
    hang,
    /// Says that an input is gone, which only engines do.
    input_gone,
};

/// An upstream that answers "NAME:TARGET", as two events on routes that stream, and makes
/// pieces.
struct fake_worker
{
    std::string m_id;
    std::string m_service;
    std::uint16_t m_port = 0;
    worker_mode m_mode = worker_mode::normal;
    /// Modes of the next requests, before m_mode applies again.
    std::vector<worker_mode> m_script;
    milliseconds m_delay{0};
    /// Why no piece is made; empty to make them.
    std::string m_refuse_pieces;
    std::map<std::string, int> m_runs;
    std::vector<http_request> m_seen;
    int m_calls = 0;
    std::size_t m_most_pieces = 0;
    int m_released = 0;
    std::unique_ptr<http_server> m_server;

    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> run_request(http_exchange& exchange);
    boost::asio::awaitable<void> make_pieces(http_exchange& exchange);
};

/// Hosts, store and workers of one test on loopback ports of its own.
class edge_world
{
public:
    /// @param base first of 40 ports
    /// @param hosts number of hosts
    edge_world(std::uint16_t base, int hosts);
    ~edge_world();

    fake_worker& add_worker(const std::string& id, const std::string& service);
    void set_config(const std::string& routes, std::uint64_t version);

    void start();

    /// Runs the world until the time has passed.
    void run_for(milliseconds length);

    /// Sends a request to a host and runs the world until it ends. The answer has status
    /// 0 when the connection ended without a whole one.
    http_response ask(int host, http_request request, milliseconds limit);

    /// Starts a request; the answer is stored when it comes.
    std::shared_ptr<std::optional<http_response>>
    start_request(int host, http_request request, milliseconds limit);

    void begin_stop(int host, std::function<void()> done);

    boost::asio::ip::tcp::endpoint callers_of(int host) const;
    boost::asio::ip::tcp::endpoint readiness_of(int host) const;
    boost::asio::ip::tcp::endpoint directory_of(int host) const;

    /// Outlives all sockets.
    boost::asio::io_context m_io{1};
    fake_store m_store;
    std::vector<std::unique_ptr<fake_worker>> m_workers;
    http_client m_client;

private:
    std::uint16_t port_of(int host, int part) const;
    edge::edge_settings settings_of(int host) const;
    void start_host(int host);

    std::uint16_t m_base;
    std::unique_ptr<http_server> m_store_server;
    std::vector<std::unique_ptr<edge::edge_daemon>> m_hosts;
    std::uint64_t m_incarnation = 1;
};

http_request sample_get(const std::string& target, const std::string& id,
                        int deadline_ms);
http_request sample_post(const std::string& target, const std::string& id,
                         int deadline_ms);

} // namespace geraniumdoor::test
