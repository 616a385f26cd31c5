#pragma once

#include <geraniumdoor/base/random.hpp>
#include <geraniumdoor/base/units.hpp>
#include <geraniumdoor/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <deque>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace geraniumdoor
{

inline time_point steady_now()
{
    return std::chrono::steady_clock::now();
}

/// Returns the settings in the file that the arguments "--settings FILE" name: JSON with
/// comments. Throws std::runtime_error.
boost::json::object read_settings(int argc, char** argv);

/// Returns a number, or the default when the field is absent.
double number_or(const boost::json::object& object, std::string_view name,
                 double fallback);

inline microseconds microseconds_of(double length_ms)
{
    return microseconds{static_cast<std::int64_t>(1000 * length_ms)};
}

/// Returns the text of a field. Throws if there is none.
std::string text_of(const boost::json::object& object, std::string_view name);

/// Copies each group of hosts in a list into one object per host: "id_prefix" and
/// "first_*port" become "id" and "*port", and each host takes the next of "data_centres".
/// An entry that has no "count" is a single host.
std::vector<boost::json::object> expand_groups(const boost::json::object& settings,
                                               std::string_view list);

/// Returns the body of a request. Throws if it is not a JSON object.
boost::json::object body_of(const http_exchange& exchange);

std::string path_of(const http_exchange& exchange);

/// Returns the decoded value of the query's one field, or an empty string.
std::string query_of(const http_exchange& exchange, const std::string& name);

http_response json_response(const boost::json::value& body, unsigned status = 200);
http_response error_response(unsigned status, const std::string& error);

/// Waits on behalf of one call and stops when its client closes the connection.
class call_guard
{
public:
    explicit call_guard(boost::asio::any_io_executor executor, http_exchange& exchange);

    /// Returns false when the client has gone.
    boost::asio::awaitable<bool> sleep(microseconds time);

    bool closed() const
    {
        return m_state->m_closed;
    }

private:
    struct state
    {
        bool m_closed = false;
        boost::asio::steady_timer m_timer;
    };

    std::shared_ptr<state> m_state;
};

/// Fault that POST /control sets.
struct fault_state
{
    std::string m_fault = "none";
    microseconds m_delay{0};
    double m_probability = 1;

    /// Throws std::invalid_argument if the fault is unknown.
    void set(const boost::json::object& control);

    /// Holds a call up as a slow or frozen service does. Returns false when the service
    /// is down.
    boost::asio::awaitable<bool> pass(call_guard& guard) const;

    /// Whether to answer with an error before any effect.
    bool fails(random_source& random) const;

    /// Whether to close the connection after the effect.
    bool loses_answer(random_source& random) const;
};

/// A value that readers see with a lag.
class lagged_value
{
public:
    explicit lagged_value(microseconds lag);

    void set(boost::json::value value);

    /// Precondition: a value was set.
    const boost::json::value& read();

private:
    microseconds m_lag;
    std::deque<std::pair<time_point, boost::json::value>> m_values;
};

/// Starts a server on the port in the settings. It answers 400 with the reason when the
/// handler throws because of a malformed request.
std::unique_ptr<http_server> start_server(boost::asio::any_io_executor executor,
                                          const boost::json::object& settings,
                                          http_handler handler);

/// Runs a stand-in until SIGTERM or SIGINT. Returns the exit status of the program.
template<class Standin>
int run_standin(int argc, char** argv)
{
    try
    {
        boost::asio::io_context context{1};
        boost::asio::signal_set signals{context, SIGTERM, SIGINT};
        signals.async_wait(
            [&](const boost::system::error_code&, int)
            {
                context.stop();
            });
        const Standin standin{context.get_executor(), read_settings(argc, argv)};
        std::cout << "ready" << std::endl;
        context.run();
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << error.what() << '\n';
        return 1;
    }
}

} // namespace geraniumdoor
