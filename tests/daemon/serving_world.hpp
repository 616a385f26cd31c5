#pragma once

#include "http_fakes.hpp"

#include <geraniumdoor/daemon/entry_daemon.hpp>
#include <geraniumdoor/net/http_client.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace geraniumdoor::test
{

/// What a caller received.
struct caller_answer
{
    bool m_ended = false;
    /// Zero when the connection broke.
    unsigned m_status = 0;
    std::string m_body;

    boost::json::object object() const;
    /// "ran" of an error.
    std::string ran() const;
};

using pending_answer = std::shared_ptr<caller_answer>;

/// Three entry daemons, "a" and "b" in dc-1 and "c" in dc-2, with an upstream of each
/// pool in each data centre, in one process and on real sockets of 127.0.0.1.
class serving_world
{
public:
    /// Uses 30 ports from the given one.
    /// @param memory_bytes memory of each daemon's machine
    explicit serving_world(std::uint16_t first_port,
                           std::size_t memory_bytes = daemon_settings{}.m_memory_bytes);
    ~serving_world();

    /// Runs until every daemon answers and every upstream has its lasting owner.
    /// Then the daemons serve undisturbed for the given time.
    void start(milliseconds undisturbed = milliseconds{4000});

    void run_for(milliseconds length);
    /// Returns whether the condition held within the time.
    bool run_until(const std::function<bool()>& condition, milliseconds longest);

    /// Starts a request to a daemon; an empty key sends none.
    pending_answer send(std::size_t daemon, const std::string& pipeline, int input,
                        const std::string& key = {}, bool streamed = false);
    /// The same, and waits for the answer.
    caller_answer ask(std::size_t daemon, const std::string& pipeline, int input,
                      const std::string& key = {}, bool streamed = false);
    /// Sends this body, and waits for the answer.
    caller_answer ask_with(std::size_t daemon, const std::string& pipeline,
                           std::string body);
    /// Sends a request to the operator API of a daemon.
    caller_answer operate(std::size_t daemon, const std::string& target,
                          const std::string& body);

    boost::asio::ip::tcp::endpoint caller_endpoint(std::size_t daemon) const;

    /// Closes the table service, or opens it with the rows that it had.
    void open_table(bool open);

    /// Executions of the operation with the input on all upstreams.
    int executions(const std::string& operation, int input) const;
    /// The same, by the operation followed by its input as JSON text.
    int executions_of(const std::string& call) const;

    boost::asio::io_context m_io;
    std::vector<std::unique_ptr<entry_daemon>> m_daemons;
    http_table m_rows;
    std::vector<std::unique_ptr<http_upstream>> m_upstreams;

private:
    boost::asio::awaitable<void> serve_hosts(http_exchange& exchange);
    boost::asio::awaitable<void> fetch(std::uint16_t port, http_request request,
                                       pending_answer answer);
    std::unique_ptr<http_server> make_server(std::uint16_t port, http_handler handler);
    void add_upstreams();
    void add_daemon(std::size_t number);
    /// Whether each upstream has an owner in its own data centre. Upstreams that were
    /// claimed before all members were known are handed over one by one.
    bool is_placed() const;
    bool is_serving();

    std::uint16_t m_port;
    std::size_t m_memory_bytes;
    http_client m_client;
    std::unique_ptr<http_server> m_table_server;
    std::unique_ptr<http_server> m_host_server;
};

} // namespace geraniumdoor::test
